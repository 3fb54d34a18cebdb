"""Measures the scheduler's processor time for each start of a run.

Many jobs wait and many workers report. The baseline is a complete plan of the
operators' jobs (`bench_fleet`), which takes 83 to 103 ms at 2,000 jobs. The
bound is 0.2 ms of processor time for each start.
"""

import dataclasses
import time

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import calls
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs
from bench import lines
from features.fakes import jobs_bounds

_BOUND_MS = 0.2
_WORKERS = 200
_CORES_MILLI = 64_000
_SETTINGS = dataclasses.replace(
    job_settings.SchedulerSettings.from_bounds(
        dataclasses.replace(jobs_bounds.BOUNDS, keep_ended_ms=120_000)
    ),
    assign_max_silence_ms=10**9,
)


def _build_scheduler(jobs):
    scheduler = job_scheduler.Scheduler(
        job_book.Book(), _SETTINGS, 1, job_scheduler.Now(1_000, 1_000)
    )
    queue = configuration.Queue(
        "q", "h", "/q/", "pool", 3_000, 3_600.0, 1.6, 0, 3
    )
    document = configuration.Document(
        1,
        (queue,),
        (configuration.Service("pool"),),
        (configuration.Team("t", ("k",)),),
        b"{}",
    )
    now = job_scheduler.Now(1_000, 1_000)
    scheduler.handle(calls.PutDocument(document), now)
    step = specs.StepSpec(6, specs.Resources(3_500, 7_000, 0), 800)
    for i in range(jobs):
        job = f"{i:016x}"
        spec = specs.JobSpec("body", (step,))
        scheduler.handle(calls.SubmitJob("h", f"/q/{job}", "k", job, spec), now)
    for i in range(_WORKERS):
        scheduler.handle(_build_report(i, 1, (), ()), now)
    return scheduler


def _build_report(worker, number, running, ends):
    return calls.WorkerReport(
        specs.WorkerIncarnation(f"w{worker}", 1),
        f"m{worker}",
        f"a{worker}",
        "pool",
        "dc",
        number,
        specs.Resources(_CORES_MILLI, 262_144, 0),
        ("a", "r1"),
        False,
        -1,
        running,
        ends,
        number * 200,
    )


def _run_reports(scheduler, rounds):
    """Reports the ends of all runs, one worker after the other.

    Returns the number of starts and the CPU time in ms.
    """
    starts = 0
    numbers = [1] * _WORKERS
    last_ends = [0] * _WORKERS
    started_s = time.process_time()
    for i in range(rounds):
        worker = i % _WORKERS
        now = job_scheduler.Now(1_600 + i, 1_600 + i)
        incarnation = specs.WorkerIncarnation(f"w{worker}", 1)
        numbers[worker] += 1
        ends = []
        for assigned in scheduler.book.assigned_runs.get(
            incarnation, {}
        ).values():
            last_ends[worker] += 1
            ends.append(
                calls.ListedEnd(
                    last_ends[worker],
                    assigned.task,
                    assigned.run,
                    specs.RunEnd.DONE,
                )
            )
        scheduler.handle(
            _build_report(worker, numbers[worker], (), tuple(ends)), now
        )
        scheduler.plan(now)
        for command in scheduler.take_batch():
            starts += len(getattr(command, "runs", ()))
        scheduler.take_log_events()
    return starts, (time.process_time() - started_s) * 1_000


def measure():
    """Measures the cost of a start with queues of several lengths.

    Yields:
        Result lines.
    """
    for jobs in (1_000, 2_000, 4_000):
        scheduler = _build_scheduler(jobs)
        scheduler.plan(job_scheduler.Now(1_500, 1_500))
        scheduler.take_batch()
        starts, took_ms = _run_reports(scheduler, 100)
        yield lines.render_line(
            "jobs",
            "ms_a_start",
            took_ms / max(1, starts),
            _BOUND_MS,
            jobs=jobs,
            workers=_WORKERS,
            starts=starts,
        )
