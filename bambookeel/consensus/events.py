"""Events that a consensus core handles, one per step."""

import dataclasses

from bambookeel.consensus import membership
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class TimerDue:
    """A periodic timer fired; the core checks its deadlines."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A consensus message from another member arrived."""

    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalsMade:
    """Commands were proposed, to be appended in order."""

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LogSynced:
    """A sync of the log file has finished.

    Attributes:
        index: Last index written before the sync began.
        generation: Log generation in which that entry was written; a sync of an
            earlier generation does not count.
    """

    index: ids.LogIndex
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotMade:
    """A snapshot of the applied state was written and synced."""

    index: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotInstalled:
    """A received snapshot was synced and has replaced the applied state."""

    index: ids.LogIndex
    term: ids.Term
    membership: membership.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRejected:
    """A received snapshot was damaged; its transfer starts again."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChangeRequested:
    """A membership change was requested."""

    change: membership.Change


@dataclasses.dataclass(frozen=True, slots=True)
class NonMemberSeen:
    """A replica of the deployment made contact; it may not be a member yet."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverRequested:
    """A hand-over of leadership was requested, before a planned stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is stopping; the event is repeated until it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRequested:
    """A read needs an index that covers every acknowledged change.

    Attributes:
        read_id: Identifies the read in the resulting effect.
        requester: Process that requested the read; empty for this process.
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
