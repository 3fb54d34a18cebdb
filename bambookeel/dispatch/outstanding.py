"""Applies an entry's report of its outstanding requests at a holder.

The holder counts each reported request from then on. A grant that the entry
does not report never reached it, and is ended.
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
    """Ends grants that were lost in transit to an entry.

    A grant that was made before the query, after the entry's last start, and
    that is not in the entry's answer was lost with an older link.

    Args:
        state: The service's state.
        entry: The entry.
        reply: The entry's answer.
        progress: What the entry had reported before this answer.
    """
    if progress.alive_since_ms is None or progress.queried_at_ms is None:
        return
    alive_since_ms = progress.alive_since_ms
    listed = {reported.request_id for reported in reply.outstanding}
    for grant in ending.list_grants_of(state, entry):
        if grant.request_id in listed:
            continue
        if (
            alive_since_ms
            < grant.granted_at_ms
            < progress.answer_covers_until_ms
        ):
            ending.cancel_undelivered(state, grant)


def add_outstanding(
    state: service.ServiceState,
    entry: ids.ProcessId,
    reported: messages.OutstandingRequest,
    now_ms: int,
) -> None:
    """Counts a request that an entry reports as outstanding.

    Args:
        state: The service's state.
        entry: The entry.
        reported: The outstanding request; one with a known grant is ignored.
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
    backend_table.use_slot(
        state.backends, reported.backend_id, reported.incarnation
    )
    team_limits.charge(state.limits, reported.team)
    # Until now the request was included in the unreported counts.
    limit = team_limits.get_limit(state.limits, reported.team)
    limit.unreported = max(0, limit.unreported - 1)
    backend = state.backends.by_id.get(reported.backend_id)
    if backend is not None:
        backend.unreported = max(0, backend.unreported - 1)
