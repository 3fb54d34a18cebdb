"""Chooses the checkpoint from which a new run resumes.

The members of a gang report checkpoints independently, and a member whose
worker was lost may have reported its last one long before the others. Any
checkpoint of a member is valid for the whole gang, but all members must resume
from the same one.
"""

import collections

from bambookeel.jobs import book_records


class CheckpointChoice:
    """Chooses the checkpoints of the runs that one answer starts."""

    def __init__(self) -> None:
        # What the members of each gang resume from.
        self._of_gangs: dict[book_records.StepKey, str] = {}

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
            saved = self._of_gangs[step.key] = _find_most_common(step)
        return saved


def _find_most_common(step: book_records.Step) -> str:
    counts = collections.Counter(
        member.checkpoint for member in step.tasks if member.checkpoint
    )
    # Of equal counts, `most_common` returns the one counted first.
    return counts.most_common(1)[0][0] if counts else ""
