"""Keeps workers free for suspect tasks that must run apart from others.

Load pattern: several jobs have tasks that may crash their workers, and those of
one job start on the same workers again and again. A task that must run apart
would wait for as long as they do, although most of the pool is idle.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from bambookeel.jobs import book_records
from bambookeel.jobs import caps
from bambookeel.jobs import isolating
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state

# Share of the workers that may be kept free; suspects of other jobs use the
# rest.
_MAX_KEPT_SHARE = 0.5


def _may_start(
    term: term_state.Term, step: book_records.Step, now: term_state.Now
) -> bool:
    """Returns whether a step could start if there were a worker for it."""
    count = 1
    if step.spec.is_gang:
        count = len(step.tasks)
        if len(step.waiting) < count:
            return False
    if step.due_wall_ms > now.wall_ms:
        return False
    return caps.allows(term, step, count, {})


def _list_waiting_steps(
    term: term_state.Term,
    service: str,
    suspects: Iterable[book_records.Task],
    now: term_state.Now,
) -> list[book_records.Step]:
    """Lists the ready steps with a waiting task that must run apart.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        suspects: All open tasks with evidence against them.
        now: Current time.

    Returns:
        Steps in the order in which their tasks became suspect.
    """
    steps: dict[book_records.StepKey, book_records.Step] = {}
    for task in suspects:
        queue = term.book.find_queue(term.book.jobs[task.ref.job].queue)
        step = term.book.get_step(task.ref)
        if queue is None or queue.service != service or step is None:
            continue
        if step.key not in term.book.ready.get(queue.name, {}):
            continue
        if task.ref.task_index not in step.waiting:
            continue
        if not _may_start(term, step, now):
            continue
        isolation = isolating.get_isolation(term, [task], now)
        if isolation is placing.Isolation.REQUIRED:
            steps[step.key] = step
    return list(steps.values())


def _keep_for_step(
    step: book_records.Step,
    capacities: list[placing.FreeCapacity],
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
    most: int,
) -> int:
    """Keeps workers free for one step, those with the fewest suspects first.

    Args:
        step: Step whose tasks must run apart.
        capacities: Free capacities of the service's workers, which are changed.
        tickets: Workers that the advisor allows; None if all are allowed.
        most: Maximum number of workers.

    Returns:
        Number of workers that are kept.
    """
    job = step.key[0]
    missing = len(step.tasks) if step.spec.is_gang else 1
    kept = 0
    for capacity in sorted(
        capacities,
        key=lambda capacity: (
            len(capacity.list_other_isolations(job)),
            capacity.worker.incarnation,
        ),
    ):
        if kept == most or missing <= 0:
            break
        if capacity.kept_for or not capacity.fits(step.spec.reserved):
            continue
        if not placing.is_allowed(capacity, step, tickets):
            continue
        capacity.kept_for = job
        missing -= capacity.count_fitting(step.spec.reserved, missing)
        kept += 1
    return kept


def keep_workers(
    term: term_state.Term,
    service: str,
    suspects: Iterable[book_records.Task],
    capacities: list[placing.FreeCapacity],
    now: term_state.Now,
) -> None:
    """Keeps workers free of other suspects for tasks that must run apart.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        suspects: All open tasks with evidence against them.
        capacities: Free capacities of its workers, which are changed.
        now: Current time.
    """
    left = max(1, int(len(capacities) * _MAX_KEPT_SHARE))
    for step in _list_waiting_steps(term, service, suspects, now):
        tickets = term.list_tickets(step, now.steady_ms)
        left -= _keep_for_step(step, capacities, tickets, left)
