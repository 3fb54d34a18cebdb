"""Decides whether the tasks on a worker may be interrupted on purpose.

Every task of a standing step that is unavailable, whatever the cause, counts
against the number of tasks that the step may miss. A move or an upkeep must not
exceed that number.
"""

from collections.abc import Set

from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

_AVAILABLE_PERCENT = 100

# Runs that their workers must stop, by task and number of the run.
Withdrawn = Set[tuple[specs.TaskRef, int]]


def is_available(
    table: worker_table.WorkerTable,
    task: book_records.Task,
    under_order: frozenset[specs.WorkerIncarnation],
    min_report_ms: int,
    withdrawn: Withdrawn,
) -> bool:
    """Returns whether a standing task is available.

    Args:
        table: Workers that this leader knows.
        task: A task of a standing step.
        under_order: Workers that an order to the provider may have interrupted.
        min_report_ms: Oldest last report, on the steady clock, of a worker that
            still counts as running its tasks.
        withdrawn: Runs that their workers must stop.

    Returns:
        True if a recent report lists the task at 100 percent of full speed.
    """
    for run, incarnation in task.runs.items():
        worker = table.by_id.get(incarnation.worker)
        if (
            worker is None
            or worker.incarnation != incarnation
            or incarnation in under_order
        ):
            continue
        listed = worker.running.get(task.ref)
        if listed is None or listed.run != run:
            continue
        if (task.ref, run) in withdrawn:
            continue
        if worker.last_report_ms < min_report_ms:
            continue
        if listed.percent >= _AVAILABLE_PERCENT:
            return True
    return False


def may_interrupt(
    book: job_book.Book,
    table: worker_table.WorkerTable,
    incarnation: specs.WorkerIncarnation,
    under_order: frozenset[specs.WorkerIncarnation],
    min_report_ms: int,
    withdrawn: Withdrawn,
) -> bool:
    """Returns whether all tasks on a worker may be ended.

    Args:
        book: The job book.
        table: Workers that this leader knows.
        incarnation: The worker to interrupt.
        under_order: Workers that an order to the provider may have interrupted.
        min_report_ms: Oldest last report, on the steady clock, of a worker that
            still counts as running its tasks.
        withdrawn: Runs that their workers must stop.

    Returns:
        True if no standing step would have more unavailable tasks than it may
        miss. A step that allows no missing task may still miss one; fillers
        may all be interrupted.
    """
    steps = {
        (ref.job, ref.occurrence, ref.step)
        for ref in book.assigned_runs.get(incarnation, {})
    }
    for name, occurrence, number in steps:
        job = book.jobs[name]
        step = job.steps[occurrence, number]
        if not job.is_open or not step.spec.is_standing:
            continue
        if step.spec.is_filler:
            continue
        unavailable = 0
        for task in step.tasks:
            on_worker = incarnation in task.runs.values()
            if on_worker or not is_available(
                table, task, under_order, min_report_ms, withdrawn
            ):
                unavailable += 1
        if unavailable > max(1, step.spec.max_missing):
            return False
    return True


def may_stop(
    step: book_records.Step,
    ref: specs.TaskRef,
    table: worker_table.WorkerTable,
    under_order: frozenset[specs.WorkerIncarnation],
    min_report_ms: int,
    withdrawn: Withdrawn,
) -> bool:
    """Returns whether one task of a standing step may be stopped.

    Args:
        step: The step.
        ref: The task, which is running.
        table: Workers that this leader knows.
        under_order: Workers that an order to the provider may have interrupted.
        min_report_ms: Oldest last report, on the steady clock, of a worker that
            still counts as running its tasks.
        withdrawn: Runs that their workers must stop.

    Returns:
        True if the step would not have more unavailable tasks than it may miss.
    """
    unavailable = sum(
        task.ref == ref
        or not is_available(table, task, under_order, min_report_ms, withdrawn)
        for task in step.tasks
    )
    return unavailable <= max(1, step.spec.max_missing)
