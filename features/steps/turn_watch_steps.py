"""Steps for the duration of the leader's turns."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.node import turn_watch
from bambookeel.runtime import logs
from features.fakes import jobs_simulation

_PLAN_MS = 10


@given("a leader with {count:d} workers whose log is read")
def create_leader(context, count):
    context.sim = jobs_simulation.JobsSimulation(1, count, faults=False)
    context.sim.advance(500)
    context.watch = turn_watch.TurnWatch()
    context.lines = []
    patched = mock.patch.object(
        logs, "log_event", lambda name, **f: context.lines.append((name, f))
    )
    patched.start()
    context.add_cleanup(patched.stop)


def _end_turn(context, begun_ms, took_ms):
    context.watch.observe(
        context.sim.scheduler,
        7,
        begun_ms,
        begun_ms + took_ms - _PLAN_MS,
        begun_ms + took_ms,
    )
    return begun_ms + took_ms


@when("its turns take {times} ms within a second")
def end_turns(context, times):
    now_ms = 1_000_000
    for took_ms in times.replace(" and ", ", ").split(", "):
        now_ms = _end_turn(context, now_ms, int(took_ms))
    context.watch.log_if_due(1, now_ms)
    context.now_ms = now_ms


@when("a turn of {took_ms:d} ms ends {later_ms:d} ms later")
def end_later(context, took_ms, later_ms):
    begun_ms = context.now_ms + later_ms - took_ms
    now_ms = _end_turn(context, begun_ms, took_ms)
    context.watch.log_if_due(1, now_ms)


@then(
    "the log has the slow turns 400 and 250, of {first:d} and {second:d}"
    " turns"
)
def check_lines(context, first, second):
    expected = [(400, first), (250, second)]
    lines = [fields for name, fields in context.lines if name == "turns_slow"]
    assert [(f["longest_ms"], f["turns"]) for f in lines] == expected, lines
    for fields in lines:
        assert fields["plan_ms"] == _PLAN_MS, fields
        assert fields["calls"] == 7, fields
        assert fields["workers"] == 3, fields
