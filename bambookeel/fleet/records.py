"""Records that fleet decisions take: pools, instances, waves and reports.

The replicated resources hold an instance's own facts as text in its status.
This module reads them into typed records and writes them back, so that every
decision works on one immutable view and the log stays readable. Reports of the
platform and lease ends are not replicated: each leader gathers its own.
"""

from collections.abc import Mapping
import dataclasses
import enum

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.fleet import jobs


class Phase(enum.Enum):
    """What the platform says that an instance is doing."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Pool:
    """A pool with its promise.

    Attributes:
        name: Its name.
        version: Version of its resource, which guards planned acts.
        spec: What operators declared.
        status: What was last reported of it.
        short_since_ms: Wall time since which it lacks instances; 0 if none.
    """

    name: str
    version: ids.StateVersion
    spec: resources.PoolSpec
    status: resources.Status = resources.Status()
    short_since_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """A worker instance as the replicated state holds it.

    Attributes:
        name: Its name.
        version: Version of its resource.
        spec: Its pool, place and size.
        state: Its state.
        incarnation: The life of it that was last proved healthy.
        last_maintained_ms: Wall time of its last maintenance.
        wave: The wave that maintains it now; empty for none.
        moving_to: The pool that it is on its way to; empty for none.
        home_pool: The pool that lent it; empty when it is at home.
        since_ms: Wall time of the last change of its state.
        act_since_ms: Wall time at which its maintenance started.
        retry_after_ms: Wall time before which no wave takes it again.
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
        name: Its name.
        version: Version of its resource; 0 for the regular maintenance.
        spec: What operators declared.
        started_ms: Wall time of its first plan; instances maintained since
            then are done.
        failures: Instances that did not come back from it.
        round_ms: Time that one instance took lately.
        status: What was last reported of it.
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
    """The platform's latest word on an instance.

    Attributes:
        name: The instance.
        incarnation: Which life of it reports.
        phase: What it is doing.
        healthy: Whether it passed its health check.
        pool: The pool that the platform has it assigned to.
        running: Requests and tasks that run on it.
        heard_ms: When the report was made, on the leader's monotonic clock.
        spec: Its place and size.
        sequence: The highest sequence among the orders that it has taken.
        tasks: Attempts that it runs, or has run and not been told to forget.
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
        silent_ms: Silence after which an instance is in doubt.
        worker_lease_ms: Lease under which workers run tasks.
        drain_timeout_ms: Time for a drain before it is given up.
        boot_timeout_ms: Time for a reboot before the instance has failed.
        retry_ms: Time before a wave takes an instance again.
        probe_after_ms: Time in quarantine before one task is tried.
        hold_ms: How long a shortage must last before a move starts.
        maintenance_interval_ms: Time between two maintenances of each
            instance; 0 where there is no regular maintenance.
        max_wave_failures: Instances lost to a wave before it stops.
        weight_buffer_cost: Weight of capacity held idle.
        weight_roll_out: Weight of roll-out time.
        weight_share: Weight of nearness to share.
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
        """Reads the values that are known and well formed.

        Args:
            spec: The configuration resource.

        Returns:
            The tuning, with defaults for all else.
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
        now_ms: The leader's monotonic time, for silence and leases.
        wall_ms: Wall time, for dates and for what the log keeps.
        pools: Pools by name.
        instances: Instances by name.
        waves: Waves by name.
        reports: Latest reports by instance.
        lease_until_ms: By instance, the end of the last lease that may have
            been granted to it, on the leader's monotonic clock.
        tuning: Timings and weights.
        job_records: Jobs by name.
        teams: Teams by name.
        task_limits: Tasks that each team may run by its allotment; None where
            only its upper limit counts.
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
        resource: The resource.

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
        resource: The resource.

    Returns:
        The instance; in doubt when the system has not reported on it yet.
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
    """Writes an instance's facts as its status.

    Args:
        instance: The instance.

    Returns:
        The status; `read_instance` reads it back.
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
        resource: The resource.

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
    """Finds a report that still speaks for the instance.

    Args:
        view: The view.
        instance: The instance.

    Returns:
        Its latest report, unless that is too old or of an earlier life.
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
    """Tells whether an instance counts as available now.

    Args:
        view: The view.
        instance: The instance.

    Returns:
        Whether it is serving both by the state and by a fresh report.
    """
    if instance.state is not resources.InstanceState.SERVING:
        return False
    report = find_fresh_report(view, instance)
    if report is None or report.incarnation != instance.incarnation:
        return False
    return report.healthy and report.phase is Phase.SERVING
