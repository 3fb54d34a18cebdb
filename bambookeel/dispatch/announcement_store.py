"""The newest announcement of each backend server, stored at every entry.

A backend server sends its announcements to any entry. Each entry stores an
announcement until its lease ends and sends it to the service's holder, and
again when the holder changes. An entry without a link to the holder sends it to
the other entries, which forward it once. A new holder therefore soon knows
every server, even while some entries cannot reach each other.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import effects

# The most entries that an announcement passes through, the first one included.
_MAX_HOPS = 2

Key = tuple[ids.ServiceName, ids.BackendId]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnnouncement:
    """An announcement, and when it was made in ms on this process's clock."""

    announcement: messages.BackendAnnouncement
    made_at_ms: int


@dataclasses.dataclass(slots=True)
class AnnouncementStore:
    """Announcements by service and backend server."""

    by_key: dict[Key, StoredAnnouncement] = dataclasses.field(
        default_factory=dict
    )


def add(
    store: AnnouncementStore,
    announcement: messages.BackendAnnouncement,
    now_ms: int,
) -> bool:
    """Stores an announcement unless a newer one of its server is stored.

    Args:
        store: The store.
        announcement: The received announcement.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether the announcement was stored.
    """
    key = (announcement.service, announcement.backend_id)
    known = store.by_key.get(key)
    if known is not None:
        old = known.announcement
        if (announcement.incarnation, announcement.sequence) <= (
            old.incarnation,
            old.sequence,
        ):
            return False
    store.by_key[key] = StoredAnnouncement(
        announcement, now_ms - announcement.age_ms
    )
    return True


def _with_current_age(
    stored: StoredAnnouncement, now_ms: int, hops: int
) -> messages.BackendAnnouncement | None:
    age_ms = now_ms - stored.made_at_ms
    if age_ms >= stored.announcement.lease_ms:
        return None
    return dataclasses.replace(stored.announcement, age_ms=age_ms, hops=hops)


def list_fresh(
    store: AnnouncementStore, service: ids.ServiceName, now_ms: int
) -> list[messages.BackendAnnouncement]:
    """Lists a service's unexpired announcements and deletes its expired ones.

    Args:
        store: The store.
        service: The service.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The announcements with their current age.
    """
    fresh = []
    for key, stored in list(store.by_key.items()):
        if key[0] != service:
            continue
        announcement = _with_current_age(stored, now_ms, 1)
        if announcement is None:
            del store.by_key[key]
            continue
        fresh.append(announcement)
    return fresh


def forward(
    announcement: messages.BackendAnnouncement,
    holder: ids.ProcessId,
    reachable: set[ids.ProcessId],
) -> list[effects.Effect]:
    """Forwards a new announcement to the holder or to the other entries.

    Args:
        announcement: The announcement as received.
        holder: The process that holds the service's lease, not this one; empty
            when unknown.
        reachable: Other entries that are linked.

    Returns:
        The messages to send.
    """
    if announcement.hops >= _MAX_HOPS:
        return []
    forwarded = dataclasses.replace(announcement, hops=announcement.hops + 1)
    if holder in reachable:
        return [effects.Send(holder, forwarded)]
    if announcement.hops:
        return []
    return [effects.Send(entry, forwarded) for entry in sorted(reachable)]
