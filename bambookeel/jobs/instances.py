"""Instances as the provider lists them, and orders to the provider."""

from collections.abc import Callable
import dataclasses
import enum
import typing

import msgspec

from bambookeel.jobs import specs


class InstancePhase(enum.Enum):
    """State of an instance, as the provider lists it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Instance(msgspec.Struct, frozen=True):
    """One entry of the provider's list.

    Attributes:
        name: Unique name of the instance.
        pool: Pool that the instance belongs to.
        phase: State of the instance.
        data_centre: Data centre of the instance.
        worker: Id of the worker that runs on it; empty if there is none.
        capacity: Resources of a worker on it.
        labels: Labels of a worker on it; the last one is the rack.
    """

    name: str
    pool: str
    phase: InstancePhase
    data_centre: str
    worker: str = ""
    capacity: specs.Resources = specs.Resources()
    labels: tuple[str, ...] = ()


class Move(msgspec.Struct, frozen=True):
    """Moves an instance to a pool; ends everything that runs on it."""

    instance: str
    pool: str


class Upkeep(msgspec.Struct, frozen=True):
    """Takes an instance down for upkeep; ends everything that runs on it."""

    instance: str
    wave: int


Order = Move | Upkeep


class OrderOutcome(enum.Enum):
    """Result of an order to the provider."""

    DONE = "done"
    # The instance is not up, or is leaving; a later attempt may succeed.
    BUSY = "busy"
    # There is no such instance, or it is of another wave or of the wrong kind
    # of pool.
    IMPOSSIBLE = "impossible"
    # The provider has too many orders; this one was not carried out.
    OVERLOADED = "overloaded"
    # The result is not known; the order may have been carried out.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The leader that sends orders, as the holder of the provider's lease.

    Attributes:
        name: Name of the leader's node.
        token: Fencing token: a decimal number that grows with each holder.
        leads: Returns whether the node is still the leader.
    """

    name: str
    token: str
    leads: Callable[[], bool]


class Provider(typing.Protocol):
    """Service that moves instances and takes them down for upkeep."""

    def list_instances(self) -> tuple[Instance, ...] | None:
        """Lists all instances.

        Returns:
            The instances; None if no complete answer was received.
        """

    def carry_out(self, order: Order, holder: Holder) -> OrderOutcome:
        """Carries out an order; repeating the same order has no effect.

        Args:
            order: The order.
            holder: Leader that sends the order.

        Returns:
            Result of the order.
        """
