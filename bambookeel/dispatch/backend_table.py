"""The backend servers of one service, as its dispatcher knows them.

An announcement is a lease: a server that stops announcing becomes unusable when
its lease expires, a leaving one gets no new requests from then on, and a
restart shows as a larger incarnation. The table finds the least loaded server
with a free slot in O(log n).
"""

import dataclasses
import heapq

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import averages

# Slow start: a returning server gets one more slot after each such interval.
RAMP_STEP_MS = 250
# A server without requests is removed when its lease ended this long ago.
REMOVE_AFTER_MS = 60_000


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server.

    Attributes:
        announcement: Its newest announcement.
        expires_at_ms: When its lease ends.
        granted: Slots used by known grants.
        unreported: Slots that may be used by requests of entries that have not
            reported to this holder.
        usage_known: Whether `unreported` is known; no slot is granted before.
        sampled_at_ms: The latest time at which its newest announcement can
            have been made.
        ramp_start_ms: When its slow start begins; None without one.
        ejected_until_ms: Until when it is ejected as an outlier.
        ejections: Number of ejections, at most 10; the next one's time doubles
            with each.
        consecutive_failures: Failed requests since the last successful one.
        duration: Average duration of its successful requests.
        version: Incremented by `refresh`; heap items with an older version are
            stale.
    """

    announcement: messages.BackendAnnouncement
    expires_at_ms: int
    granted: int = 0
    unreported: int = 0
    usage_known: bool = False
    sampled_at_ms: int = 0
    ramp_start_ms: int | None = None
    ejected_until_ms: int = 0
    ejections: int = 0
    consecutive_failures: int = 0
    duration: averages.MovingAverage = dataclasses.field(
        default_factory=averages.MovingAverage
    )
    version: int = 0


@dataclasses.dataclass(slots=True)
class BackendTable:
    """All backend servers of a service.

    Attributes:
        by_id: Servers by id.
        by_address: The id that last announced each address.
        order: Heap of servers that may have a free slot, least loaded first.
        granted_by_incarnation: Slots used by known grants, by id and
            incarnation. Includes servers that have been removed or have not
            announced themselves yet.
    """

    by_id: dict[ids.BackendId, Backend] = dataclasses.field(
        default_factory=dict
    )
    by_address: dict[str, ids.BackendId] = dataclasses.field(
        default_factory=dict
    )
    order: list[tuple[float, ids.BackendId, int]] = dataclasses.field(
        default_factory=list
    )
    granted_by_incarnation: dict[tuple[ids.BackendId, ids.Incarnation], int] = (
        dataclasses.field(default_factory=dict)
    )


def is_usable(backend: Backend, now_ms: int) -> bool:
    """Checks whether a server may get new requests.

    Args:
        backend: The server.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether it is serving, the use of its slots is known, its lease is
        valid and it is not ejected.
    """
    if not backend.usage_known:
        return False
    if backend.announcement.state is not messages.BackendState.SERVING:
        return False
    return backend.expires_at_ms > now_ms >= backend.ejected_until_ms


def count_allowed_slots(backend: Backend, now_ms: int) -> int:
    """Counts the slots that may be in use now, fewer during a slow start.

    Args:
        backend: The server.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The number of slots, free ones included.
    """
    slots = backend.announcement.slots
    if backend.ramp_start_ms is None:
        return slots
    steps = (now_ms - backend.ramp_start_ms) // RAMP_STEP_MS
    return min(slots, 1 + steps)


def has_free_slot(backend: Backend, now_ms: int) -> bool:
    """Checks whether a server can take one more request.

    Args:
        backend: The server.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether the server is usable and has a free slot.
    """
    if not is_usable(backend, now_ms):
        return False
    used = backend.granted + backend.unreported
    return used < count_allowed_slots(backend, now_ms)


def refresh(table: BackendTable, backend: Backend) -> None:
    """Puts a changed server into the heap again, at its current load.

    A server without a free slot is left out.

    Args:
        table: The service's backend servers.
        backend: The changed server.
    """
    backend.version += 1
    slots = backend.announcement.slots
    used = backend.granted + backend.unreported
    if used >= slots:
        return
    backend_id = backend.announcement.backend_id
    heapq.heappush(table.order, (used / slots, backend_id, backend.version))


def choose(table: BackendTable, now_ms: int) -> Backend | None:
    """Chooses the least loaded server with a free slot.

    A server that cannot take a request now, such as one that is ejected or in
    its slow start, is removed from the heap; the next tick puts it back.

    Args:
        table: The service's backend servers.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The server, or None when no slot is free.
    """
    while table.order:
        _, backend_id, version = table.order[0]
        backend = table.by_id.get(backend_id)
        if backend is not None and backend.version == version:
            if has_free_slot(backend, now_ms):
                return backend
        heapq.heappop(table.order)
    return None


def use_slot(
    table: BackendTable,
    backend_id: ids.BackendId,
    incarnation: ids.Incarnation,
) -> None:
    """Counts one more granted slot.

    Args:
        table: The service's backend servers.
        backend_id: The server with the slot.
        incarnation: The server's incarnation at the grant.
    """
    _add_granted(table, backend_id, incarnation, 1)


def free_slot(
    table: BackendTable,
    backend_id: ids.BackendId,
    incarnation: ids.Incarnation,
) -> None:
    """Counts one less granted slot.

    Args:
        table: The service's backend servers.
        backend_id: The server with the slot.
        incarnation: The server's incarnation at the grant.
    """
    _add_granted(table, backend_id, incarnation, -1)


def _add_granted(
    table: BackendTable,
    backend_id: ids.BackendId,
    incarnation: ids.Incarnation,
    change: int,
) -> None:
    key = (backend_id, incarnation)
    granted = table.granted_by_incarnation.get(key, 0) + change
    faults.check_invariant(granted >= 0, "granted slots below zero")
    if granted:
        table.granted_by_incarnation[key] = granted
    else:
        table.granted_by_incarnation.pop(key, None)
    backend = table.by_id.get(backend_id)
    if backend is None or backend.announcement.incarnation != incarnation:
        return
    backend.granted = granted
    refresh(table, backend)


def count_slots(table: BackendTable, now_ms: int) -> int:
    """Counts the slots of all usable servers.

    Args:
        table: The service's backend servers.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The number of slots, used ones included.
    """
    slots = 0
    for backend in table.by_id.values():
        if is_usable(backend, now_ms):
            slots += backend.announcement.slots
    return slots


def _is_outdated(
    table: BackendTable, announcement: messages.BackendAnnouncement
) -> bool:
    """Checks whether a newer announcement has already been applied.

    Args:
        table: The service's backend servers.
        announcement: The received announcement.

    Returns:
        Whether a newer one of the same server is known, or one of another
        server with a later incarnation at the same address.
    """
    known = table.by_id.get(announcement.backend_id)
    if known is not None:
        old = known.announcement
        if (announcement.incarnation, announcement.sequence) <= (
            old.incarnation,
            old.sequence,
        ):
            return True
    other_id = table.by_address.get(announcement.address)
    if other_id is None or other_id == announcement.backend_id:
        return False
    other = table.by_id.get(other_id)
    if other is None:
        return False
    return other.announcement.incarnation > announcement.incarnation


def apply_announcement(
    table: BackendTable,
    announcement: messages.BackendAnnouncement,
    now_ms: int,
) -> Backend | None:
    """Applies an announcement to the table.

    Args:
        table: The service's backend servers.
        announcement: The received announcement.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The server, or None when the announcement is expired or outdated and
        changes nothing.
    """
    remaining_ms = announcement.lease_ms - announcement.age_ms
    if remaining_ms <= 0 or _is_outdated(table, announcement):
        return None
    _drop_earlier_incarnation(table, announcement)
    backend = table.by_id.get(announcement.backend_id)
    if backend is None:
        backend = Backend(announcement, 0)
        table.by_id[announcement.backend_id] = backend
    elif backend.announcement.incarnation != announcement.incarnation:
        # The restarted server has lost the requests of its earlier
        # incarnation.
        backend = Backend(
            announcement, 0, ramp_start_ms=now_ms, version=backend.version
        )
        table.by_id[announcement.backend_id] = backend
    elif 0 < backend.expires_at_ms <= now_ms:
        backend.ramp_start_ms = now_ms
    table.by_address[announcement.address] = announcement.backend_id
    key = (announcement.backend_id, announcement.incarnation)
    backend.granted = table.granted_by_incarnation.get(key, 0)
    backend.announcement = announcement
    backend.expires_at_ms = now_ms + remaining_ms
    backend.sampled_at_ms = now_ms - announcement.age_ms
    refresh(table, backend)
    return backend


def _drop_earlier_incarnation(
    table: BackendTable, announcement: messages.BackendAnnouncement
) -> None:
    """Removes a server whose address now belongs to a server with another id.

    Args:
        table: The service's backend servers.
        announcement: The announcement of the later incarnation.
    """
    other_id = table.by_address.get(announcement.address)
    if other_id is None or other_id == announcement.backend_id:
        return
    other = table.by_id.get(other_id)
    if other is None or other.announcement.address != announcement.address:
        return
    if other.announcement.incarnation < announcement.incarnation:
        del table.by_id[other_id]


def refresh_all(table: BackendTable, now_ms: int) -> None:
    """Rebuilds the heap and removes idle servers whose lease ended long ago.

    Args:
        table: The service's backend servers.
        now_ms: Current time in ms on this process's clock.
    """
    table.order.clear()
    for backend_id, backend in list(table.by_id.items()):
        silent_ms = now_ms - backend.expires_at_ms
        used = backend.granted + backend.unreported
        if silent_ms > REMOVE_AFTER_MS and not used:
            del table.by_id[backend_id]
            continue
        if backend.ramp_start_ms is not None:
            ramp_ms = now_ms - backend.ramp_start_ms
            if ramp_ms > backend.announcement.slots * RAMP_STEP_MS:
                backend.ramp_start_ms = None
        if has_free_slot(backend, now_ms):
            refresh(table, backend)
