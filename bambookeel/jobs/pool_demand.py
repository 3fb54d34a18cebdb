"""Measures the demand and capacity of each pool, to decide on its size."""

from collections.abc import Container
import math

from bambookeel.jobs import deferring
from bambookeel.jobs import fitting
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import loads
from bambookeel.jobs import objectives
from bambookeel.jobs import pools
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# A pool keeps two thirds of the instances that its operators gave it, as a
# reserve for failures and for the beginning of a demand peak.
_KEPT_NUMERATOR = 2
_KEPT_DENOMINATOR = 3
# An instance that is handed over stops working for the time that its tasks
# still take; beyond this it is worth more where it is.
_MAX_DRAIN_MS = 2_000
# Weight of the work of jobs that can no longer meet their objective. They
# should not keep instances from pools whose jobs still can.
_LATE_WORK_WEIGHT = 0.2


def list_spare_instances(
    fleet: fleet_view.Fleet,
    evacuated: Container[str],
    spare_pool: str,
    now_ms: int,
) -> tuple[str, ...]:
    """Lists the instances of the spare pool that may be moved.

    Args:
        fleet: All instances and their goals.
        evacuated: Data centres that are evacuated.
        spare_pool: Name of the pool whose instances are off.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Names of the instances, sorted.
    """
    return tuple(
        name
        for name, status in sorted(fleet.statuses.items())
        if status.pool == spare_pool
        and status.phase is instances.InstancePhase.UP
        and status.data_centre not in evacuated
        and name not in fleet.goals
        and now_ms >= status.retry_at_ms
    )


def compute_drain_ms(
    term: term_state.Term, worker: worker_table.Worker
) -> float:
    """Estimates when a worker would be empty if it got no new runs.

    Args:
        term: State of the leader's term.
        worker: The worker.

    Returns:
        Milliseconds from now; infinite if it has a run without an end.
    """
    longest_ms = 0.0
    refs = dict.fromkeys(term.book.assigned_runs.get(worker.incarnation, {}))
    refs.update(dict.fromkeys(worker.running))
    for ref in refs:
        step = term.book.get_step(ref)
        if step is None or step.spec.is_standing:
            return math.inf
        queue = term.book.jobs[ref.job].queue
        left_ms = term.run_times.estimate_ms(queue, step.spec)
        running = worker.running.get(ref)
        if running is not None:
            left_ms *= 1 - running.percent / 100
        longest_ms = max(longest_ms, left_ms)
    return longest_ms


def list_drainable_instances(
    term: term_state.Term, service: str, now_ms: int
) -> list[str]:
    """Lists the instances of a pool that would be empty soon.

    Args:
        term: State of the leader's term.
        service: Service of the pool.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Names of instances without a goal, those that are empty soonest
        first.
    """
    fleet = term.instance_controller.fleet
    evacuated = term.book.instances.evacuations
    ranked = []
    for worker in term.workers.by_id.values():
        report = worker.report
        if (
            report.service != service
            or report.is_leaving
            or worker.is_lease_expired
            or report.data_centre in evacuated
        ):
            continue
        name = report.instance
        status = fleet.statuses.get(name)
        if name in fleet.goals or status is None or now_ms < status.retry_at_ms:
            continue
        drain_ms = compute_drain_ms(term, worker)
        if drain_ms <= _MAX_DRAIN_MS:
            ranked.append((drain_ms, name))
    return [name for _, name in sorted(ranked)]


def _has_upkeep(term: term_state.Term, service: str) -> bool:
    statuses = term.instance_controller.fleet.statuses
    return any(
        statuses[name].pool == service
        for wave in term.book.instances.waves.values()
        for name in (*wave.waiting, *wave.ordered)
        if name in statuses
    )


