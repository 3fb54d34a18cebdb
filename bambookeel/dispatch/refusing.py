"""Refuses or cancels requests before they run.

A request that is refused here has certainly not run, and its Idempotency-Key is
free again.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.dispatch import effects
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import service

_RETRY_AFTER_MS = 500


def refuse(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request_id: ids.RequestId,
    reason: outcomes.Reason,
    detail: str,
    retry_after_ms: int = _RETRY_AFTER_MS,
) -> effects.Effect:
    """Builds the refusal of a request.

    Args:
        state: The service's state.
        entry: The entry process that sent the request.
        request_id: Id of the request.
        reason: The reason as sent to the caller.
        detail: Explanation for the caller, in one sentence.
        retry_after_ms: Time in ms after which a retry may succeed.

    Returns:
        The message to the entry.
    """
    refusal = messages.SlotRefused(
        request_id, state.service, reason, detail, retry_after_ms
    )
    return effects.Send(entry, refusal)


def refuse_late(
    state: service.ServiceState, waiting: fair_queue.WaitingRequest
) -> effects.Effect:
    """Refuses a request that can no longer end before its deadline.

    Args:
        state: The service's state.
        waiting: The request.

    Returns:
        The message to the request's entry.
    """
    drop_waiting(state, waiting.request)
    return refuse(
        state,
        waiting.entry,
        waiting.request.request_id,
        outcomes.Reason.DEADLINE_UNREACHABLE,
        "no slot became free in time for its work",
        0,
    )


def drop_waiting(
    state: service.ServiceState, request: messages.AcquireSlot
) -> None:
    """Removes a request that has not run, and its idempotency record.

    Args:
        state: The service's state.
        request: The request: queued, deferred or waiting for a record copy.
    """
    state.deferred.pop(request.request_id, None)
    fair_queue.remove(state.queue, request.request_id)
    nonce = state.copy_nonces.pop(request.request_id, None)
    if nonce is not None:
        del state.pending_copies[nonce]
    if request.idempotency_key:
        idempotency.finish(
            state.records,
            request.idempotency_key,
            request.request_id,
            outcomes.OutcomeKind.NOT_RUN,
            0,
        )


def cancel(state: service.ServiceState, request_ids: tuple[str, ...]) -> None:
    """Removes cancelled requests, each in at most O(log n).

    Args:
        state: The service's state.
        request_ids: Ids of the requests; unknown ones are ignored.
    """
    for request_id in request_ids:
        wanted = ids.RequestId(request_id)
        state.deferred.pop(wanted, None)
        waiting = state.queue.by_request.get(wanted)
        nonce = state.copy_nonces.get(wanted)
        if nonce is not None:
            waiting = state.pending_copies[nonce].waiting
        if waiting is not None:
            drop_waiting(state, waiting.request)


def refuse_expired(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Refuses requests whose deadline has passed while they waited.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The refusals.
    """
    expired = fair_queue.pop_expired(state.queue, now_ms)
    for pending in list(state.pending_copies.values()):
        if pending.waiting.deadline_ms <= now_ms:
            expired.append(pending.waiting)
    for deferred in state.deferred.values():
        if deferred.deadline_ms <= now_ms:
            expired.append(deferred)
    emitted = []
    for waiting in expired:
        drop_waiting(state, waiting.request)
        emitted.append(
            refuse(
                state,
                waiting.entry,
                waiting.request.request_id,
                outcomes.Reason.DEADLINE_UNREACHABLE,
                "no slot became free before the deadline",
                0,
            )
        )
    return emitted


def refuse_all(
    state: service.ServiceState, detail: str, retry_after_ms: int
) -> list[effects.Effect]:
    """Refuses all waiting requests, so that their entries try the next holder.

    Args:
        state: The service's state.
        detail: Explanation for the entries, in one sentence.
        retry_after_ms: Time in ms after which the next holder may be known.

    Returns:
        The refusals.
    """
    all_waiting = list(state.queue.by_request.values())
    all_waiting += [
        pending.waiting for pending in state.pending_copies.values()
    ]
    all_waiting += state.deferred.values()
    emitted = []
    for waiting in all_waiting:
        drop_waiting(state, waiting.request)
        emitted.append(
            refuse(
                state,
                waiting.entry,
                waiting.request.request_id,
                outcomes.Reason.NO_DISPATCHER,
                detail,
                retry_after_ms,
            )
        )
    return emitted
