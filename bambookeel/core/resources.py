"""Records of the replicated state: resources, their specs and statuses.

This is the vocabulary of operators. A resource has a kind and a name, a spec
that operators declare, and a status that the system writes. Specs are frozen
data classes with bounds, checked by msgspec both in the API and when the log
is replayed. Fields carry their unit as a suffix.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from bambookeel.core import ids

# Names are DNS labels, so that they fit in URLs and file names.
NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
# Whole numbers stay exact in every JSON reader up to this.
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
    """The life of an instance within its pool."""

    SERVING = "serving"
    IN_DOUBT = "in-doubt"
    DRAINING = "draining"
    EMPTY = "empty"
    REBOOTING = "rebooting"
    FAILED = "failed"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TeamSpec:
    """A team: its share while something is full, and its upper limit.

    Attributes:
        share_weight: Weight of the team among those that are backlogged.
        upper_limit: Requests and tasks that may run at once, fleet-wide.
    """

    share_weight: PositiveFloat = 1.0
    upper_limit: NonNegativeInt


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeySpec:
    """A key of a team, or of an operator; the secret itself is never stored.

    Attributes:
        team: The team that the key speaks for; empty for an operator's key.
        operator: The operator that the key speaks for; empty for a team's.
        salt_hex: Salt of the hash.
        hash_hex: SHA-256 of salt and secret.
        withdrawn: Whether the key has been withdrawn, which is final.
    """

    team: str = ""
    operator: str = ""
    salt_hex: str
    hash_hex: str
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorSpec:
    """An operator and what the operator's keys may do.

    Attributes:
        role: Viewer, editor or admin.
    """

    role: Role


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """A service that backend servers offer, with its queue.

    Attributes:
        pool: The pool whose instances run its backend servers.
        queue_bound: Requests that may wait at once.
        open_to_all: Whether work is taken without a key.
        deadline_ms: Time from admission to answer unless a request says less.
        max_body_bytes: Largest request body.
        idempotency_ttl_ms: How long an Idempotency-Key is remembered.
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
        wanted_size: Instances that the pool should hold.
        max_unavailable: Availability budget: instances that may be
            unavailable or in doubt at once.
        survive_racks: Whole racks whose loss the pool must survive.
        survive_data_centres: Whole data centres whose loss it must survive.
        lends_spare: Whether other pools may borrow its instances.
        min_after_loss: Instances that must be left after such a loss.
    """

    wanted_size: NonNegativeInt
    max_unavailable: NonNegativeInt = 1
    survive_racks: NonNegativeInt = 0
    survive_data_centres: NonNegativeInt = 0
    lends_spare: bool = False
    min_after_loss: NonNegativeInt = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSpec:
    """A worker instance of the platform; its pool is this one field.

    Attributes:
        pool: The only pool that the instance is in; empty between pools.
        data_centre: Where the instance stands.
        rack: Its rack.
        cores: Processor cores.
        memory_mb: Memory in megabytes.
        accelerators: Accelerators.
        drain_wanted: Whether an operator wants it drained and kept empty.
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
    """A maintenance wave over pools.

    Attributes:
        pools: Pools whose instances are maintained; empty means all.
        action: What to do with a drained instance.
        max_parallel: Instances under maintenance at once, over all pools.
        finish_by_ms: Wall-clock end in ms since the Unix epoch; 0 for none.
        paused: Whether an operator has paused it.
        aborted: Whether an operator has ended it.
    """

    pools: tuple[str, ...] = ()
    action: str = "reboot"
    max_parallel: PositiveInt = 1_000
    finish_by_ms: NonNegativeInt = 0
    paused: bool = False
    aborted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class JobSpec:
    """A job handed in to a pool's queue.

    Attributes:
        team: The team of the key that came with the job.
        pool: The pool whose workers run its tasks.
        tasks: Number of equal tasks.
        cores: Declared cores of one task.
        memory_mb: Declared memory of one task.
        accelerators: Accelerators of one task.
        run_time_ms: Declared run time of one task.
        urgent: Whether it goes before the team's other work.
        max_attempts: Failed attempts of a task before the job is parked.
        cancelled: Whether it was withdrawn.
        can_checkpoint: Whether a stopped task goes on where it was.
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
    """Named values under which work is placed.

    Attributes:
        values: Names and values, for example weights of decisions.
    """

    values: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatcherSpec:
    """Who holds the dispatch lease of the service of the same name.

    Only the control leader writes it.

    Attributes:
        holder: The entry process that holds the lease; empty for none.
        epoch: Grows by one with every new holder.
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
    """One statement about a resource, with the reason for it.

    Attributes:
        name: For example `Available` or `Paused`.
        holds: Whether it holds.
        reason: One word for scripts.
        message: One sentence with the numbers behind it.
    """

    name: str
    holds: bool
    reason: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the system reports of a resource.

    Attributes:
        spec_version: The version of the spec that this status speaks of.
        state: State word; for instances a value of `InstanceState`.
        conditions: Statements with their reasons.
        details: Further named values.
    """

    spec_version: int = 0
    state: str = ""
    conditions: tuple[Condition, ...] = ()
    details: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """A resource as the replicated state holds it.

    Attributes:
        kind: The kind.
        name: The name, unique within its kind.
        version: State version of its last change, for compare-and-set.
        spec_version: State version of the last change of its spec.
        spec: What operators declared.
        status: What the system reports.
    """

    kind: Kind
    name: str
    version: ids.StateVersion
    spec_version: ids.StateVersion
    spec: Spec
    status: Status = Status()
