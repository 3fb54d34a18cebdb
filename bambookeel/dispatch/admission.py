"""Admission control for requests that need a slot.

A request is either queued or refused immediately. A refused request has
certainly not run. A refusal costs only a few look-ups, so that refusing stays
cheap under overload.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.dispatch import copies
from bambookeel.dispatch import effects
from bambookeel.dispatch import ending
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import granting
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import refusing
from bambookeel.dispatch import retry_budgets
from bambookeel.dispatch import service

# A request is refused when its estimated wait exceeds its remaining time by
# this factor.
_REFUSAL_MARGIN = 1.25


def estimate_wait_ms(
    state: service.ServiceState, request: messages.AcquireSlot
) -> float:
    """Estimates how long a new request would wait for a slot.

    Args:
        state: The service's state.
        request: The request, not queued yet.

    Returns:
        The estimated wait in ms; 0 while there are too few samples or no
        slots.
    """
    if state.overall_use.samples < service.MIN_SAMPLES or not state.slots:
        return 0.0
    team = fair_queue.get_team(state.queue, request.team)
    requests_ahead = len(team.urgent) if request.urgent else team.count()
    weights = state.queue.active_weight
    if not team.count():
        weights += team.weight
    slots = state.slots * team.weight / max(weights, team.weight)
    upper_limit = state.upper_limits.get(request.team)
    if upper_limit:
        slots = min(slots, upper_limit)
    use_ms = service.get_expected_use(state, request.team)
    return requests_ahead * use_ms / max(slots, 1e-9)


def _find_duplicate(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    now_ms: int,
) -> effects.Effect | None:
    """Checks a request's Idempotency-Key against the known records.

    Args:
        state: The service's state.
        entry: The entry process that sent the request.
        request: The request for a slot.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The message that reports the duplicate or refuses the request, or None
        when the request may proceed.
    """
    key = request.idempotency_key
    if not key:
        return None
    record = state.records.by_key.get(key)
    if record is not None and record.request_id != request.request_id:
        return granting.build_duplicate_reply(state, entry, request, record)
    if record is not None and record.certainty > idempotency.Certainty.CLAIMED:
        return None
    if now_ms < state.records.incomplete_until_ms:
        return refusing.refuse(
            state,
            entry,
            request.request_id,
            outcomes.Reason.DUPLICATE_UNKNOWN,
            "records of earlier requests may be missing after a failure",
        )
    if len(state.records.by_key) >= idempotency.MAX_RECORDS:
        return refusing.refuse(
            state,
            entry,
            request.request_id,
            outcomes.Reason.OVERLOADED,
            "too many Idempotency-Keys are remembered",
        )
    return None


def _find_refusal(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
) -> effects.Effect | None:
    """Checks the team's limit, its retry budget and the request's deadline.

    Args:
        state: The service's state.
        entry: The entry process that sent the request.
        request: The request for a slot.

    Returns:
        The refusal, or None when the request may be queued.
    """
    request_id = request.request_id
    if state.upper_limits.get(request.team) == 0:
        return refusing.refuse(
            state,
            entry,
            request_id,
            outcomes.Reason.TEAM_LIMIT,
            "the team's upper limit is 0",
        )
    if state.failed_once.pop(request_id, None) is not None:
        if not retry_budgets.spend(state.budgets, request.team):
            return refusing.refuse(
                state,
                entry,
                request_id,
                outcomes.Reason.OVERLOADED,
                "the team's budget for second tries is used up",
            )
    else:
        retry_budgets.earn(state.budgets, request.team)
    wait_ms = estimate_wait_ms(state, request)
    if wait_ms > _REFUSAL_MARGIN * request.remaining_ms:
        return refusing.refuse(
            state,
            entry,
            request_id,
            outcomes.Reason.DEADLINE_UNREACHABLE,
            f"the wait is estimated at {wait_ms:.0f} ms",
            min(5_000, int(wait_ms) - request.remaining_ms),
        )
    return None


def _choose_displaced(
    state: service.ServiceState, request: messages.AcquireSlot
) -> fair_queue.WaitingRequest | None:
    """Chooses the waiting request to evict from a full queue.

    Args:
        state: The service's state.
        request: The request to be queued.

    Returns:
        The newest request of the team with the most waiting requests relative
        to its weight, or None when the requesting team would itself have as
        many.
    """
    longest = fair_queue.find_longest_team(state.queue)
    if longest is None:
        return None
    team = fair_queue.get_team(state.queue, request.team)
    if (team.count() + 1) / team.weight >= longest.count() / longest.weight:
        return None
    return fair_queue.get_newest(longest)


def _ensure_room(
    state: service.ServiceState, waiting: fair_queue.WaitingRequest
) -> tuple[list[effects.Effect], bool]:
    """Makes room in the queue, by evicting another request if necessary.

    Args:
        state: The service's state.
        waiting: The request to be queued.

    Returns:
        The refusal of the evicted or the new request, if any, and whether the
        new request may be queued.
    """
    if len(state.queue.by_request) < state.spec.queue_bound:
        return [], True
    refused = _choose_displaced(state, waiting.request)
    has_room = refused is not None
    if refused is None:
        refused = waiting
    else:
        refusing.drop_waiting(state, refused.request)
    refusal = refusing.refuse(
        state,
        refused.entry,
        refused.request.request_id,
        outcomes.Reason.QUEUE_FULL,
        f"{state.spec.queue_bound} requests wait already",
    )
    return [refusal], has_room


def handle_request(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    now_ms: int,
    arrived_at_ms: int | None = None,
) -> list[effects.Effect]:
    """Queues or refuses a request, then grants free slots.

    Args:
        state: The service's state.
        entry: The entry process that sent the request.
        request: The request for a slot.
        now_ms: Current time in ms on this process's clock.
        arrived_at_ms: Time in ms at which the request arrived; None for
            `now_ms`.

    Returns:
        Messages with grants, refusals and record copies.
    """
    request_id = request.request_id
    grant_key = state.grants.by_request.get(request_id)
    if grant_key is not None:
        # The grant message was lost, or the entry resent its request before
        # the grant message arrived.
        grant = state.grants.by_key[grant_key]
        if grant.entry != entry:
            return []
        if grant.holds_slot:
            again = granting.reissue(state, grant, now_ms)
            return [effects.Send(entry, again)] if again is not None else []
        # The slot now belongs to another request; this one is queued again.
        ending.cancel_undelivered(state, grant)
    if request_id in state.queue.by_request:
        return []
    if request_id in state.copy_nonces:
        return []
    if request.idempotency_key and not state.ready:
        # Recovery must finish before it is known whether the key is new.
        deadline_ms = now_ms + request.remaining_ms
        deferred = fair_queue.WaitingRequest(
            entry, request, now_ms, deadline_ms
        )
        state.deferred[request_id] = deferred
        return []
    found = _find_duplicate(state, entry, request, now_ms)
    found = found or _find_refusal(state, entry, request)
    if found is not None:
        return [found]
    deadline_ms = now_ms + request.remaining_ms
    if arrived_at_ms is None:
        arrived_at_ms = now_ms
    waiting = fair_queue.WaitingRequest(
        entry, request, arrived_at_ms, deadline_ms
    )
    emitted, has_room = _ensure_room(state, waiting)
    if has_room and copies.record_key(state, waiting, now_ms, emitted):
        fair_queue.add(state.queue, waiting)
        emitted.extend(granting.grant_slots(state, now_ms))
    return emitted


def handle_deferred(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Handles requests with a key that arrived before recovery had finished.

    Args:
        state: The service's state, with recovery finished.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with grants, refusals and record copies.
    """
    emitted: list[effects.Effect] = []
    for deferred in list(state.deferred.values()):
        waited_ms = now_ms - deferred.queued_at_ms
        remaining_ms = max(0, deferred.request.remaining_ms - waited_ms)
        request = dataclasses.replace(
            deferred.request, remaining_ms=remaining_ms
        )
        emitted.extend(
            handle_request(
                state, deferred.entry, request, now_ms, deferred.queued_at_ms
            )
        )
    state.deferred.clear()
    return emitted
