"""Typed records of pools, instances, waves and reports for the planner.

The status of an instance's resource stores the planner's data about it as text,
which keeps the log readable. This module converts it to typed records and back,
so that a plan is made from one immutable view. The platform's reports and the
ends of leases are not replicated: each leader collects its own.
"""

from collections.abc import Mapping
import dataclasses
import enum

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.fleet import jobs


class Phase(enum.Enum):
    """Phase of an instance as the platform reports it."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A pool with its wanted size and budget.

    Attributes:
        name: Name of the pool.
        version: Version of its resource; a command that disrupts the pool
            fails if this has changed.
        spec: The spec that operators declared.
        status: The last committed status.
        short_since_ms: Wall time since which it lacks instances; 0 if it does
            not.
    """

    name: str
    version: ids.StateVersion
    spec: resources.PoolSpec
    status: resources.Status = resources.Status()
    short_since_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """A worker instance as stored in the replicated state.

    Attributes:
        name: Name of the instance.
        version: Version of its resource.
        spec: Its pool, location and size.
        state: State of the instance.
        incarnation: The incarnation that was last accepted from a report; it
            grows with every restart.
        last_maintained_ms: Wall time of its last maintenance.
        wave: The wave that maintains it now, or
            `operator_drains.OPERATOR_DRAIN`; empty for none.
        moving_to: The pool that it is moving to; empty for none.
        home_pool: The pool that lent it; empty in its own pool.
        since_ms: Wall time of the last change of its state.
        act_since_ms: Wall time at which the drain for its current maintenance
            started.
        retry_after_ms: Wall time before which no wave drains it again.
        trusted_since_ms: Wall time before which failures on it do not count.
        reason: Why it is in this state.
    """

    name: str
    version: ids.StateVersion
    spec: resources.InstanceSpec
    state: resources.InstanceState = resources.InstanceState.IN_DOUBT
    incarnation: int = 0
    last_maintained_ms: int = 0
    wave: str = ""
    moving_to: str = ""
    home_pool: str = ""
    since_ms: int = 0
    act_since_ms: int = 0
    retry_after_ms: int = 0
    trusted_since_ms: int = 0
    reason: str = "no report yet"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """A maintenance wave.

    Attributes:
        name: Name of the wave.
        version: Version of its resource; 0 for the regular maintenance.
        spec: The spec that operators declared.
        started_ms: Wall time of the first plan with the wave; instances
            maintained since then need no maintenance by it.
        failures: Instances that failed during their maintenance by it.
        round_ms: Moving average of the time from the start of an instance's
            drain to its return to service; 0 while unknown.
        status: The last committed status.
    """

    name: str
    version: ids.StateVersion
    spec: resources.WaveSpec
    started_ms: int = 0
    round_ms: int = 0
    failures: tuple[str, ...] = ()
    status: resources.Status = resources.Status()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """The platform's latest report on an instance.

    Attributes:
        name: Name of the instance.
        incarnation: The reporting incarnation; it grows with every restart.
        phase: Phase of the instance.
        healthy: Whether it passed its health check.
        pool: The pool to which the platform has assigned it.
        running: Number of requests and tasks that run on it.
        heard_ms: When the report was made, on the leader's monotonic clock.
        spec: Its location and size.
        sequence: The highest sequence among the orders that it has received.
        tasks: Attempts that run on it, and ended ones that it has not yet been
            ordered to forget.
    """

    name: str
    incarnation: int
    phase: Phase
    healthy: bool
    pool: str
    running: int
    heard_ms: int
    spec: resources.InstanceSpec
    sequence: int = 0
    tasks: tuple[jobs.TaskReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tuning:
    """Timings and weights, from the configuration resource `fleet`.

    Attributes:
        silent_ms: Age at which a report is no longer fresh; an instance without
            a fresh report is in doubt.
        worker_lease_ms: Duration of the leases under which workers run tasks.
        drain_timeout_ms: Time after which a drain is cancelled.
        boot_timeout_ms: Time after which a rebooting or unhealthy instance has
            failed.
        retry_ms: Time from a cancelled drain until a wave may drain the
            instance again.
        probe_after_ms: Time in quarantine before a worker is tried again.
        hold_ms: How long a shortage must last before a move starts.
        maintenance_interval_ms: Time between two maintenances of each
            instance; 0 if there is no regular maintenance.
        max_wave_failures: Failed instances after which a wave stops.
        weight_buffer_cost: Weight of the cost of idle capacity.
        weight_roll_out: Weight of roll-out time.
        weight_share: Weight of closeness to each team's share.
        weight_moves: Weight of the number of moves.
    """

    silent_ms: int = 2_000
    worker_lease_ms: int = 10_000
    drain_timeout_ms: int = 1_800_000
    boot_timeout_ms: int = 900_000
    retry_ms: int = 600_000
    probe_after_ms: int = 600_000
    hold_ms: int = 30_000
    maintenance_interval_ms: int = 0
    max_wave_failures: int = 3
    weight_buffer_cost: float = 1.0
    weight_roll_out: float = 1.0
    weight_share: float = 1.0
    weight_moves: float = 1.0

    @classmethod
    def from_config(cls, spec: resources.ConfigurationSpec) -> "Tuning":
        """Reads the known values; malformed and negative ones are ignored.

        Args:
            spec: Spec of the configuration resource `fleet`.

        Returns:
            The tuning, with defaults for all other fields.
        """
        read: dict[str, float] = {}
        for field in dataclasses.fields(cls):
            text = spec.values.get(field.name, "")
            try:
                value = float(text)
            except ValueError:
                continue
            if value < 0:
                continue
            is_weight = field.name.startswith("weight_")
            read[field.name] = value if is_weight else int(value)
        return cls(**read)  # type: ignore[arg-type]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """Everything that a plan is made from.

    Attributes:
        now_ms: The leader's monotonic time, for reports and leases.
        wall_ms: Wall time, for dates and for times stored in the log.
        pools: Pools by name.
        instances: Instances by name.
        waves: Waves by name.
        reports: Latest report of each instance, by name.
        lease_until_ms: By instance, the end of the last lease that may have
            been granted to it, on the leader's monotonic clock.
        tuning: Timings and weights.
        job_records: Jobs by name.
        teams: Teams by name.
        task_limits: Numbers of tasks that each team may run by its allotment;
            None if only the upper limits count.
    """

    now_ms: int
    wall_ms: int
    pools: Mapping[str, Pool]
    instances: Mapping[str, Instance]
    waves: Mapping[str, Wave]
    reports: Mapping[str, Report]
    lease_until_ms: Mapping[str, int]
    tuning: Tuning = Tuning()
    job_records: Mapping[str, jobs.Job] = dataclasses.field(
        default_factory=dict
    )
    teams: Mapping[str, resources.TeamSpec] = dataclasses.field(
        default_factory=dict
    )
    task_limits: Mapping[str, int] | None = None


def _read_int(details: Mapping[str, str], name: str) -> int:
    text = details.get(name, "")
    return int(text) if text.isdecimal() else 0


def read_pool(resource: resources.Resource) -> Pool:
    """Reads a pool from its resource.

    Args:
        resource: A resource of kind `POOL`.

    Returns:
        The pool.
    """
    assert isinstance(resource.spec, resources.PoolSpec)
    return Pool(
        name=resource.name,
        version=resource.version,
        spec=resource.spec,
        status=resource.status,
        short_since_ms=_read_int(resource.status.details, "short_since_ms"),
    )


def read_instance(resource: resources.Resource) -> Instance:
    """Reads an instance from its resource.

    Args:
        resource: A resource of kind `INSTANCE`.

    Returns:
        The instance; in doubt if its resource has no status yet.
    """
    assert isinstance(resource.spec, resources.InstanceSpec)
    details = resource.status.details
    state = resources.InstanceState.IN_DOUBT
    if resource.status.state:
        state = resources.InstanceState(resource.status.state)
    return Instance(
        name=resource.name,
        version=resource.version,
        spec=resource.spec,
        state=state,
        incarnation=_read_int(details, "incarnation"),
        last_maintained_ms=_read_int(details, "last_maintained_ms"),
        wave=details.get("wave", ""),
        moving_to=details.get("moving_to", ""),
        home_pool=details.get("home_pool", ""),
        since_ms=_read_int(details, "since_ms"),
        act_since_ms=_read_int(details, "act_since_ms"),
        retry_after_ms=_read_int(details, "retry_after_ms"),
        trusted_since_ms=_read_int(details, "trusted_since_ms"),
        reason=details.get("reason", ""),
    )


def write_instance_status(instance: Instance) -> resources.Status:
    """Builds the status that stores an instance's state.

    Args:
        instance: The instance to store.

    Returns:
        The status, from which `read_instance` restores the instance.
    """
    is_serving = instance.state is resources.InstanceState.SERVING
    condition = resources.Condition(
        "Available", is_serving, instance.state.value, instance.reason
    )
    details = {
        "incarnation": str(instance.incarnation),
        "last_maintained_ms": str(instance.last_maintained_ms),
        "wave": instance.wave,
        "moving_to": instance.moving_to,
        "home_pool": instance.home_pool,
        "since_ms": str(instance.since_ms),
        "act_since_ms": str(instance.act_since_ms),
        "retry_after_ms": str(instance.retry_after_ms),
        "trusted_since_ms": str(instance.trusted_since_ms or ""),
        "reason": instance.reason,
    }
    kept = {name: text for name, text in details.items() if text}
    return resources.Status(
        state=instance.state.value, conditions=(condition,), details=kept
    )


def read_wave(resource: resources.Resource) -> Wave:
    """Reads a wave from its resource.

    Args:
        resource: A resource of kind `WAVE`.

    Returns:
        The wave.
    """
    assert isinstance(resource.spec, resources.WaveSpec)
    failed = resource.status.details.get("failures", "")
    return Wave(
        name=resource.name,
        version=resource.version,
        spec=resource.spec,
        started_ms=_read_int(resource.status.details, "started_ms"),
        failures=tuple(failed.split()),
        round_ms=_read_int(resource.status.details, "round_ms"),
        status=resource.status,
    )


def find_fresh_report(view: FleetView, instance: Instance) -> Report | None:
    """Returns an instance's latest report if it is still valid.

    Args:
        view: Gives the time and the reports.
        instance: The instance.

    Returns:
        The report; None if there is none, if it is older than `silent_ms` or
        comes from an earlier incarnation.
    """
    report = view.reports.get(instance.name)
    if report is None:
        return None
    if view.now_ms - report.heard_ms > view.tuning.silent_ms:
        return None
    if report.incarnation < instance.incarnation:
        return None
    return report


def is_available(view: FleetView, instance: Instance) -> bool:
    """Returns whether an instance counts as available now.

    Args:
        view: Gives the time and the reports.
        instance: The instance.

    Returns:
        Whether it serves according to both the state and a fresh report.
    """
    if instance.state is not resources.InstanceState.SERVING:
        return False
    report = find_fresh_report(view, instance)
    if report is None or report.incarnation != instance.incarnation:
        return False
    return report.healthy and report.phase is Phase.SERVING
