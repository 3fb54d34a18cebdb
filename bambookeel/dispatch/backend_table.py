"""The backend servers of one service, as its dispatcher knows them.

Announcements are leases: a silent server ends with its lease, a leaving one
gets nothing more at once, and a restart is told by a larger incarnation. The
table gives the least loaded server with a free slot in O(log n).
"""

import dataclasses
import heapq

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import averages

# A returning server gets one slot more in each of these steps.
RAMP_STEP_MS = 250
# A silent server without requests is forgotten after this time.
FORGET_AFTER_MS = 60_000


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server.

    Attributes:
        announcement: Its newest announcement.
        expires_at_ms: When its lease ends.
        granted: Slots that known grants use.
        unreported: Slots that requests of unheard entries may use.
        usage_known: Whether `unreported` is known, so that slots may be granted.
        sampled_at_ms: When its newest announcement was made, at the latest.
        ramp_start_ms: When its slow start began; None once it is over.
        ejected_until_ms: Until when it is out as an outlier.
        ejections: How often in a row it was out.
        consecutive_failures: Failed requests since the last good one.
        duration: Average duration of its good requests.
        version: Grows with each change of its place in the heap.
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
        by_address: The id that last announced an address.
        order: Heap of servers that may have a free slot, least loaded first.
        granted_by_incarnation: Slots that known grants use, by id and incarnation,
            also of servers that are not known (any more).
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
    """Tells whether a server may get new requests.

    Args:
        backend: The server.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether it serves, its slots are counted, its lease holds and it is
        not out.
    """
    if not backend.usage_known:
        return False
    if backend.announcement.state is not messages.BackendState.SERVING:
        return False
    return backend.expires_at_ms > now_ms >= backend.ejected_until_ms


def count_allowed_slots(backend: Backend, now_ms: int) -> int:
    """Counts the slots that may be in use now, fewer in a slow start.

    Args:
        backend: The server.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The number of slots.
    """
    slots = backend.announcement.slots
    if backend.ramp_start_ms is None:
        return slots
    steps = (now_ms - backend.ramp_start_ms) // RAMP_STEP_MS
    return min(slots, 1 + steps)


def has_free_slot(backend: Backend, now_ms: int) -> bool:
    """Tells whether a server can take one more request.

    Args:
        backend: The server.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether a slot is free.
    """
    if not is_usable(backend, now_ms):
        return False
    used = backend.granted + backend.unreported
    return used < count_allowed_slots(backend, now_ms)


def refresh(table: BackendTable, backend: Backend) -> None:
    """Puts a server at its place in the order after a change.

    Args:
        table: The table.
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

    A server that is out or in its slow start is dropped from the order; the
    tick puts it back.

    Args:
        table: The table.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The server, or None.
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
        table: The table.
        backend_id: Whose slot.
        incarnation: Of which life.
    """
    _add_granted(table, backend_id, incarnation, 1)


def free_slot(
    table: BackendTable,
    backend_id: ids.BackendId,
    incarnation: ids.Incarnation,
) -> None:
    """Counts one granted slot less.

    Args:
        table: The table.
        backend_id: Whose slot.
        incarnation: Of which life.
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
    faults.check_invariant(granted >= 0, "slots in use below zero")
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
        table: The table.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The number of slots.
    """
    slots = 0
    for backend in table.by_id.values():
        if is_usable(backend, now_ms):
            slots += backend.announcement.slots
    return slots


def _is_outdated(
    table: BackendTable, announcement: messages.BackendAnnouncement
) -> bool:
    """Tells whether a newer announcement is known.

    Args:
        table: The table.
        announcement: The announcement.

    Returns:
        Whether an announcement of the same server or of a later life at the
        same address came before it.
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
    """Takes in an announcement.

    Args:
        table: The table.
        announcement: The announcement.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The server, or None when the announcement is late and changes nothing.
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
        # A later life has lost the requests of the earlier one.
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
    """Forgets a server whose address a later life has taken under another id.

    Args:
        table: The table.
        announcement: The later life's announcement.
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
    """Rebuilds the order and forgets servers that have long been silent.

    Args:
        table: The table.
        now_ms: Current time in ms on this process's clock.
    """
    table.order.clear()
    for backend_id, backend in list(table.by_id.items()):
        silent_ms = now_ms - backend.expires_at_ms
        used = backend.granted + backend.unreported
        if silent_ms > FORGET_AFTER_MS and not used:
            del table.by_id[backend_id]
            continue
        if backend.ramp_start_ms is not None:
            ramp_ms = now_ms - backend.ramp_start_ms
            if ramp_ms > backend.announcement.slots * RAMP_STEP_MS:
                backend.ramp_start_ms = None
        if has_free_slot(backend, now_ms):
            refresh(table, backend)
