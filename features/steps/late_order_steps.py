"""Steps for reports that are older than the order which their worker got."""

import collections

from behave import then
from behave import when
import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import specs
from features.steps import job_steps
from features.steps import provider_steps

# Time in which an answer is obeyed, by a clock that may be slow by 2 percent.
_ANSWERS_MS = 1_100
_KINDS = {
    "a task": {},
    "a gang": {"count": 2, "max_per_instance": 1, "is_gang": True},
    "a standing task": {"is_standing": True},
    "a task that allows copies": {"allows_copies": True},
    "a task with checkpoints": {"checkpoints": True},
}


def assign(context, kind, duration_ms=4_000):
    """Submits a job and finds the worker of its first task."""
    simulation = context.sim
    simulation.advance(500)
    simulation.run_duration_ms = duration_ms
    step = specs.StepSpec(
        **{
            "count": 1,
            "needs": specs.Resources(1_000, 100, 0),
            "estimate_ms": duration_ms,
            **_KINDS[kind],
        }
    )
    job_steps.submit_spec(context, "a", specs.JobSpec("body", (step,)))
    context.task = specs.TaskRef(job_steps.build_job_id("a"), 0, 0, 0)
    life = simulation.scheduler.book.get_task(context.task).runs[1]
    context.target = simulation.workers[life.worker]
    for worker in simulation.workers.values():
        # Only the steps below deliver orders.
        worker.next_report_ms = simulation.now_ms + 10_000


def _report(context, is_unfit=False):
    report = context.target.make_report(context.sim.now_ms)
    if is_unfit:
        capacity = specs.Resources(100, 10, 0)
        report = msgspec.structs.replace(report, capacity=capacity)
    return report


def _lose_orders(context, count):
    for _ in range(count):
        orders = context.sim.call(_report(context))
        assert [start.task for start in orders.starts] == [context.task], orders


def _lose_other_member(context):
    """Restarts the worker of the gang's other member before it gets its order.

    Returns:
        Whether the job is a gang.
    """
    runs = context.sim.scheduler.book.get_step(context.task).tasks[1:]
    for task in runs:
        other = context.sim.workers[task.runs[1].worker]
        context.sim.advance(25)
        context.sim.restart(other)
        context.sim.workers[other.name].next_report_ms = (
            context.sim.now_ms + 10_000
        )
    return bool(runs)


def _start_leader(context):
    """Starts a leader, to which the workers other than the target report.

    They report again once no answer to a former life of theirs can arrive.
    """
    context.sim.start_leader()
    for after_ms in (0, _ANSWERS_MS):
        context.sim.now_ms += after_ms
        for worker in list(context.sim.workers.values()):
            if worker is not context.target:
                context.sim.send_report(worker)


@when(
    "{kind} is assigned, and its worker gets the order after {lost:d} lost ones"
    " and a delayed report"
)
def start_after_delayed_report(context, kind, lost):
    assign(context, kind)
    _lose_orders(context, lost)
    is_gang = _lose_other_member(context)
    context.delayed_report = _report(context, is_unfit=not is_gang)
    context.sim.send_report(context.target)
    assert context.task in context.target.running, context.target
    context.target.next_report_ms = context.sim.now_ms + 200


@when(
    "{count:d} new leaders get the delayed report, from which the run should"
    " not start"
)
def deliver_to_leaders(context, count):
    for _ in range(count):
        _start_leader(context)
        context.sim.call(context.delayed_report)


@when("{kind} is assigned, and all {lost:d} orders to its worker are lost")
def lose_all_orders(context, kind, lost):
    assign(context, kind)
    _lose_orders(context, lost)
    context.is_gang = _lose_other_member(context)


@when(
    "{count:d} new leaders get its next reports, from which the run should not"
    " start"
)
def report_to_leaders(context, count):
    for _ in range(count):
        _start_leader(context)
        # The answer to the first of them may still have carried the order.
        for _ in range(2):
            context.sim.call(_report(context, is_unfit=not context.is_gang))
    context.target.next_report_ms = context.sim.now_ms + 200


