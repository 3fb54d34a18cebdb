"""Finds tasks that get a second run beside the first one.

A task that may run twice gets a copy elsewhere when its worker falls silent or
under suspicion, rather than wait for the worker's lease.
"""

from collections.abc import Iterator

from bambookeel.jobs import book_records
from bambookeel.jobs import term as term_state

# A worker that has missed this much of its reports may be gone; its tasks that
# allow copies do not wait for its lease.
_COPY_AFTER_MS = 900


def find_tasks_to_copy(
    term: term_state.Term, now_ms: int
) -> Iterator[book_records.Task]:
    """Finds tasks that allow copies and whose only worker is in doubt.

    Args:
        term: The leader's term.
        now_ms: The time.

    Yields:
        Each task.
    """
    for life, held in term.book.assigned_runs.items():
        worker = term.workers.by_id.get(life.worker)
        if worker is None or worker.incarnation != life:
            continue
        is_silent = now_ms - worker.last_report_ms > _COPY_AFTER_MS
        if not is_silent and not worker.is_suspect(now_ms):
            continue
        for run in held.values():
            step = term.book.get_step(run.task)
            if step is None or not step.spec.allows_copies:
                continue
            task = step.tasks[run.task.task_index]
            if len(task.runs) == 1 and term.is_task_wanted(run.task):
                yield task
