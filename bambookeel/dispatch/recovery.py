"""Recovery of a new holder's state, before and after it starts to grant.

The epoch's first lease begins recovery: every entry is queried for its
outstanding requests and its idempotency records. The holder starts to grant
once each reachable entry has answered or a maximum wait has passed. Until all
entries have answered, slots that a backend server reports in use beyond the
known grants count as used, and teams are charged for the requests that earlier
holders may have granted, until those have ended.

An entry that has restarted reports only requests since its restart; earlier
ones count until the longest deadline has passed.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import admission
from bambookeel.dispatch import announcing
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import copies
from bambookeel.dispatch import effects
from bambookeel.dispatch import grant_table
from bambookeel.dispatch import granting
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import outstanding
from bambookeel.dispatch import service
from bambookeel.dispatch import team_limits

# The longest wait for the answer of a linked entry.
_MAX_ANSWER_WAIT_MS = 1_500
# An unanswered query is repeated after this time.
_QUERY_AGAIN_MS = 300
# Time after which no answer to an earlier query can still arrive.
_MAX_ANSWER_DELAY_MS = 5_000
_FIRST_EPOCH = ids.Epoch(1)


def begin(
    state: service.ServiceState,
    reachable: set[ids.ProcessId],
    now_ms: int,
) -> list[effects.Effect]:
    """Begins recovery with the epoch's first lease.

    Args:
        state: The state of the new epoch.
        reachable: Linked entries, this process included.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with recovery queries, and with grants if recovery is complete.
    """
    state.started_at_ms = now_ms
    state.reachable = set(reachable)
    for entry in state.deployment.data_centres:
        state.progress_by_entry[entry] = service.RecoveryProgress()
    longest_ms = state.spec.deadline_ms + grant_table.GRACE_MS
    state.limits.unreported_until_ms = now_ms + longest_ms
    if state.epoch == _FIRST_EPOCH:
        # There was no earlier holder, so there is nothing to recover.
        for progress in state.progress_by_entry.values():
            progress.fully_counted = True
        _mark_all_counted(state)
    else:
        ttl_ms = state.spec.idempotency_ttl_ms
        state.records.incomplete_until_ms = now_ms + ttl_ms
    emitted: list[effects.Effect] = []
    if state.epoch != _FIRST_EPOCH:
        for entry in sorted(reachable):
            emitted.extend(query_entry(state, entry, now_ms))
    emitted.extend(check_progress(state, now_ms))
    return emitted


def query_entry(
    state: service.ServiceState, entry: ids.ProcessId, now_ms: int
) -> list[effects.Effect]:
    """Queries an entry for outstanding requests and idempotency records.

    Args:
        state: The service's state.
        entry: The entry.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The two queries; none for an unknown entry or before the first lease.
    """
    progress = state.progress_by_entry.get(entry)
    if progress is None or state.started_at_ms is None:
        return []
    if progress.queried_at_ms is None:
        progress.queried_at_ms = now_ms
        progress.answer_covers_until_ms = now_ms
    progress.last_queried_at_ms = now_ms
    recover = messages.RecoverRequest(state.service, state.epoch)
    records = messages.RecordsRequest(state.service, state.epoch)
    return [effects.Send(entry, records), effects.Send(entry, recover)]


def handle_link_up(
    state: service.ServiceState, entry: ids.ProcessId, now_ms: int
) -> list[effects.Effect]:
    """Queries an entry with a new link; the old one may have lost messages.

    Args:
        state: The service's state.
        entry: The newly linked entry.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Queries to the entry.
    """
    state.reachable.add(entry)
    progress = state.progress_by_entry.get(entry)
    if progress is None:
        return []
    # Answers to earlier queries were lost with the old link.
    progress.queried_at_ms = None
    progress.alive_since_ms = None
    progress.outstanding_reported = False
    return query_entry(state, entry, now_ms)


def query_entry_again(
    state: service.ServiceState, entry: ids.ProcessId, now_ms: int
) -> list[effects.Effect]:
    """Queries a linked entry again, because a release may have been lost.

    Args:
        state: The service's state.
        entry: The linked entry.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Queries to the entry; none while an earlier one is unanswered.
    """
    progress = state.progress_by_entry.get(entry)
    if progress is None or not progress.has_answered():
        return []
    progress.outstanding_reported = False
    progress.queried_at_ms = None
    emitted = query_entry(state, entry, now_ms)
    # An answer to an earlier, repeated query may still arrive.
    progress.answer_covers_until_ms = now_ms - _MAX_ANSWER_DELAY_MS
    return emitted


def handle_link_down(state: service.ServiceState, entry: ids.ProcessId) -> None:
    """Handles the loss of a link; grants of the entry still count.

    Args:
        state: The service's state.
        entry: The entry that is no longer linked.
    """
    state.reachable.discard(entry)


def handle_records(
    state: service.ServiceState,
    entry: ids.ProcessId,
    reply: messages.RecordsReply,
    now_ms: int,
) -> list[effects.Effect]:
    """Handles an entry's answer with the records that it stores.

    Args:
        state: The service's state.
        entry: The entry.
        reply: The entry's answer.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with records that the entry has lost, and with grants if this
        was the last answer needed.
    """
    progress = state.progress_by_entry.get(entry)
    if reply.epoch != state.epoch or progress is None:
        return []
    idempotency.merge_records(state.records, reply.records, frozenset(), now_ms)
    incomplete_until_ms = now_ms + reply.incomplete_ms
    if reply.incomplete_ms and not state.ready:
        state.records.inherited_until_ms = max(
            state.records.inherited_until_ms, incomplete_until_ms
        )
    progress.alive_since_ms = now_ms - reply.uptime_ms
    progress.restored = reply.restored
    if progress.had_all_records is None:
        # Only the first answer counts: records in a later one may have been
        # restored by this holder, and do not show what the entry had stored.
        started_at_ms = state.started_at_ms or 0
        had_started = progress.alive_since_ms <= started_at_ms
        progress.had_all_records = reply.restored and had_started
    emitted: list[effects.Effect] = []
    if state.ready and not reply.restored:
        emitted.extend(copies.restore_copies(state, entry, now_ms))
    emitted.extend(check_progress(state, now_ms))
    return emitted


def handle_outstanding(
    state: service.ServiceState,
    entry: ids.ProcessId,
    reply: messages.RecoverReply,
    now_ms: int,
) -> list[effects.Effect]:
    """Handles an entry's answer with its outstanding requests.

    Args:
        state: The service's state.
        entry: The entry.
        reply: The entry's answer.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with grants, if this was the last answer needed.
    """
    progress = state.progress_by_entry.get(entry)
    if reply.epoch != state.epoch or progress is None:
        return []
    if progress.queried_at_ms is None or progress.outstanding_reported:
        return []
    granted = {reported.request_id for reported in reply.outstanding}
    claimed = frozenset(
        record.request_id
        for record in reply.records
        if not record.finished and record.request_id not in granted
    )
    idempotency.merge_records(state.records, reply.records, claimed, now_ms)
    outstanding.drop_lost_grants(state, entry, reply, progress)
    for reported in reply.outstanding:
        outstanding.add_outstanding(state, entry, reported, now_ms)
    progress.outstanding_reported = True
    emitted: list[effects.Effect] = []
    for announcement in reply.announcements:
        emitted.extend(
            announcing.handle_announcement(state, announcement, now_ms)
        )
    emitted.extend(check_progress(state, now_ms))
    return emitted


def _are_all_entries_counted(state: service.ServiceState) -> bool:
    if state.started_at_ms is None:
        return False
    return all(
        progress.fully_counted for progress in state.progress_by_entry.values()
    )


def check_progress(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Updates the progress of recovery and starts granting when it is possible.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Repeated queries, and grants once they are possible.
    """
    if state.started_at_ms is None:
        return []
    emitted: list[effects.Effect] = []
    was_ready = state.ready
    missing = []
    for entry, progress in state.progress_by_entry.items():
        _update_fully_counted(state, progress, now_ms)
        if progress.has_answered() or entry not in state.reachable:
            continue
        if progress.fully_counted and progress.queried_at_ms is None:
            continue
        missing.append(entry)
        if now_ms - progress.last_queried_at_ms >= _QUERY_AGAIN_MS:
            emitted.extend(query_entry(state, entry, now_ms))
    if _are_all_entries_counted(state) and not state.all_counted:
        _mark_all_counted(state)
    waited_ms = now_ms - state.started_at_ms
    if state.all_counted or not missing or waited_ms >= _MAX_ANSWER_WAIT_MS:
        state.ready = True
    emitted.extend(copies.check_records(state, now_ms))
    if now_ms >= state.limits.unreported_until_ms and not state.all_counted:
        _bound_unreported(state)
    if state.ready and not was_ready:
        fields: dict[str, str | int | float] = {
            "service": state.service,
            "epoch": state.epoch,
            "waited_ms": waited_ms,
            "outstanding": len(state.grants.by_key),
            "entries_missing": len(missing),
        }
        emitted.append(effects.LogEvent("dispatch_ready", fields))
        emitted.append(effects.RequestAllotments())
        emitted.extend(copies.copy_to_other_centres(state, now_ms))
        emitted.extend(copies.restore_all(state, now_ms))
        emitted.extend(admission.handle_deferred(state, now_ms))
        emitted.extend(granting.grant_slots(state, now_ms))
    return emitted


