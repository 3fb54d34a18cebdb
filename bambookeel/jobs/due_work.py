"""Lists what each service has to assign to workers."""

import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import copies
from bambookeel.jobs import term as term_state


@dataclasses.dataclass(slots=True)
class Work:
    """What a service has to assign.

    Attributes:
        steps: Steps with waiting tasks that are due.
        tasks_to_copy: Tasks that should get a second run.
    """

    steps: list[book_records.Step] = dataclasses.field(default_factory=list)
    tasks_to_copy: list[book_records.Task] = dataclasses.field(
        default_factory=list
    )


def list_work(term: term_state.Term, now: term_state.Now) -> dict[str, Work]:
    """Lists the work of each service.

    Args:
        term: State of the leader's term.
        now: Current time.

    Returns:
        Work by name of the service; empty for some of them.
    """
    by_service: dict[str, Work] = {}
    for name, ready in term.book.ready.items():
        queue = term.book.find_queue(name)
        if queue is None or not ready:
            continue
        work = by_service.setdefault(queue.service, Work())
        work.steps += [
            step for step in ready.values() if step.due_wall_ms <= now.wall_ms
        ]
    for task in copies.find_tasks_to_copy(term, now.steady_ms):
        queue = term.book.find_queue(term.book.jobs[task.ref.job].queue)
        if queue is not None:
            work = by_service.setdefault(queue.service, Work())
            work.tasks_to_copy.append(task)
    return by_service
