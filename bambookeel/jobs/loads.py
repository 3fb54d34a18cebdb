"""Measures the load of services and teams, on which admission is based."""

from bambookeel.jobs import admission
from bambookeel.jobs import evacuations
from bambookeel.jobs import instances
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def _count_obtainable_instances(term: term_state.Term, service: str) -> int:
    """Counts instances that a pool is getting or can still get.

    Args:
        term: State of the leader's term.
        service: Service of the pool.

    Returns:
        Number of instances that move to the pool or are in the spare pool,
        without those in a data centre that is evacuated.
    """
    evacuated = term.book.instances.evacuations
    fleet = term.instance_controller.fleet
    spare_pool = term.book.configuration.find_spare_pool()
    count = 0
    for name, status in fleet.statuses.items():
        if status.data_centre in evacuated:
            continue
        goal = fleet.goals.get(name)
        if goal is None:
            is_up = status.phase is instances.InstancePhase.UP
            count += is_up and status.pool == spare_pool != service
            continue
        match goal.order:
            case instances.Move(_, pool) if pool == service:
                count += 1
    return count


def list_evacuated_workers(
    term: term_state.Term, service: str
) -> list[worker_table.Worker]:
    """Lists the workers of a service in evacuated data centres.

    Args:
        term: State of the leader's term.
        service: Name of the service.

    Returns:
        Those that report and do not leave.
    """
    if not term.book.instances.evacuations:
        return []
    return [
        worker
        for worker in term.workers.by_id.values()
        if worker.report.service == service
        and not worker.report.is_leaving
        and not worker.is_lease_expired
        and evacuations.is_evacuated(term.book.instances, worker)
    ]


def has_only_evacuated(
    term: term_state.Term, service: str, now_ms: int
) -> bool:
    """Returns whether all capacity of a service is in evacuated data centres.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        False also if other instances belong to its pool or could be moved to
        it, or if their workers may not have reported to this leader yet.
    """
    if not list_evacuated_workers(term, service):
        return False
    evacuated = term.book.instances.evacuations
    fleet = term.instance_controller.fleet
    if now_ms < term.earlier_leases_until_ms and not fleet.listed_ms:
        return False
    has_worker = any(
        worker.report.service == service
        and not worker.is_lease_expired
        and worker.report.data_centre not in evacuated
        for worker in term.workers.by_id.values()
    )
    has_instance = any(
        status.pool == service and status.data_centre not in evacuated
        for status in fleet.statuses.values()
    )
    if has_worker or has_instance or _count_obtainable_instances(term, service):
        return False
    if not fleet.listed_ms or not term.book.configuration.find_spare_pool():
        # No instance is moved between pools.
        return True
    # Without states, the pools are still to be measured.
    return bool(term.pool_states) and not any(
        pool != service and state.count_givable() > 0
        for pool, state in term.pool_states.items()
    )


def count_incoming(term: term_state.Term, service: str) -> int:
    """Counts the instances that move to a pool and will get work there.

    Args:
        term: State of the leader's term.
        service: Service of the pool.

    Returns:
        Number of instances outside evacuated data centres.
    """
    fleet = term.instance_controller.fleet
    evacuated = term.book.instances.evacuations
    count = 0
    for name, goal in fleet.goals.items():
        if (
            isinstance(goal.order, instances.Move)
            and goal.order.pool == service
        ):
            status = fleet.statuses.get(name)
            count += status is None or status.data_centre not in evacuated
    return count


def list_unreported_instances(
    term: term_state.Term, service: str, now_ms: int
) -> frozenset[str]:
    """Lists instances whose workers have not reported in this term yet.

    Until the leases granted by an earlier leader have expired, a missing
    report does not mean that the worker is lost.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Names of instances that the provider lists for the service as up or
        moving and that have neither a worker nor a goal; none after that time,
        and none in a data centre that is evacuated.
    """
    if now_ms >= term.earlier_leases_until_ms:
        return frozenset()
    fleet = term.instance_controller.fleet
    evacuated = term.book.instances.evacuations
    expected_phases = (
        instances.InstancePhase.UP,
        instances.InstancePhase.MOVING,
    )
    return frozenset(
        name
        for name, status in fleet.statuses.items()
        if status.pool == service
        and status.phase in expected_phases
        and status.data_centre not in evacuated
        and name not in fleet.goals
        and term.workers.find_by_instance(name) is None
    )


def sum_open_work(term: term_state.Term, service: str) -> tuple[float, int]:
    """Sums the work of a service's open jobs, without those on a timetable.

    Args:
        term: State of the leader's term.
        service: Name of the service.

    Returns:
        Remaining work in thousandths of a core times milliseconds, corrected by
        observed run times, and the processor time of the standing tasks in
        thousandths of a core. Fillers use only the processor time that the
        other tasks leave, so that they count as neither.
    """
    open_work = 0.0
    standing_milli = 0
    for name, backlogs in term.book.open_work.by_queue.items():
        queue = term.book.find_queue(name)
        if queue is None or queue.service != service:
            continue
        declared = sum(each.declared_work for each in backlogs.values())
        open_work += declared * term.run_times.get_factor(name)
        standing_milli += sum(each.standing_milli for each in backlogs.values())
    return open_work, standing_milli


def measure_load(
    term: term_state.Term, service: str, now_ms: int
) -> admission.Load:
    """Measures the outstanding work and the capacity of a service.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Load with the capacity of its workers and of the instances that it
        can still get.
    """
    capacity = 0
    each_milli = 0
    evacuated = term.book.instances.evacuations
    for worker in term.workers.by_id.values():
        worker_milli = worker.report.capacity.cpu_milli
        each_milli = max(each_milli, worker_milli)
        if worker.report.service != service or worker.report.is_leaving:
            continue
        if worker.is_lease_expired:
            continue
        if evacuated and worker.report.data_centre in evacuated:
            continue
        capacity += worker_milli
    absent = len(list_unreported_instances(term, service, now_ms))
    absent += _count_obtainable_instances(term, service)
    capacity += absent * each_milli
    open_work, standing_milli = sum_open_work(term, service)
    return admission.Load(capacity - standing_milli, open_work)


def measure_cap_load(term: term_state.Term, team: str) -> admission.Load | None:
    """Measures the outstanding work of a team and the capacity of its cap.

    Args:
        term: State of the leader's term.
        team: Name of the team.

    Returns:
        Load over all services; None for a team without a cap.
    """
    known = term.book.configuration.teams.get(team)
    if known is None or not known.cap.cpu_milli:
        return None
    open_work = 0.0
    capacity = known.cap.cpu_milli
    for queue, backlogs in term.book.open_work.by_queue.items():
        backlog = backlogs.get(team)
        if backlog is None:
            continue
        open_work += backlog.declared_work * term.run_times.get_factor(queue)
        # A cap counts requested resources, also those of fillers.
        capacity -= backlog.standing_milli + backlog.filler_milli
    return admission.Load(capacity, open_work)


def measure_shared_load(term: term_state.Term, service: str) -> admission.Load:
    """Measures a service together with the pools that can give it instances.

    Args:
        term: State of the leader's term.
        service: Name of the service.

    Returns:
        Load of all pools, at their last check, that have more instances than
        they keep.
    """
    capacity = 0
    open_work = 0.0
    for pool, state in term.pool_states.items():
        if pool != service and state.members <= max(1, state.min_members):
            continue
        capacity += state.capacity_milli
        open_work += state.open_work
    return admission.Load(capacity, open_work)
