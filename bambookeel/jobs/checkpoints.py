"""Chooses the checkpoint from which a new run resumes.

The members of a gang report checkpoints independently, and a member whose
worker was lost may have reported its last one long before the others. Any
checkpoint of a member is valid for the whole gang, but all members must resume
from the same one.
"""

import collections

from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_records
from bambookeel.jobs import order_sizes
from bambookeel.jobs import run_records

# Most bytes of a character in an order: a control character is escaped.
_MAX_CHAR_BYTES = 6


def keep(saved: str) -> str:
    """Returns a checkpoint that a worker reports, if orders can carry it.

    Args:
        saved: The checkpoint; empty for none.

    Returns:
        Empty if it is too long, so that the task resumes from an earlier one.
    """
    if len(saved) <= order_sizes.MAX_CHECKPOINT_BYTES // _MAX_CHAR_BYTES:
        return saved
    size = order_sizes.measure_text(saved)
    return saved if size <= order_sizes.MAX_CHECKPOINT_BYTES else ""


class CheckpointChoice:
    """Chooses the checkpoints of the runs that one answer starts."""

    def __init__(self) -> None:
        # What the members of each gang resume from.
        self._of_gangs: dict[book_records.StepKey, str] = {}

    def measure_order(
        self, book: job_book.Book, run: run_records.AssignedRun
    ) -> int:
        """Measures the order to start a run.

        Args:
            book: The job book.
            run: An assigned run.

        Returns:
            Size in bytes.
        """
        job = book.jobs[run.task.job]
        step = job.steps[run.task.occurrence, run.task.step]
        saved = self.choose(step, step.tasks[run.task.task_index])
        return order_sizes.measure_start(job.body_bytes, saved, run.ticket)

    def choose(self, step: book_records.Step, task: book_records.Task) -> str:
        """Chooses the checkpoint from which a task's next run resumes.

        Args:
            step: Step of the task.
            task: Task that gets a run.

        Returns:
            The checkpoint; empty for none. For a gang it is the one that most
            members have, so that the result is the same for every member.
        """
        if not step.spec.is_gang:
            return task.checkpoint
        saved = self._of_gangs.get(step.key)
        if saved is None:
            saved = _find_most_common(step)
            size = len(step.tasks) * order_sizes.measure_text(saved)
            if size > order_sizes.MAX_GANG_BYTES:
                # The last members would get it too late.
                saved = ""
            self._of_gangs[step.key] = saved
        return saved


def _find_most_common(step: book_records.Step) -> str:
    counts = collections.Counter(
        member.checkpoint for member in step.tasks if member.checkpoint
    )
    # Of equal counts, `most_common` returns the one counted first.
    return counts.most_common(1)[0][0] if counts else ""
