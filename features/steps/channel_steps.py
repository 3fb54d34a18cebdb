"""Steps for channels, with dials and pauses in simulated time."""

import types
from unittest import mock

from behave import then
from behave import when

from bambookeel.net import channels

_PEER = "127.0.0.1:1"


class _Dialler(channels.Channels):
    """Channels whose connections last a given time."""

    def __init__(self, lasts_ms):
        # Nothing of a real connection is needed.
        # pylint: disable=super-init-not-called
        self.now_ms = 1_000
        self.pauses = []
        self._lasts_ms = lasts_ms
        self._outgoing = {}
        self._closed = False

    def _dial(self, peer, outgoing):
        self.now_ms += self._lasts_ms
        outgoing.sent_ms = self.now_ms

    def pause(self, seconds):
        """Notes a pause; ends after a few."""
        self.pauses.append(round(1_000 * seconds))
        self.now_ms += round(1_000 * seconds)
        self._closed = len(self.pauses) == 8

    def run(self):
        """Dials until a few pauses are noted."""
        outgoing = types.SimpleNamespace(sent_ms=self.now_ms)
        with (
            mock.patch.object(channels.gevent, "sleep", self.pause),
            mock.patch.object(
                channels.clock, "read_now_ms", lambda: self.now_ms
            ),
        ):
            self._keep_dialling(_PEER, outgoing)


def _run(context, lasts_ms):
    dialler = _Dialler(lasts_ms)
    dialler.run()
    context.pauses = dialler.pauses


@when("each connection to a process ends as soon as it is made")
def end_at_once(context):
    _run(context, 0)


@when("each connection to a process holds for {ms:d} ms")
def hold(context, ms):
    _run(context, ms)


@then("the pauses between {count:d} dials double from {first:d} to {last:d} ms")
def check_doubling(context, count, first, last):
    wanted = [min(last, first * 2**i) for i in range(count)]
    assert context.pauses == wanted, context.pauses


@then("the pauses between {count:d} dials are {ms:d} ms")
def check_pauses(context, count, ms):
    assert context.pauses == [ms] * count, context.pauses
