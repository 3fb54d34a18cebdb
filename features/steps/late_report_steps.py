"""Steps for reports that arrive after their worker has ended."""

from behave import then
from behave import when


@when('worker "{name}" is cut off with a report in flight')
def cut_off_worker(context, name):
    context.sim.advance(500)
    worker = context.sim.workers[name]
    context.delayed_report = worker.make_report(context.sim.now_ms)
    worker.is_cut_off = True


@when('worker "{name}" is cut off and restarts with a report in flight')
def restart_behind_cut(context, name):
    context.sim.advance(500)
    context.sim.workers[name].is_cut_off = True
    context.sim.advance(200)
    context.sim.crash(context.sim.workers[name])
    context.sim.restart(context.sim.workers[name])
    context.sim.workers[name].is_cut_off = True
    cut_off_worker(context, name)


@when('the simulation runs with a provider until instance "{name}" is down')
def run_until_down(context, name):
    for _ in range(400):
        if name in context.provider.list_down():
            return
        context.provider.advance(25)
    raise AssertionError(f"{name} is not down after 10 s")


@when("the delayed report arrives")
def deliver_report(context):
    down = context.provider.list_down()
    assert context.delayed_report.instance in down, down
    context.sim.call(context.delayed_report)


@then("every worker is known to the leader")
def check_known(context):
    table = context.sim.scheduler.term.workers
    for name in context.sim.workers:
        found = table.by_id.get(name)
        assert found is not None and not found.is_lease_expired, (name, found)
