"""Steps for the metrics of evacuations."""

from behave import then
from behave import when

from bambookeel.node import turn_watch
from bambookeel.runtime import metrics

_TASKS = 'bambookeel_evacuation_tasks{data_centre="north"}'
_SECONDS = 'bambookeel_evacuation_seconds_until_empty{data_centre="north"}'


def _read_metrics():
    lines = metrics.render_metrics().decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines if line[0] != "#"]
    return {name: float(value) for name, value in pairs}


@when("the turns of the leader are observed")
def observe(context):
    context.turns = turn_watch.TurnWatch()
    now_ms = context.sim.now_ms
    for _ in range(2):
        context.turns.observe(context.sim.scheduler, 0, now_ms, now_ms, now_ms)


@then("the metrics show {count:d} evacuation and the tasks in the north")
def check_shown(context, count):
    found = _read_metrics()
    progress = context.sim.scheduler.term.evacuations.progress["north"]
    assert found["bambookeel_evacuations"] == count, found
    assert found[_TASKS] == progress.tasks > 0, (found[_TASKS], progress)
    assert found[_SECONDS] == progress.empty_in_ms / 1000, (found, progress)


@when("the node no longer leads")
def stop_leading(context):
    context.turns.hide_evacuations()


@then("the metrics show {count:d} evacuations")
def check_count(_context, count):
    found = _read_metrics()
    assert found["bambookeel_evacuations"] == count, found
    assert _TASKS not in found and _SECONDS not in found, found
