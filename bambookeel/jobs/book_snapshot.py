"""Encodes and decodes the job book for snapshots of the replicated log."""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_crashes
from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import run_records
from bambookeel.jobs import specs


class _SavedTask(msgspec.Struct, array_like=True):
    last_run: int
    failures: int
    is_done: bool
    saved: str
    # Snapshots of earlier versions end here,
    crashes: int = 0
    evidence: int = 0
    # or here.
    explained_evidence: int = 0
    is_given_up: bool = False
    # or here.
    has_worked: bool = False


class _SavedStep(msgspec.Struct, array_like=True):
    failures: int
    tasks: list[_SavedTask]
    # Snapshots of earlier versions end here.
    last_failed_run: int = 0


class _SavedJob(msgspec.Struct):
    admitted: commands.AdmitJob
    state: specs.JobState
    ended_wall_ms: int
    steps: list[_SavedStep]
    end_reason: str = ""


class _SavedRun(msgspec.Struct, array_like=True):
    task: specs.TaskRef
    run: int
    heard: int
    ticket: str
    instance: str = ""
    assigned_wall_ms: int = 0
    # Snapshots of earlier versions end here.
    order_limit: int = 0


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
    # Snapshots of earlier versions do not contain these.
    ended_workers: dict[str, tuple[int, int]] = {}
    silent_workers: list[
        tuple[specs.WorkerIncarnation, book_crashes.SilentWorker]
    ] = []
    unexplained_crashes: list[
        tuple[specs.WorkerIncarnation, tuple[tuple[specs.TaskRef, int], ...]]
    ] = []
    former_teams: list[configuration.Team] = []
    evacuations: dict[str, int] = {}
    former_evacuations: list[str] = []


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
                _SavedRun(
                    r.task,
                    r.run,
                    r.report_number,
                    r.ticket,
                    r.instance,
                    r.assigned_wall_ms,
                    r.order_limit,
                )
                for r in runs.values()
            ],
        )
        for incarnation, runs in book.assigned_runs.items()
    ]
    waves = [
        _SavedWave(wave.request, list(wave.waiting), list(wave.ordered))
        for wave in book.instances.waves.values()
    ]
    former = list(book.former.queues.values())
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
            list(book.crashes.silent_workers.items()),
            list(book.crashes.unexplained.items()),
            list(book.former.teams.values()),
            book.instances.evacuations,
            list(book.instances.former_evacuations),
        )
    )


def _save_job(job: book_records.Job) -> _SavedJob:
    steps = []
    for step in job.steps.values():
        tasks = [
            _SavedTask(
                t.last_run,
                t.failures,
                t.is_done,
                t.checkpoint,
                t.crashes,
                t.evidence,
                t.explained_evidence,
                t.is_given_up,
                t.has_worked,
            )
            for t in step.tasks
        ]
        steps.append(_SavedStep(step.failures, tasks, step.last_failed_run))
    admitted = commands.AdmitJob(
        job.job_id,
        job.queue,
        job.team,
        job.spec,
        job.admitted_wall_ms,
        job.place,
        job.key,
    )
    return _SavedJob(
        admitted, job.state, job.ended_wall_ms, steps, job.end_reason
    )


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
    book.former.queues = {queue.name: queue for queue in saved.former_queues}
    book.former.teams = {team.name: team for team in saved.former_teams}
    for each in saved.jobs:
        _restore_job(book, each)
    for incarnation, runs in saved.held:
        for run in runs:
            _restore_run(book, incarnation, run)
    for job in book.jobs.values():
        _restore_progress(book, job)
    book.crashes.restore_silent(saved.silent_workers)
    book.crashes.unexplained = dict(saved.unexplained_crashes)
    book.instances.base_sizes = saved.base_sizes
    book.instances.ordered_wall_ms = saved.ordered_wall_ms
    book.instances.ended_workers = saved.ended_workers
    book.instances.evacuations = saved.evacuations
    book.instances.former_evacuations = dict.fromkeys(saved.former_evacuations)
    for wave in saved.waves:
        restored = book_records.Wave(wave.request, dict.fromkeys(wave.waiting))
        restored.ordered = dict.fromkeys(wave.ordered)
        book.instances.waves[wave.request.wave] = restored
    return book


def _restore_job(book: job_book.Book, saved: _SavedJob) -> None:
    """Adds a job in its saved state, without its runs.

    Args:
        book: Book to which it is added.
        saved: The job.
    """
    book.admit_job(saved.admitted)
    job = book.jobs[saved.admitted.job]
    if saved.state is not specs.JobState.WAITING:
        book.activate_job(job)
    if saved.state not in (specs.JobState.WAITING, specs.JobState.ACTIVE):
        book.end_job(job, saved.state, saved.ended_wall_ms)
    job.end_reason = saved.end_reason
    for step, saved_step in zip(job.steps.values(), saved.steps):
        step.failures = saved_step.failures
        step.last_failed_run = saved_step.last_failed_run
        for task, saved_task in zip(step.tasks, saved_step.tasks):
            task.last_run = saved_task.last_run
            job.has_had_run |= task.last_run > 0
            task.failures = saved_task.failures
            task.is_done = saved_task.is_done
            task.checkpoint = saved_task.saved
            task.crashes = saved_task.crashes
            task.evidence = saved_task.evidence
            task.explained_evidence = saved_task.explained_evidence
            task.is_given_up = saved_task.is_given_up
            task.has_worked = saved_task.has_worked
            if task.evidence:
                book.crashes.suspects[task.ref] = None


def _restore_run(
    book: job_book.Book, incarnation: specs.WorkerIncarnation, saved: _SavedRun
) -> None:
    """Adds a run that was assigned to a worker.

    Args:
        book: Book to which it is added.
        incarnation: The worker.
        saved: The run.
    """
    job = book.jobs[saved.task.job]
    step = job.steps[saved.task.occurrence, saved.task.step]
    step.add_run(step.tasks[saved.task.task_index], saved.run, incarnation)
    book.assigned_runs.setdefault(incarnation, {})[saved.task] = (
        run_records.AssignedRun(
            saved.task,
            saved.run,
            saved.heard,
            saved.order_limit or run_records.compute_first_limit(saved.heard),
            saved.ticket,
            saved.instance,
            saved.assigned_wall_ms,
        )
    )
    book.usage.add(job, step.spec)


def _restore_progress(book: job_book.Book, job: book_records.Job) -> None:
    """Derives the counts of a job's steps from its restored tasks.

    Args:
        book: Book of the job.
        job: Job whose tasks and runs have all been restored.
    """
    job.note_done()
    job.incomplete_steps = 0
    for step in job.steps.values():
        step.done_count = sum(task.is_done for task in step.tasks)
        job.has_done_task |= step.done_count > 0
        if job.is_open:
            book.open_work.remove_tasks(job, step.spec, step.done_count)
        step.waiting = {
            task.ref.task_index: None
            for task in step.tasks
            if not task.is_done and not task.runs
        }
        job.incomplete_steps += not step.is_complete
    for (occurrence, _), step in job.steps.items():
        step.unfinished_dependencies = sum(
            not job.steps[occurrence, earlier].is_complete
            for earlier in set(step.spec.after)
        )
        book.update_ready(job, step)
