"""The steps of one service's dispatcher.

One process at a time holds a service's dispatch lease and runs these steps.
Each takes the service's state, what happened and the time, changes the state
and gives effects; the other modules of the package hold the decisions. There
is no clock, socket or task in here.
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

# When an entry that asked a former holder should ask the next one.
_HAND_OVER_RETRY_MS = 100


def check_epoch(held: int, assigned: int) -> None:
    """Checks that a service's epoch only grows.

    Args:
        held: The epoch of the state held so far, or 0.
        assigned: The epoch that control has assigned.
    """
    faults.check_invariant(
        assigned > held, f"epoch {assigned} after epoch {held}"
    )


def renew_lease(
    state: service.ServiceState,
    until_ms: int,
    reachable: set[ids.ProcessId],
    now_ms: int,
) -> list[effects.Effect]:
    """Extends the dispatch lease; the first one begins recovery.

    Args:
        state: The service's state.
        until_ms: When the lease ends, on the own clock.
        reachable: Entries with a link, the own process included.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Questions to entries, and grants.
    """
    state.lease_until_ms = max(state.lease_until_ms, until_ms)
    if state.started_at_ms is None:
        return recovery.begin(state, reachable, now_ms)
    return granting.grant_slots(state, now_ms)


def release_lease(state: service.ServiceState) -> list[effects.Effect]:
    """Gives the lease up; nothing is granted from now on.

    Args:
        state: The service's state.

    Returns:
        Refusals, so that entries ask the next holder.
    """
    state.released = True
    return refusing.refuse_all(
        state, "the dispatcher is handed over", _HAND_OVER_RETRY_MS
    )


def set_teams(
    state: service.ServiceState,
    teams: Mapping[ids.TeamName, resources.TeamSpec],
) -> None:
    """Takes in the teams' shares and limits.

    Args:
        state: The service's state.
        teams: All teams.
    """
    state.weights = {team: spec.share_weight for team, spec in teams.items()}
    state.upper_limits = {
        team: spec.upper_limit for team, spec in teams.items()
    }
    for team in state.queue.teams:
        fair_queue.set_weight(state.queue, team, get_weight(state, team))


def get_weight(state: service.ServiceState, team: ids.TeamName) -> float:
    """Finds a team's share weight.

    Args:
        state: The service's state.
        team: The team.

    Returns:
        Its weight; that of requests without a team is low.
    """
    return state.weights.get(team, service.NO_TEAM_WEIGHT)


def handle_message(
    state: service.ServiceState,
    peer: ids.ProcessId,
    message: messages.Message,
    now_ms: int,
) -> list[effects.Effect]:
    """Takes in a message for the service.

    Args:
        state: The service's state.
        peer: Who sent it.
        message: The message.
        now_ms: Current time in ms, read immediately before the call.

    Returns:
        What to do.
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
    """Takes in a request for a slot.

    Args:
        state: The service's state.
        entry: The entry process that sent the request.
        request: The request for a slot.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Grants, refusals and copies to keep.
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
    """Takes in control's reply to the newest report.

    Args:
        state: The service's state.
        reply: The reply, with the allotments of this and other services.
        until_ms: When the allotments' lease ends on the own clock.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Grants, and whether control should hear of it soon.
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
            # Control can give the rest away once it hears of this.
            emitted.append(effects.RequestAllotments())
        if team_limits.has_room(limit):
            fair_queue.unblock_team(state.queue, allotment.team)
    emitted.extend(granting.grant_slots(state, now_ms))
    return emitted


def list_demands(
    state: service.ServiceState, now_ms: int
) -> tuple[messages.TeamDemand, ...]:
    """Lists what the service has and wants of each team's limit.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        One record for each team with anything to tell.
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
    """Ends what has run out, and grants what became possible.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Refusals, questions, grants and events to log.
    """
    emitted = refusing.refuse_expired(state, now_ms)
    emitted.extend(ending.expire_grants(state, now_ms))
    while state.entries_to_ask_again:
        entry = state.entries_to_ask_again.pop()
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
