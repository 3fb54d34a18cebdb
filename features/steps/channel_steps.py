"""Steps for channels.

Redial pauses run in simulated time; a hanging dial uses real sockets.
"""

import socket as plain_socket
import types
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent
import gevent.socket

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.net import addresses
from bambookeel.net import channels
from bambookeel.net import links

_PEER = "127.0.0.1:1"


class _Dialler(channels.Channels):
    """Channels whose connections last a given time, on a simulated clock."""

    def __init__(self, connection_ms):
        # The attributes for real connections are not needed.
        # pylint: disable=super-init-not-called
        self.now_ms = 1_000
        self.pauses = []
        self._connection_ms = connection_ms
        self._outgoing = {}
        self._closed = False

    def _dial(self, peer, outgoing):
        self.now_ms += self._connection_ms
        outgoing.sent_ms = self.now_ms

    def pause(self, seconds):
        """Records a pause; closes the channels after the eighth."""
        self.pauses.append(round(1_000 * seconds))
        self.now_ms += round(1_000 * seconds)
        self._closed = len(self.pauses) == 8

    def run(self):
        """Dials until eight pauses have been recorded."""
        outgoing = types.SimpleNamespace(sent_ms=self.now_ms)
        with (
            mock.patch.object(channels.gevent, "sleep", self.pause),
            mock.patch.object(
                channels.clock, "read_now_ms", lambda: self.now_ms
            ),
        ):
            self._keep_dialling(_PEER, outgoing)


def _run(context, connection_ms):
    dialler = _Dialler(connection_ms)
    dialler.run()
    context.pauses = dialler.pauses


@when("each connection to a process is closed as soon as it is opened")
def dial_with_closed_connections(context):
    _run(context, 0)


@when("each connection to a process lasts {ms:d} ms")
def dial_with_lasting_connections(context, ms):
    _run(context, ms)


@then("the pauses between {count:d} dials double from {first:d} to {last:d} ms")
def check_doubling(context, count, first, last):
    expected = [min(last, first * 2**i) for i in range(count)]
    assert context.pauses == expected, context.pauses


@then("the pauses between {count:d} dials are {ms:d} ms")
def check_pauses(context, count, ms):
    assert context.pauses == [ms] * count, context.pauses


@given("a process whose machine does not answer dials")
def create_unanswering_process(context):
    # The kernel does not answer dials while the backlog of the listener is
    # full.
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = listener.getsockname()
    context.listener = listener
    context.fillers = []
    for _ in range(4):
        filler = plain_socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        context.fillers.append(filler)
    context.address = f"{address[0]}:{address[1]}"


def build_hello(process, number=0):
    return messages.Hello(
        ids.ProcessId(process),
        messages.ProcessRole.CONTROL,
        ids.DataCentre("north"),
        ids.Incarnation(1),
        ids.LinkNumber(number),
    )


@when(
    "a message is sent to the process, which answers and connects {ms:d} ms"
    " later"
)
def send_and_answer(context, ms):
    own_address = find_free_address()
    settings = links.LinkSettings(own_address, {}, 250, 1_000)
    context.received = []
    own = channels.Channels(
        settings, build_hello(own_address), lambda peer, message: None
    )
    own.listen()
    own.send(ids.ProcessId(context.address), messages.LeaderQuestion(7))
    gevent.sleep(ms / 1000)
    for filler in context.fillers:
        filler.close()

    def read_from(sock):
        for message in links.Link(sock, settings).read_messages():
            context.received.append(message)

    def accept():
        while True:
            sock, _ = context.listener.accept()
            gevent.spawn(read_from, sock)

    acceptor = gevent.spawn(accept)
    gevent.sleep(0.05)
    sock = gevent.socket.create_connection(addresses.parse_address(own_address))
    link = links.Link(sock, settings)
    link.enqueue(build_hello(context.address))
    writer = gevent.spawn(link.write_frames)
    gevent.sleep(2)
    link.close()
    gevent.killall([acceptor, writer])
    own.close()
    context.listener.close()


def find_free_address():
    with plain_socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@then("the message reaches the process")
def check_received(context):
    assert messages.LeaderQuestion(7) in context.received, context.received


@given("a process that another one has connected to twice")
def connect_twice(context):
    address = find_free_address()
    settings = links.LinkSettings(address, {}, 250, 1_000)
    context.received = []
    own = channels.Channels(
        settings,
        build_hello(address),
        lambda peer, message: context.received.append(message),
    )
    own.listen()
    context.add_cleanup(own.close)
    context.links = []
    for number in (1, 2):
        sock = gevent.socket.create_connection(addresses.parse_address(address))
        link = links.Link(sock, settings)
        link.enqueue(build_hello(_PEER, number))
        context.add_cleanup(link.close)
        context.links.append(link)
        gevent.spawn(link.write_frames)
        gevent.sleep(0.1)


@when("a message is sent on the first connection and one on the second")
def send_on_both(context):
    for nonce, link in enumerate(context.links, start=1):
        link.enqueue(messages.LeaderQuestion(nonce))
        gevent.sleep(0.1)


@then("only the message of the second connection is delivered")
def check_delivered(context):
    assert context.received == [messages.LeaderQuestion(2)], context.received
