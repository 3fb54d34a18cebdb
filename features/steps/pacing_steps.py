"""Steps for filler tasks beside serving ones."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import pacing
from bambookeel.jobs import specs
from features.fakes import jobs_bounds


@given("a worker whose filler tasks run at full pace")
def create_pace(context):
    context.pace = pacing.Pace()
    context.now_ms = 10_000


@when(
    "a serving task with a target of 100 ms has tail latencies of"
    " {a:d}, {b:d}, {c:d} ms"
)
def report_tail_latencies(context, a, b, c):
    for tail in (a, b, c):
        context.now_ms += pacing.ADJUST_INTERVAL_MS
        pacing.adjust(
            context.pace,
            [(tail, 100)],
            jobs_bounds.SETTINGS.stop_fillers_after_ms,
            context.now_ms,
        )


@then("the filler tasks run at {percent:d} percent")
def check_pace(context, percent):
    assert context.pace.percent == percent, context.pace


@given("a job of 1 serving and 2 filler tasks")
def submit_job(context):
    needs = specs.Resources(1_000, 100, 0)
    serving = specs.StepSpec(
        count=1, needs=needs, is_standing=True, target_ms=100
    )
    filler = specs.StepSpec(
        count=2, needs=needs, is_standing=True, is_filler=True
    )
    job = f"{5:016x}"
    context.sim.submit(job, specs.JobSpec("body", (serving, filler)))
    context.sim.advance(1_000)


@when("the serving task's tail is {tail:d} ms of its 100 ms for {ms:d} ms")
def set_tail_latency(context, tail, ms):
    context.sim.workers["w0"].tail_ms = tail
    context.sim.advance(ms)


@then("the worker was ordered to slow down both filler tasks")
def check_slowed(context):
    paces = context.sim.workers["w0"].paces
    assert len(paces) == 2, paces
    assert all(percent < 100 for percent in paces.values()), paces
