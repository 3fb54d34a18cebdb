"""Measures what the pools have to do, for the decision on their sizes."""

import typing

from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import objectives
from bambookeel.jobs import pools

# A pool keeps two thirds of the instances that its operators gave it, for
# losses and for the first moments of its turn.
_KEPT_PARTS = 2
_ALL_PARTS = 3

if typing.TYPE_CHECKING:
    from bambookeel.jobs import scheduler as job_scheduler


def find_spare(
    fleet: fleet_view.Fleet, spare_pool: str, now_ms: int
) -> tuple[str, ...]:
    """Finds instances of the spare pool that may be moved.

    Args:
        fleet: The fleet.
        spare_pool: The pool of instances that are off.
        now_ms: The time.

    Returns:
        Their names.
    """
    return tuple(
        name
        for name, known in sorted(fleet.known.items())
        if known.pool == spare_pool
        and known.phase is instances.InstancePhase.UP
        and name not in fleet.goals
        and now_ms >= known.retry_ms
    )


def measure_pool(
    scheduler: "job_scheduler.Scheduler",
    service: str,
    idle_since_ms: int,
    now_ms: int,
) -> pools.PoolState:
    """Measures one pool.

    Args:
        scheduler: The scheduler, with book, workers and goals.
        service: The pool's service.
        idle_since_ms: Since when it has been idle, as known so far.
        now_ms: The time.

    Returns:
        Its state.
    """
    book = scheduler.book
    fleet = scheduler.steering.fleet
    members = 0
    each_milli = 0
    empty = []
    for worker in scheduler.workers.by_id.values():
        report = worker.report
        if report.service != service or report.is_leaving or worker.is_silent:
            continue
        goal = fleet.goals.get(report.instance)
        if goal is not None and isinstance(goal.order, instances.Move):
            continue
        members += 1
        each_milli = max(each_milli, report.capacity.cpu_milli)
        is_free = not book.held.get(worker.life) and not worker.running
        if is_free and goal is None and report.instance in fleet.known:
            empty.append(report.instance)
    coming = sum(
        isinstance(goal.order, instances.Move) and goal.order.pool == service
        for goal in fleet.goals.values()
    )
    has_upkeep = any(
        fleet.known[name].pool == service
        for wave in book.waves.values()
        for name in (*wave.waiting, *wave.ordered)
        if name in fleet.known
    )
    ready_work = 0.0
    standing = 0
    base = scheduler.base_sizes.get(service, 0)
    needed = _KEPT_PARTS * base // _ALL_PARTS
    if has_upkeep:
        # Upkeep needs the room that standing tasks go to meanwhile.
        needed = base
    for name, jobs in book.open_jobs.items():
        queue = book.find_queue(name)
        if queue is None or queue.service != service:
            continue
        for job_id in jobs:
            job = book.jobs[job_id]
            if not job.spec.is_timed:
                ready_work += objectives.count_ready_work(job, scheduler.times)
            for step in job.spec.steps:
                if not step.is_standing or step.is_filler:
                    continue
                standing += step.count * step.needs.cpu_milli
                most = step.max_per_instance
                if most:
                    needed = max(needed, -(-step.count // most))
    return pools.PoolState(
        service,
        ready_work,
        scheduler.read_arriving(service, now_ms),
        (members + coming) * each_milli - standing,
        each_milli,
        members + coming,
        needed,
        tuple(sorted(empty)),
        idle_since_ms,
    )
