"""Records of a plan: changes to commit, orders to the platform, decisions.

The planning stages return these records; the planner task commits the changes
and sends the orders. Orders are derived from the committed state only, so that
a new leader sends the same ones again. The platform handles each idempotently.
"""

import dataclasses
import enum

from bambookeel.core import resources
from bambookeel.fleet import jobs
from bambookeel.fleet import records


class OrderKind(enum.Enum):
    """What the platform shall do with an instance or a task on it."""

    DRAIN = "drain"
    RESUME = "resume"
    REBOOT = "reboot"
    ASSIGN = "assign"
    START = "start"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    FORGET = "forget"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to the platform.

    Attributes:
        kind: The action to carry out.
        instance: Name of the instance.
        incarnation: The incarnation that the order is for; later ones ignore
            it, so a delayed order has no effect after a restart.
        sequence: Version of the instance's resource; the platform drops an
            order with a lower sequence than the highest it has received.
        pool: The pool to assign the instance to.
        task_id: The attempt that the order is for; empty for an order about
            the instance itself.
        cores: Cores to give to the attempt.
        memory_mb: Memory to give to the attempt.
    """

    kind: OrderKind
    instance: str
    incarnation: int
    sequence: int
    pool: str = ""
    task_id: str = ""
    cores: int = 0
    memory_mb: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """One decision with its reason, for the log and for `explain`.

    Attributes:
        subject: The affected resource, as `kind/name`.
        action: The change of state or pool.
        reason: Why it was decided.
        alternatives: Other options that were considered; may be empty.
        numbers: Figures of the pool's budget at the time.
    """

    subject: str
    action: str
    reason: str
    alternatives: str = ""
    numbers: dict[str, int | float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceChange:
    """A new record of an instance.

    Attributes:
        before: The record on which the decision was based.
        after: The new record.
        guard_pool: The pool on whose budget the decision was based; the
            commit fails if the pool's resource has changed since.
        is_planned: Whether it is a planned disruption, which makes an
            available instance unavailable.
    """

    before: records.Instance
    after: records.Instance
    guard_pool: str
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobChange:
    """A new record of a job.

    Attributes:
        before: The record on which the decision was based.
        after: The new record.
    """

    before: jobs.Job
    after: jobs.Job


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A new status of a pool or wave.

    Attributes:
        kind: The resource's kind.
        name: The resource's name.
        version: The resource version on which the decision was based.
        status: The new status.
    """

    kind: resources.Kind
    name: str
    version: int
    status: resources.Status


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """An instance that the platform reports and the state does not contain.

    Attributes:
        name: The instance's name.
        spec: Its pool, location and size as reported.
    """

    name: str
    spec: resources.InstanceSpec


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The result of one planning run.

    Attributes:
        instances: Changes of instances, at most one for each.
        statuses: New statuses of pools and waves.
        jobs: Changes of jobs, at most one for each.
        adoptions: Instances to add to the state.
        orders: Orders derived from the committed state, before this plan.
        decisions: The decisions behind the changes of instances, for the log.
    """

    instances: tuple[InstanceChange, ...] = ()
    statuses: tuple[StatusChange, ...] = ()
    jobs: tuple[JobChange, ...] = ()
    adoptions: tuple[Adoption, ...] = ()
    orders: tuple[Order, ...] = ()
    decisions: tuple[Decision, ...] = ()
