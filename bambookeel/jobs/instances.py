"""Instances as their provider lists them, and orders to the provider."""

from collections.abc import Callable
import dataclasses
import enum
import typing

import msgspec


class InstancePhase(enum.Enum):
    """What an instance is doing."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Instance(msgspec.Struct, frozen=True):
    """An instance.

    Attributes:
        name: Its name.
        pool: Its pool.
        phase: What it is doing.
        data_centre: Where it is.
        worker: Id of the worker that runs on it; empty for none.
    """

    name: str
    pool: str
    phase: InstancePhase
    data_centre: str
    worker: str = ""


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
    """What came of an order."""

    DONE = "done"
    # The instance is not up or leaves; a later try may do.
    BUSY = "busy"
    # No such instance, or not of that wave or kind of pool.
    IMPOSSIBLE = "impossible"
    # Too many orders; nothing was done.
    OVERLOADED = "overloaded"
    # It may have been carried out.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A leader that gives orders.

    Attributes:
        name: Its node's name.
        token: Fencing token as text; a number that grows with each holder.
        leads: Tells whether it still leads.
    """

    name: str
    token: str
    leads: Callable[[], bool]


class Provider(typing.Protocol):
    """Whoever moves instances and takes them down."""

    def list_instances(self) -> tuple[Instance, ...] | None:
        """Lists all instances.

        Returns:
            The instances; None when there was no whole answer.
        """

    def carry_out(self, order: Order, holder: Holder) -> OrderOutcome:
        """Carries an order out; the same order again does nothing more.

        Args:
            order: The order.
            holder: Who gives it.

        Returns:
            What came of it.
        """
