"""Event handlers of one service's dispatcher.

One process at a time holds a service's dispatch lease and runs these handlers.
Each takes the service's state, an event and the current time, modifies the
state and returns effects; the decisions are made in the other modules of the
package. This module uses no clock, socket or task.
"""

from collections.abc import Mapping

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.dispatch import admission
from bambookeel.dispatch import announcing
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import copies
from bambookeel.dispatch import effects
from bambookeel.dispatch import ending
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import granting
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import outliers
from bambookeel.dispatch import recovery
from bambookeel.dispatch import refusing
from bambookeel.dispatch import service
from bambookeel.dispatch import team_limits

# Delay after which an entry refused by a former holder should try the next one.
_HAND_OVER_RETRY_MS = 100


def check_epoch(held: int, assigned: int) -> None:
    """Checks the invariant that a service's epoch only increases.

    Args:
        held: The epoch of the state held so far, or 0.
        assigned: The epoch that control has assigned.
    """
    faults.check_invariant(
        assigned > held,
        f"epoch {assigned} assigned after epoch {held}; it must increase",
    )


def renew_lease(
    state: service.ServiceState,
    until_ms: int,
    reachable: set[ids.ProcessId],
    now_ms: int,
) -> list[effects.Effect]:
    """Extends the dispatch lease; the epoch's first lease begins recovery.

    Args:
        state: The service's state.
        until_ms: When the lease ends, in ms on this process's clock.
        reachable: Linked entries, this process included.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with recovery queries and grants.
    """
    state.lease_until_ms = max(state.lease_until_ms, until_ms)
    if state.started_at_ms is None:
        return recovery.begin(state, reachable, now_ms)
    return granting.grant_slots(state, now_ms)


def release_lease(state: service.ServiceState) -> list[effects.Effect]:
    """Releases the lease; nothing is granted from now on.

    Args:
        state: The service's state.

    Returns:
        Refusals of all waiting requests, so that their entries try the next
        holder.
    """
    state.released = True
    return refusing.refuse_all(
        state, "the dispatcher is handed over", _HAND_OVER_RETRY_MS
    )


def set_teams(
    state: service.ServiceState,
    teams: Mapping[ids.TeamName, resources.TeamSpec],
) -> None:
    """Sets the teams' share weights and upper limits.

    Args:
        state: The service's state.
        teams: All teams; they replace those set before.
    """
    state.weights = {team: spec.share_weight for team, spec in teams.items()}
    state.upper_limits = {
        team: spec.upper_limit for team, spec in teams.items()
    }
    for team in state.queue.teams:
        fair_queue.set_weight(state.queue, team, get_weight(state, team))


def get_weight(state: service.ServiceState, team: ids.TeamName) -> float:
    """Returns a team's share weight.

    Args:
        state: The service's state.
        team: The team, or empty for requests without one.

    Returns:
        The team's weight; a low one for requests without a team.
    """
    return state.weights.get(team, service.NO_TEAM_WEIGHT)


def handle_message(
    state: service.ServiceState,
    peer: ids.ProcessId,
    message: messages.Message,
    now_ms: int,
) -> list[effects.Effect]:
    """Handles a message for the service.

    Args:
        state: The service's state.
        peer: The process that sent the message.
        message: The message; types without a handler are ignored.
        now_ms: Current time in ms, read immediately before the call.

    Returns:
        Effects for the task to perform.
    """
    match message:
        case messages.AcquireSlot():
            return handle_acquire(state, peer, message, now_ms)
        case messages.SlotReleased():
            return ending.handle_release(state, message, now_ms)
        case messages.CancelWaiting():
            refusing.cancel(state, message.request_ids)
        case messages.BackendAnnouncement():
            return announcing.handle_announcement(state, message, now_ms)
        case messages.RecoverReply():
            return recovery.handle_outstanding(state, peer, message, now_ms)
        case messages.RecordsReply():
            return recovery.handle_records(state, peer, message, now_ms)
        case messages.RecordsKept():
            return copies.handle_records_kept(state, message, now_ms)
    return []


