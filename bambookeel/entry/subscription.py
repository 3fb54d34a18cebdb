"""The stream of changes that an entry follows, as pure steps.

Takes what control processes send and what is known of links, and gives the next
view and the subscriptions to send. Batches of an earlier subscription are
ignored, so that a snapshot is never mixed with parts of another and no change
is skipped when a link is replaced. A subscription is kept while it brings what
the leader has committed, whoever leads.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import view
from bambookeel.state import model

# A stream that has not brought what the leader committed is renewed.
_RENEW_AFTER_MS = 750


@dataclasses.dataclass(frozen=True, slots=True)
class SubscribeRequest:
    """A subscription to send.

    Attributes:
        peer: The control process.
        message: What to send to it.
    """

    peer: ids.ProcessId
    message: messages.Subscribe


@dataclasses.dataclass(slots=True)
class Subscription:
    """The subscription in use and what has come on it.

    Attributes:
        view: What has been applied.
        source: The control process subscribed to; None for none.
        number: Number of the subscription in use.
        linked: Control processes with a link, in order of preference.
        committed_version: The highest version known to be committed.
        lagging_since_ms: Since when the view is behind that; None if not.
        snapshot_parts: Parts of a snapshot that is not complete.
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
    """Takes in that a control process has a link.

    Args:
        subscription: The subscription.
        peer: The control process.

    Returns:
        What to send; a stream of another process is kept.
    """
    if peer not in subscription.linked:
        subscription.linked.append(peer)
    # The stream of the source was bound to its former link.
    if subscription.source in (None, peer):
        return _subscribe(subscription, peer)
    return ()


def handle_peer_down(
    subscription: Subscription, peer: ids.ProcessId
) -> tuple[SubscribeRequest, ...]:
    """Takes in that a control process has lost its link.

    Args:
        subscription: The subscription.
        peer: The control process.

    Returns:
        What to send.
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
    """Takes in what the leader has committed.

    Args:
        subscription: The subscription.
        leader: The leader.
        version: What it has committed.
        now_ms: The time.

    Returns:
        A renewed subscription when the stream has not kept up for long.
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
    """Gives the control process after the source, in a circle."""
    if subscription.source not in subscription.linked:
        return subscription.linked[0]
    place = subscription.linked.index(subscription.source)
    return subscription.linked[(place + 1) % len(subscription.linked)]


def handle_batch(
    subscription: Subscription,
    peer: ids.ProcessId,
    batch: messages.ChangeBatch,
) -> bool:
    """Takes in a batch; only one of the subscription in use counts.

    Args:
        subscription: The subscription.
        peer: Who sent the batch.
        batch: The batch.

    Returns:
        Whether the view has moved on.
    """
    if peer != subscription.source or batch.subscription != subscription.number:
        return False
    before = subscription.view
    if batch.is_snapshot:
        # Parts are gathered, so that nobody sees half of a snapshot.
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
