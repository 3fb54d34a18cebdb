"""Ends grants: returned by the entry, expired, or shown to have ended.

A request whose end has not been reported keeps its slot and its team's charge
until its deadline has passed at the backend server, or longer while it may be
streaming its answer.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.dispatch import averages
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import effects
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import grant_table
from bambookeel.dispatch import granting
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import outliers
from bambookeel.dispatch import service
from bambookeel.dispatch import team_limits

# The most failed requests that are remembered for the retry budget.
_MAX_FAILED_ONCE = 5_000
# The longest time for which one is remembered.
_FAILED_ONCE_MS = 30_000


def _release_grant(
    state: service.ServiceState, grant: grant_table.Grant
) -> None:
    if grant.holds_slot:
        backend_table.free_slot(
            state.backends, grant.backend_id, grant.incarnation
        )
    team_limits.release(state.limits, grant.team)
    fair_queue.unblock_team(state.queue, grant.team)


def _correct_charge(
    state: service.ServiceState, grant: grant_table.Grant, used_ms: float
) -> None:
    """Replaces a team's estimated charge by the measured time.

    Args:
        state: The service's state.
        grant: The ended grant.
        used_ms: Time in ms for which the slot was in use.
    """
    fair_queue.charge(state.queue, grant.team, used_ms - grant.charged_ms)
    team_use = state.use_by_team.get(grant.team)
    if team_use is None:
        team_use = averages.MovingAverage()
        state.use_by_team[grant.team] = team_use
    averages.add_sample(team_use, used_ms)
    averages.add_sample(state.overall_use, used_ms)


def _record_failure(
    state: service.ServiceState, grant: grant_table.Grant, now_ms: int
) -> None:
    state.failed_once[grant.request_id] = now_ms
    while state.failed_once:
        oldest = next(iter(state.failed_once))
        age_ms = now_ms - state.failed_once[oldest]
        if age_ms < _FAILED_ONCE_MS:
            if len(state.failed_once) <= _MAX_FAILED_ONCE:
                return
        del state.failed_once[oldest]


def handle_release(
    state: service.ServiceState, release: messages.SlotReleased, now_ms: int
) -> list[effects.Effect]:
    """Handles an entry's report of how a request ended.

    Args:
        state: The service's state.
        release: The report; ignored when its grant has already ended.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with the grants that the free slot made possible.
    """
    key = (release.epoch, release.grant_id)
    grant = state.grants.by_key.get(key)
    if grant is None or grant.request_id != release.request_id:
        return []
    emitted: list[effects.Effect] = []
    backend = state.backends.by_id.get(grant.backend_id)
    if backend and backend.announcement.incarnation == grant.incarnation:
        if release.backend_fault or (
            release.outcome is outcomes.OutcomeKind.ANSWERED
        ):
            outliers.record_result(
                backend, release.backend_fault, release.duration_ms
            )
    if release.outcome is outcomes.OutcomeKind.NOT_RUN:
        if not grant_table.return_unused(grant, key):
            return emitted
        if release.backend_fault:
            _record_failure(state, grant, now_ms)
    _finish_record(state, grant, release.outcome, now_ms, emitted)
    if release.hold_ms > 0:
        ends_at_ms = now_ms + release.hold_ms + grant_table.GRACE_MS
        grant.returned_with_hold = True
        grant_table.extend(state.grants, grant, ends_at_ms)
        return emitted
    grant_table.remove(state.grants, key)
    used_ms = now_ms - grant.granted_at_ms
    _correct_charge(state, grant, used_ms)
    if release.outcome is outcomes.OutcomeKind.ANSWERED:
        averages.update_shortest(state.use_by_team[grant.team], used_ms)
    _release_grant(state, grant)
    emitted.extend(granting.grant_slots(state, now_ms))
    return emitted


def _finish_record(
    state: service.ServiceState,
    grant: grant_table.Grant,
    outcome: outcomes.OutcomeKind,
    now_ms: int,
    emitted: list[effects.Effect],
) -> None:
    """Marks the record of a request's Idempotency-Key as finished.

    If the request did not run, the record and its copy are deleted.

    Args:
        state: The service's state.
        grant: The request's grant.
        outcome: The request's outcome.
        now_ms: Current time in ms on this process's clock.
        emitted: A message to the process with the copy is appended to it.
    """
    key = grant.idempotency_key
    if not key:
        return
    record = state.records.by_key.get(key)
    expires_at_ms = now_ms + state.spec.idempotency_ttl_ms
    idempotency.finish(
        state.records, key, grant.request_id, outcome, expires_at_ms
    )
    if record is None or not record.copy_holder:
        return
    if outcome is not outcomes.OutcomeKind.NOT_RUN:
        return
    dropped = messages.IdempotencyRecord(
        key, grant.request_id, grant.entry, True, outcome, 0
    )
    keep = messages.KeepRecords(state.service, state.epoch, 0, (dropped,))
    emitted.append(effects.Send(record.copy_holder, keep))


def _is_entry_connected(
    state: service.ServiceState, grant: grant_table.Grant
) -> bool:
    """Checks whether a grant's entry is linked and has not restarted.

    Args:
        state: The service's state.
        grant: The grant.

    Returns:
        Whether the entry would report the end of the request.
    """
    if grant.entry not in state.reachable:
        return False
    progress = state.progress_by_entry.get(grant.entry)
    if progress is None or progress.alive_since_ms is None:
        return True
    return progress.alive_since_ms <= grant.granted_at_ms


def _may_still_run(
    state: service.ServiceState, grant: grant_table.Grant, now_ms: int
) -> bool:
    """Checks whether a request past its deadline may still be running.

    A streaming answer has no deadline: a connected entry returns the slot when
    the answer has ended. For an entry that is not connected, the backend
    server's own count of running requests decides while its lease is valid.

    Args:
        state: The service's state.
        grant: The request's grant.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether the grant must still be counted.
    """
    if _is_entry_connected(state, grant):
        return not grant.returned_with_hold
    if not grant.holds_slot:
        return False
    backend = state.backends.by_id.get(grant.backend_id)
    if backend is None or backend.expires_at_ms <= now_ms:
        return False
    return backend.announcement.incarnation == grant.incarnation


def expire_grants(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Ends grants whose deadline has passed without a report.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Events to log, one for each ended grant.
    """
    emitted: list[effects.Effect] = []
    for grant in grant_table.pop_ended(state.grants, now_ms):
        if _may_still_run(state, grant, now_ms):
            next_check_ms = now_ms + grant_table.GRACE_MS
            if _is_entry_connected(state, grant):
                state.entries_to_query_again.add(grant.entry)
                next_check_ms += state.spec.deadline_ms
            grant_table.extend(state.grants, grant, next_check_ms)
            continue
        grant_table.remove(state.grants, grant.key)
        _release_grant(state, grant)
        _finish_record(
            state, grant, outcomes.OutcomeKind.UNKNOWN, now_ms, emitted
        )
        fields: dict[str, str | int | float] = {
            "service": state.service,
            "request": grant.request_id,
            "entry": grant.entry,
        }
        emitted.append(effects.LogEvent("grant_ran_out", fields))
    return emitted


