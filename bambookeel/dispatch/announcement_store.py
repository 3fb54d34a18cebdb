"""The newest announcement of each backend server, as every entry keeps it.

A backend server announces itself to any entry. Each entry keeps what it hears
until its lease ends and tells the service's holder, again when the holder
changes. Without a link to the holder it tells the other entries, which pass it
on once. So a new holder soon knows every server, also while entries are cut
off from each other.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import effects

# Entries on the way of one announcement, the first one included.
_MAX_HOPS = 2

Key = tuple[ids.ServiceName, ids.BackendId]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnnouncement:
    """An announcement and when it was made, on the own clock."""

    announcement: messages.BackendAnnouncement
    made_at_ms: int


@dataclasses.dataclass(slots=True)
class AnnouncementStore:
    """Announcements by service and backend server."""

    by_key: dict[Key, StoredAnnouncement] = dataclasses.field(default_factory=dict)


def add(
    store: AnnouncementStore,
    announcement: messages.BackendAnnouncement,
    now_ms: int,
) -> bool:
    """Keeps an announcement unless a newer one is known.

    Args:
        store: The store.
        announcement: The announcement.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether it is the newest.
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
    store.by_key[key] = StoredAnnouncement(announcement, now_ms - announcement.age_ms)
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
    """Lists a service's announcements whose lease holds.

    Args:
        store: The store.
        service: The service.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The announcements with their age.
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
    """Decides who is told of a new announcement that came to this entry.

    Args:
        announcement: The announcement as it came.
        holder: The service's holder, another process; or empty.
        reachable: Other entries with a link.

    Returns:
        The messages.
    """
    if announcement.hops >= _MAX_HOPS:
        return []
    forwarded = dataclasses.replace(announcement, hops=announcement.hops + 1)
    if holder in reachable:
        return [effects.Send(holder, forwarded)]
    if announcement.hops:
        return []
    return [effects.Send(entry, forwarded) for entry in sorted(reachable)]
