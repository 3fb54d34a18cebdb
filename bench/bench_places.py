"""Measures a plan in which many tasks name racks that are full.

180 workers in 12 racks, one of which has room, run 10 tasks each; 2,000 ready
tasks name the full racks. The bound is the turn in which the leader handles
what has come, 25 ms.
"""

import dataclasses
import time

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import calls
from bambookeel.jobs import place_waits
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs
from bench import lines
from features.fakes import jobs_bounds

_BOUND_MS = 25.0
_WORKERS = 180
_RACKS = 12
_CORES_MILLI = 64_000
_TASK_MILLI = 6_400
_TASKS_A_JOB = 8
_WAITING_JOBS = 250
_ROUNDS = 20
_START_MS = 1_000
# The first second of a term lets nothing wait.
_WARM_UP_MS = 1_500


def _build_settings(remote_factor):
    bounds = dataclasses.replace(
        jobs_bounds.BOUNDS, remote_factor=remote_factor
    )
    return job_settings.SchedulerSettings.from_bounds(bounds)


def _build_report(worker, number, running):
    return calls.WorkerReport(
        specs.WorkerIncarnation(f"w{worker}", 1),
        f"m{worker}",
        f"a{worker}",
        "pool",
        "dc",
        number,
        specs.Resources(_CORES_MILLI, 262_144, 0),
        ("a", f"r{worker % _RACKS}"),
        False,
        -1,
        running,
        (),
        number * 200,
    )


def _submit(scheduler, name, count, rack, now):
    step = specs.StepSpec(
        count, specs.Resources(_TASK_MILLI, 1_000, 0), 1_500, data_rack=rack
    )
    spec = specs.JobSpec("body", (step,))
    scheduler.handle(calls.SubmitJob("h", f"/q/{name}", "k", name, spec), now)


def _report_all(scheduler, number, percent, now):
    for worker in range(_WORKERS):
        life = specs.WorkerIncarnation(f"w{worker}", 1)
        runs = scheduler.book.assigned_runs.get(life, {})
        running = tuple(
            calls.RunningRun(each.task, each.run, "", percent, 0)
            for each in runs.values()
        )
        scheduler.handle(_build_report(worker, number, running), now)


def _build_scheduler(remote_factor):
    now = job_scheduler.Now(_START_MS, _START_MS)
    scheduler = job_scheduler.Scheduler(
        job_book.Book(), _build_settings(remote_factor), 1, now
    )
    queue = configuration.Queue(
        "q", "h", "/q/", "pool", 60_000, 60_000.0, 1.6, 0, 3
    )
    document = configuration.Document(
        1,
        (queue,),
        (configuration.Service("pool"),),
        (configuration.Team("t", ("k",)),),
        b"{}",
    )
    scheduler.handle(calls.PutDocument(document), now)
    _report_all(scheduler, 1, 0, now)
    a_worker = _CORES_MILLI // _TASK_MILLI
    for worker in range(_WORKERS):
        if worker % _RACKS:
            rack = f"r{worker % _RACKS}"
            _submit(scheduler, f"run{worker:x}", a_worker, rack, now)
    scheduler.plan(now)
    now = job_scheduler.Now(
        _START_MS + _WARM_UP_MS - 200, _START_MS + _WARM_UP_MS - 200
    )
    _report_all(scheduler, 2, 60, now)
    now = job_scheduler.Now(_START_MS + _WARM_UP_MS, _START_MS + _WARM_UP_MS)
    for i in range(_WAITING_JOBS):
        rack = f"r{1 + i % (_RACKS - 1)}"
        _submit(scheduler, f"wait{i:x}", _TASKS_A_JOB, rack, now)
    return scheduler


def _measure_plan(remote_factor):
    """Returns the mean time of a first plan in ms, and what became of tasks."""
    total_s = 0.0
    placed = 0
    waits = 0
    for _ in range(_ROUNDS):
        scheduler = _build_scheduler(remote_factor)
        scheduler.take_batch()
        now_ms = _START_MS + _WARM_UP_MS + 60
        started_s = time.process_time()
        scheduler.plan(job_scheduler.Now(now_ms, now_ms))
        total_s += time.process_time() - started_s
        placed = sum(
            len(getattr(command, "runs", ()))
            for command in scheduler.take_batch()
        )
        waits = sum(
            place_waits.find_wait(scheduler.term, "pool", ref) is not None
            for ref in scheduler.term.place_waits.waits.get("pool", {})
        )
    return total_s * 1_000 / _ROUNDS, placed, waits


def measure():
    """Measures the plan without and with the factor.

    Yields:
        Result lines.
    """
    for remote_factor in (1.0, 1.5, 3.0):
        took_ms, placed, waits = _measure_plan(remote_factor)
        yield lines.render_line(
            "places",
            "ms_a_plan",
            took_ms,
            _BOUND_MS,
            factor=remote_factor,
            tasks=_WAITING_JOBS * _TASKS_A_JOB,
            workers=_WORKERS,
            placed=placed,
            waits=waits,
        )
