"""Chooses the checkpoint that a start carries.

Each member of a gang lists values of its own, and one whose worker was lost may
have been heard last long before the others. Any of them is valid for the gang,
but all members must carry the same.
"""

import collections

from bambookeel.jobs import book_records


def choose_saved(step: book_records.Step, task: book_records.Task) -> str:
    """Chooses the checkpoint that a task's next run goes on from.

    Args:
        step: The task's step.
        task: The task.

    Returns:
        The checkpoint; empty for none. For a gang it is the one that most
        members have, so that it does not depend on who asks.
    """
    if not step.spec.is_gang:
        return task.saved
    counts = collections.Counter(
        member.saved for member in step.tasks if member.saved
    )
    if not counts:
        return ""
    # Of equal counts the first one met comes first.
    return counts.most_common(1)[0][0]
