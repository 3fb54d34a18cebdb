"""Grants free slots to waiting requests.

The caller must read the clock immediately before, as grants are valid only
while the dispatch lease is. A grant goes to the fair queue's next request whose
team has room in its allotment, on the least loaded backend server.
"""

import dataclasses
import heapq

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import effects
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import grant_table
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import refusing
from bambookeel.dispatch import service
from bambookeel.dispatch import team_limits


def _count_connections(
    state: service.ServiceState,
    backend: backend_table.Backend,
    entry: ids.ProcessId,
) -> int:
    """Counts the connections that an entry may hold to a server.

    Each grant allows one connection. The server's connections in excess of its
    slots, minus those reserved for probes, are divided equally among all
    entries as idle connections for reuse.

    Args:
        state: The service's state.
        backend: The server.
        entry: The entry; its newest grant must be in the grant table.

    Returns:
        The number of connections.
    """
    announcement = backend.announcement
    in_use = 0
    backend_incarnation = (announcement.backend_id, announcement.incarnation)
    for key in state.grants.by_incarnation.get(backend_incarnation, ()):
        if state.grants.by_key[key].entry == entry:
            in_use += 1
    spare = announcement.connections - announcement.slots
    spare -= state.deployment.probe_connections
    entries = max(1, len(state.deployment.data_centres))
    return in_use + max(0, spare) // entries


def _grant_slot(
    state: service.ServiceState,
    backend: backend_table.Backend,
    waiting: fair_queue.WaitingRequest,
    use_ms: float,
    now_ms: int,
) -> effects.Effect:
    """Grants one slot to one request.

    Args:
        state: The service's state.
        backend: The backend server with the slot.
        waiting: The request.
        use_ms: Slot time in ms that its team was charged.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The message to the request's entry.
    """
    state.grants.last_id += 1
    grant_id = ids.GrantId(state.grants.last_id)
    announcement = backend.announcement
    request = waiting.request
    grant = grant_table.Grant(
        (state.epoch, grant_id),
        waiting.entry,
        request.request_id,
        request.team,
        announcement.backend_id,
        announcement.incarnation,
        now_ms,
        max(waiting.deadline_ms, now_ms + service.START_WITHIN_MS)
        + grant_table.GRACE_MS,
        use_ms,
        request.idempotency_key,
    )
    grant_table.add(state.grants, grant)
    backend_table.use_slot(
        state.backends, announcement.backend_id, announcement.incarnation
    )
    team_limits.charge(state.limits, request.team)
    idempotency.mark_started(
        state.records,
        request.idempotency_key,
        request.request_id,
        waiting.entry,
        waiting.deadline_ms + state.spec.idempotency_ttl_ms,
    )
    heapq.heappush(state.recharges, (now_ms + int(use_ms) + 1, grant.key))
    grant.message = messages.SlotGranted(
        request.request_id,
        state.service,
        state.epoch,
        grant_id,
        announcement.backend_id,
        announcement.address,
        announcement.incarnation,
        service.START_WITHIN_MS,
        _count_connections(state, backend, waiting.entry),
        now_ms - waiting.queued_at_ms,
    )
    return effects.Send(waiting.entry, grant.message)


def build_duplicate_reply(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    record: idempotency.Record,
) -> effects.Effect:
    """Builds the reply that another request has the same Idempotency-Key.

    Args:
        state: The service's state.
        entry: The entry that sent the later request.
        request: The later request.
        record: The key's record, of the first request.

    Returns:
        The message to the entry.
    """
    duplicate = messages.SlotDuplicate(
        request.request_id,
        state.service,
        record.request_id,
        record.entry,
        record.finished,
    )
    return effects.Send(entry, duplicate)


def _find_other_request(
    state: service.ServiceState, request: messages.AcquireSlot
) -> idempotency.Record | None:
    """Looks for another request that has been recorded with the same key.

    An entry that answers recovery late may report one while a request waits.

    Args:
        state: The service's state.
        request: The request that is about to be granted.

    Returns:
        The record of the other request, or None.
    """
    if not request.idempotency_key:
        return None
    record = state.records.by_key.get(request.idempotency_key)
    if record is None or record.request_id == request.request_id:
        return None
    return record


def reissue(
    state: service.ServiceState, grant: grant_table.Grant, now_ms: int
) -> messages.SlotGranted | None:
    """Grants the same slot again to an entry that repeats its request.

    Args:
        state: The service's state.
        grant: The request's grant; a recovered one is not granted again.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The message, or None when nothing may be granted now.
    """
    if grant.message is None or not service.may_grant(state, now_ms):
        return None
    state.grants.last_id += 1
    key = (state.epoch, ids.GrantId(state.grants.last_id))
    grant_table.reissue(state.grants, grant, key)
    # The entry measures the time allowed for the start from its last request.
    grant.granted_at_ms = now_ms
    grant.message = dataclasses.replace(
        grant.message, grant_id=key[1], waited_ms=0
    )
    return grant.message


def grant_slots(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Grants free slots to waiting requests.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        One message for each grant, refusal or duplicate, and a request for
        allotments when a team needs one.
    """
    emitted: list[effects.Effect] = []
    if not service.may_grant(state, now_ms):
        return emitted
    needs_allotment = False
    while True:
        team = fair_queue.find_next_team(state.queue)
        if team is None:
            break
        backend = backend_table.choose(state.backends, now_ms)
        if backend is None:
            break
        if not team_limits.may_start(state.limits, team.team, now_ms):
            fair_queue.block_team(team)
            limit = team_limits.get_limit(state.limits, team.team)
            needs_allotment |= team_limits.should_report_demand(limit, now_ms)
            continue
        use_ms = service.get_expected_use(state, team.team)
        waiting = fair_queue.start(state.queue, team, use_ms)
        if waiting.deadline_ms < now_ms + service.get_shortest_use(
            state, team.team
        ):
            fair_queue.charge(state.queue, team.team, -use_ms)
            emitted.append(refusing.refuse_late(state, waiting))
            continue
        other = _find_other_request(state, waiting.request)
        if other is not None:
            fair_queue.charge(state.queue, team.team, -use_ms)
            emitted.append(
                build_duplicate_reply(
                    state, waiting.entry, waiting.request, other
                )
            )
            continue
        emitted.append(_grant_slot(state, backend, waiting, use_ms, now_ms))
    if needs_allotment:
        emitted.append(effects.RequestAllotments())
    return emitted


def charge_long_requests(state: service.ServiceState, now_ms: int) -> None:
    """Charges teams for requests that run longer than they were charged for.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.
    """
    while state.recharges and state.recharges[0][0] <= now_ms:
        _, key = heapq.heappop(state.recharges)
        grant = state.grants.by_key.get(key)
        if grant is None:
            continue
        # Doubling the charge limits the number of charges of a long request.
        more_ms = max(grant.charged_ms, 1.0)
        fair_queue.charge(state.queue, grant.team, more_ms)
        grant.charged_ms += more_ms
        due_ms = grant.granted_at_ms + int(grant.charged_ms) + 1
        heapq.heappush(state.recharges, (due_ms, key))
