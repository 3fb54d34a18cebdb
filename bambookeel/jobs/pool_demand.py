"""Measures what the pools have to do, for the decision on their sizes."""

from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import objectives
from bambookeel.jobs import pools
from bambookeel.jobs import term as term_state

# A pool keeps two thirds of the instances that its operators gave it, for
# losses and for the first moments of its turn.
_KEPT_PARTS = 2
_ALL_PARTS = 3


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
        for name, known in sorted(fleet.statuses.items())
        if known.pool == spare_pool
        and known.phase is instances.InstancePhase.UP
        and name not in fleet.goals
        and now_ms >= known.retry_ms
    )


def _has_upkeep(term: term_state.Term, service: str) -> bool:
    known = term.instance_controller.fleet.statuses
    return any(
        known[name].pool == service
        for wave in term.book.instances.waves.values()
        for name in (*wave.waiting, *wave.ordered)
        if name in known
    )


def _measure_members(
    term: term_state.Term, service: str, now_ms: int
) -> tuple[int, int, tuple[str, ...]]:
    """Measures the instances of a pool.

    Args:
        term: The leader's term.
        service: The pool's service.
        now_ms: The time.

    Returns:
        How many there are, with those that are on their way; the processor
        time of one; and those that run nothing.
    """
    fleet = term.instance_controller.fleet
    members = term.count_unheard(service, now_ms)
    each_milli = 0
    empty = []
    for worker in term.workers.by_id.values():
        report = worker.report
        if report.service != service or report.is_leaving or worker.is_silent:
            continue
        goal = fleet.goals.get(report.instance)
        if goal is not None and isinstance(goal.order, instances.Move):
            continue
        members += 1
        each_milli = max(each_milli, report.capacity.cpu_milli)
        is_free = not term.book.held.get(worker.life) and not worker.running
        if is_free and goal is None and report.instance in fleet.statuses:
            empty.append(report.instance)
    coming = sum(
        isinstance(goal.order, instances.Move) and goal.order.pool == service
        for goal in fleet.goals.values()
    )
    return members + coming, each_milli, tuple(sorted(empty))


def _measure_work(
    term: term_state.Term, service: str
) -> tuple[float, int, int, int]:
    """Measures what a service has to do.

    Args:
        term: The leader's term.
        service: The service.

    Returns:
        Work that could go on now, processor time of its tasks, processor time
        of standing tasks, and the instances that these need.
    """
    ready_work = 0.0
    ready_milli = 0
    standing_milli = 0
    needed = 0
    for job in term.list_open_jobs(service):
        if not job.spec.is_timed:
            work, cpu_milli = objectives.count_ready(job, term.times)
            ready_work += work
            ready_milli += cpu_milli
        for step in job.spec.steps:
            if not step.is_standing or step.is_filler:
                continue
            standing_milli += step.count * step.needs.cpu_milli
            most = step.max_per_instance
            if most:
                needed = max(needed, -(-step.count // most))
    return ready_work, ready_milli, standing_milli, needed


def measure_pool(
    term: term_state.Term,
    service: str,
    idle_since_ms: int,
    now_ms: int,
) -> pools.PoolState:
    """Measures one pool.

    Args:
        term: The leader's term, with book, workers and goals.
        service: The pool's service.
        idle_since_ms: Since when it has been idle, as known so far.
        now_ms: The time.

    Returns:
        Its state.
    """
    members, each_milli, empty = _measure_members(term, service, now_ms)
    ready_work, ready_milli, standing_milli, needed = _measure_work(
        term, service
    )
    base = term.book.instances.base_sizes.get(service, 0)
    kept = _KEPT_PARTS * base // _ALL_PARTS
    if _has_upkeep(term, service):
        # Standing tasks need room to go to while an instance is down.
        kept = max(kept, min(base, needed + 1))
    return pools.PoolState(
        pool=service,
        ready_work=ready_work,
        ready_milli=ready_milli,
        arriving_milli=term.read_arriving(service, now_ms),
        capacity_milli=members * each_milli - standing_milli,
        each_milli=each_milli,
        members=members,
        needed=max(kept, needed),
        empty=empty,
        idle_since_ms=idle_since_ms,
    )
