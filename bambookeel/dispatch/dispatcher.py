"""Decides which waiting request gets which slot of one service.

One process at a time holds a service's dispatch lease and runs these steps.
Every step takes the service's state, a message and the time, changes the state
and gives effects. There is no clock, socket or task in here.
"""

from collections import OrderedDict
import dataclasses

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.dispatch import effects

# Time that an entry has to use a grant.
START_WITHIN_MS = 500
_RETRY_AFTER_MS = 500


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server as the dispatcher knows it.

    Attributes:
        announcement: Its newest announcement.
        expires_at_ms: When its lease ends.
        granted: Slots in use.
    """

    announcement: messages.BackendAnnouncement
    expires_at_ms: int
    granted: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request in the queue.

    Attributes:
        entry: The process that asked.
        request: What it asked.
        deadline_ms: When the caller stops waiting, on the own clock.
    """

    entry: ids.ProcessId
    request: messages.AcquireSlot
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slot in use.

    Attributes:
        entry: The process that uses it.
        request_id: For which request.
        team: For which team.
        backend_id: Whose slot.
        incarnation: Of which life of the backend server.
    """

    entry: ids.ProcessId
    request_id: ids.RequestId
    team: ids.TeamName
    backend_id: ids.BackendId
    incarnation: ids.Incarnation


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Everything that the holder of one service's lease knows.

    Attributes:
        service: The service.
        epoch: The holder's epoch.
        spec: The service's declared settings.
        backends: Backend servers by id.
        waiting: The queue, oldest first.
        grants: Slots in use by grant id.
        last_grant_id: The newest grant's id.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    spec: resources.ServiceSpec
    backends: dict[ids.BackendId, Backend] = dataclasses.field(
        default_factory=dict
    )
    waiting: OrderedDict[ids.RequestId, Waiting] = dataclasses.field(
        default_factory=OrderedDict
    )
    grants: dict[ids.GrantId, Grant] = dataclasses.field(default_factory=dict)
    last_grant_id: int = 0


def handle_announcement(
    state: ServiceState,
    announcement: messages.BackendAnnouncement,
    now_ms: int,
) -> list[effects.Effect]:
    """Takes in a backend server's announcement.

    Args:
        state: The service's state.
        announcement: The announcement.
        now_ms: The time.

    Returns:
        Grants that the announcement made possible.
    """
    remaining_ms = announcement.lease_ms - announcement.age_ms
    if remaining_ms <= 0:
        return []
    known = state.backends.get(announcement.backend_id)
    if known is None:
        known = Backend(announcement, now_ms + remaining_ms)
        state.backends[announcement.backend_id] = known
    new_order = (announcement.incarnation, announcement.sequence)
    old = known.announcement
    if new_order < (old.incarnation, old.sequence):
        return []
    if announcement.incarnation != old.incarnation:
        known.granted = 0
    known.announcement = announcement
    known.expires_at_ms = now_ms + remaining_ms
    return grant_slots(state, now_ms)


def handle_acquire(
    state: ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    now_ms: int,
) -> list[effects.Effect]:
    """Queues a request, and grants it a slot if one is free.

    Args:
        state: The service's state.
        entry: The process that asks.
        request: What it asks.
        now_ms: The time.

    Returns:
        Grants and refusals.
    """
    if len(state.waiting) >= state.spec.queue_bound:
        refusal = messages.SlotRefused(
            request.request_id,
            state.service,
            outcomes.Reason.QUEUE_FULL,
            f"{len(state.waiting)} requests wait already",
            _RETRY_AFTER_MS,
        )
        return [effects.Send(entry, refusal)]
    deadline_ms = now_ms + request.remaining_ms
    state.waiting[request.request_id] = Waiting(entry, request, deadline_ms)
    return grant_slots(state, now_ms)


def handle_release(
    state: ServiceState, release: messages.SlotReleased, now_ms: int
) -> list[effects.Effect]:
    """Frees a slot.

    Args:
        state: The service's state.
        release: The release.
        now_ms: The time.

    Returns:
        Grants that the free slot made possible.
    """
    if release.epoch != state.epoch:
        return []
    grant = state.grants.pop(release.grant_id, None)
    if grant is None:
        return []
    backend = state.backends.get(grant.backend_id)
    if backend and backend.announcement.incarnation == grant.incarnation:
        backend.granted -= 1
        faults.check_invariant(backend.granted >= 0, "slots in use below zero")
    return grant_slots(state, now_ms)


def handle_cancel(state: ServiceState, cancel: messages.CancelWaiting) -> None:
    """Takes requests out of the queue.

    Args:
        state: The service's state.
        cancel: Which requests.
    """
    for request_id in cancel.request_ids:
        state.waiting.pop(ids.RequestId(request_id), None)


def handle_tick(state: ServiceState, now_ms: int) -> list[effects.Effect]:
    """Drops silent backend servers and requests past their deadline.

    Args:
        state: The service's state.
        now_ms: The time.

    Returns:
        Refusals and grants.
    """
    asked: list[effects.Effect] = []
    for waiting in list(state.waiting.values()):
        if waiting.deadline_ms > now_ms:
            continue
        del state.waiting[waiting.request.request_id]
        refusal = messages.SlotRefused(
            waiting.request.request_id,
            state.service,
            outcomes.Reason.DEADLINE_UNREACHABLE,
            "no slot became free before the deadline",
            0,
        )
        asked.append(effects.Send(waiting.entry, refusal))
    asked.extend(grant_slots(state, now_ms))
    return asked


def _choose_backend(state: ServiceState, now_ms: int) -> Backend | None:
    """Chooses the least loaded backend server with a free slot.

    Args:
        state: The service's state.
        now_ms: The time.

    Returns:
        The backend server, or None when no slot is free.
    """
    best = None
    for backend in state.backends.values():
        if backend.expires_at_ms <= now_ms:
            continue
        if backend.announcement.state is not messages.BackendState.SERVING:
            continue
        if backend.granted >= backend.announcement.slots:
            continue
        if best is None or backend.granted < best.granted:
            best = backend
    return best


def grant_slots(state: ServiceState, now_ms: int) -> list[effects.Effect]:
    """Grants free slots to waiting requests.

    Args:
        state: The service's state.
        now_ms: The time.

    Returns:
        One message for each grant.
    """
    asked: list[effects.Effect] = []
    while state.waiting:
        backend = _choose_backend(state, now_ms)
        if backend is None:
            break
        _, waiting = state.waiting.popitem(last=False)
        asked.append(_grant_slot(state, backend, waiting))
    return asked


def _grant_slot(
    state: ServiceState, backend: Backend, waiting: Waiting
) -> effects.Effect:
    """Grants one slot to one request.

    Args:
        state: The service's state.
        backend: Whose slot.
        waiting: The request.

    Returns:
        The message to its entry.
    """
    state.last_grant_id += 1
    grant_id = ids.GrantId(state.last_grant_id)
    announcement = backend.announcement
    backend.granted += 1
    state.grants[grant_id] = Grant(
        waiting.entry,
        waiting.request.request_id,
        waiting.request.team,
        announcement.backend_id,
        announcement.incarnation,
    )
    granted = messages.SlotGranted(
        waiting.request.request_id,
        state.service,
        state.epoch,
        grant_id,
        announcement.backend_id,
        announcement.address,
        announcement.incarnation,
        START_WITHIN_MS,
        announcement.connections,
    )
    return effects.Send(waiting.entry, granted)
