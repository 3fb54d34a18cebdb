"""Steps for the bounds of clients, without a network."""

import json
import pathlib
import sys

from behave import given
from behave import then
from behave import when
import gevent
import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.core import client_limits
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.net import byte_pools
from bambookeel.net import client_guard
from bambookeel.node import gateway
from bambookeel.node import leader_finder
from features.fakes import platform_document

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_jobs  # noqa: E402
import adapter_operators  # noqa: E402

_LONG_MS = 60_000


class _Asker:
    """A request that waits for bytes in a task of its own."""

    def __init__(self, context, address, need):
        self.address = address
        self.need = need
        self.reservation = _build_reservation(context, address, need)
        self._pool = context.pool
        self.task = gevent.spawn(self._acquire)
        gevent.sleep(0)

    def _acquire(self):
        return self._pool.acquire(self.reservation, 3_000)


def _build_reservation(context, address, need):
    revoked = context.revoked
    return byte_pools.Reservation(
        address, "", need, _LONG_MS, lambda: revoked.append(address)
    )


@given("a pool of {count:d} bytes")
def build_pool(context, count):
    context.pool = byte_pools.Pool(count)
    context.revoked = []
    context.askers = []


@given('"{address}" has reserved {count:d} bytes')
def reserve(context, address, count):
    context.first = _build_reservation(context, address, count)
    assert context.pool.acquire(context.first, 0)


@given('"{address}" has reserved {count:d} bytes and is being served')
def reserve_served(context, address, count):
    reserve(context, address, count)
    context.first.is_served = True


@when('{count:d} bytes are asked for by "{addresses}"')
def ask(context, count, addresses):
    for address in addresses.split(", "):
        context.askers.append(_Asker(context, address, count))


@when('"{address}" asks for {first:d} bytes, and then for {second:d}')
def ask_twice(context, address, first, second):
    context.askers += [
        _Asker(context, address, need) for need in (first, second)
    ]


@when("the first reservation ends")
def end_first(context):
    context.pool.release(context.first)


@then('"{address}" is admitted next')
def check_admitted(context, address):
    granted = [a for a in context.askers if a.reservation.is_granted]
    assert [asker.address for asker in granted] == [address]


@then("the {need:d} bytes are admitted first")
def check_smallest(context, need):
    small = [a for a in context.askers if a.need == need]
    assert small[0].reservation.is_granted
    order = list(context.pool._holders)  # pylint: disable=protected-access
    assert order[0] is small[0].reservation


@when('"{_}" sends nothing while "{other}" waits for {count:d} bytes')
def wait_beside_stalled(context, _, other, count):
    context.askers.append(_Asker(context, other, count))
    gevent.sleep((byte_pools.STALLED_MS + 600) / 1000.0)


@then('the bytes of "{address}" are taken away')
def check_revoked(context, address):
    assert context.revoked == [address], context.revoked
    assert context.first.is_revoked


@then('"{_}" gets them once "{__}" has ended')
def check_passed_on(context, _, __):
    context.pool.release(context.first)
    assert context.askers[0].task.get(timeout=1)


@then('"{_}" keeps its bytes, and "{__}" gets none')
def check_kept(context, _, __):
    assert not context.revoked
    assert not context.askers[0].task.get(timeout=3)
    assert context.pool.used == context.first.need


@then("{large:d} bytes are admitted alone, and {small:d} byte waits for them")
def check_alone(context, large, small):
    first = _build_reservation(context, "a", large)
    assert context.pool.acquire(first, 0)
    second = _build_reservation(context, "b", small)
    assert not context.pool.acquire(second, 0)
    context.pool.release(first)
    assert context.pool.acquire(second, 0)


class _Socket:
    """A socket of which only the shutdown is seen."""

    def __init__(self):
        self.is_shut = False

    def shutdown(self, _how):
        """Notes that the connection is closed."""
        self.is_shut = True


def _open(context):
    return context.port.open(_Socket(), "10.0.0.1")


@given("a port for {count:d} connections")
def build_port(context, count):
    guard = client_guard.ClientGuard()
    context.port = client_guard.Port(guard, "callers", count)


@given("a connection that was served, one that never was, and one being served")
def open_three(context):
    context.served, context.unserved, context.serving = (
        _open(context) for _ in range(3)
    )
    context.served.requests = 1
    context.serving.begin(client_guard.Phase.SERVING)


