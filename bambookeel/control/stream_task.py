"""Streams the state's changes to entries and to operators that watch.

Owns the subscribers and watchers of this control process and knows what each
entry has applied. Entries subscribe to any replica; each gets what that replica
has applied.
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
# An entry that has not applied what holds for so long is logged.
_BEHIND_MS = 3_000


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
        # What was loaded from the disk came without its changes.
        self._streams.replace(replica.view.state)
        self._behind: set[ids.ProcessId] = set()

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Asks for this task's regular messages.

        Args:
            service: The timer service.
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
        """Takes a state that was loaded or installed without its changes.

        Args:
            now_ms: The time.
        """
        if self.mailbox.get_depth() > 0:
            # The changes up to the view may still be among these messages.
            return
        state = self._replica.view.state
        if state.version <= self._streams.get_state().version:
            return
        self._streams.replace(state)
        self.followers.record_commit(state.version, now_ms)

    def _log_behind(self, now_ms: int) -> None:
        """Logs entries that stop or resume to keep up.

        Args:
            now_ms: The time.
        """
        behind = set()
        for row in self.followers.list_rows(now_ms):
            if row.behind_ms < _BEHIND_MS:
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
        """Counts entries that are behind for long.

        Returns:
            Their number at the last look.
        """
        return len(self._behind)

    def count_watches(self) -> int:
        """Counts open watches.

        Returns:
            Their number.
        """
        return self._streams.count_watches()

    def is_watching(self, watcher: mailbox.Mailbox) -> bool:
        """Tells whether a watch still gets every change.

        Args:
            watcher: The watch's mailbox.

        Returns:
            Whether it does.
        """
        return self._streams.is_watching(watcher)
