"""What a plan consists of: changes to commit, orders to the platform, reasons.

Decisions give these records; the planner's task commits the changes and sends
the orders. Orders follow from the committed state only, so that a new leader
gives the same ones again, and each is idempotent at the platform.
"""

import dataclasses
import enum

from bambookeel.core import resources
from bambookeel.fleet import jobs
from bambookeel.fleet import records


class OrderKind(enum.Enum):
    """What the platform is asked to do with an instance."""

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
        kind: What to do.
        instance: With which instance.
        incarnation: The life that the order is meant for; a later one
            ignores it, so an order that arrives late does nothing.
        sequence: Version of the instance's resource; the platform drops an
            order with a lower one than it has seen.
        pool: The pool to assign to.
        task_id: The attempt that a task's order is for.
        cores: Cores that the attempt gets.
        memory_mb: Memory that the attempt gets.
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
        subject: The resource, as `kind/name`.
        action: What was decided.
        reason: Why.
        alternatives: What else was weighed.
        numbers: The figures behind it.
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
        before: The record that the change was decided on.
        after: The new record.
        guard_pool: The pool whose resource must be unchanged for this to be
            committed, because its budget was counted.
        is_planned: Whether it makes an available instance unavailable.
    """

    before: records.Instance
    after: records.Instance
    guard_pool: str
    is_planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobChange:
    """A new record of a job.

    Attributes:
        before: The record that the change was decided on.
        after: The new record.
    """

    before: jobs.Job
    after: jobs.Job


@dataclasses.dataclass(frozen=True, slots=True)
class StatusChange:
    """A new status of a pool or wave.

    Attributes:
        kind: The resource's kind.
        name: Its name.
        version: The version that it was decided on.
        status: The new status.
    """

    kind: resources.Kind
    name: str
    version: int
    status: resources.Status


@dataclasses.dataclass(frozen=True, slots=True)
class Adoption:
    """A new instance that the platform reports.

    Attributes:
        name: Its name.
        spec: Its pool, place and size.
    """

    name: str
    spec: resources.InstanceSpec


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The outcome of planning once.

    Attributes:
        instances: Changes of instances, at most one for each.
        statuses: New statuses of pools and waves.
        jobs: Changes of jobs.
        adoptions: Instances that are to be recorded.
        orders: Orders for the platform, from the state before this plan.
        decisions: Reasons.
    """

    instances: tuple[InstanceChange, ...] = ()
    statuses: tuple[StatusChange, ...] = ()
    jobs: tuple[JobChange, ...] = ()
    adoptions: tuple[Adoption, ...] = ()
    orders: tuple[Order, ...] = ()
    decisions: tuple[Decision, ...] = ()
