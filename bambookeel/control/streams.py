"""Streams of changes to the followers of the state.

Each subscriber gets the changes after the version that it has, or a snapshot if
they are no longer kept, and then every change as it is applied. The streams
keep the state that they have published. It may be behind the replica's state
while messages wait in the mailbox, so a subscriber that is sent a version has
been sent all changes up to it.
"""

from collections import deque
from collections.abc import Callable

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import mailbox
from bambookeel.state import model

# Number of changes kept for followers that reconnect.
MAX_KEPT_CHANGES = 5_000
# Number of resources in one part of a snapshot.
_SNAPSHOT_PART_RESOURCES = 200
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


class Streams:
    """The subscribers and watchers of this replica."""

    def __init__(self, send: SendMessage) -> None:
        self._send = send
        self._state = model.State()
        # Number of the current subscription of each process.
        self._subscriptions: dict[ids.ProcessId, int] = {}
        self._watchers: list[mailbox.Mailbox] = []
        self._kept_changes: deque[messages.StateChange] = deque()
        # All changes after this version are kept.
        self._kept_after = self._state.version

    def get_state(self) -> model.State:
        """Returns the published state.

        Returns:
            The state whose version subscribers were last sent.
        """
        return self._state

    def subscribe(
        self, peer: ids.ProcessId, subscribe: messages.Subscribe
    ) -> None:
        """Starts a subscriber's stream, which replaces an earlier one.

        Args:
            peer: Process id of the subscriber.
            subscribe: Version that it has, and number of its subscription.
        """
        self._subscriptions[peer] = subscribe.subscription
        later_changes = self.find_changes_after(subscribe.from_version)
        if later_changes is None:
            self._send_snapshot(peer, subscribe.subscription)
            return
        batch = messages.ChangeBatch(
            False,
            True,
            self._state.version,
            later_changes,
            subscribe.subscription,
        )
        self._send(peer, batch)

    def find_changes_after(
        self, from_version: ids.StateVersion
    ) -> tuple[messages.StateChange, ...] | None:
        """Finds the changes after a version.

        Args:
            from_version: State version that the receiver has.

        Returns:
            The changes in order; None if some of them are no longer kept.
        """
        if from_version < self._kept_after:
            return None
        return tuple(
            change
            for change in self._kept_changes
            if change.version > from_version
        )

    def _send_snapshot(self, peer: ids.ProcessId, subscription: int) -> None:
        """Sends the whole state in parts.

        Args:
            peer: Process id of the subscriber.
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
            peer: Process id of the subscriber.
        """
        self._subscriptions.pop(peer, None)

    def watch(
        self, from_version: ids.StateVersion, watcher: mailbox.Mailbox
    ) -> bool:
        """Starts an operator's watch.

        Args:
            from_version: State version that the operator has.
            watcher: Mailbox that receives the changes.

        Returns:
            Whether the watch has started; False if some changes after
            `from_version` are no longer kept.
        """
        later_changes = self.find_changes_after(from_version)
        if later_changes is None:
            return False
        for change in later_changes:
            watcher.put(change)
        self._watchers.append(watcher)
        return True

    def unwatch(self, watcher: mailbox.Mailbox) -> None:
        """Ends a watch.

        Args:
            watcher: Mailbox of the watch.
        """
        if watcher in self._watchers:
            self._watchers.remove(watcher)

    def publish(
        self, state: model.State, changed: tuple[model.StoredResource, ...]
    ) -> None:
        """Sends an applied change to every subscriber and watcher.

        Args:
            state: The state after the change; ignored if not newer than the
                published one.
            changed: The changed resources; may be empty.
        """
        if state.version <= self._state.version:
            return
        self._state = state
        changes: tuple[messages.StateChange, ...] = ()
        if changed:
            payload = model.encode_changes(changed)
            changes = (messages.StateChange(state.version, payload),)
            self._publish_change(changes[0])
        for peer, subscription in list(self._subscriptions.items()):
            batch = messages.ChangeBatch(
                False, True, state.version, changes, subscription
            )
            self._send(peer, batch)

    def _publish_change(self, change: messages.StateChange) -> None:
        """Keeps a change for later subscribers and sends it to the watchers."""
        self._kept_changes.append(change)
        while len(self._kept_changes) > MAX_KEPT_CHANGES:
            self._kept_after = self._kept_changes.popleft().version
        for watcher in list(self._watchers):
            if not watcher.put(change):
                # The watcher is too slow. It learns from `is_watching` that it
                # has missed a change.
                self._watchers.remove(watcher)

    def replace(self, state: model.State) -> None:
        """Publishes a state whose changes are unknown, such as a snapshot's.

        Subscribers are sent the whole state. The differences between the two
        states would not be enough: a subscriber may have a resource that was
        created and deleted in between, which neither state contains.

        Args:
            state: The new state; ignored if not newer than the published one.
        """
        if state.version <= self._state.version:
            return
        self._state = state
        self._kept_changes.clear()
        self._kept_after = state.version
        self._watchers.clear()
        for peer, subscription in list(self._subscriptions.items()):
            self._send_snapshot(peer, subscription)

    def count_watches(self) -> int:
        """Counts open watches.

        Returns:
            Number of watches that receive changes.
        """
        return len(self._watchers)

    def is_watching(self, watcher: mailbox.Mailbox) -> bool:
        """Returns whether a watch still receives every change.

        Args:
            watcher: Mailbox of the watch.

        Returns:
            False once it was too slow or the state was replaced.
        """
        return watcher in self._watchers
