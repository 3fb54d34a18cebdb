"""An entry's subscription to the stream of state changes.

The functions handle messages of control processes and changes of links; they
update the view and return the subscriptions to send. Batches of an earlier
subscription are ignored, so that parts of different snapshots are never mixed
and no change is skipped when a link is replaced. A subscription is kept across
changes of leader as long as its stream keeps up with what is committed. This
module uses no clock, socket or task.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import view
from bambookeel.state import model

# The subscription is renewed after the view has been behind for this time.
_RENEW_AFTER_MS = 750


@dataclasses.dataclass(frozen=True, slots=True)
class SubscribeRequest:
    """A request for a new subscription.

    Attributes:
        peer: The control process to subscribe to.
        message: The message to send to it.
    """

    peer: ids.ProcessId
    message: messages.Subscribe


@dataclasses.dataclass(slots=True)
class Subscription:
    """The current subscription and what has been received on it.

    Attributes:
        view: The view with all applied changes.
        source: The control process subscribed to, if any.
        number: Number of the current subscription; increases with each one.
        linked: Control processes with a link, in order of preference.
        committed_version: The highest version known to be committed.
        lagging_since_ms: Since when the view has been behind that version;
            None if it is not.
        snapshot_parts: Received parts of an incomplete snapshot.
    """

    view: view.View
    source: ids.ProcessId | None = None
    number: int = 0
    linked: list[ids.ProcessId] = dataclasses.field(default_factory=list)
    committed_version: ids.StateVersion = ids.StateVersion(0)
    lagging_since_ms: int | None = None
    snapshot_parts: list[messages.StateChange] = dataclasses.field(
        default_factory=list
    )


def _subscribe(
    subscription: Subscription, peer: ids.ProcessId
) -> tuple[SubscribeRequest, ...]:
    subscription.source = peer
    subscription.number += 1
    subscription.snapshot_parts = []
    subscription.lagging_since_ms = None
    message = messages.Subscribe(subscription.view.version, subscription.number)
    return (SubscribeRequest(peer, message),)


def handle_peer_up(
    subscription: Subscription, peer: ids.ProcessId
) -> tuple[SubscribeRequest, ...]:
    """Handles a new link to a control process.

    Args:
        subscription: The subscription.
        peer: The newly linked control process.

    Returns:
        The subscription to send; none if another process is the source.
    """
    if peer not in subscription.linked:
        subscription.linked.append(peer)
    # The stream of the source ended with its former link.
    if subscription.source in (None, peer):
        return _subscribe(subscription, peer)
    return ()


def handle_peer_down(
    subscription: Subscription, peer: ids.ProcessId
) -> tuple[SubscribeRequest, ...]:
    """Handles the loss of the link to a control process.

    Args:
        subscription: The subscription.
        peer: The control process that is no longer linked.

    Returns:
        A subscription to another process if the source was lost and another one
        is linked.
    """
    if peer in subscription.linked:
        subscription.linked.remove(peer)
    if subscription.source != peer:
        return ()
    subscription.source = None
    if not subscription.linked:
        return ()
    return _subscribe(subscription, subscription.linked[0])


def handle_committed_version(
    subscription: Subscription,
    leader: ids.ProcessId,
    version: ids.StateVersion,
    now_ms: int,
) -> tuple[SubscribeRequest, ...]:
    """Compares the view with the version that the leader has committed.

    Args:
        subscription: The subscription.
        leader: The control process that leads.
        version: The version that the leader has committed.
        now_ms: Current time in ms on this process's clock.

    Returns:
        A new subscription if the view has been behind for too long.
    """
    committed = max(version, subscription.committed_version)
    subscription.committed_version = committed
    if subscription.view.version >= committed:
        subscription.lagging_since_ms = None
        return ()
    if subscription.lagging_since_ms is None:
        subscription.lagging_since_ms = now_ms
        return ()
    if now_ms - subscription.lagging_since_ms < _RENEW_AFTER_MS:
        return ()
    if leader in subscription.linked:
        return _subscribe(subscription, leader)
    if not subscription.linked:
        return ()
    return _subscribe(subscription, _get_next_peer(subscription))


def _get_next_peer(subscription: Subscription) -> ids.ProcessId:
    """Returns the linked control process after the source, in cyclic order."""
    if subscription.source not in subscription.linked:
        return subscription.linked[0]
    index = subscription.linked.index(subscription.source)
    return subscription.linked[(index + 1) % len(subscription.linked)]


def handle_batch(
    subscription: Subscription,
    peer: ids.ProcessId,
    batch: messages.ChangeBatch,
) -> bool:
    """Applies a batch of changes; ignores one of an earlier subscription.

    Args:
        subscription: The subscription.
        peer: The control process that sent the batch.
        batch: The batch.

    Returns:
        Whether the view has changed.
    """
    if peer != subscription.source or batch.subscription != subscription.number:
        return False
    before = subscription.view
    if batch.is_snapshot:
        # Parts are collected, so that no view contains part of a snapshot.
        subscription.snapshot_parts.extend(batch.changes)
        if not batch.is_last:
            return False
        parts, subscription.snapshot_parts = subscription.snapshot_parts, []
        if batch.to_version <= before.version:
            return False
        stored = [
            item
            for part in parts
            for item in model.decode_changes(part.payload)
        ]
        subscription.view = view.build_view(batch.to_version, stored)
        return True
    changes = [
        (change.version, model.decode_changes(change.payload))
        for change in batch.changes
    ]
    subscription.view = view.apply_changes(before, batch.to_version, changes)
    return subscription.view is not before
