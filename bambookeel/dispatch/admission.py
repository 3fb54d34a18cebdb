"""Decides what becomes of a request that asks for a slot.

It is queued, or refused at once with a reason that is true: nothing of it has
run. A refusal costs no more than a few look-ups, so that overload stays cheap.
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
from bambookeel.dispatch import retry_budgets
from bambookeel.dispatch import service

_RETRY_AFTER_MS = 500
# Ended requests that the estimates of waiting need at least.
_MIN_SAMPLES = 20
# A request is refused when the estimate passes its time by this factor.
_CERTAINTY_FACTOR = 1.25


def refuse(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request_id: ids.RequestId,
    reason: outcomes.Reason,
    detail: str,
    retry_after_ms: int = _RETRY_AFTER_MS,
) -> effects.Effect:
    """Refuses a request.

    Args:
        state: The service's state.
        entry: The process that asked.
        request_id: The request.
        reason: Why.
        detail: One sentence for the caller.
        retry_after_ms: When a new try may succeed.

    Returns:
        The message to the entry.
    """
    refusal = messages.SlotRefused(
        request_id, state.service, reason, detail, retry_after_ms
    )
    return effects.Send(entry, refusal)


def estimate_wait_ms(
    state: service.ServiceState, request: messages.AcquireSlot
) -> float:
    """Estimates how long a new request would wait for its slot.

    Args:
        state: The service's state.
        request: The request.

    Returns:
        The estimate; 0 while too little is known.
    """
    if state.overall_use.samples < _MIN_SAMPLES or not state.slots:
        return 0.0
    team = fair_queue.get_team(state.queue, request.team)
    ahead = len(team.urgent) if request.urgent else team.count()
    weights = state.queue.active_weight
    if not team.count():
        weights += team.weight
    slots = state.slots * team.weight / max(weights, team.weight)
    upper_limit = state.upper_limits.get(request.team)
    if upper_limit:
        slots = min(slots, upper_limit)
    use_ms = service.get_expected_use(state, request.team)
    return ahead * use_ms / max(slots, 1e-9)


def _find_duplicate(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    now_ms: int,
) -> effects.Effect | None:
    """Looks for an earlier request with the same Idempotency-Key.

    Args:
        state: The service's state.
        entry: The process that asks.
        request: What it asks.
        now_ms: The time.

    Returns:
        What the entry is told, or None when the request may go on.
    """
    key = request.idempotency_key
    if not key:
        return None
    record = state.records.by_key.get(key)
    if record is not None and record.request_id != request.request_id:
        return granting.tell_duplicate(state, entry, request, record)
    if record is not None and record.standing > idempotency.Standing.CLAIMED:
        return None
    if now_ms < state.records.incomplete_until_ms:
        return refuse(
            state,
            entry,
            request.request_id,
            outcomes.Reason.DUPLICATE_UNKNOWN,
            "records of earlier requests may be missing after a failure",
        )
    if len(state.records.by_key) >= idempotency.MAX_RECORDS:
        return refuse(
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
    """Finds why a request should not be queued.

    Args:
        state: The service's state.
        entry: The process that asks.
        request: What it asks.

    Returns:
        The refusal, or None.
    """
    request_id = request.request_id
    if state.upper_limits.get(request.team) == 0:
        return refuse(
            state,
            entry,
            request_id,
            outcomes.Reason.TEAM_LIMIT,
            "the team's upper limit is 0",
        )
    if state.failed_once.pop(request_id, None) is not None:
        if not retry_budgets.spend(state.budgets, request.team):
            return refuse(
                state,
                entry,
                request_id,
                outcomes.Reason.OVERLOADED,
                "the team's budget for second tries is used up",
            )
    else:
        retry_budgets.earn(state.budgets, request.team)
    wait_ms = estimate_wait_ms(state, request)
    if wait_ms > _CERTAINTY_FACTOR * request.remaining_ms:
        return refuse(
            state,
            entry,
            request_id,
            outcomes.Reason.DEADLINE_UNREACHABLE,
            f"the wait is estimated at {wait_ms:.0f} ms",
            min(5_000, int(wait_ms) - request.remaining_ms),
        )
    return None


def _make_room(
    state: service.ServiceState, request: messages.AcquireSlot
) -> fair_queue.Waiting | None:
    """Chooses who gives way when the queue is full.

    Args:
        state: The service's state.
        request: The request that wants in.

    Returns:
        The newest request of the team that has most waiting for its weight, or
        None when that is the asking team itself.
    """
    longest = fair_queue.find_longest_team(state.queue)
    if longest is None:
        return None
    team = fair_queue.get_team(state.queue, request.team)
    if (team.count() + 1) / team.weight >= longest.count() / longest.weight:
        return None
    return fair_queue.get_newest(longest)


def take_request(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    now_ms: int,
    arrived_at_ms: int | None = None,
) -> list[effects.Effect]:
    """Queues or refuses a request, and grants what is possible.

    Args:
        state: The service's state.
        entry: The process that asks.
        request: What it asks.
        now_ms: The time.
        arrived_at_ms: When it came, if that was before.

    Returns:
        Grants, refusals and copies to keep.
    """
    request_id = request.request_id
    grant_key = state.grants.by_request.get(request_id)
    if grant_key is not None:
        # The grant was lost on its way, or a resent question crossed it.
        grant = state.grants.by_key[grant_key]
        if grant.entry != entry:
            return []
        if grant.holds_slot:
            again = granting.reissue(state, grant, now_ms)
            return [effects.Send(entry, again)] if again is not None else []
        # Its slot was given to another request; it waits for a new one.
        ending.end_unknown_to_entry(state, grant)
    if request_id in state.queue.by_request:
        return []
    if request_id in state.copying_requests:
        return []
    if request.idempotency_key and not state.ready:
        # Whether the key is new is known only after recovery.
        deadline_ms = now_ms + request.remaining_ms
        early = fair_queue.Waiting(entry, request, now_ms, deadline_ms)
        state.early[request_id] = early
        return []
    found = _find_duplicate(state, entry, request, now_ms)
    found = found or _find_refusal(state, entry, request)
    if found is not None:
        return [found]
    deadline_ms = now_ms + request.remaining_ms
    if arrived_at_ms is None:
        arrived_at_ms = now_ms
    waiting = fair_queue.Waiting(entry, request, arrived_at_ms, deadline_ms)
    asked: list[effects.Effect] = []
    if len(state.queue.by_request) >= state.spec.queue_bound:
        loser = _make_room(state, request)
        if loser is None:
            loser = waiting
        else:
            drop_waiting(state, loser.request)
        asked.append(
            refuse(
                state,
                loser.entry,
                loser.request.request_id,
                outcomes.Reason.QUEUE_FULL,
                f"{state.spec.queue_bound} requests wait already",
            )
        )
        if loser is waiting:
            return asked
    if copies.protect_key(state, waiting, now_ms, asked):
        fair_queue.add(state.queue, waiting)
        asked.extend(granting.grant_slots(state, now_ms))
    return asked


def take_early(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Takes the requests with a key that came before recovery was done.

    Args:
        state: The service's state, ready now.
        now_ms: The time.

    Returns:
        Grants, refusals and copies to keep.
    """
    asked: list[effects.Effect] = []
    for early in list(state.early.values()):
        waited_ms = now_ms - early.queued_at_ms
        remaining_ms = max(0, early.request.remaining_ms - waited_ms)
        request = dataclasses.replace(early.request, remaining_ms=remaining_ms)
        asked.extend(
            take_request(
                state, early.entry, request, now_ms, early.queued_at_ms
            )
        )
    state.early.clear()
    return asked


