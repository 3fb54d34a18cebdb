"""Steps for replaced and wiped disks of nodes that run as processes."""

import itertools
import time

from behave import then
from behave import when

from features.fakes import platform_site

# The node without a disk, which is never lost here.
_FRONT_NODE = 3
_OUTAGE_S = 1.0
_HAND_IN_EVERY_S = 0.2
_VOTERS = 3
_BODY = {
    "spec": "pack it",
    "phases": [
        {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 150},
    ],
}


def _hand_in(context):
    """Hands in the next job once; tells whether it was accepted."""
    job = next(context.numbers)
    answer = context.site.call_front(
        _FRONT_NODE, "POST", f"/orders/{job:016x}", _BODY
    )
    if answer is None or answer[0] != 200:
        return False
    context.jobs[job] = _BODY
    return True


def _run_for(context, duration_s):
    """Lets the site go on while jobs keep coming."""
    ends_s = time.monotonic() + duration_s
    due_s = [0.0]

    def has_passed():
        now_s = time.monotonic()
        if now_s >= due_s[0]:
            due_s[0] = now_s + _HAND_IN_EVERY_S
            _hand_in(context)
        return now_s >= ends_s

    context.site.wait_until(has_passed, "the time passes")


def _kill(nodes):
    for node in nodes:
        node.signal(platform_site.KILL)
    for node in nodes:
        node.process.wait()


def _find_following(context):
    leader = context.site.find_leader()
    voters = context.site.nodes[:_VOTERS]
    return next(node for node in voters if node is not leader)


@when("a following node is lost for good and replaced at another address")
def replace(context):
    context.numbers = itertools.count(200)
    _run_for(context, _OUTAGE_S)
    _kill([_find_following(context)])
    _run_for(context, _OUTAGE_S)
    context.site.add_node()


@when("a following node loses its disk and starts again")
def wipe(context):
    context.numbers = itertools.count(200)
    _run_for(context, _OUTAGE_S)
    context.wiped = _find_following(context)
    _kill([context.wiped])
    context.wiped.wipe()
    _run_for(context, _OUTAGE_S)
    context.wiped.start()


@when("it has had its time to catch up")
def wait_for_catch_up(context):
    _run_for(context, platform_site.CATCH_UP_S)


@when("the leading node loses its disk and all others lose power")
def lose_power(context):
    leader = context.site.find_leader()
    assert leader is not context.wiped, "the wiped node leads"
    nodes = context.site.nodes
    _kill(nodes)
    leader.wipe()
    time.sleep(_OUTAGE_S)
    for node in nodes:
        node.start()


@then("a further job is accepted within {limit:g} s")
def check_accepted(context, limit):
    context.site.wait_until(
        lambda: _hand_in(context), "a job is accepted", limit
    )
