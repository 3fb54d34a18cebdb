"""Until when an entry may trust its key table.

The leader's answer to a heartbeat tells what was committed when it arrived. A
view that holds all of that is known to have been current when the heartbeat was
sent, and may be trusted for the freshness lease from then. An answer that is
ahead of the view counts as soon as the view has caught up. Pure: times come as
arguments.
"""

from collections import deque
import dataclasses

from bambookeel.core import ids

# Answers that wait for the view; the newest replace the oldest.
_MAX_PENDING = 64


@dataclasses.dataclass(slots=True)
class Freshness:
    """The freshness lease of one entry.

    Attributes:
        lease_ms: How long a confirmed view may be trusted.
        floor_version: Applied before a restart; no view below it is fresh.
        until_ms: When the lease ends, on the own monotonic clock.
        pending: Sending times and versions of answers ahead of the view.
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
    """Takes in the leader's answer to a heartbeat.

    Args:
        freshness: The freshness lease.
        sent_at_ms: When the heartbeat was sent.
        committed_version: What the leader had committed.
        applied_version: What the view holds.
    """
    freshness.pending.append((sent_at_ms, committed_version))
    handle_applied_version(freshness, applied_version)


def handle_applied_version(
    freshness: Freshness, applied_version: ids.StateVersion
) -> None:
    """Renews the lease by every answer that the view now covers.

    Args:
        freshness: The freshness lease.
        applied_version: What the view holds.
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