def drop_waiting(
    state: service.ServiceState, request: messages.AcquireSlot
) -> None:
    """Takes a request that has not run out of the queue.

    Args:
        state: The service's state.
        request: The request.
    """
    state.early.pop(request.request_id, None)
    fair_queue.remove(state.queue, request.request_id)
    nonce = state.copying_requests.pop(request.request_id, None)
    if nonce is not None:
        del state.copying[nonce]
    if request.idempotency_key:
        idempotency.finish(
            state.records,
            request.idempotency_key,
            request.request_id,
            outcomes.OutcomeKind.NOT_RUN,
            0,
        )


def cancel(state: service.ServiceState, request_ids: tuple[str, ...]) -> None:
    """Takes requests out of the queue, each in O(log n) or less.

    Args:
        state: The service's state.
        request_ids: Which requests.
    """
    for request_id in request_ids:
        wanted = ids.RequestId(request_id)
        state.early.pop(wanted, None)
        waiting = state.queue.by_request.get(wanted)
        nonce = state.copying_requests.get(wanted)
        if nonce is not None:
            waiting = state.copying[nonce].waiting
        if waiting is not None:
            drop_waiting(state, waiting.request)


def refuse_expired(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Refuses requests whose deadline has passed in the queue.

    Args:
        state: The service's state.
        now_ms: The time.

    Returns:
        The refusals.
    """
    expired = fair_queue.take_expired(state.queue, now_ms)
    for copying in list(state.copying.values()):
        if copying.waiting.deadline_ms <= now_ms:
            expired.append(copying.waiting)
    for early in state.early.values():
        if early.deadline_ms <= now_ms:
            expired.append(early)
    asked = []
    for waiting in expired:
        drop_waiting(state, waiting.request)
        asked.append(
            refuse(
                state,
                waiting.entry,
                waiting.request.request_id,
                outcomes.Reason.DEADLINE_UNREACHABLE,
                "no slot became free before the deadline",
                0,
            )
        )
    return asked


def refuse_all(
    state: service.ServiceState, detail: str, retry_after_ms: int
) -> list[effects.Effect]:
    """Refuses everything that waits, so that entries ask the next holder.

    Args:
        state: The service's state.
        detail: One sentence for the entries.
        retry_after_ms: When the next holder may be known.

    Returns:
        The refusals.
    """
    everyone = list(state.queue.by_request.values())
    everyone += [copying.waiting for copying in state.copying.values()]
    everyone += state.early.values()
    asked = []
    for waiting in everyone:
        drop_waiting(state, waiting.request)
        asked.append(
            refuse(
                state,
                waiting.entry,
                waiting.request.request_id,
                outcomes.Reason.NO_DISPATCHER,
                detail,
                retry_after_ms,
            )
        )
    return asked