def _update_fully_counted(
    state: service.ServiceState, progress: service.RecoveryProgress, now_ms: int
) -> None:
    """Decides whether all requests that an entry may have running are counted.

    Args:
        state: The service's state.
        progress: Recovery progress of the entry, updated in place.
        now_ms: Current time in ms on this process's clock.
    """
    if progress.fully_counted or state.started_at_ms is None:
        return
    if not progress.outstanding_reported or progress.alive_since_ms is None:
        return
    longest_ms = state.spec.deadline_ms + grant_table.GRACE_MS
    progress.fully_counted = progress.alive_since_ms + longest_ms <= now_ms


def _bound_unreported(state: service.ServiceState) -> None:
    """Limits the unreported counts once the longest deadline has passed.

    After that only streaming answers can still be running, and the backend
    servers' counts include them.

    Args:
        state: The service's state.
    """
    state.limits.complete = True
    unreported = 0
    for backend in state.backends.by_id.values():
        unreported += backend.unreported
    for limit in state.limits.by_team.values():
        limit.unreported = min(limit.unreported, unreported)


def _mark_all_counted(state: service.ServiceState) -> None:
    """Drops the unreported counts once all entries are fully counted.

    Args:
        state: The service's state.
    """
    state.all_counted = True
    team_limits.clear_unreported(state.limits)
    for backend in state.backends.by_id.values():
        backend.unreported = 0
        backend.usage_known = True
        backend_table.refresh(state.backends, backend)