def _measure_members(
    term: term_state.Term, service: str, now_ms: int
) -> tuple[int, int, int, int, tuple[str, ...]]:
    """Measures the instances of a pool.

    Args:
        term: State of the leader's term.
        service: Service of the pool.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Number of instances, including those that are moving to the pool;
        number of those among them that do not report; processor time of all and
        of the largest one, in thousandths of a core, where those that do not
        report count like the largest; names of the instances that run nothing.
    """
    fleet = term.instance_controller.fleet
    members = 0
    total_milli = 0
    instance_milli = 0
    empty = []
    for worker in fitting.list_members(term, service):
        report = worker.report
        goal = fleet.goals.get(report.instance)
        members += 1
        total_milli += report.capacity.cpu_milli
        instance_milli = max(instance_milli, report.capacity.cpu_milli)
        is_free = (
            not term.book.assigned_runs.get(worker.incarnation)
            and not worker.running
            and not worker.is_settling
        )
        status = fleet.statuses.get(report.instance)
        if not is_free or goal is not None or status is None:
            continue
        if now_ms >= status.retry_at_ms:
            empty.append(report.instance)
    incoming = loads.count_incoming(term, service)
    unreported = loads.list_unreported_instances(term, service, now_ms)
    absent = incoming + len(unreported)
    total_milli += absent * instance_milli
    members += absent
    return members, absent, total_milli, instance_milli, tuple(sorted(empty))


def _measure_work(
    term: term_state.Term, service: str
) -> tuple[float, int, int, int]:
    """Measures the work of a service.

    Args:
        term: State of the leader's term.
        service: Name of the service.

    Returns:
        Work that runs or could run now, in thousandths of a core times
        milliseconds; processor time of its tasks and processor time of standing
        tasks, both in thousandths of a core; number of instances that the
        standing tasks need.
    """
    ready_work = 0.0
    ready_milli = 0
    standing_milli = 0
    needed = 0
    for job in term.list_open_jobs(service):
        if not job.spec.is_timed:
            work, cpu_milli = objectives.measure_ready(job, term.run_times)
            ready_work += work
            ready_milli += cpu_milli
        for step in job.standing:
            if step.is_filler:
                continue
            standing_milli += step.count * step.needs.cpu_milli
            most = step.max_per_instance
            if most:
                needed = max(needed, -(-step.count // most))
    return ready_work, ready_milli, standing_milli, needed


def _weigh_open_work(
    term: term_state.Term, service: str, now: term_state.Now
) -> float:
    """Sums the work of the open jobs of a service, late ones in part.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now: Current time.

    Returns:
        Remaining work in thousandths of a core times milliseconds.
    """
    total = 0.0
    for job in term.list_open_jobs(service):
        if job.spec.is_timed:
            continue
        work = objectives.estimate_open_work(job, term.run_times)
        if not work:
            continue
        step = next(iter(job.steps.values()))
        slack_ms = term.compute_objective_wall_ms(job, step) - now.wall_ms
        if slack_ms < deferring.measure_chain_ms(term, job):
            work *= _LATE_WORK_WEIGHT
        total += work
    return total


def measure_pool(
    term: term_state.Term,
    service: str,
    idle_since_ms: int,
    now: term_state.Now,
) -> pools.PoolState:
    """Measures the demand and capacity of one pool.

    Args:
        term: State of the leader's term.
        service: Service of the pool.
        idle_since_ms: Since when the pool has been idle, according to the last
            measurement; -1 if it was not.
        now: Current time.

    Returns:
        State of the pool.
    """
    now_ms = now.steady_ms
    members, incoming, total_milli, instance_milli, empty = _measure_members(
        term, service, now_ms
    )
    ready_work, ready_milli, standing_milli, needed = _measure_work(
        term, service
    )
    open_work = _weigh_open_work(term, service, now)
    evacuated = loads.list_evacuated_workers(term, service)
    for worker in evacuated:
        # A pool whose instances are all evacuated has no others to judge by.
        each_milli = worker.report.capacity.cpu_milli
        instance_milli = max(instance_milli, each_milli)
    base = term.book.instances.base_sizes.get(service, 0)
    kept = _KEPT_NUMERATOR * base // _KEPT_DENOMINATOR
    if _has_upkeep(term, service):
        # While an instance is down, its standing tasks need a place elsewhere.
        kept = max(kept, min(base, needed + 1))
    return pools.PoolState(
        pool=service,
        ready_work=ready_work,
        open_work=open_work,
        ready_milli=ready_milli,
        arriving_milli=term.get_arrival_rate(service, now_ms),
        capacity_milli=total_milli - standing_milli,
        instance_milli=instance_milli,
        members=members,
        min_members=max(kept, needed),
        empty=empty,
        idle_since_ms=idle_since_ms,
        incoming=incoming,
        evacuated=len(evacuated),
    )