def cancel_undelivered(
    state: service.ServiceState, grant: grant_table.Grant
) -> None:
    """Ends a grant that never reached its entry, and refunds its charge.

    Args:
        state: The service's state.
        grant: The undelivered grant.
    """
    grant_table.remove(state.grants, grant.key)
    fair_queue.charge(state.queue, grant.team, -grant.charged_ms)
    _release_grant(state, grant)


def free_ended_slots(
    state: service.ServiceState, backend: backend_table.Backend
) -> None:
    """Frees slots of disconnected entries by the backend server's own count.

    Only grants old enough to be included in the count are considered. Requests
    that the server runs in excess of those of connected entries may belong to
    disconnected ones; all other requests of disconnected entries have ended.
    Their teams stay charged until the deadline.

    Args:
        state: The service's state.
        backend: The server, with a new announcement.
    """
    announcement = backend.announcement
    settled_ms = backend.sampled_at_ms - service.SETTLE_MS
    disconnected = []
    connected = 0
    for grant in grant_table.list_for_backend(
        state.grants, announcement.backend_id, announcement.incarnation
    ):
        if grant.granted_at_ms > settled_ms:
            continue
        if _is_entry_connected(state, grant):
            connected += 1
            continue
        disconnected.append(grant)
    excess = max(0, announcement.running - connected)
    for grant in disconnected[: max(0, len(disconnected) - excess)]:
        grant.holds_slot = False
        # The team stays charged until the latest possible deadline.
        longest_ms = state.spec.deadline_ms + grant_table.GRACE_MS
        ends_at_ms = backend.sampled_at_ms + longest_ms
        if ends_at_ms < grant.ends_at_ms:
            grant_table.extend(state.grants, grant, ends_at_ms)
        backend_table.free_slot(
            state.backends, grant.backend_id, grant.incarnation
        )
    backend.unreported = min(backend.unreported, excess)


def list_grants_of(
    state: service.ServiceState, entry: ids.ProcessId
) -> list[grant_table.Grant]:
    """Lists the grants of one entry.

    Args:
        state: The service's state.
        entry: The entry.

    Returns:
        The entry's grants, those without a slot included.
    """
    return [
        grant
        for grant in grant_table.list_all(state.grants)
        if grant.entry == entry
    ]
