"""Steps for requests whose backend server restarts before they are sent."""

import dataclasses

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.core import ids
from bambookeel.core import outcomes
from bambookeel.net import connection_pool
from bambookeel.runtime import clock
from features.fakes import raw_backend
from features.fakes import request_scripts

_WAIT_MS = 5_000
_FIELD = "X-Backend-Incarnation"
_NOT_RUN = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Outcome: not-run\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def _take(context, incarnation, allowance):
    endpoint = connection_pool.Endpoint(
        context.backend.address, ids.Incarnation(incarnation), allowance
    )
    return context.pool.take(endpoint, False, clock.read_now_ms() + _WAIT_MS)


@given("a backend server whose only allowed connection is in use")
def use_connection(context):
    context.backend = raw_backend.RawBackend("first")
    context.add_cleanup(context.backend.close)
    context.pool = connection_pool.ConnectionPool(1_000)
    context.first = _take(context, 1, 1)
    assert isinstance(context.first, connection_pool.Connection), context.first


@when(
    "a second request waits for a connection and a later incarnation is known"
)
def learn_later_incarnation(context):
    second = gevent.spawn(_take, context, 1, 1)
    gevent.sleep(0)
    assert not second.ready()
    later = _take(context, 2, 2)
    assert isinstance(later, connection_pool.Connection), later
    context.pool.discard(context.first)
    context.pool.discard(later)
    context.taken = second.get(timeout=20)


@then("the second request gets no connection to the later incarnation")
def check_not_run(context):
    assert isinstance(context.taken, outcomes.NotRun), context.taken
    assert context.taken.reason is outcomes.Reason.CONNECT_FAILED


@given("the backend server has restarted, which the dispatcher learns later")
def restart_backend(context):
    context.named = []
    grant_slot = context.holder.grant

    def grant(message):
        granted = grant_slot(message)
        known = 1 if len(context.holder.acquire_requests) == 1 else 2
        return dataclasses.replace(granted, incarnation=ids.Incarnation(known))

    def on_step(connection, step):
        if step != "half of the body sent":
            return
        fields = [line.partition(": ") for line in context.backend.heads[-1]]
        named = [value for name, _, value in fields if name == _FIELD]
        context.named += named
        if named != ["2"]:
            connection.send(_NOT_RUN)
            raise raw_backend.EndOfConnectionError()

    context.holder.answer = grant
    context.backend.on_step = on_step


@when("a request is sent with a slot of the former incarnation")
def send_request(context):
    context.response = context.entry.call(
        headers=[*request_scripts.WORK, f"{_FIELD}: 2"]
    )


@then(
    "the restarted server refused it and then ran it once in a slot of its own"
)
def check_own_slot(context):
    assert context.response.outcome == "answered", context.response
    assert context.named == ["1", "2"], context.named
    assert context.backend.runs["w"] == 1, context.backend.runs
