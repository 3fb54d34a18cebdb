"""Finds steps that wait although workers that get no work have room for them.

Load pattern: many workers of a service fail or stall runs, or the provider does
not answer the orders for the upkeep of instances, which work on. Few workers
get work. These are full, or run all they may of a step, while most of the
service is idle. A job must not be without a running task for 3 s then; a run on
another worker is better than none. While half of the service is in use, all
jobs wait for the workers that get work.
"""

from collections.abc import Iterable

from bambookeel.jobs import book_records
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# Time for which a job waits for a worker that gets work.
_MAX_WAIT_MS = 2_000


def is_half_used(
    capacities: Iterable[placing.FreeCapacity],
    reserve: Iterable[worker_table.Worker],
) -> bool:
    """Returns whether half of the capacity of a service is in use.

    Args:
        capacities: Free capacities of the workers that get work.
        reserve: Workers that get only what fits on no other.

    Returns:
        True if half of the processor time or of the memory is.
    """
    free = specs.Resources()
    total = specs.Resources()
    for capacity in capacities:
        free += specs.Resources(capacity.cpu_milli, capacity.memory_mb, 0)
        total += capacity.worker.report.capacity
    for worker in reserve:
        free += worker.free
        total += worker.report.capacity
    return (
        2 * free.cpu_milli <= total.cpu_milli
        or 2 * free.memory_mb <= total.memory_mb
    )


def list_starving(
    term: term_state.Term,
    service: str,
    steps: Iterable[book_records.Step],
    placed: set[specs.TaskRef],
    now_ms: int,
) -> list[book_records.Step]:
    """Lists the steps that have waited for too long.

    To be called with each plan while the service has a reserve.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        steps: Its steps with waiting tasks, by rank.
        placed: Tasks that the plan has assigned.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Standing steps and those of jobs without any run, by rank.
    """
    at_work = {
        ref.job for runs in term.book.assigned_runs.values() for ref in runs
    }
    at_work.update(ref.job for ref in placed)
    earlier_ms = term.starving_since_ms.get(service, {})
    since_ms = {}
    starving = []
    for step in steps:
        if not step.spec.is_standing and step.key[0] in at_work:
            continue
        if all(step.tasks[index].ref in placed for index in step.waiting):
            continue
        since_ms[step.key] = earlier_ms.get(step.key, now_ms)
        if now_ms - since_ms[step.key] >= _MAX_WAIT_MS:
            starving.append(step)
    term.starving_since_ms[service] = since_ms
    return starving
