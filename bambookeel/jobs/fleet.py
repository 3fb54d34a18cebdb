"""The leader's view of instances: their state and their goals.

A goal is a move or an upkeep. An instance with a goal gets no new work. Its
order is sent to the provider once the instance is empty or may be interrupted.
It then counts as away until the provider's list shows that it is back. A report
shows that only if it cannot have been sent before the order was carried out.
"""

import dataclasses
import enum

from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# Before any time of the steady clock.
_NEVER_MS = -(1 << 40)
# Time for which a worker reports after an upkeep until its instance counts as
# back for tasks that fit nowhere else. Single reports may be older.
_RETURNED_MS = 1_000


class GoalPhase(enum.Enum):
    """Progress of a goal."""

    DRAINING = "draining"
    ORDERED = "ordered"
    AWAY = "away"


@dataclasses.dataclass(slots=True)
class Goal:
    """A move or an upkeep that an instance is to go through.

    Attributes:
        order: Order to send to the provider.
        since_ms: Start of the current phase, on the steady clock.
        from_pool: Pool of the instance when the goal was set.
        phase: Current phase.
        incarnation: Worker on the instance when the order was last sent; None
            if no worker was known.
        has_earlier_order: Whether an earlier order, possibly from another
            leader, may already have been carried out.
        first_incarnation: Worker on the instance when the first order that may
            have been carried out was sent; None if that is not known.
        is_unanswered: Whether the last two orders or more got no answer.
    """

    order: instances.Order
    since_ms: int
    from_pool: str
    phase: GoalPhase = GoalPhase.DRAINING
    incarnation: specs.WorkerIncarnation | None = None
    has_earlier_order: bool = False
    first_incarnation: specs.WorkerIncarnation | None = None
    is_unanswered: bool = False


@dataclasses.dataclass(slots=True)
class InstanceStatus:
    """Last known state of an instance.

    Attributes:
        pool: Pool from the provider's list or from a later worker report.
        phase: Phase from the provider's list.
        listed_ms: When that list was requested, on the steady clock.
        retry_at_ms: Earliest time of the next order after a failed one.
        capacity: Resources of a worker on it.
        labels: Labels of a worker on it.
        data_centre: Data centre of the instance; empty if unknown.
    """

    pool: str
    phase: instances.InstancePhase
    listed_ms: int
    retry_at_ms: int = 0
    capacity: specs.Resources = specs.Resources()
    labels: tuple[str, ...] = ()
    data_centre: str = ""


@dataclasses.dataclass(slots=True)
class Fleet:
    """All instances and their goals.

    Attributes:
        statuses: Status of each instance, by its name.
        goals: Goal of each instance that has one, by its name.
        requested_ms: When the provider's list was last requested.
        listed_ms: When the newest list received was requested; 0 before the
            first one.
        is_listing: Whether a request for the list is in flight.
        return_reported_ms: When a report was last received that suggests that
            an instance is back from its upkeep, on the steady clock.
    """

    statuses: dict[str, InstanceStatus] = dataclasses.field(
        default_factory=dict
    )
    goals: dict[str, Goal] = dataclasses.field(default_factory=dict)
    requested_ms: int = _NEVER_MS
    listed_ms: int = 0
    is_listing: bool = False
    return_reported_ms: int = _NEVER_MS

    def find_goal_pool(self, instance: str) -> str:
        """Finds the pool to which an instance is being moved.

        Args:
            instance: Name of the instance.

        Returns:
            Name of the pool; empty if the instance is not being moved.
        """
        goal = self.goals.get(instance)
        if goal is not None and isinstance(goal.order, instances.Move):
            return goal.order.pool
        return ""


