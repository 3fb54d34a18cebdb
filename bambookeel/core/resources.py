"""Records of the replicated state: resources, their specs and statuses.

Operators work with these records. A resource has a kind, a name, a spec that
operators declare, and a status that the system writes. Specs are frozen data
classes with bounds, which msgspec checks both in the API and when the log is
replayed. Field names end with their unit.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from bambookeel.core import ids

# Names are DNS labels, so that they fit in URLs and file names.
NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
# The largest integer that every JSON reader represents exactly.
MAX_INT = 2**53 - 1
PositiveInt = Annotated[int, msgspec.Meta(ge=1, le=MAX_INT)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0, le=1e12)]


class Kind(enum.Enum):
    """The kinds of resource."""

    TEAM = "team"
    KEY = "key"
    OPERATOR = "operator"
    SERVICE = "service"
    POOL = "pool"
    INSTANCE = "instance"
    WAVE = "wave"
    JOB = "job"
    CONFIGURATION = "configuration"
    DISPATCHER = "dispatcher"


class Role(enum.Enum):
    """What an operator's key may do."""

    VIEWER = "viewer"
    EDITOR = "editor"
    ADMIN = "admin"


class InstanceState(enum.Enum):
    """The state of an instance within its pool."""

    SERVING = "serving"
    IN_DOUBT = "in-doubt"
    DRAINING = "draining"
    EMPTY = "empty"
    REBOOTING = "rebooting"
    FAILED = "failed"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamSpec:
    """A team, with its weight in fair sharing and its upper limit.

    Attributes:
        share_weight: Weight of the team's share among teams with waiting work.
        upper_limit: Largest number of the team's requests and tasks that run
            at once in the whole fleet.
    """

    share_weight: PositiveFloat = 1.0
    upper_limit: NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySpec:
    """A key of a team, or of an operator; the secret itself is never stored.

    Attributes:
        team: Team that the key authenticates; empty for an operator's key.
        operator: Operator that the key authenticates; empty for a team's key.
        salt_hex: Salt of the hash, in hex.
        hash_hex: SHA-256 of salt and secret, in hex.
        withdrawn: Whether the key has been withdrawn, which is final.
    """

    team: str = ""
    operator: str = ""
    salt_hex: str
    hash_hex: str
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSpec:
    """An operator.

    Attributes:
        role: What the operator's keys permit: viewer, editor or admin.
    """

    role: Role


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service that backend servers offer, with its queue.

    Attributes:
        pool: The pool whose instances run its backend servers.
        queue_bound: Largest number of waiting requests.
        open_to_all: Whether requests without a key are accepted.
        deadline_ms: Time from a request's admission to its deadline, unless the
            request sets a shorter one.
        max_body_bytes: Largest size of a request body.
        idempotency_ttl_ms: How long the record of an Idempotency-Key is kept.
    """

    pool: Name
    queue_bound: PositiveInt = 400
    open_to_all: bool = False
    deadline_ms: PositiveInt = 30_000
    max_body_bytes: PositiveInt = 8 * 1024 * 1024
    idempotency_ttl_ms: PositiveInt = 600_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PoolSpec:
    """A pool of instances.

    Attributes:
        wanted_size: Number of instances that the pool should have.
        max_unavailable: Availability budget: largest number of instances that
            may be unavailable or in doubt at once.
        survive_racks: Number of whole racks whose loss the pool must survive.
        survive_data_centres: Number of whole data centres whose loss the pool
            must survive.
        lends_spare: Whether other pools may borrow its instances.
        min_after_loss: Number of instances that must remain after such a loss.
    """

    wanted_size: NonNegativeInt
    max_unavailable: NonNegativeInt = 1
    survive_racks: NonNegativeInt = 0
    survive_data_centres: NonNegativeInt = 0
    lends_spare: bool = False
    min_after_loss: NonNegativeInt = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSpec:
    """A worker instance of the platform.

    Attributes:
        pool: The only pool that the instance belongs to, recorded nowhere else;
            empty while the instance moves between pools.
        data_centre: Data centre of the instance.
        rack: Rack of the instance.
        cores: Number of processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Number of accelerators.
        drain_wanted: Whether an operator requests that the instance be drained
            and kept empty.
    """

    pool: str
    data_centre: Name
    rack: Name
    cores: PositiveInt = 64
    memory_mb: PositiveInt = 262_144
    accelerators: NonNegativeInt = 0
    drain_wanted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WaveSpec:
    """A maintenance wave over the instances of pools.

    Attributes:
        pools: Pools whose instances are maintained; empty for all pools.
        action: The maintenance to carry out on each drained instance.
        max_parallel: Largest number of instances under maintenance at once, in
            all pools together.
        finish_by_ms: Time by which the wave should end, in wall-clock ms since
            the Unix epoch; 0 for none.
        paused: Whether an operator has paused the wave.
        aborted: Whether an operator has aborted the wave.
    """

    pools: tuple[str, ...] = ()
    action: str = "reboot"
    max_parallel: PositiveInt = 1_000
    finish_by_ms: NonNegativeInt = 0
    paused: bool = False
    aborted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """A job submitted to a pool's queue.

    Attributes:
        team: Team of the key with which the job was submitted.
        pool: Pool whose workers run the job's tasks.
        tasks: Number of equal tasks.
        cores: Declared cores of one task.
        memory_mb: Declared memory of one task, in megabytes.
        accelerators: Declared accelerators of one task.
        run_time_ms: Declared run time of one task.
        urgent: Whether the job runs before the team's other work.
        max_attempts: Failed attempts of one task after which the job is parked.
        cancelled: Whether the job has been cancelled.
        can_checkpoint: Whether a stopped task resumes from where it stopped.
    """

    team: str
    pool: Name
    tasks: PositiveInt = 1
    cores: PositiveInt = 1
    memory_mb: PositiveInt = 1_024
    accelerators: NonNegativeInt = 0
    run_time_ms: PositiveInt = 60_000
    urgent: bool = False
    max_attempts: PositiveInt = 4
    cancelled: bool = False
    can_checkpoint: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSpec:
    """Named values that configure the placement of work.

    Attributes:
        values: Value by name, for example weights of decisions.
    """

    values: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherSpec:
    """The holder of the dispatch lease of the service of the same name.

    Only the control leader writes this spec.

    Attributes:
        holder: Entry process that holds the lease; empty for none.
        epoch: Increases by one with each new holder.
    """

    holder: str = ""
    epoch: NonNegativeInt = 0


Spec = (
    TeamSpec
    | KeySpec
    | OperatorSpec
    | ServiceSpec
    | PoolSpec
    | InstanceSpec
    | WaveSpec
    | JobSpec
    | ConfigurationSpec
    | DispatcherSpec
)

SPEC_TYPES: dict[Kind, type] = {
    Kind.TEAM: TeamSpec,
    Kind.KEY: KeySpec,
    Kind.OPERATOR: OperatorSpec,
    Kind.SERVICE: ServiceSpec,
    Kind.POOL: PoolSpec,
    Kind.INSTANCE: InstanceSpec,
    Kind.WAVE: WaveSpec,
    Kind.JOB: JobSpec,
    Kind.CONFIGURATION: ConfigurationSpec,
    Kind.DISPATCHER: DispatcherSpec,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """One condition of a resource, with its reason.

    Attributes:
        name: Name of the condition, for example `Available` or `Paused`.
        holds: Whether the condition holds.
        reason: The reason as one word, for scripts.
        message: The reason as one sentence with its numbers, for people.
    """

    name: str
    holds: bool
    reason: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the system reports about a resource.

    Attributes:
        spec_version: Version of the spec that the status refers to.
        state: State as one word; for instances a value of `InstanceState`.
        conditions: Conditions of the resource, with their reasons.
        details: Further values by name.
    """

    spec_version: int = 0
    state: str = ""
    conditions: tuple[Condition, ...] = ()
    details: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """A resource in the replicated state.

    Attributes:
        kind: Kind of the resource; determines the type of its spec.
        name: Name of the resource, unique within its kind.
        version: State version of the last change to the resource, for
            compare-and-set.
        spec_version: State version of the last change to the spec.
        spec: The part that operators declare.
        status: The part that the system reports.
    """

    kind: Kind
    name: str
    version: ids.StateVersion
    spec_version: ids.StateVersion
    spec: Spec
    status: Status = Status()
