"""Carries out a core's effects on disk without blocking the event loop.

Writes and syncs run in threads. Entries may be written while the log is being
synced; the next sync then covers all of them. A failed sync ends the process,
also on a full disk, as the content of the disk is then unknown. If a write
fails on a full disk, the caller gets a `DiskFullError`.
"""

from collections.abc import Callable
import errno
import typing

import gevent
import gevent.event
import gevent.hub
import gevent.lock
from returns import result

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import events as core_events
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import supervisor
from bambookeel.storage import snapshot_format
from bambookeel.storage import store as replica_store

_DISK_FULL_ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_PUT_RETRY_S = 0.01


class DiskFullError(Exception):
    """A write failed on a full disk; the files are unchanged."""


def _catch_error(
    call: Callable[..., typing.Any], *arguments: typing.Any
) -> tuple[typing.Any, OSError | None]:
    """Calls a function and catches an `OSError`.

    Args:
        call: Function to call.
        *arguments: Arguments of the call.

    Returns:
        The function's result and None, or None and the error.
    """
    try:
        return call(*arguments), None
    except OSError as error:
        return None, error


class ReplicaDisk:
    """The store of one replica, with a task that syncs its log."""

    def __init__(
        self, store: replica_store.ReplicaStore, target: mailbox.Mailbox
    ) -> None:
        self._store = store
        self._target = target
        self._generation = 0
        self._sync_needed = gevent.event.Event()
        # A sync must not run while the log file is being replaced.
        self._lock = gevent.lock.BoundedSemaphore(1)

    def run_syncs(self) -> None:
        """Syncs the log after writes until the task is killed."""
        while True:
            self._sync_needed.wait()
            self._sync_needed.clear()
            with self._lock:
                index = ids.LogIndex(self._store.last_index)
                synced = core_events.LogSynced(index, self._generation)
                self._run_in_thread_or_end(self._store.sync_log)
            while not self._target.put(synced):
                gevent.sleep(_PUT_RETRY_S)

    def _run_in_thread(
        self, call: Callable[..., typing.Any], *arguments: typing.Any
    ) -> typing.Any:
        """Runs a blocking call in a thread, so that other tasks can run.

        Any other error than a full disk ends the process.

        Args:
            call: Function to call.
            *arguments: Arguments of the call.

        Returns:
            The function's result.

        Raises:
            DiskFullError: If the disk is full.
        """
        pool = gevent.hub.get_hub().threadpool
        # An exception in the thread would also print a traceback there.
        value, error = pool.apply(_catch_error, (call, *arguments))
        if error is None:
            return value
        if error.errno in _DISK_FULL_ERRORS:
            raise DiskFullError(str(error)) from error
        supervisor.end_process(f"the data folder failed: {error}")
        raise error

    def _run_in_thread_or_end(
        self, call: Callable[..., typing.Any], *arguments: typing.Any
    ) -> None:
        """Runs a blocking call whose failure cannot be undone.

        After a failed sync the system may drop what was not written and report
        success for the next sync, so that a full disk is no exception.

        Args:
            call: Function to call.
            *arguments: Arguments of the call.
        """
        try:
            self._run_in_thread(call, *arguments)
        except DiskFullError as error:
            supervisor.end_process(f"the data folder failed: {error}")
            raise

    def carry_out(self, effect: core_effects.Effect) -> None:
        """Carries out one effect on the term or the log.

        Args:
            effect: An effect of the core.

        Raises:
            DiskFullError: If the disk is full; the files are then unchanged.
        """
        match effect:
            case core_effects.PersistTerm(term, vote):
                self._run_in_thread(self._store.persist_term, term, vote)
            case core_effects.AppendEntries(entries, generation):
                self._generation = generation
                self._append(entries)
            case core_effects.TruncateLog(from_index, generation):
                self._generation = generation
                with self._lock:
                    self._run_in_thread_or_end(self._store.truncate, from_index)
                # Syncs of the earlier generation no longer count, so the log is
                # synced again.
                self._sync_needed.set()
            case core_effects.DropPrefix(to_index, term):
                self._drop_prefix(to_index, term)
            case core_effects.ResetLog(index, term, generation):
                self._generation = generation
                self._reset_log(index, term)

    def _append(self, entries: tuple[typing.Any, ...]) -> None:
        # A write may block on a stalled disk as a sync does, and must not block
        # the other tasks of the process.
        self._run_in_thread(self._store.append, entries)
        self._sync_needed.set()

    def _reset_log(self, index: ids.LogIndex, term: ids.Term) -> None:
        with self._lock:
            try:
                self._run_in_thread(self._store.reset_log, index, term)
            except DiskFullError:
                # The snapshot has been saved; the next start resets the log.
                supervisor.end_process("the disk is too full to reset the log")

    def _drop_prefix(self, to_index: ids.LogIndex, term: ids.Term) -> None:
        with self._lock:
            try:
                self._run_in_thread(self._store.drop_prefix, to_index, term)
            except DiskFullError:
                # The log is valid without the change; the next snapshot tries
                # to shorten it again.
                logs.log_event("log_not_shortened", index=to_index)

    def save_snapshot(self, snapshot: snapshot_format.Snapshot) -> bool:
        """Replaces the current snapshot.

        Args:
            snapshot: The new snapshot.

        Returns:
            False if the disk is full; the old snapshot then stays.
        """
        data = snapshot_format.encode_snapshot(snapshot)
        try:
            self._run_in_thread(self._store.save_snapshot, data)
        except DiskFullError:
            logs.log_event("snapshot_not_saved", reason="the disk is full")
            return False
        return True

    def read_snapshot_part(self, offset: int, size: int) -> bytes:
        """Reads a part of the current snapshot.

        Args:
            offset: Start of the part in bytes.
            size: Length of the part in bytes.

        Returns:
            The part; shorter than `size` at the end of the snapshot.
        """
        return self._store.read_snapshot_part(offset, size)

    def save_received_part(self, offset: int, data: bytes) -> None:
        """Saves a part of a snapshot that is being received.

        Args:
            offset: Start of the part in bytes.
            data: Content of the part.

        Raises:
            DiskFullError: If the disk is full.
        """
        self._run_in_thread(self._store.save_received_part, offset, data)

    def take_received(
        self,
    ) -> result.Result[snapshot_format.Snapshot, faults.Fault]:
        """Makes the received snapshot the current one, if it is valid.

        Returns:
            The snapshot, or why it was not accepted.
        """
        try:
            return self._run_in_thread(self._store.take_received)
        except DiskFullError as error:
            return result.Failure(faults.Fault("snapshot", str(error)))

    def close(self) -> None:
        """Closes the files and unlocks the folder."""
        self._store.close()
