"""Tells whether a planned act may interrupt what runs on a worker.

The account of a standing step holds everything of it that is not at work, for
whatever cause; a planned act must leave it within what the step may miss.
"""

from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

_AT_WORK_PERCENT = 100


def is_at_work(
    table: worker_table.WorkerTable,
    task: book_records.Task,
    ordered: frozenset[specs.WorkerIncarnation],
    heard_from_ms: int,
) -> bool:
    """Tells whether a standing task is at work.

    Args:
        table: The workers.
        task: The task.
        ordered: Workers whose instances have been ordered away.
        heard_from_ms: A worker that was last heard before may not be running
            its tasks.

    Returns:
        Whether its worker has lately said so.
    """
    for run, life in task.runs.items():
        worker = table.by_id.get(life.worker)
        if worker is None or worker.incarnation != life or life in ordered:
            continue
        listed = worker.running.get(task.ref)
        if listed is None or listed.run != run:
            continue
        if worker.last_report_ms < heard_from_ms:
            continue
        if listed.percent >= _AT_WORK_PERCENT:
            return True
    return False


def may_interrupt(
    book: job_book.Book,
    table: worker_table.WorkerTable,
    life: specs.WorkerIncarnation,
    ordered: frozenset[specs.WorkerIncarnation],
    heard_from_ms: int,
) -> bool:
    """Tells whether everything on a worker may be ended.

    Args:
        book: The book.
        table: The workers.
        life: The worker.
        ordered: Workers whose instances have been ordered away.
        heard_from_ms: A worker that was last heard before may not be running
            its tasks.

    Returns:
        Whether every standing step stays within what it may miss.
    """
    for ref in book.assigned_runs.get(life, {}):
        job = book.jobs[ref.job]
        step = job.steps[ref.occurrence, ref.step]
        if not job.is_open or not step.spec.is_standing:
            continue
        if step.spec.is_filler:
            continue
        away = 0
        for task in step.tasks:
            on_worker = life in task.runs.values()
            if on_worker or not is_at_work(table, task, ordered, heard_from_ms):
                away += 1
        if away > max(1, step.spec.max_missing):
            return False
    return True