def update_from_list(
    fleet: Fleet, listed: tuple[instances.Instance, ...], requested_ms: int
) -> None:
    """Updates the fleet from the provider's list.

    Instances that are no longer listed are removed, together with their goals.

    Args:
        fleet: The fleet, which is changed.
        listed: All instances of the provider.
        requested_ms: When the list was requested, on the steady clock.
    """
    fleet.listed_ms = requested_ms
    names = set()
    for instance in listed:
        names.add(instance.name)
        status = fleet.statuses.get(instance.name)
        retry_at_ms = status.retry_at_ms if status is not None else 0
        fleet.statuses[instance.name] = InstanceStatus(
            instance.pool,
            instance.phase,
            requested_ms,
            retry_at_ms,
            instance.capacity,
            instance.labels,
            instance.data_centre,
        )
    for name in list(fleet.statuses):
        if name not in names:
            del fleet.statuses[name]
            fleet.goals.pop(name, None)


def is_up_again(fleet: Fleet, name: str, goal: Goal) -> bool:
    """Returns whether the list shows an instance as up after its order.

    Args:
        fleet: The fleet.
        name: Name of the instance.
        goal: The instance's goal, whose order has been carried out.

    Returns:
        True if a list that was requested after the order shows it as up.
    """
    status = fleet.statuses.get(name)
    if status is None or status.phase is not instances.InstancePhase.UP:
        return False
    return status.listed_ms > goal.since_ms


def works_on(
    fleet: Fleet, worker: worker_table.Worker, now_ms: int, settled_ms: int
) -> bool:
    """Returns whether an instance works on although it has a goal.

    Orders for its upkeep get no answer, or none has been sent: the standing
    tasks that it runs may wait for one that has room only on this instance. Or
    it is back from its upkeep, and the provider's list does not come.

    Args:
        fleet: All instances and their goals.
        worker: Worker on the instance.
        now_ms: Steady-clock time in milliseconds.
        settled_ms: Time in milliseconds after which an order without an answer
            does not reach the provider any more.

    Returns:
        True if no order for its upkeep is on its way, or if the worker has
        reported for a while since the order was carried out.
    """
    goal = fleet.goals.get(worker.report.instance)
    if goal is None:
        return False
    is_upkeep = isinstance(goal.order, instances.Upkeep)
    match goal.phase:
        case GoalPhase.DRAINING:
            is_settled = (
                not goal.has_earlier_order
                or now_ms - goal.since_ms >= settled_ms
            )
            return goal.is_unanswered or (is_upkeep and is_settled)
        case GoalPhase.AWAY:
            since_ms = max(worker.first_report_ms, goal.since_ms)
            is_reporting = worker.last_report_ms - since_ms >= _RETURNED_MS
            is_other_life = worker.incarnation != goal.incarnation
            return is_upkeep and is_other_life and is_reporting
    return False


def has_outlasted_order(
    goal: Goal, worker: worker_table.Worker | None, settled_ms: int
) -> bool:
    """Returns whether a worker reports on after orders without an answer.

    It counts as available then. Otherwise two instances that run tasks of one
    step could each wait for the other one without end.

    Args:
        goal: Goal of the worker's instance.
        worker: The worker as last reported; None if it is not known.
        settled_ms: Time in milliseconds after which an order without an answer
            does not reach the provider any more.

    Returns:
        True if it has reported since the last order was settled.
    """
    return (
        goal.is_unanswered
        and goal.phase is GoalPhase.DRAINING
        and worker is not None
        and worker.incarnation == goal.incarnation
        and worker.last_report_ms >= goal.since_ms + settled_ms
    )


def has_moved_unconfirmed(goal: Goal, service: str) -> bool:
    """Returns whether a move was carried out although no answer was received.

    Args:
        goal: Goal of the instance.
        service: Service that the worker on the instance has reported.

    Returns:
        True if the move may have been carried out and the worker reports from
        the pool that was the target of the move.
    """
    if goal.phase is not GoalPhase.DRAINING or not goal.has_earlier_order:
        return False
    match goal.order:
        case instances.Move(_, pool):
            return service == pool
    return False


def find_ended_worker(goal: Goal) -> specs.WorkerIncarnation | None:
    """Finds the worker that an order has certainly ended.

    Args:
        goal: Goal whose order has been carried out.

    Returns:
        The worker; None if it may have started after an earlier order that was
        carried out.
    """
    if goal.has_earlier_order and goal.incarnation != goal.first_incarnation:
        return None
    return goal.incarnation
