"""Messages between the tasks of an entry process."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import view


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A timer's message."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """A message from a process, which may be the own one."""

    peer: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A link to a process is in use."""

    peer: ids.ProcessId
    role: messages.ProcessRole


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The link to a process has ended."""

    peer: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The follower has applied changes."""

    view: view.View


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Control renewed a dispatch lease of this process.

    Attributes:
        service: The service.
        epoch: The holder's epoch.
        until_ms: When the lease ends, on the own monotonic clock.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopDispatching:
    """The process stops: leases are to be handed over."""
