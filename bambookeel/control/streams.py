"""Streams of changes to the followers of state.

Each subscriber gets the changes after the version it has, or a snapshot when
they are no longer kept, and then every change as it is applied. The streams
keep the state that they have told, which may be behind the replica's while
messages wait in the mailbox: a subscriber told of a version has been sent all
changes up to it.
"""

from collections import deque
from collections.abc import Callable

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import mailbox
from bambookeel.state import model

# Changes kept for followers that return after a cut.
MAX_KEPT_CHANGES = 5_000
# Resources in one part of a snapshot.
_SNAPSHOT_PART_RESOURCES = 200
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


class Streams:
    """The subscribers and watchers of this replica."""

    def __init__(self, send: SendMessage) -> None:
        self._send = send
        self._state = model.State()
        # Numbers of the subscriptions in use, by process.
        self._subscriptions: dict[ids.ProcessId, int] = {}
        self._watchers: list[mailbox.Mailbox] = []
        self._kept: deque[messages.StateChange] = deque()
        # All changes after this version are kept.
        self._kept_after = self._state.version

    def get_state(self) -> model.State:
        """Gives the state that subscribers have been told.

        Returns:
            The state.
        """
        return self._state

    def subscribe(
        self, peer: ids.ProcessId, subscribe: messages.Subscribe
    ) -> None:
        """Starts a subscriber's stream; it replaces an earlier one.

        Args:
            peer: The subscriber.
            subscribe: What it has and how its stream is numbered.
        """
        self._subscriptions[peer] = subscribe.subscription
        missed = self.find_missed(subscribe.from_version)
        if missed is None:
            self._send_snapshot(peer, subscribe.subscription)
            return
        batch = messages.ChangeBatch(
            False, True, self._state.version, missed, subscribe.subscription
        )
        self._send(peer, batch)

    def find_missed(
        self, from_version: ids.StateVersion
    ) -> tuple[messages.StateChange, ...] | None:
        """Finds the changes after a version.

        Args:
            from_version: The version.

        Returns:
            The changes in order, or None when some are no longer kept.
        """
        if from_version < self._kept_after:
            return None
        return tuple(
            change for change in self._kept if change.version > from_version
        )

    def _send_snapshot(self, peer: ids.ProcessId, subscription: int) -> None:
        """Sends the whole state in parts.

        Args:
            peer: The subscriber.
            subscription: Number of its subscription.
        """
        version = self._state.version
        stored = [model.to_stored(r) for r in self._state.by_key.values()]
        parts = []
        for start in range(0, max(1, len(stored)), _SNAPSHOT_PART_RESOURCES):
            part = tuple(stored[start : start + _SNAPSHOT_PART_RESOURCES])
            payload = model.encode_changes(part)
            parts.append(messages.StateChange(version, payload))
        for i, change in enumerate(parts):
            is_last = i == len(parts) - 1
            batch = messages.ChangeBatch(
                True, is_last, version, (change,), subscription
            )
            self._send(peer, batch)

    def unsubscribe(self, peer: ids.ProcessId) -> None:
        """Ends a subscriber's stream.

        Args:
            peer: The subscriber.
        """
        self._subscriptions.pop(peer, None)

    def watch(
        self, from_version: ids.StateVersion, watcher: mailbox.Mailbox
    ) -> bool:
        """Starts to tell an operator's watch of changes.

        Args:
            from_version: The version that the operator has.
            watcher: Gets the changes.

        Returns:
            Whether all changes since are kept; otherwise nothing is told.
        """
        missed = self.find_missed(from_version)
        if missed is None:
            return False
        for change in missed:
            watcher.put(change)
        self._watchers.append(watcher)
        return True

    def unwatch(self, watcher: mailbox.Mailbox) -> None:
        """Ends a watch.

        Args:
            watcher: The watch's mailbox.
        """
        if watcher in self._watchers:
            self._watchers.remove(watcher)

    def publish(
        self, state: model.State, changed: tuple[model.StoredResource, ...]
    ) -> None:
        """Sends one applied change to every subscriber.

        Args:
            state: The state after it.
            changed: The changed resources.
        """
        if state.version <= self._state.version:
            return
        self._state = state
        changes: tuple[messages.StateChange, ...] = ()
        if changed:
            payload = model.encode_changes(changed)
            changes = (messages.StateChange(state.version, payload),)
            self._keep(changes[0])
        for peer, subscription in list(self._subscriptions.items()):
            batch = messages.ChangeBatch(
                False, True, state.version, changes, subscription
            )
            self._send(peer, batch)

    def _keep(self, change: messages.StateChange) -> None:
        """Keeps a change for later subscribers and tells the watchers."""
        self._kept.append(change)
        while len(self._kept) > MAX_KEPT_CHANGES:
            self._kept_after = self._kept.popleft().version
        for watcher in list(self._watchers):
            if not watcher.put(change):
                # Too slow: its end notices the gap by the missing watch.
                self._watchers.remove(watcher)

    def replace(self, state: model.State) -> None:
        """Takes a state whose changes are unknown, such as a snapshot's.

        Subscribers get it whole: what came and went in between is in no
        difference of two states, but may be in what a subscriber has.

        Args:
            state: The state.
        """
        if state.version <= self._state.version:
            return
        self._state = state
        self._kept.clear()
        self._kept_after = state.version
        self._watchers.clear()
        for peer, subscription in list(self._subscriptions.items()):
            self._send_snapshot(peer, subscription)

    def count_watches(self) -> int:
        """Counts the watches that get changes.

        Returns:
            Their number.
        """
        return len(self._watchers)

    def is_watching(self, watcher: mailbox.Mailbox) -> bool:
        """Tells whether a watch still gets every change.

        Args:
            watcher: The watch's mailbox.

        Returns:
            False once it was too slow or the state was replaced.
        """
        return watcher in self._watchers
