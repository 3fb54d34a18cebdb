"""Steps for requests whose backend server restarts before they are sent."""

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.core import ids
from bambookeel.core import outcomes
from bambookeel.net import connection_pool
from bambookeel.runtime import clock
from features.fakes import raw_backend

_WAIT_MS = 5_000


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