def handle_acquire(
    state: service.ServiceState,
    entry: ids.ProcessId,
    request: messages.AcquireSlot,
    now_ms: int,
) -> list[effects.Effect]:
    """Handles a request for a slot.

    Args:
        state: The service's state.
        entry: The entry process that sent the request.
        request: The request for a slot.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with grants, refusals and record copies.
    """
    if state.released:
        refusal = messages.SlotRefused(
            request.request_id,
            state.service,
            outcomes.Reason.NO_DISPATCHER,
            "the dispatcher is handed over",
            _HAND_OVER_RETRY_MS,
        )
        return [effects.Send(entry, refusal)]
    if request.team not in state.queue.teams:
        weight = get_weight(state, request.team)
        fair_queue.set_weight(state.queue, request.team, weight)
    return admission.handle_request(state, entry, request, now_ms)


def handle_allotments(
    state: service.ServiceState,
    reply: messages.AllotmentReply,
    until_ms: int,
    now_ms: int,
) -> list[effects.Effect]:
    """Adopts the allotments in control's reply to the newest report.

    Args:
        state: The service's state.
        reply: The reply, with the allotments of this and other services.
        until_ms: When the allotments' lease ends, in ms on this process's
            clock.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with grants, and a request for allotments when control should
        get a new report soon.
    """
    own = None
    for report in reply.services:
        if report.service == state.service and report.epoch == state.epoch:
            own = report
    if own is None:
        return []
    allotted = tuple(
        allotment
        for allotment in reply.allotments
        if allotment.service == state.service
    )
    emitted: list[effects.Effect] = []
    if not state.limits.complete and state.ready and own.complete:
        team_limits.assume_unreported(state.limits, allotted)
        emitted.append(effects.RequestAllotments())
    for allotment in allotted:
        limit = team_limits.get_limit(state.limits, allotment.team)
        lowered = allotment.amount < limit.allotment
        team_limits.set_allotment(state.limits, allotment, until_ms)
        if lowered:
            # Control can allot the difference elsewhere after the next report.
            emitted.append(effects.RequestAllotments())
        if team_limits.has_room(limit):
            fair_queue.unblock_team(state.queue, allotment.team)
    emitted.extend(granting.grant_slots(state, now_ms))
    return emitted


def list_demands(
    state: service.ServiceState, now_ms: int
) -> tuple[messages.TeamDemand, ...]:
    """Lists the service's use of and demand for each team's limit.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        One record for each team with running or waiting requests or a held
        allotment.
    """
    waiting = {}
    for name, team in state.queue.teams.items():
        count = team.count()
        if count:
            waiting[name] = count
            team_limits.get_limit(state.limits, name)
    return team_limits.list_demands(
        state.limits, state.service, waiting, now_ms
    )


def handle_tick(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Does the periodic work: expiry, retries, ejection and grants.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Refusals, recovery queries, grants and events to log.
    """
    emitted = refusing.refuse_expired(state, now_ms)
    emitted.extend(ending.expire_grants(state, now_ms))
    while state.entries_to_query_again:
        entry = state.entries_to_query_again.pop()
        emitted.extend(recovery.query_entry_again(state, entry, now_ms))
    idempotency.drop_expired(state.records, now_ms)
    emitted.extend(copies.retry_copies(state, now_ms))
    granting.charge_long_requests(state, now_ms)
    for backend in outliers.eject_outliers(state.backends, now_ms):
        fields: dict[str, str | int | float] = {
            "service": state.service,
            "backend": backend.announcement.backend_id,
            "until_ms": backend.ejected_until_ms - now_ms,
        }
        emitted.append(effects.LogEvent("backend_ejected", fields))
    backend_table.refresh_all(state.backends, now_ms)
    state.slots = backend_table.count_slots(state.backends, now_ms)
    emitted.extend(recovery.check_progress(state, now_ms))
    emitted.extend(granting.grant_slots(state, now_ms))
    return emitted
