"""Finds tasks that should get a second run beside their first one.

When the worker of a task that allows copies stops reporting or is suspect, the
task gets a second run elsewhere before the worker's lease ends.
"""

from collections.abc import Iterator

from bambookeel.jobs import book_records
from bambookeel.jobs import term as term_state

# A worker that has not reported for this long may be lost; its tasks that allow
# copies do not wait for the end of its lease.
_COPY_AFTER_MS = 900


def find_tasks_to_copy(
    term: term_state.Term, now_ms: int
) -> Iterator[book_records.Task]:
    """Finds tasks that allow copies and whose only run may be lost.

    Args:
        term: State of the leader's term.
        now_ms: Steady-clock time in milliseconds.

    Yields:
        Tasks whose worker has stopped reporting or is suspect.
    """
    for incarnation, runs in term.book.assigned_runs.items():
        worker = term.workers.by_id.get(incarnation.worker)
        if worker is None or worker.incarnation != incarnation:
            continue
        is_silent = now_ms - worker.last_report_ms > _COPY_AFTER_MS
        if not is_silent and not worker.is_suspect(now_ms):
            continue
        for run in runs.values():
            step = term.book.get_step(run.task)
            if step is None or not step.spec.allows_copies:
                continue
            task = step.tasks[run.task.task_index]
            if task.evidence:
                # A second run could crash a second worker.
                continue
            if len(task.runs) == 1 and term.is_task_open(run.task):
                yield task