@when("further connections are opened")
def open_more(context):
    context.closed = []
    for _ in range(2):
        new = _open(context)
        new.begin(client_guard.Phase.SERVING)
        shut = [
            c for c in (context.served, context.unserved) if c.socket.is_shut
        ]
        context.closed.append(shut)
    context.refused = _open(context)


@then("the connection that was never served is closed first")
def check_unserved(context):
    assert context.closed[0] == [context.unserved]


@then("the connection that was served is closed next")
def check_served(context):
    assert context.closed[1] == [context.served, context.unserved]


@then("the connection being served is never closed")
def check_serving(context):
    assert context.refused is None
    assert not context.serving.socket.is_shut


@given("room for {count:d} bytes of answers")
def build_answers(context, count):
    context.dropped = []
    context.answers = byte_pools.Evicting(count, context.dropped.append)


@when("answers of 60, 30 and 60 bytes are begun")
def begin_answers(context):
    for count in (60, 30, 60):
        context.answers.begin(f"{count}-{context.answers.used}", count)


@then("only the first answer is dropped")
def check_dropped(context):
    assert context.dropped == ["60-0"], context.dropped
    assert context.answers.used == 90


@then("a job of {count:d} steps is refused")
def check_many_steps(_context, count):
    body = json.dumps({"spec": "x", "phases": [{"count": 1}] * count})
    found = adapter_jobs.decode_job(body.encode())
    assert isinstance(found, str) and "1000 steps" in found, found


@then("a configuration of {count:d} teams is refused")
def check_many_teams(_context, count):
    document = platform_document.build_document()
    document["tenants"] = [{"name": f"t{i}"} for i in range(count)]
    found = adapter_operators.decode_document(json.dumps(document).encode())
    assert isinstance(found, str) and "objects" in found, found


@then(
    "a job of {count:d} steps whose content holds {brackets:d} brackets is"
    " accepted"
)
def check_brackets(_context, count, brackets):
    body = {"spec": "{" * brackets, "phases": [{"count": 1}] * count}
    found = adapter_jobs.decode_job(json.dumps(body).encode())
    assert not isinstance(found, str) and len(found.steps) == count, found


def _decode_limits(limits):
    document = {**platform_document.build_document(), "limits": limits}
    return adapter_operators.decode_document(json.dumps(document).encode())


@then("a configuration without limits has the four defaults")
def check_default_limits(_context):
    assert _decode_limits({}).limits == client_limits.ClientLimits(
        16_384, 262_144, 3_000, 15_000
    )


@then("a configuration with a body limit of 1000 has that and three defaults")
def check_given_limits(_context):
    found = _decode_limits({"max_body_bytes": 1_000})
    assert found.limits == client_limits.ClientLimits(max_body_bytes=1_000)


@then("a configuration with a body limit of 0 is refused")
def check_zero_limit(_context):
    assert isinstance(_decode_limits({"max_body_bytes": 0}), str)


@then("an older log's configuration has the four defaults")
def check_older_log(_context):
    fields = msgspec.to_builtins(_decode_limits({"max_body_bytes": 1_000}))
    del fields["limits"]
    found = msgspec.convert(fields, configuration.Document)
    assert found.limits == client_limits.DEFAULT


class _NoChannels:
    """Channels over which nothing is sent."""

    def send(self, _peer, _message):
        """Drops a message."""
        return False


def _tell(node, peer, is_certain, max_body_bytes):
    limits = client_limits.ClientLimits(max_body_bytes=max_body_bytes)
    known = messages.LeaderKnown(
        0, peer, ids.Term(3), is_certain, (), (limits,)
    )
    node.handle_message(peer, known)


@then("a gateway takes the limits that the leader names")
def check_gateway(context):
    view = leader_finder.LeaderView(ids.ProcessId("10.0.0.9:1"), ())
    context.gateway = gateway.Gateway(view, _NoChannels(), False)
    assert context.gateway.client_limits == client_limits.DEFAULT
    _tell(context.gateway, ids.ProcessId("10.0.0.1:1"), True, 1_000)
    assert context.gateway.client_limits.max_body_bytes == 1_000


@then("it ignores those of a process that does not lead")
def check_uncertain(context):
    _tell(context.gateway, ids.ProcessId("10.0.0.2:1"), False, 7)
    assert context.gateway.client_limits.max_body_bytes == 1_000
