"""The leader's view of instances: what they are, and what is meant for them.

A goal is a move or an upkeep. Its instance gets no new work, is ordered when it
is empty or may be interrupted, and counts as away until it is heard again.
"""

import dataclasses
import enum

from bambookeel.jobs import instances
from bambookeel.jobs import specs


class GoalPhase(enum.Enum):
    """How far a goal has come."""

    DRAINING = "draining"
    ORDERED = "ordered"
    AWAY = "away"


@dataclasses.dataclass(slots=True)
class Goal:
    """What is meant for an instance.

    Attributes:
        order: The order to the provider.
        since_ms: When its phase began.
        phase: How far it has come.
        life: The worker that ran there when the order was carried out.
        from_pool: The pool that the instance is in.
        is_repeated: Whether an earlier order, maybe by another leader, may have
            been carried out.
        first_life: The worker that ran there at the first order.
    """

    order: instances.Order
    since_ms: int
    from_pool: str
    phase: GoalPhase = GoalPhase.DRAINING
    life: specs.WorkerLife | None = None
    is_repeated: bool = False
    first_life: specs.WorkerLife | None = None


@dataclasses.dataclass(slots=True)
class InstanceStatus:
    """What is known of an instance.

    Attributes:
        pool: Its pool.
        phase: What it is doing.
        listed_ms: When the list said so.
        retry_ms: Before this no order for it is tried again.
    """

    pool: str
    phase: instances.InstancePhase
    listed_ms: int
    retry_ms: int = 0


@dataclasses.dataclass(slots=True)
class Fleet:
    """All instances and goals.

    Attributes:
        statuses: Instances by name.
        goals: Goals by instance.
        asked_ms: When the list was last asked for.
        listed_ms: When a list last came; 0 for never.
        is_listing: Whether a list is on its way.
    """

    statuses: dict[str, InstanceStatus] = dataclasses.field(
        default_factory=dict
    )
    goals: dict[str, Goal] = dataclasses.field(default_factory=dict)
    asked_ms: int = -(1 << 40)
    listed_ms: int = 0
    is_listing: bool = False


def update_from_list(
    fleet: Fleet, listed: tuple[instances.Instance, ...], asked_ms: int
) -> None:
    """Takes the provider's list.

    Args:
        fleet: The fleet.
        listed: All instances.
        asked_ms: When the list was asked for.
    """
    fleet.listed_ms = asked_ms
    names = set()
    for instance in listed:
        names.add(instance.name)
        known = fleet.statuses.get(instance.name)
        retry_ms = known.retry_ms if known is not None else 0
        fleet.statuses[instance.name] = InstanceStatus(
            instance.pool, instance.phase, asked_ms, retry_ms
        )
    for name in list(fleet.statuses):
        if name not in names:
            del fleet.statuses[name]
            fleet.goals.pop(name, None)


def is_back(fleet: Fleet, name: str, goal: Goal) -> bool:
    """Tells whether the list shows an instance as up after its order.

    Args:
        fleet: The fleet.
        name: The instance.
        goal: Its goal, whose order was carried out.

    Returns:
        Whether a list that was asked for later says so.
    """
    known = fleet.statuses.get(name)
    if known is None or known.phase is not instances.InstancePhase.UP:
        return False
    return known.listed_ms > goal.since_ms
