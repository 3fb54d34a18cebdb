"""What a consensus core wants done, in the order in which it must be done."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PersistTerm:
    """Syncs term and vote to disk before any later effect."""

    term: ids.Term
    vote: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntries:
    """Writes entries to the log; a sync must follow, its end is an event."""

    entries: tuple[messages.LogEntry, ...]
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class TruncateLog:
    """Drops an entry and all after it from the log on disk."""

    from_index: ids.LogIndex
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class DropPrefix:
    """Drops entries that a snapshot covers from the log on disk."""

    to_index: ids.LogIndex
    term: ids.Term


@dataclasses.dataclass(frozen=True, slots=True)
class ResetLog:
    """Empties the log on disk; it goes on after a snapshot."""

    index: ids.LogIndex
    term: ids.Term
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to a member; it may get lost."""

    to: ids.MemberId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendSnapshotPart:
    """Sends the part of the newest snapshot that begins at an offset."""

    to: ids.MemberId
    term: ids.Term
    offset: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshotPart:
    """Saves a received part; the last one makes the snapshot current."""

    part: messages.SnapshotPart


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Entries that are committed, to be applied in order."""

    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """The core became leader of its term, or ceased to be."""

    term: ids.Term
    is_leader: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalsRefused:
    """The proposals of this step were not appended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """The state at `index` or later answers the read."""

    read_id: int
    index: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRefused:
    """The read cannot be answered here."""

    read_id: int


Effect = (
    PersistTerm
    | AppendEntries
    | TruncateLog
    | DropPrefix
    | ResetLog
    | Send
    | SendSnapshotPart
    | SaveSnapshotPart
    | Commit
    | RoleChanged
    | ProposalsRefused
    | ReadConfirmed
    | ReadRefused
)
