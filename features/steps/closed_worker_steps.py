"""Steps for workers that suspects of other jobs close to all others."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import isolating
from bambookeel.jobs import placing
from bambookeel.jobs import specs

_JOB = "b" * 16
_OTHER = "e" * 16
_FULL = "f" * 16


def _close_workers(context, is_closed=lambda: True):
    def list_isolated_jobs(term, suspects, now):
        del suspects, now
        if not is_closed():
            return {}
        required = placing.Isolation.REQUIRED
        return {
            worker.incarnation: {_OTHER: required}
            for worker in term.workers.by_id.values()
        }

    patched = mock.patch.object(
        isolating, "list_isolated_jobs", list_isolated_jobs
    )
    patched.start()
    context.add_cleanup(patched.stop)


@given("on each worker a suspect of another job has always just started")
def close_workers(context):
    context.is_closed = True
    _close_workers(context, lambda: context.is_closed)


@given("each worker is used by three quarters")
def use_workers(context):
    step = specs.StepSpec(
        len(context.sim.workers),
        specs.Resources(12_000, 100, 0),
        max_per_instance=1,
        is_standing=True,
    )
    context.sim.submit(_FULL, specs.JobSpec("body", (step,)))
    context.sim.advance(1_000)
    assert all(worker.running for worker in context.sim.workers.values())


@given("a job waits that is larger than each worker")
def submit_large(context):
    step = specs.StepSpec(1, specs.Resources(999_000, 100, 0), 600)
    context.sim.submit(_FULL, specs.JobSpec("body", (step,)))


@when("a job whose only run is on a worker that crashes is submitted")
def submit_and_crash(context):
    sim = context.sim
    context.is_closed = False
    sim.run_duration_ms = 60_000
    step = specs.StepSpec(1, specs.Resources(4_000, 100, 0), 600)
    sim.submit(_JOB, specs.JobSpec("body", (step,)))
    sim.advance(500)
    context.is_closed = True
    worker = next(w for w in sim.workers.values() if w.running)
    sim.down_ms = 2_800
    sim.crash_worker(worker)


@then("the job has a second run within {most_ms:d} ms of the loss of the first")
def check_second_run(context, most_ms):
    lost_ms = context.sim.crashes[0][0] + context.sim.down_ms
    started = [at for at, ref, *_ in context.sim.starts if ref.job == _JOB]
    assert len(started) == 2, started
    assert started[1] - lost_ms <= most_ms, (started, lost_ms)


@when(
    "a job of 1 task of 4 cores is submitted that two workers have crashed"
    " under"
)
def submit_suspect(context):
    sim = context.sim
    context.submitted_ms = sim.now_ms
    step = specs.StepSpec(1, specs.Resources(4_000, 100, 0), 600)
    with mock.patch("bambookeel.jobs.planning.plan"):
        sim.submit(_JOB, specs.JobSpec("body", (step,)))
    book = sim.scheduler.book
    task = book.get_task(specs.TaskRef(_JOB, 0, 0, 0))
    task.evidence, task.crashes = 8, 2
    book.crashes.suspects[task.ref] = None


@given("{count:d} workers fall silent")
def silence_workers(context, count):
    for worker in list(context.sim.workers.values())[:count]:
        worker.is_cut_off = True
    context.sim.advance(1_000)
