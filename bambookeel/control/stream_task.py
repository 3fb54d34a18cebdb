"""Streams changes of the state to entries and to watching operators.

Owns the subscribers and watchers of this control process, and the table of the
versions that entries have applied. Entries may subscribe to any replica, which
sends them the changes that it has applied itself.
"""

from bambookeel.control import events
from bambookeel.control import follower_table
from bambookeel.control import replica_task
from bambookeel.control import streams
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers

_TICK_MS = 500
# An entry that is behind by at least this time is logged.
_MIN_BEHIND_MS = 3_000


class StreamTask:
    """Owns the streams of this control process."""

    def __init__(
        self,
        replica: replica_task.ReplicaTask,
        send: replica_task.SendMessage,
        entries: tuple[ids.ProcessId, ...] = (),
    ) -> None:
        self.mailbox = mailbox.Mailbox("streams")
        self.followers = follower_table.FollowerTable(entries)
        self._replica = replica
        self._streams = streams.Streams(send)
        # The changes before the state loaded from disk are not known.
        self._streams.replace(replica.view.state)
        self._behind: set[ids.ProcessId] = set()

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Subscribes this task to its periodic timer.

        Args:
            service: Timer service of the process.
        """
        service.subscribe(self.mailbox, _TICK_MS, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self._handle(self.mailbox.get(), clock.read_now_ms())

    def _handle(self, event: object, now_ms: int) -> None:
        match event:
            case events.Tick():
                self._catch_up(now_ms)
                self._log_behind(now_ms)
            case events.Committed(state, changed, replaces):
                if replaces:
                    self._streams.replace(state)
                else:
                    self._streams.publish(state, changed)
                self.followers.record_commit(state.version, now_ms)
            case events.FromPeer(peer, messages.Subscribe() as subscribe):
                self._catch_up(now_ms)
                self._streams.subscribe(peer, subscribe)
            case events.FromPeer(peer, messages.EntryHeartbeat() as report):
                self.followers.record_report(
                    peer, report.applied_version, report.stopping, now_ms
                )
            case events.PeerDown(peer):
                self._streams.unsubscribe(peer)
            case events.Watch(from_version, watcher, reply):
                self._catch_up(now_ms)
                reply.set(self._streams.watch(from_version, watcher))
            case events.Unwatch(watcher):
                self._streams.unwatch(watcher)

    def _catch_up(self, now_ms: int) -> None:
        """Replaces the streams' state if the replica's view is newer.

        This happens after a state was loaded or installed without its changes.

        Args:
            now_ms: Current time on the monotonic clock.
        """
        if self.mailbox.get_depth() > 0:
            # These messages may contain the changes up to the view.
            return
        state = self._replica.view.state
        if state.version <= self._streams.get_state().version:
            return
        self._streams.replace(state)
        self.followers.record_commit(state.version, now_ms)

    def _log_behind(self, now_ms: int) -> None:
        """Logs entries that have fallen behind or have caught up.

        Args:
            now_ms: Current time on the monotonic clock.
        """
        behind = set()
        for row in self.followers.list_rows(now_ms):
            if row.behind_ms < _MIN_BEHIND_MS:
                continue
            behind.add(row.process_id)
            if row.process_id not in self._behind:
                logs.log_event(
                    "follower_behind",
                    entry=row.process_id,
                    applied_version=row.applied_version,
                    behind_ms=row.behind_ms,
                )
        for entry in sorted(self._behind - behind):
            logs.log_event("follower_caught_up", entry=entry)
        self._behind = behind

    def count_behind(self) -> int:
        """Counts the entries that were behind at the last check.

        Returns:
            Number of entries that were behind by at least `_MIN_BEHIND_MS`.
        """
        return len(self._behind)

    def count_watches(self) -> int:
        """Counts open watches.

        Returns:
            Number of watches that receive changes.
        """
        return self._streams.count_watches()

    def is_watching(self, watcher: mailbox.Mailbox) -> bool:
        """Returns whether a watch still receives every change.

        Args:
            watcher: Mailbox of the watch.

        Returns:
            False once it was too slow or the state was replaced.
        """
        return self._streams.is_watching(watcher)
