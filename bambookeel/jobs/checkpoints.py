"""Chooses the checkpoint from which a new run resumes.

The members of a gang report checkpoints independently, and a member whose
worker was lost may have reported its last one long before the others. Any
checkpoint of a member is valid for the whole gang, but all members must resume
from the same one.
"""

import collections

from bambookeel.jobs import book_records


def choose_checkpoint(step: book_records.Step, task: book_records.Task) -> str:
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
    counts = collections.Counter(
        member.checkpoint for member in step.tasks if member.checkpoint
    )
    if not counts:
        return ""
    # Of equal counts, `most_common` returns the one counted first.
    return counts.most_common(1)[0][0]
