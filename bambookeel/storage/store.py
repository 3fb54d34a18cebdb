"""The data that one replica keeps on disk, as the core's effects require it.

Opening the store recovers term, log and snapshot and truncates a torn write at
the end of the log. Damaged data is returned as a `Fault`, after which the
process must end. Writes raise `OSError`, which the caller handles: a full disk
only rejects the write, whereas a failed sync ends the process.
"""

import dataclasses
import secrets
import typing

from returns import result

from bambookeel.consensus import core
from bambookeel.consensus import log as core_log
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.storage import log_format
from bambookeel.storage import small_files
from bambookeel.storage import snapshot_format

_IDENTITY = "identity"
_TERM = "term"
_LOG = "log"
_SNAPSHOT = "snapshot"
_RECEIVED = "snapshot-received"
_DISK_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedReplica:
    """Content of a data folder when it was opened.

    Attributes:
        member: Member id, built from process and disk.
        recovered: State that the core starts from.
        snapshot: Newest snapshot; None before the first.
        torn_bytes: Number of bytes truncated from the end of the log.
    """

    member: ids.MemberId
    recovered: core.RecoveredState
    snapshot: snapshot_format.Snapshot | None
    torn_bytes: int


class ReplicaStore:
    """The open files of a replica."""

    def __init__(
        self, folder: typing.Any, scanned: log_format.ScannedLog
    ) -> None:
        self._folder = folder
        self._log = folder.open_append(_LOG)
        self._base_index = int(scanned.base_index)
        self._offsets = list(scanned.offsets)
        self._received = folder.open_append(_RECEIVED)
        # Last index that a sync has certainly covered.
        self._synced_index = self._base_index
        self.sync_count = 0

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log file."""
        return self._base_index + len(self._offsets)

    def persist_term(self, term: ids.Term, vote: ids.MemberId) -> None:
        """Writes and syncs term and vote.

        Args:
            term: Current term of the member.
            vote: Member voted for in `term`; empty for none.
        """
        record = small_files.TermRecord(term, vote)
        self._folder.replace(_TERM, small_files.encode_record(record))

    def append(self, entries: tuple[messages.LogEntry, ...]) -> None:
        """Appends all of the entries or none of them, without a sync.

        Args:
            entries: Consecutive entries that follow the last one.
        """
        faults.check_invariant(
            entries[0].index == self.last_index + 1,
            f"entry {entries[0].index} does not follow the last entry"
            f" {self.last_index} of the log file",
        )
        encoded = [
            log_format.encode_record(entry, self._synced_index)
            for entry in entries
        ]
        offset = self._log.size
        self._log.append(b"".join(encoded))
        for record in encoded:
            self._offsets.append(offset)
            offset += len(record)

    def sync_log(self) -> None:
        """Syncs the log; blocks, so it must not run on the event loop."""
        # Entries may be appended during the sync.
        index = self.last_index
        self._log.sync()
        self._synced_index = max(self._synced_index, index)
        self.sync_count += 1

    def truncate_torn_end(self, valid_bytes: int) -> int:
        """Truncates a torn write after the last valid record, and syncs.

        Args:
            valid_bytes: Length of the file up to the end of the last valid
                record.

        Returns:
            Number of truncated bytes.
        """
        torn_bytes = self._log.size - valid_bytes
        if torn_bytes:
            self._log.truncate(valid_bytes)
        # Entries that were written but not synced before the crash count as
        # synced from now on.
        self._log.sync()
        self._synced_index = self.last_index
        return torn_bytes

    def truncate(self, from_index: int) -> None:
        """Removes an entry and all later ones, and syncs.

        Without the sync, a crash could leave old records after new ones.

        Args:
            from_index: First index that is removed.
        """
        position = from_index - self._base_index - 1
        self._log.truncate(self._offsets[position])
        del self._offsets[position:]
        self._log.sync()
        self._synced_index = self.last_index

    def drop_prefix(self, to_index: int, term: int) -> None:
        """Removes the entries up to an index by writing a new log file.

        Args:
            to_index: Last index that is removed.
            term: Term of the entry at `to_index`.
        """
        count = to_index - self._base_index
        if count <= 0:
            return
        data = self._folder.read(_LOG) or b""
        start = len(data)
        if count < len(self._offsets):
            start = self._offsets[count]
        header = log_format.encode_header(to_index, term)
        self._replace_log(header + data[start:])
        moved = start - len(header)
        self._offsets = [offset - moved for offset in self._offsets[count:]]
        self._base_index = to_index

    def reset_log(self, index: int, term: int) -> None:
        """Empties the log, so that the next entry follows a snapshot.

        Args:
            index: Last index that the snapshot covers.
            term: Term of the entry at `index`.
        """
        self._replace_log(log_format.encode_header(index, term))
        self._offsets = []
        self._base_index = index
        self._synced_index = index

    def _replace_log(self, data: bytes) -> None:
        self._folder.replace(_LOG, data)
        self._log.close()
        self._log = self._folder.open_append(_LOG)

    def save_snapshot(self, data: bytes) -> None:
        """Replaces the current snapshot.

        Args:
            data: Snapshot as encoded by `snapshot_format`.
        """
        self._folder.replace(_SNAPSHOT, data)

    def read_snapshot_part(self, offset: int, size: int) -> bytes:
        """Reads a part of the current snapshot.

        Args:
            offset: Byte offset of the part.
            size: Maximum length in bytes.

        Returns:
            The bytes; fewer than `size` at the end of the snapshot.
        """
        return self._folder.read_part(_SNAPSHOT, offset, size)

    def save_received_part(self, offset: int, data: bytes) -> None:
        """Saves a part of a snapshot that is being received.

        Args:
            offset: Byte offset of the part; later bytes saved before are
                discarded, so that 0 starts again.
            data: Bytes of the part.
        """
        self._received.truncate(offset)
        self._received.append(data)

    def take_received(
        self,
    ) -> result.Result[snapshot_format.Snapshot, faults.Fault]:
        """Makes the received snapshot the current one, if it is valid.

        Returns:
            The snapshot, or a fault if it is truncated or damaged.
        """
        data = self._folder.read(_RECEIVED) or b""
        self._received.truncate(0)
        match snapshot_format.decode_snapshot(data):
            case result.Success(snapshot):
                self.save_snapshot(data)
                return result.Success(snapshot)
            case failure:
                return failure

    def close(self) -> None:
        """Closes the files and unlocks the folder."""
        self._log.close()
        self._received.close()
        self._folder.close()


def _load_identity(
    folder: typing.Any, process_id: ids.ProcessId
) -> result.Result[ids.MemberId, faults.Fault]:
    """Reads the disk's identity, or creates one in a new folder.

    Args:
        folder: Locked data folder.
        process_id: Process that the folder must belong to.

    Returns:
        The member id, or a fault if the identity is missing, damaged or of
        another process.
    """
    data = folder.read(_IDENTITY)
    if data is None:
        if folder.read(_LOG) or folder.read(_SNAPSHOT) or folder.read(_TERM):
            message = "the identity is missing but there is older data"
            return result.Failure(faults.Fault(_IDENTITY, message))
        disk = secrets.token_hex(_DISK_ID_BYTES)
        record = small_files.IdentityRecord(process_id, disk)
        folder.replace(_IDENTITY, small_files.encode_record(record))
        return result.Success(membership.build_member_id(process_id, disk))
    match small_files.decode_record(
        _IDENTITY, data, small_files.IdentityRecord
    ):
        case result.Success(record) if record.process_id != process_id:
            message = f"the folder belongs to {record.process_id}"
            return result.Failure(faults.Fault(_IDENTITY, message))
        case result.Success(record):
            member = membership.build_member_id(process_id, record.disk)
            return result.Success(member)
        case failure:
            return failure


def _load_term(
    folder: typing.Any,
) -> result.Result[small_files.TermRecord, faults.Fault]:
    data = folder.read(_TERM)
    if data is None:
        empty = small_files.TermRecord(ids.Term(0), records.NO_MEMBER)
        return result.Success(empty)
    return small_files.decode_record(_TERM, data, small_files.TermRecord)


def _load_snapshot(
    folder: typing.Any,
) -> result.Result[snapshot_format.Snapshot | None, faults.Fault]:
    data = folder.read(_SNAPSHOT)
    if data is None:
        return result.Success(None)
    return snapshot_format.decode_snapshot(data)


def _load_log(
    folder: typing.Any, snapshot: snapshot_format.Snapshot | None
) -> result.Result[log_format.ScannedLog, faults.Fault]:
    """Reads the log, and resets it if it lacks the snapshot's last entry.

    Args:
        folder: Locked data folder.
        snapshot: Newest snapshot; None before the first.

    Returns:
        Content of the log file, or a fault if it is damaged or starts after the
        snapshot's end.
    """
    data = folder.read(_LOG)
    if data is None:
        folder.replace(_LOG, log_format.encode_header(0, 0))
        data = folder.read(_LOG)
    match log_format.scan_log(data):
        case result.Failure(fault):
            return result.Failure(fault)
        case result.Success(scanned):
            pass
    last_index = snapshot.head.last_index if snapshot else ids.LogIndex(0)
    last_term = snapshot.head.last_term if snapshot else ids.Term(0)
    if scanned.base_index > last_index:
        message = f"the log begins after entry {scanned.base_index}, but the"
        message += f" snapshot ends at entry {last_index}"
        return result.Failure(faults.Fault(_LOG, message))
    log = core_log.Log(scanned.base_index, scanned.base_term, scanned.entries)
    if core_log.get_term(log, last_index) == last_term:
        return result.Success(scanned)
    # The process ended after it had saved a received snapshot and before it
    # had reset the log.
    folder.replace(_LOG, log_format.encode_header(last_index, last_term))
    return log_format.scan_log(folder.read(_LOG))


def open_store(
    folder: typing.Any, process_id: ids.ProcessId
) -> result.Result[tuple[ReplicaStore, LoadedReplica], faults.Fault]:
    """Opens a replica's files and recovers their content.

    Args:
        folder: Locked data folder.
        process_id: Process that the folder must belong to.

    Returns:
        The store and its content, or a fault that must end the process.
    """
    return result.Result.do(
        _build_store(folder, member, term_record, snapshot, scanned)
        for member in _load_identity(folder, process_id)
        for term_record in _load_term(folder)
        for snapshot in _load_snapshot(folder)
        for scanned in _load_log(folder, snapshot)
    )


def _build_store(
    folder: typing.Any,
    member: ids.MemberId,
    term_record: small_files.TermRecord,
    snapshot: snapshot_format.Snapshot | None,
    scanned: log_format.ScannedLog,
) -> tuple[ReplicaStore, LoadedReplica]:
    """Builds the store and truncates a torn write at the end of the log.

    Args:
        folder: Locked data folder.
        member: Member id, built from process and disk.
        term_record: Last synced term and vote.
        snapshot: Newest snapshot; None before the first.
        scanned: Content of the log file.

    Returns:
        The store and the content of the folder.
    """
    store = ReplicaStore(folder, scanned)
    torn_bytes = store.truncate_torn_end(scanned.valid_bytes)
    head = snapshot.head if snapshot else None
    recovered = core.RecoveredState(
        term_record.term,
        term_record.vote,
        core_log.Log(scanned.base_index, scanned.base_term, scanned.entries),
        head.members if head else membership.Membership(),
        head.last_index if head else 0,
        head.last_term if head else 0,
    )
    return store, LoadedReplica(member, recovered, snapshot, torn_bytes)
