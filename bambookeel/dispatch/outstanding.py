"""What an entry tells a holder of its outstanding requests.

A holder that hears of a request counts it from then on; a grant that the entry
does not know of never reached it and ends.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import ending
from bambookeel.dispatch import grant_table
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import service
from bambookeel.dispatch import team_limits


def drop_lost_grants(
    state: service.ServiceState,
    entry: ids.ProcessId,
    reply: messages.RecoverReply,
    progress: service.RecoveryProgress,
) -> None:
    """Ends grants that were lost on their way to an entry.

    A grant made before the question, to the same life of the entry, and not in
    its answer was lost with an older link.

    Args:
        state: The service's state.
        entry: The entry.
        reply: Its answer.
        account: What was heard of it before.
    """
    if progress.alive_since_ms is None or progress.asked_at_ms is None:
        return
    alive_since_ms = progress.alive_since_ms
    listed = {reported.request_id for reported in reply.outstanding}
    for grant in ending.list_grants_of(state, entry):
        if grant.request_id in listed:
            continue
        if alive_since_ms < grant.granted_at_ms < progress.answer_covers_until_ms:
            ending.cancel_undelivered(state, grant)


def add_outstanding(
    state: service.ServiceState,
    entry: ids.ProcessId,
    reported: messages.OutstandingRequest,
    now_ms: int,
) -> None:
    """Counts a request that an entry has outstanding.

    Args:
        state: The service's state.
        entry: The entry.
        told: The request.
        now_ms: Current time in ms on this process's clock.
    """
    if reported.request_id in state.grants.by_request:
        return
    key = (reported.epoch, reported.grant_id)
    if key in state.grants.by_key:
        return
    grant = grant_table.Grant(
        key,
        entry,
        reported.request_id,
        reported.team,
        reported.backend_id,
        reported.incarnation,
        now_ms,
        now_ms + max(0, reported.remaining_ms) + grant_table.GRACE_MS,
        idempotency_key=reported.idempotency_key,
    )
    grant_table.add(state.grants, grant)
    idempotency.mark_started(
        state.records,
        reported.idempotency_key,
        reported.request_id,
        entry,
        grant.ends_at_ms + state.spec.idempotency_ttl_ms,
    )
    backend_table.use_slot(state.backends, reported.backend_id, reported.incarnation)
    team_limits.charge(state.limits, reported.team)
    # It was counted as unheard or unseen until now.
    limit = team_limits.get_limit(state.limits, reported.team)
    limit.unreported = max(0, limit.unreported - 1)
    backend = state.backends.by_id.get(reported.backend_id)
    if backend is not None:
        backend.unreported = max(0, backend.unreported - 1)
