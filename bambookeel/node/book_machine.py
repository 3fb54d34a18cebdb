"""The job book as a state machine of the replicated log.

The leader applies its decisions to its own book before they are committed, one
batch at a time. The batch is not applied again when it commits. If the leader
loses its term first, the book is rebuilt from the committed entries.
"""

from collections.abc import Callable

from bambookeel.consensus import log as core_log
from bambookeel.control import replicated_state
from bambookeel.core import messages
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import commands
from bambookeel.storage import snapshot_format


class BookStateMachine:
    """Applies committed batches to the book."""

    def __init__(self, snapshot: snapshot_format.Snapshot | None) -> None:
        self.applied_index = 0
        self.applied_term = 0
        self.book = job_book.Book()
        self.get_log: Callable[[], core_log.Log] = core_log.Log
        self._snapshot_payload = b""
        self._snapshot_index = 0
        # Index and term of the batch that was applied before its commit.
        self._uncommitted_entry = (0, 0)
        if snapshot is not None:
            self.replace_state(snapshot)

    @property
    def has_uncommitted(self) -> bool:
        """Whether the book contains a batch that is not committed."""
        return self._uncommitted_entry[0] > self.applied_index

    def mark_uncommitted(self, index: int, term: int) -> None:
        """Records that the book already contains the batch of the next entry.

        Args:
            index: Index that the entry will have in the log.
            term: Term of the entry.
        """
        self._uncommitted_entry = (index, term)

    def apply_entry(self, entry: messages.LogEntry) -> tuple[None, None] | None:
        """Applies one committed entry, unless the book already contains it.

        Args:
            entry: The next entry of the log.

        Returns:
            A pair of None values for a batch; None if the entry has no batch.
        """
        is_applied = (entry.index, entry.term) == self._uncommitted_entry
        has_batch = bool(entry.payload) and not entry.is_membership
        if not is_applied and (
            has_batch or entry.index == self._uncommitted_entry[0]
        ):
            self.drop_uncommitted()
        replicated_state.record_applied(self, entry)
        if not has_batch:
            return None
        if not is_applied:
            self._apply_batch(entry.payload)
        return None, None

    def _apply_batch(self, payload: bytes) -> None:
        for command in commands.decode_batch(payload):
            self.book.apply(command)

    def replace_state(self, snapshot: snapshot_format.Snapshot) -> None:
        """Replaces the book with that of a snapshot.

        Args:
            snapshot: Snapshot to load.
        """
        self._snapshot_payload = snapshot.payload
        self._snapshot_index = snapshot.head.last_index
        self._uncommitted_entry = (0, 0)
        self.book = book_snapshot.decode_book(snapshot.payload)
        self.applied_index = snapshot.head.last_index
        self.applied_term = snapshot.head.last_term

    def encode_state(self) -> bytes | None:
        """Encodes the book for a snapshot.

        Returns:
            The encoded book; None while it contains an uncommitted batch.
        """
        if self.has_uncommitted:
            return None
        self._snapshot_payload = book_snapshot.encode_book(self.book)
        self._snapshot_index = self.applied_index
        return self._snapshot_payload

    def drop_uncommitted(self) -> None:
        """Rebuilds the book if it contains an uncommitted batch."""
        if self.has_uncommitted:
            self.rebuild()

    def rebuild(self) -> None:
        """Rebuilds the book from the snapshot and the committed entries."""
        self._uncommitted_entry = (0, 0)
        self.book = book_snapshot.decode_book(self._snapshot_payload)
        first = self._snapshot_index + 1
        log = self.get_log()
        for entry in core_log.get_entries(log, first, self.applied_index):
            if not entry.is_membership and entry.payload:
                self._apply_batch(entry.payload)