def _is_assigned(context):
    target = context.target
    life = specs.WorkerIncarnation(target.name, target.born_wall_ms)
    runs = context.sim.scheduler.book.assigned_runs.get(life, {})
    return context.task in runs and runs[context.task].run == 1


@then("its run is still assigned")
def check_assigned(context):
    assert _is_assigned(context), context.sim.scheduler.book.assigned_runs


@then("its run is not assigned any more")
def check_not_assigned(context):
    assert not _is_assigned(context), context.sim.scheduler.book.assigned_runs


@then("no task was started on its worker as run 1")
def check_no_first_start(context):
    starts = {(run, worker) for _, _, run, worker in context.sim.starts}
    assert (1, context.target.name) not in starts, context.sim.starts


@when(
    "a report of a worker with a standing task is delayed until its next life"
    " runs one"
)
def delay_report_of_life(context):
    simulation = context.sim
    simulation.advance(500)
    worker = simulation.workers["w0"]
    assert worker.running, worker
    context.delayed_report = worker.make_report(simulation.now_ms)
    simulation.crash(worker)
    simulation.restart(worker)
    simulation.advance(2_000)
    assert simulation.workers["w0"].running, simulation.workers
    simulation.workers["w1"].is_cut_off = True


@when("a new leader gets the delayed report before any other")
def deliver_report_of_life(context):
    job_steps.change_leader(context)
    for name in ("w2", "w3"):
        context.sim.send_report(context.sim.workers[name])
    context.answer = context.sim.call(context.delayed_report)


@when(
    "{order} of its instance is due while another standing task is unavailable"
)
def request_order(context, order):
    _request_order(context, order, context.sim.workers["w0"])


@when("{order} of the worker's instance is due")
def request_order_of_target(context, order):
    _request_order(context, order, context.target)


def _request_order(context, order, worker):
    instance = f"m-{worker.name}"
    if order == "a move":
        provider_steps.set_move_goal(context, instance, "other")
    else:
        context.sim.call(calls.StartWave(1, (instance,), 30_000, 1))
    worker.next_report_ms = context.sim.now_ms + 1_000
    context.provider.advance(500)


@then("no order is sent for its instance")
def check_no_orders(context):
    assert not context.provider.orders, context.provider.orders


@when("its worker crashes and starts again")
def crash_target(context):
    context.sim.crash(context.target)
    context.sim.restart(context.target)
    context.sim.send_report(context.sim.workers[context.target.name])


@then("the crash counts as evidence against its task")
def check_evidence(context):
    task = context.sim.scheduler.book.get_task(context.task)
    assert task.evidence == crash_evidence.Evidence.UNCONFIRMED, task


@when("a worker has {count:d} ends that are not acknowledged, and {state}")
def end_many_runs(context, count, state):
    simulation = context.sim
    simulation.advance(500)
    simulation.run_duration_ms = 1_000
    step = specs.StepSpec(
        count=count, needs=specs.Resources(10, 1, 0), estimate_ms=1_000
    )
    job_steps.submit_spec(context, "a", specs.JobSpec("body", (step,)))
    simulation.advance(500)
    worker = max(simulation.workers.values(), key=lambda w: len(w.running))
    assert len(worker.running) == count, worker
    worker.is_cut_off = True
    simulation.advance(1_000)
    worker.is_cut_off = False
    assert len(worker.unacknowledged_ends) == count, worker
    if state == "is leaving":
        make_report = worker.make_report
        worker.make_report = lambda now_ms: msgspec.structs.replace(
            make_report(now_ms), is_leaving=True
        )


@then("each task has been started once")
def check_starts(context):
    starts = collections.Counter(task for _, task, _, _ in context.sim.starts)
    repeated = [task for task, count in starts.items() if count > 1]
    assert not repeated, (len(repeated), repeated[:3])
