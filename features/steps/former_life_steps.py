"""Steps for answers that reach the next life of their worker."""

from behave import then
from behave import when
import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from features.fakes import jobs_restarts
from features.fakes import jobs_simulation
from features.steps import job_steps
from features.steps import late_order_steps

_STEP_MS = jobs_simulation.STEP_MS


def _restart(context):
    context.sim.advance(_STEP_MS)
    name = context.target.name
    context.sim.crash(context.target)
    context.sim.restart(context.target)
    context.target = context.sim.workers[name]
    context.target.next_report_ms = context.sim.now_ms + 10_000


def _report(context):
    """Lets the worker send a report whose answer is obeyed at once."""
    context.sim.advance(_STEP_MS)
    context.target.next_report_ms = 0
    context.sim.send_report(context.target)


def _shrink_others(simulation):
    """Leaves no room on the workers other than the first."""
    for worker in list(simulation.workers.values())[1:]:
        worker.capacity = specs.Resources(500, 50, 0)


def _restart_before_order(context, kind, duration_ms):
    late_order_steps.assign(context, kind, duration_ms)
    _send_order(context)
    # The next run goes to another worker.
    refused_on = context.sim.scheduler.term.refused_on
    refused_on[context.task] = {context.target.name}
    _restart(context)


def _send_order(context):
    """Sends the target's report, the answer to which is on its way."""
    context.sent_ms = context.sim.now_ms
    context.delayed_answer = context.sim.call(
        context.target.make_report(context.sim.now_ms)
    )
    assert [each.task for each in context.delayed_answer.starts] == [
        context.task
    ]
    for worker in context.sim.workers.values():
        if worker is not context.target:
            worker.next_report_ms = 0


@when("{kind} is assigned, and its worker restarts before the order arrives")
def restart_before_order(context, kind):
    _restart_before_order(context, kind, 4_000)


@when(
    "a run of {duration_ms:d} ms is ordered, and its worker restarts before"
    " the order arrives"
)
def restart_before_short_order(context, duration_ms):
    _restart_before_order(context, "a task", duration_ms)


@when("the next life restarts after its first report")
def restart_again(context):
    _report(context)
    _restart(context)


@when("the order arrives at the next life {arrival} its first report")
def deliver_order(context, arrival):
    if arrival == "after":
        _report(context)
    context.sim.apply_orders(
        context.target, context.delayed_answer, context.sent_ms
    )
    assert context.task in context.target.running, context.target
    if arrival == "before":
        _report(context)
    context.target.next_report_ms = context.sim.now_ms + 100


@when("{count:d} new leaders take over before its next report")
def change_leaders(context, count):
    for _ in range(count):
        context.sim.start_leader()
        for worker in context.sim.workers.values():
            if worker is not context.target:
                context.sim.send_report(worker)


@when("the next life is cut off after {connected_ms:d} ms")
def cut_off(context, connected_ms):
    context.sim.advance(connected_ms)
    context.target.is_cut_off = True


@when("a worker that has ended a run restarts before its end is acknowledged")
def restart_before_acknowledgement(context):
    _shrink_others(context.sim)
    late_order_steps.assign(context, "a task", 100)
    _report(context)
    while not context.target.unacknowledged_ends:
        context.sim.advance(_STEP_MS)
    context.sent_ms = context.sim.now_ms
    context.delayed_answer = context.sim.call(
        context.target.make_report(context.sim.now_ms)
    )
    assert context.delayed_answer.acknowledged, context.delayed_answer
    _restart(context)


@when(
    "a task of {duration_ms:d} ms waits for the next life until the"
    " acknowledgement arrives"
)
def acknowledge_late(context, duration_ms):
    simulation = context.sim
    _report(context)
    simulation.run_duration_ms = duration_ms
    step = specs.StepSpec(1, specs.Resources(1_000, 100, 0), duration_ms)
    job_steps.submit_spec(context, "b", specs.JobSpec("body", (step,)))
    context.target.next_report_ms = 0
    while simulation.now_ms < context.sent_ms + 900:
        simulation.advance(_STEP_MS)
        if context.target.unacknowledged_ends:
            break
    simulation.apply_orders(
        context.target, context.delayed_answer, context.sent_ms
    )


@when("the next life reports and the simulation runs for {span_ms:d} ms")
def report_and_run(context, span_ms):
    _report(context)
    context.sim.advance(span_ms)


@then("its task runs with a higher number")
def check_started_again(context):
    runs = [
        worker.running[context.task].run
        for worker in context.sim.workers.values()
        if context.task in worker.running
    ]
    assert runs and min(runs) > 1, context.sim.workers


