"""Steps for orderly shutdowns of workers, which may be delayed."""

from behave import then
from behave import when
import msgspec

from bambookeel.jobs import calls


@when('worker "{name}" crashes after a shutdown {start}, which is delayed')
def crash_in_shutdown(context, name, start):
    simulation = context.sim
    simulation.advance(500)
    worker = simulation.workers[name]
    born_wall_ms = worker.born_wall_ms if start == "with a start" else 0
    context.delayed_shutdown = calls.WorkerLeft(name, born_wall_ms)
    simulation.crash(worker)
    simulation.restart(worker)
    simulation.advance(500)


@when("the delayed shutdown arrives")
def deliver_shutdown(context):
    context.answer = context.sim.call(context.delayed_shutdown)


@when('worker "{name}" shuts down {start}, and exits {exit_ms:d} ms later')
def shut_down(context, name, start, exit_ms):
    simulation = context.sim
    worker = simulation.workers[name]
    context.left_tasks = list(worker.running)
    assert context.left_tasks, worker
    report = msgspec.structs.replace(
        worker.make_report(simulation.now_ms), is_leaving=True
    )
    simulation.call(report)
    born_wall_ms = worker.born_wall_ms if start == "with a start" else 0
    simulation.call(calls.WorkerLeft(name, born_wall_ms))
    worker.is_cut_off = True
    simulation.advance(exit_ms)
    simulation.crash(worker)


@then("the tasks of the worker that has shut down run elsewhere")
def check_moved(context):
    running = {
        task
        for worker in context.sim.workers.values()
        for task in worker.running
    }
    assert running.issuperset(context.left_tasks), context.left_tasks


@then("there is no evidence against the tasks of the worker that has shut down")
def check_no_evidence(context):
    for ref in context.left_tasks:
        task = context.sim.scheduler.book.get_task(ref)
        assert not task.evidence and not task.crashes, task
