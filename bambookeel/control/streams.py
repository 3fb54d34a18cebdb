"""Streams of changes to the followers of state.

Each subscriber gets the changes after the version it has, or a snapshot when
they are no longer kept, and then every change as it is applied.
"""

from collections import deque
from collections.abc import Callable

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.state import model

# Changes kept for followers that return after a cut.
MAX_KEPT_CHANGES = 5_000
# Resources in one part of a snapshot.
_SNAPSHOT_PART_RESOURCES = 200
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


class Streams:
    """The subscribers of this replica."""

    def __init__(self) -> None:
        self._subscribers: set[ids.ProcessId] = set()
        self._kept: deque[messages.StateChange] = deque(maxlen=MAX_KEPT_CHANGES)
        self._send: SendMessage = lambda peer, message: False

    def connect(self, send: SendMessage) -> None:
        """Gives the streams their way out.

        Args:
            send: Sends a message to a process.
        """
        self._send = send

    def subscribe(
        self,
        peer: ids.ProcessId,
        from_version: ids.StateVersion,
        state: model.State,
    ) -> None:
        """Starts a subscriber's stream.

        Args:
            peer: The subscriber.
            from_version: The version that it has.
            state: The state now.
        """
        self._subscribers.add(peer)
        kept = [
            change for change in self._kept if change.version > from_version
        ]
        oldest = self._kept[0].version if self._kept else state.version + 1
        if from_version + 1 >= oldest or from_version == state.version:
            batch = messages.ChangeBatch(
                False, True, state.version, tuple(kept)
            )
            self._send(peer, batch)
            return
        self._send_snapshot(peer, state)

    def _send_snapshot(self, peer: ids.ProcessId, state: model.State) -> None:
        """Sends the whole state in parts.

        Args:
            peer: The subscriber.
            state: The state.
        """
        stored = [model.store_resource(r) for r in state.by_key.values()]
        parts = []
        for start in range(0, max(1, len(stored)), _SNAPSHOT_PART_RESOURCES):
            part = tuple(stored[start : start + _SNAPSHOT_PART_RESOURCES])
            payload = model.encode_changes(part)
            parts.append(messages.StateChange(state.version, payload))
        for i, change in enumerate(parts):
            is_last = i == len(parts) - 1
            self._send(
                peer,
                messages.ChangeBatch(True, is_last, state.version, (change,)),
            )

    def unsubscribe(self, peer: ids.ProcessId) -> None:
        """Ends a subscriber's stream.

        Args:
            peer: The subscriber.
        """
        self._subscribers.discard(peer)

    def publish(
        self,
        version: ids.StateVersion,
        changed: tuple[model.StoredResource, ...],
    ) -> None:
        """Sends one applied change to every subscriber.

        Args:
            version: The state version after it.
            changed: The changed resources.
        """
        change = messages.StateChange(version, model.encode_changes(changed))
        self._kept.append(change)
        batch = messages.ChangeBatch(False, True, version, (change,))
        for peer in list(self._subscribers):
            self._send(peer, batch)
