"""Steps for runs of long tasks, whose percentages rarely change."""

from behave import then
from behave import when

from bambookeel.jobs import specs
from features.fakes import jobs_simulation
from features.steps import job_steps

# Time from which the simulation takes the longer steps.
_LONG_MS = 150_000
_REPORT_MS = 200


def _pass(context, ms):
    """Passes time in steps, which are as long as reports are apart if many."""
    step_ms = jobs_simulation.STEP_MS
    if ms > _LONG_MS:
        step_ms = _REPORT_MS
    for _ in range(ms // step_ms):
        context.sim.now_ms += step_ms
        context.sim.step()
        _note_suspects(context)


def _note_suspects(context):
    context.has_stalled |= bool(context.sim.scheduler.term.withdrawn)
    for worker in context.sim.scheduler.term.workers.by_id.values():
        if worker.health.suspect_until_ms:
            context.suspects.add(worker.incarnation.worker)


def _submit(context, seconds, step):
    context.suspects = set()
    context.has_stalled = False
    context.sim.run_duration_ms = seconds * 1_000
    spec = specs.JobSpec("body", (step,))
    job_steps.submit_spec(context, "a", spec)
    while not context.sim.starts:
        _pass(context, jobs_simulation.STEP_MS)


@when("a task of {seconds:d} s with an estimate of {estimate:d} s is submitted")
def submit_task(context, seconds, estimate):
    needs = specs.Resources(1_000, 100, 0)
    _submit(context, seconds, specs.StepSpec(1, needs, estimate * 1_000))


@when("a filler task of {seconds:d} s is submitted")
def submit_filler(context, seconds):
    needs = specs.Resources(1_000, 100, 0)
    step = specs.StepSpec(1, needs, seconds * 1_000, is_filler=True)
    _submit(context, seconds, step)


@when("its time of {seconds:d} s passes")
def pass_all(context, seconds):
    _pass(context, seconds * 1_000 + 2_000)


@when("at most its time of {seconds:d} s passes {count:d} times")
def pass_several(context, seconds, count):
    job = job_steps.build_job_id("a")
    for _ in range(seconds * count):
        if not context.sim.scheduler.book.jobs[job].is_open:
            return
        _pass(context, 1_000)


@when("half of its {seconds:d} s passes")
def pass_half(context, seconds):
    _pass(context, seconds * 500)


@when("its reports are delayed for {ms:d} ms every 5 s")
def delay_reports(context, ms):
    simulation = context.sim
    job = job_steps.build_job_id("a")
    while simulation.scheduler.book.jobs[job].is_open:
        _pass(context, 5_000 - ms)
        worker = simulation.workers[simulation.starts[0][3]]
        # It waits in vain for an answer to the delayed report, and for one to
        # each report of the time in between.
        delayed = worker.make_report(simulation.now_ms)
        worker.is_cut_off = True
        _pass(context, ms)
        simulation.call(delayed)
        worker.is_cut_off = False


@when("it stops making progress after {ms:d} ms")
def hang_run(context, ms):
    _pass(context, ms)
    assert not context.has_stalled
    worker = context.sim.workers[context.sim.starts[0][3]]
    for run in worker.running.values():
        percent = worker.measure_percent(run, context.sim.now_ms)
        worker.frozen_percents[run.task] = percent


@then("the run is stalled within {ms:d} ms")
def check_stalled(context, ms):
    _pass(context, ms)
    assert context.has_stalled


@then("no worker was suspect")
def check_suspects(context):
    assert not context.suspects, context.suspects


@then("at most {count:d} runs have started")
def check_most_starts(context, count):
    assert len(context.sim.starts) <= count, context.sim.starts
