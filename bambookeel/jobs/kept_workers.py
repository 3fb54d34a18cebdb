"""Divides the workers of a service between suspect tasks and all others.

Load pattern: many jobs have tasks that may crash their workers. Those of one
job start on the same workers again and again, so that a task that must run
apart would wait for as long as they do. In turn, tasks that run apart would
close all workers, so that unsuspected tasks wait although most of the pool is
idle.
"""

from collections.abc import Mapping

from bambookeel.jobs import book_records
from bambookeel.jobs import crashes
from bambookeel.jobs import isolating
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state

# Share of the workers that may be kept free of other suspects, and that may be
# closed for all other tasks.
_MAX_SHARE = 0.5


def _list_waiting_steps(
    term: term_state.Term, service: str, now: term_state.Now
) -> list[book_records.Step]:
    """Lists the ready steps with a waiting task that must run apart.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now: Current time.

    Returns:
        Steps in the order in which their tasks became suspect.
    """
    steps: dict[book_records.StepKey, book_records.Step] = {}
    for task in crashes.list_suspects(term):
        queue = term.book.find_queue(term.book.jobs[task.ref.job].queue)
        step = term.book.get_step(task.ref)
        if queue is None or queue.service != service or step is None:
            continue
        if step.key not in term.book.ready.get(queue.name, {}):
            continue
        if task.ref.task_index not in step.waiting:
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
    assigned = placing.count_assigned(step)
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
        if not placing.is_allowed(capacity, step, assigned, tickets):
            continue
        capacity.kept_for = job
        missing -= capacity.count_fitting(step.spec.reserved, missing)
        kept += 1
    return kept


def keep_workers(
    term: term_state.Term,
    service: str,
    capacities: list[placing.FreeCapacity],
    now: term_state.Now,
) -> None:
    """Keeps workers free of other suspects for tasks that must run apart.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        capacities: Free capacities of its workers, which are changed.
        now: Current time.
    """
    left = count_closable(capacities)
    for step in _list_waiting_steps(term, service, now):
        tickets = term.list_tickets(step, now.steady_ms)
        left -= _keep_for_step(step, capacities, tickets, left)


def count_closable(capacities: list[placing.FreeCapacity]) -> int:
    """Counts the workers that tasks that must run apart may close for others.

    Args:
        capacities: Free capacities of the service's workers.

    Returns:
        Number of workers.
    """
    return max(1, int(len(capacities) * _MAX_SHARE))


def list_open_to(
    job: str,
    isolation: placing.Isolation,
    capacities: list[placing.FreeCapacity],
    closable: int,
) -> list[placing.FreeCapacity]:
    """Lists the workers on which a task may start.

    Args:
        job: Job of the task.
        isolation: How far the task must be kept apart.
        capacities: Free capacities of the service's workers.
        closable: Number of workers that may be closed for other tasks.

    Returns:
        All workers, unless the task must run apart and enough are closed; then
        those that its job has closed.
    """
    if isolation is not placing.Isolation.REQUIRED:
        return capacities
    closed = [
        capacity
        for capacity in capacities
        if placing.Isolation.REQUIRED in capacity.isolated_jobs.values()
    ]
    if len(closed) < closable:
        return capacities
    return [capacity for capacity in closed if job in capacity.isolated_jobs]
