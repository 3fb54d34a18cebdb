"""Effects of a core step, which its caller must carry out in order."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class PersistTerm:
    """Writes and syncs term and vote before any later effect."""

    term: ids.Term
    vote: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntries:
    """Appends entries to the log file, whose sync is reported as an event."""

    entries: tuple[messages.LogEntry, ...]
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class TruncateLog:
    """Removes an entry and all later ones from the log on disk."""

    from_index: ids.LogIndex
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class DropPrefix:
    """Removes entries that a snapshot covers from the log on disk."""

    to_index: ids.LogIndex
    term: ids.Term


@dataclasses.dataclass(frozen=True, slots=True)
class ResetLog:
    """Empties the log on disk; the next entry follows a snapshot at `index`."""

    index: ids.LogIndex
    term: ids.Term
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Sends a message to a member; delivery is not guaranteed."""

    to: ids.MemberId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class SendSnapshotPart:
    """Sends the part of the newest snapshot that begins at `offset` bytes."""

    to: ids.MemberId
    term: ids.Term
    offset: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshotPart:
    """Saves a received part; after the last one the snapshot is installed."""

    part: messages.SnapshotPart


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Applies newly committed entries in order."""

    entries: tuple[messages.LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """The core became the leader of its term or ceased to be the leader."""

    term: ids.Term
    is_leader: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ProposalsRefused:
    """The proposals of this step were rejected and not appended."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """The read may be served from the state at `index` or later."""

    read_id: int
    index: ids.LogIndex


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRefused:
    """The read cannot be served by this replica."""

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
