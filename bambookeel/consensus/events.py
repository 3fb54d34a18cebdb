"""What a consensus core is told; each step takes one of these."""

import dataclasses

from bambookeel.consensus import membership
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """A regular timer; the core compares its deadlines with the time."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A consensus message from another member."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalsMade:
    """Commands to append, in order."""

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LogSynced:
    """The log on disk is synced.

    Attributes:
        index: Last index that was written before the sync began.
        generation: The log's generation when it was written.
    """

    index: ids.LogIndex
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotMade:
    """A snapshot of the applied state is synced on disk."""

    index: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """A received snapshot is synced on disk and has replaced the state."""

    index: ids.LogIndex
    term: ids.Term
    membership: membership.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRejected:
    """A received snapshot was not whole; it starts again."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChangeRequested:
    """A change of the membership is wanted."""

    change: membership.Change


@dataclasses.dataclass(frozen=True, slots=True)
class NonMemberSeen:
    """A replica of the deployment that may not be a member yet."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverRequested:
    """Leadership should go to another voter, before a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is being stopped; comes again until it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """An index is wanted that covers every acknowledged change.

    Attributes:
        read_id: Comes back with the index.
        requester: The other process that asks; empty for the own one.
    """

    read_id: int
    requester: ids.ProcessId = ids.ProcessId("")


Event = (
    TimerDue
    | MessageReceived
    | ProposalsMade
    | LogSynced
    | SnapshotMade
    | SnapshotInstalled
    | SnapshotRejected
    | MembershipChangeRequested
    | NonMemberSeen
    | HandOverRequested
    | StopRequested
    | ReadRequested
)
