"""Steps for jobs that have to outlast crashes by other causes."""

import random

from behave import when

from features.fakes import jobs_simulation
from features.steps import job_steps


def _list_running(context, job):
    return [
        worker
        for worker in context.sim.workers.values()
        if any(task.job == job for task in worker.running)
    ]


@when('the worker that runs job "{job}" crashes {ms:d} ms after its start')
def crash_after_start(context, job, ms):
    name = job_steps.build_job_id(job)
    while not _list_running(context, name):
        context.sim.advance(jobs_simulation.STEP_MS)
    context.sim.advance(ms)
    (worker,) = _list_running(context, name)
    context.sim.crash_worker(worker)


@when(
    "a worker crashes for {down_ms:d} ms each {gap_ms:d} ms, {count:d} times,"
    " with seed {seed:d}"
)
def crash_in_series(context, down_ms, gap_ms, count, seed):
    source = random.Random(seed)
    context.sim.down_ms = down_ms
    for _ in range(count):
        context.sim.advance(gap_ms)
        up = [w for w in context.sim.workers.values() if w.is_up]
        context.sim.crash_worker(source.choice(up))
