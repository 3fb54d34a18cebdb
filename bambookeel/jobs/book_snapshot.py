"""Encodes and decodes the job book for snapshots of the replicated log."""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import specs


class _SavedTask(msgspec.Struct, array_like=True):
    last_run: int
    failures: int
    is_done: bool
    saved: str


class _SavedStep(msgspec.Struct, array_like=True):
    failures: int
    tasks: list[_SavedTask]


class _SavedJob(msgspec.Struct):
    admitted: commands.AdmitJob
    state: specs.JobState
    ended_wall_ms: int
    steps: list[_SavedStep]


class _SavedRun(msgspec.Struct, array_like=True):
    task: specs.TaskRef
    run: int
    heard: int
    ticket: str


class _SavedWave(msgspec.Struct):
    request: commands.StartWave
    waiting: list[str]
    ordered: list[str]


class _SavedBook(msgspec.Struct):
    document: configuration.Document
    former_queues: list[configuration.Queue]
    jobs: list[_SavedJob]
    held: list[tuple[specs.WorkerIncarnation, list[_SavedRun]]]
    waves: list[_SavedWave]
    base_sizes: dict[str, int]
    ordered_wall_ms: dict[str, int]
    # Snapshots of earlier versions do not contain it.
    ended_workers: dict[str, tuple[int, int]] = {}


def encode_book(book: job_book.Book) -> bytes:
    """Encodes a book as msgpack.

    Args:
        book: The book to encode.

    Returns:
        The encoded book; equal books give equal bytes.
    """
    jobs = [_save_job(job) for job in book.jobs.values()]
    assigned = [
        (
            incarnation,
            [
                _SavedRun(r.task, r.run, r.report_number, r.ticket)
                for r in runs.values()
            ],
        )
        for incarnation, runs in book.assigned_runs.items()
    ]
    waves = [
        _SavedWave(wave.request, list(wave.waiting), list(wave.ordered))
        for wave in book.instances.waves.values()
    ]
    former = list(book.former_queues.values())
    return msgspec.msgpack.encode(
        _SavedBook(
            book.configuration.document,
            former,
            jobs,
            assigned,
            waves,
            book.instances.base_sizes,
            book.instances.ordered_wall_ms,
            book.instances.ended_workers,
        )
    )


def _save_job(job: book_records.Job) -> _SavedJob:
    steps = []
    for step in job.steps.values():
        tasks = [
            _SavedTask(t.last_run, t.failures, t.is_done, t.checkpoint)
            for t in step.tasks
        ]
        steps.append(_SavedStep(step.failures, tasks))
    admitted = commands.AdmitJob(
        job.job_id, job.queue, job.team, job.spec, job.admitted_wall_ms
    )
    return _SavedJob(admitted, job.state, job.ended_wall_ms, steps)


def decode_book(payload: bytes) -> job_book.Book:
    """Decodes a book and rebuilds its indexes.

    Args:
        payload: Result of `encode_book`; empty for a new book.

    Returns:
        The book with all its indexes.
    """
    book = job_book.Book()
    if not payload:
        return book
    saved = msgspec.msgpack.decode(payload, type=_SavedBook)
    if saved.document.version:
        book.apply(commands.PutConfiguration(saved.document))
    book.former_queues = {queue.name: queue for queue in saved.former_queues}
    for each in saved.jobs:
        book.restore_job(each.admitted, each.state, each.ended_wall_ms)
        job = book.jobs[each.admitted.job]
        for step, saved_step in zip(job.steps.values(), each.steps):
            step.failures = saved_step.failures
            for task, saved_task in zip(step.tasks, saved_step.tasks):
                task.last_run = saved_task.last_run
                task.failures = saved_task.failures
                task.is_done = saved_task.is_done
                task.checkpoint = saved_task.saved
    for incarnation, runs in saved.held:
        for run in runs:
            assigned = book_records.AssignedRun(
                run.task, run.run, run.heard, run.ticket
            )
            book.restore_run(incarnation, assigned)
    for job in book.jobs.values():
        book.restore_progress(job)
    book.instances.base_sizes = saved.base_sizes
    book.instances.ordered_wall_ms = saved.ordered_wall_ms
    book.instances.ended_workers = saved.ended_workers
    for wave in saved.waves:
        restored = book_records.Wave(wave.request, dict.fromkeys(wave.waiting))
        restored.ordered = dict.fromkeys(wave.ordered)
        book.instances.waves[wave.request.wave] = restored
    return book
