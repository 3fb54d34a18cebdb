"""Carries out a core's effects on disk without blocking the event loop.

Writes and syncs run in threads. A log sync goes on while further entries are
written, so that one sync covers all that came meanwhile. A failed sync ends the
process: what is on disk is then unknown. A full disk is told to the caller as
`DiskFullError`.
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

_NO_ROOM = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)
_RETRY_PUT_S = 0.01


class DiskFullError(Exception):
    """A write found no room; the disk is as it was before."""


def _catch_error(
    call: Callable[..., typing.Any], *arguments: typing.Any
) -> tuple[typing.Any, OSError | None]:
    """Makes a call and catches its failure.

    Args:
        call: The call.
        *arguments: Its arguments.

    Returns:
        Its result, and the failure if there was one.
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
        self._written = gevent.event.Event()
        # A sync must not meet a log file that is being replaced.
        self._lock = gevent.lock.BoundedSemaphore(1)

    def run_syncs(self) -> None:
        """Syncs the log after writes until the task is killed."""
        while True:
            self._written.wait()
            self._written.clear()
            with self._lock:
                index = ids.LogIndex(self._store.last_index)
                synced = core_events.LogSynced(index, self._generation)
                self._run_in_thread(self._store.sync_log)
            while not self._target.put(synced):
                gevent.sleep(_RETRY_PUT_S)

    def _run_in_thread(
        self, call: Callable[..., typing.Any], *arguments: typing.Any
    ) -> typing.Any:
        """Runs a blocking call in a thread while other tasks go on.

        Args:
            call: The call.
            *arguments: Its arguments.

        Returns:
            Its result.

        Raises:
            DiskFullError: If there was no room.
        """
        pool = gevent.hub.get_hub().threadpool
        # A thread that raises would print a trace of its own.
        value, error = pool.apply(_catch_error, (call, *arguments))
        if error is None:
            return value
        if error.errno in _NO_ROOM:
            raise DiskFullError(str(error)) from error
        supervisor.end_process(f"the data folder failed: {error}")
        raise error

    def carry_out(self, effect: core_effects.Effect) -> None:
        """Carries out one effect on term or log.

        Args:
            effect: The effect.

        Raises:
            DiskFullError: If there was no room; nothing has changed then.
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
                    self._run_in_thread(self._store.truncate, from_index)
                # Syncs of the earlier generation count no more.
                self._written.set()
            case core_effects.DropPrefix(to_index, term):
                self._drop_prefix(to_index, term)
            case core_effects.ResetLog(index, term, generation):
                self._generation = generation
                self._reset_log(index, term)

    def _append(self, entries: tuple[typing.Any, ...]) -> None:
        # A write waits for a disk that stalls just as a sync does; the other
        # tasks of the process must not wait with it.
        self._run_in_thread(self._store.append, entries)
        self._written.set()

    def _reset_log(self, index: ids.LogIndex, term: ids.Term) -> None:
        with self._lock:
            try:
                self._run_in_thread(self._store.reset_log, index, term)
            except DiskFullError:
                # The snapshot is in place; a start resets the log by itself.
                supervisor.end_process("no room to reset the log")

    def _drop_prefix(self, to_index: ids.LogIndex, term: ids.Term) -> None:
        with self._lock:
            try:
                self._run_in_thread(self._store.drop_prefix, to_index, term)
            except DiskFullError:
                # The longer log is still right; the next snapshot tries again.
                logs.log_event("log_not_shortened", index=to_index)

    def save_snapshot(self, snapshot: snapshot_format.Snapshot) -> bool:
        """Makes a snapshot the current one.

        Args:
            snapshot: The snapshot.

        Returns:
            Whether there was room for it.
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
            offset: Where it begins.
            size: Its greatest length.

        Returns:
            The bytes.
        """
        return self._store.read_snapshot_part(offset, size)

    def save_received_part(self, offset: int, data: bytes) -> None:
        """Keeps a part of a snapshot that is being received.

        Args:
            offset: Where it begins.
            data: The part.

        Raises:
            DiskFullError: If there was no room.
        """
        self._run_in_thread(self._store.save_received_part, offset, data)

    def take_received(
        self,
    ) -> result.Result[snapshot_format.Snapshot, faults.Fault]:
        """Makes the received snapshot the current one, if it is whole.

        Returns:
            The snapshot, or its fault.
        """
        try:
            return self._run_in_thread(self._store.take_received)
        except DiskFullError as error:
            return result.Failure(faults.Fault("snapshot", str(error)))

    def close(self) -> None:
        """Closes the files and gives the folder up."""
        self._store.close()
