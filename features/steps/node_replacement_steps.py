"""Steps for replaced and wiped disks of nodes that run as processes."""

import itertools
import time

from behave import then
from behave import when

from bambookeel.tools import log_lines
from features.fakes import platform_site

# The node without a disk; it is never the one that is replaced.
_FRONT_NODE = 3
_OUTAGE_S = 1.0
_SUBMIT_INTERVAL_S = 0.2
_VOTERS = 3
_BODY = {
    "spec": "pack it",
    "phases": [
        {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 150},
    ],
}


def _submit(context):
    """Submits the next job once and returns whether it was accepted."""
    job = next(context.numbers)
    answer = context.site.call_front(
        _FRONT_NODE, "POST", f"/orders/{job:016x}", _BODY
    )
    if answer is None or answer[0] != 200:
        return False
    context.jobs[job] = _BODY
    return True


def _run_until(context, condition, description):
    """Runs the site until a condition holds, and submits jobs meanwhile."""
    due_s = [0.0]

    def submit_when_due():
        now_s = time.monotonic()
        if now_s >= due_s[0]:
            due_s[0] = now_s + _SUBMIT_INTERVAL_S
            _submit(context)
        return condition()

    context.site.wait_until(submit_when_due, description)


def _run_for(context, duration_s):
    end_s = time.monotonic() + duration_s
    _run_until(context, lambda: time.monotonic() >= end_s, "the time passes")


def _kill(nodes):
    for node in nodes:
        node.signal(platform_site.KILL)
    for node in nodes:
        node.process.wait()


def _find_follower(context):
    leader = context.site.find_leader()
    voters = context.site.nodes[:_VOTERS]
    return next(node for node in voters if node is not leader)


@when("a follower is lost permanently and replaced at another address")
def replace(context):
    context.numbers = itertools.count(200)
    _run_for(context, _OUTAGE_S)
    _kill([_find_follower(context)])
    _run_for(context, _OUTAGE_S)
    context.new_node = context.site.add_node()
    context.log_start = 0


@when("a follower loses its disk and starts again")
def wipe(context):
    context.numbers = itertools.count(200)
    _run_for(context, _OUTAGE_S)
    context.wiped = _find_follower(context)
    _kill([context.wiped])
    context.wiped.wipe()
    _run_for(context, _OUTAGE_S)
    context.log_start = len(context.wiped.read_log())
    context.wiped.start()
    context.new_node = context.wiped


def _is_voter(node, log_start):
    """Returns whether a node's log names it and two others as the voters."""
    voters = ""
    for line in node.read_log()[log_start:].splitlines():
        event = log_lines.parse_line(line)
        if event is not None and event.name == "membership":
            voters = event.fields["voters"]
    host, port = node.get_address(platform_site.PEER)
    is_named = f"{host}:{port}/" in voters
    return is_named and len(voters.split(",")) == _VOTERS


# The time limit for this is checked with a fake clock in consensus/replacement.
@when("it has become a voter")
def wait_for_vote(context):
    _run_until(
        context,
        lambda: _is_voter(context.new_node, context.log_start),
        "it has become a voter",
    )
    # A job that is accepted now comes after the membership change in the log.
    context.site.wait_until(lambda: _submit(context), "the change holds")


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


@then("a further job is accepted")
def check_accepted(context):
    context.site.wait_until(lambda: _submit(context), "a job is accepted")
