"""Steps for gangs of which several members fail."""

from behave import given
from behave import when

from bambookeel.jobs import specs


@given("tasks may fail {count:d} times")
def limit_attempts(context, count):
    document = context.sim.build_document(version=2, max_attempts=count)
    context.sim.put_document(document)


def _list_members(context):
    return [
        (worker, run)
        for worker in context.sim.workers.values()
        for run in worker.running.values()
    ]


@when("{count:d} members of it fail at the same time")
def fail_members(context, count):
    members = _list_members(context)
    assert len(members) == 4, members
    for worker, run in members[:count]:
        context.sim.end_run(worker, run, specs.RunEnd.FAILED)


@when("2 members of it fail, one of which only the next leader hears")
def fail_over_leaders(context):
    (first, first_run), (second, second_run) = _list_members(context)[:2]
    second.is_cut_off = True
    context.sim.end_run(first, first_run, specs.RunEnd.FAILED)
    context.sim.end_run(second, second_run, specs.RunEnd.FAILED)
    context.sim.advance(500)
    context.sim.start_leader()
    second.is_cut_off = False
