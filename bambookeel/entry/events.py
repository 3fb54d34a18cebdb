"""Messages between the tasks of an entry process."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import view


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The regular message of a timer."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """A message from another process or from this one."""

    peer: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUp:
    """A link to a process has been established."""

    peer: ids.ProcessId
    role: messages.ProcessRole


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The link to a process has ended."""

    peer: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class ViewChanged:
    """The follower has published a new view."""

    view: view.View


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Control renewed a dispatch lease of this process.

    Attributes:
        service: The service.
        epoch: The holder's epoch.
        until_ms: When the lease ends, in ms on this process's monotonic clock.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopDispatching:
    """The process is stopping and hands its dispatch leases over."""
