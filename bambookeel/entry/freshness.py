"""The freshness lease, which limits how long an entry may trust its key table.

The leader's reply to a heartbeat names the version that was committed when the
heartbeat arrived. A view at that version or a later one was therefore current
when the heartbeat was sent, and may be trusted for the length of the lease from
that time. A reply with a version ahead of the view renews the lease as soon as
the view reaches that version. This module reads no clock; times are arguments.
"""

from collections import deque
import dataclasses

from bambookeel.core import ids

# Replies that are ahead of the view; beyond this the oldest is dropped.
_MAX_PENDING = 64


@dataclasses.dataclass(slots=True)
class Freshness:
    """The freshness lease of one entry.

    Attributes:
        lease_ms: How long a confirmed view may be trusted.
        floor_version: The version applied before a restart; a view below it is
            never fresh.
        until_ms: When the lease ends, in ms on this process's monotonic clock.
        pending: For each reply that is ahead of the view, the sending time of
            the heartbeat and the committed version.
    """

    lease_ms: int
    floor_version: ids.StateVersion
    until_ms: int = 0
    pending: deque[tuple[int, ids.StateVersion]] = dataclasses.field(
        default_factory=lambda: deque(maxlen=_MAX_PENDING)
    )


def handle_confirmation(
    freshness: Freshness,
    sent_at_ms: int,
    committed_version: ids.StateVersion,
    applied_version: ids.StateVersion,
) -> None:
    """Handles the leader's reply to a heartbeat.

    Args:
        freshness: The freshness lease.
        sent_at_ms: When the heartbeat was sent, in ms on this process's clock.
        committed_version: The version that the leader had committed.
        applied_version: The version of the view.
    """
    freshness.pending.append((sent_at_ms, committed_version))
    handle_applied_version(freshness, applied_version)


def handle_applied_version(
    freshness: Freshness, applied_version: ids.StateVersion
) -> None:
    """Renews the lease with every pending reply that the view has reached.

    Args:
        freshness: The freshness lease.
        applied_version: The version of the view.
    """
    if applied_version < freshness.floor_version:
        return
    still_pending = []
    for sent_at_ms, committed_version in freshness.pending:
        if committed_version > applied_version:
            still_pending.append((sent_at_ms, committed_version))
            continue
        until_ms = sent_at_ms + freshness.lease_ms
        freshness.until_ms = max(freshness.until_ms, until_ms)
    freshness.pending.clear()
    freshness.pending.extend(still_pending)