@when(
    "a worker is back after {down_ms:d} ms, and a task is submitted that fits"
    " nowhere else"
)
def return_after_silence(context, down_ms):
    simulation = context.sim
    simulation.advance(500)
    target = simulation.workers["w0"]
    _shrink_others(simulation)
    simulation.crash(target)
    simulation.advance(down_ms)
    simulation.restart(target)
    simulation.advance(_STEP_MS)
    context.submitted_ms = simulation.now_ms
    step = specs.StepSpec(1, specs.Resources(8_000, 100, 0), 1_000)
    job_steps.submit_spec(context, "a", specs.JobSpec("body", (step,)))


@then("the task starts within {span_ms:d} ms")
def check_started_soon(context, span_ms):
    context.sim.advance(span_ms)
    assert context.sim.starts, context.sim.workers


@when(
    "random simulations of restarted workers with seeds {first:d} to {last:d}"
    " are run"
)
def run_random_restarts(context, first, last):
    crossed = []

    def simulate(seed):
        violations, count = jobs_restarts.simulate(seed)
        crossed.append(count)
        return violations

    job_steps.simulate_each(context, first, last, simulate)
    context.crossed = sum(crossed)


@then("some answers have reached a later life")
def check_crossed(context):
    assert context.crossed


@when("the next life might be filled by another job before the order arrives")
def offer_other_job(context):
    simulation = context.sim
    for worker in simulation.workers.values():
        if worker is not context.target:
            worker.capacity = specs.Resources(1_500, 64_000, 0)
            simulation.send_report(worker)
    step = specs.StepSpec(1, specs.Resources(16_000, 100, 0), 4_000)
    job_steps.submit_spec(context, "b", specs.JobSpec("body", (step,)))
    _report(context)
    _report(context)
    assert simulation.now_ms < context.sent_ms + 900
    simulation.apply_orders(
        context.target, context.delayed_answer, context.sent_ms
    )


@when("a task is assigned, and its worker restarts after the order arrives")
def restart_after_order(context):
    late_order_steps.assign(context, "a task")
    _report(context)
    _report(context)
    assert context.task in context.target.running
    for worker in context.sim.workers.values():
        if worker is not context.target:
            worker.next_report_ms = 0
    _restart(context)


@when(
    "a task is assigned, and its worker is back {down_ms:d} ms before the order"
    " arrives"
)
def return_before_order(context, down_ms):
    late_order_steps.assign(context, "a task", 30_000)
    _send_order(context)
    context.sim.crash(context.target)
    context.sim.advance(down_ms)
    _restart(context)


@when("the next life reports once and is cut off for {span_ms:d} ms")
def report_and_cut_off(context, span_ms):
    _report(context)
    context.target.is_cut_off = True
    context.sim.advance(span_ms)


@when("the upkeep of the target's instance is due")
def request_upkeep(context):
    simulation = context.sim
    listed = tuple(
        instances.Instance(
            f"m-{name}", "pack", instances.InstancePhase.UP, "dc"
        )
        for name in simulation.workers
    )
    simulation.scheduler.handle_instance_list(listed, simulation.now_ms)
    name = f"m-{context.target.name}"
    simulation.call(calls.StartWave(1, (name,), 1_000, 1))


@then("the upkeep is ordered within {span_ms:d} ms")
def check_ordered(context, span_ms):
    for _ in range(span_ms // _STEP_MS):
        context.sim.advance(_STEP_MS)
        if context.sim.scheduler.take_orders():
            return
    table = context.sim.scheduler.term.workers
    raise AssertionError(table.by_id[context.target.name])


@when("the clock of the next life stands still for {span_ms:d} ms")
def stop_clock(context, span_ms):
    make_report = context.target.make_report
    context.target.make_report = lambda now_ms: msgspec.structs.replace(
        make_report(now_ms), clock_ms=0
    )
    _report(context)
    context.sim.advance(span_ms)


@then(
    'the next life gets runs when job "{job}" of {count:d} tasks is submitted'
)
def check_used(context, job, count):
    job_steps.submit_spec(context, job, job_steps.build_spec(1, count))
    context.sim.advance(500)
    assert context.target.running, context.target


@when("the next life reports once, and to a new leader again")
def report_to_new_leader(context):
    _report(context)
    task = context.sim.scheduler.book.get_task(context.task)
    context.counted = task.crashes
    change_leaders(context, 1)
    _report(context)


@then("the crash has counted once")
def check_counted(context):
    task = context.sim.scheduler.book.get_task(context.task)
    assert context.counted == task.crashes == 1, (context.counted, task)


@when(
    "the next life reports from elsewhere, and another worker from its instance"
)
def replace_on_instance(context):
    simulation = context.sim
    target = context.target
    target.instance = "m-elsewhere"
    target.address = "elsewhere:1"
    _report(context)
    simulation.add_worker("w9", "pack")
    simulation.workers["w9"].instance = f"m-{target.name}"
    simulation.workers["w9"].address = f"{target.name}:1"
    simulation.advance(_STEP_MS)
