"""Steps for checkpoints and copies of tasks."""

import functools

from behave import then
from behave import when

from bambookeel.jobs import specs
from features.fakes import jobs_runs
from features.steps import job_steps

_NEEDS = specs.Resources(1_000, 100, 0)


def _submit(context, job, ms, **fields):
    context.sim.run_duration_ms = ms
    step = specs.StepSpec(needs=_NEEDS, estimate_ms=ms, **fields)
    job_steps.submit_spec(context, job, specs.JobSpec("body", (step,)))


@when('job "{job}" of 1 task of {ms:d} ms with checkpoints is submitted')
def submit_with_checkpoints(context, job, ms):
    _submit(context, job, ms, count=1, checkpoints=True)


@when(
    'job "{job}" of a gang of {count:d} tasks of {ms:d} ms with'
    " checkpoints is submitted"
)
def submit_gang(context, job, count, ms):
    _submit(
        context,
        job,
        ms,
        count=count,
        checkpoints=True,
        is_gang=True,
        max_per_instance=1,
    )


def _find_running(context):
    for worker in context.sim.workers.values():
        if worker.running:
            return worker
    raise AssertionError("nothing runs")


def _store_checkpoint(context, worker):
    run = next(iter(worker.running.values()))
    context.reported_checkpoint = run.saved


@when("the worker that runs it restarts")
def restart(context):
    worker = _find_running(context)
    _store_checkpoint(context, worker)
    context.sim.restart(worker)


@when("the worker that runs it crashes")
def crash(context):
    worker = _find_running(context)
    _store_checkpoint(context, worker)
    context.sim.crash(worker)


@when("the worker that was cut off crashes")
def crash_cut_off(context):
    for worker in context.sim.workers.values():
        if worker.is_cut_off:
            context.sim.crash(worker)


@when("the worker that was cut off is connected again")
def reconnect(context):
    for worker in context.sim.workers.values():
        worker.is_cut_off = False


@then("the second resumed from the last reported checkpoint")
def check_resumed(context):
    resumed_from = context.sim.start_checkpoints
    assert (
        context.reported_checkpoint
        and resumed_from[1] == context.reported_checkpoint
    ), (
        resumed_from,
        context.reported_checkpoint,
    )


@then("every later run resumed from a checkpoint")
def check_later_runs(context):
    simulation = context.sim
    later = [
        checkpoint
        for checkpoint, (_, _, run, _) in zip(
            simulation.start_checkpoints, simulation.starts
        )
        if run > 1
    ]
    assert later and all(later), (
        simulation.start_checkpoints,
        simulation.starts,
    )


@when(
    "random job simulations with copies and seeds {first:d} to {last:d}"
    " are run"
)
def simulate_with_copies(context, first, last):
    simulate = functools.partial(jobs_runs.simulate, has_copies=True)
    job_steps.simulate_each(context, first, last, simulate)
