"""Copies of idempotency records at a second process.

Both the entry of a request and the service's holder record its key. If they are
in the same data centre, or are the same process, an entry elsewhere must store
a copy before the request is granted, so that the loss of one data centre loses
no record.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.dispatch import effects
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import granting
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import service

# Time after which another process is asked to store a copy.
_RETRY_AFTER_MS = 300
NO_PROCESS = ids.ProcessId("")
# The most records in one message.
_PART_RECORDS = 500


def choose_copy_holder(
    state: service.ServiceState,
    entry: ids.ProcessId,
    without: ids.ProcessId,
) -> ids.ProcessId | None:
    """Chooses the process that stores a copy of a record.

    Args:
        state: The service's state.
        entry: The entry of the request, which has the record itself.
        without: A process to avoid because it did not answer, or empty.

    Returns:
        A process, or None when the holder's own record is enough or no other
        process is reachable.
    """
    own = state.deployment.process_id
    centres = state.deployment.data_centres
    if centres.get(entry) != centres.get(own):
        return None
    others = [
        process
        for process in sorted(state.reachable)
        if process not in (own, entry, without) and process in centres
    ]
    elsewhere = [p for p in others if centres[p] != centres.get(entry)]
    if not elsewhere and entry != own:
        # Only one data centre is reachable; the entry and the holder each have
        # a copy already.
        return None
    candidates = elsewhere or others
    if not candidates:
        return None
    return candidates[state.last_nonce % len(candidates)]


def record_key(
    state: service.ServiceState,
    waiting: fair_queue.WaitingRequest,
    now_ms: int,
    emitted: list[effects.Effect],
    without: ids.ProcessId = NO_PROCESS,
) -> bool:
    """Records a request's key and requests a copy where one is needed.

    Args:
        state: The service's state.
        waiting: The request, not in the queue yet.
        now_ms: Current time in ms on this process's clock.
        emitted: The message to the chosen process is appended to it.
        without: A process to avoid because it did not answer, or empty.

    Returns:
        Whether the request may be queued now, without waiting for a copy.
    """
    request = waiting.request
    key = request.idempotency_key
    if not key:
        return True
    target = choose_copy_holder(state, waiting.entry, without)
    record = idempotency.Record(
        request.request_id,
        waiting.entry,
        False,
        outcomes.OutcomeKind.UNKNOWN,
        waiting.deadline_ms + state.spec.idempotency_ttl_ms,
        target or ids.ProcessId(""),
    )
    idempotency.put(state.records, key, record)
    if target is None:
        return True
    state.last_nonce += 1
    state.pending_copies[state.last_nonce] = service.PendingCopy(
        waiting, target, now_ms
    )
    state.copy_nonces[request.request_id] = state.last_nonce
    exported = idempotency.export(key, record, now_ms)
    keep = messages.KeepRecords(
        state.service, state.epoch, state.last_nonce, (exported,)
    )
    emitted.append(effects.Send(target, keep))
    return False


def handle_records_kept(
    state: service.ServiceState, kept: messages.RecordsKept, now_ms: int
) -> list[effects.Effect]:
    """Queues the request whose record now has a copy.

    Args:
        state: The service's state.
        kept: The confirmation of the process that stores the copy.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with grants.
    """
    if kept.epoch != state.epoch:
        return []
    pending = state.pending_copies.pop(kept.nonce, None)
    if pending is None:
        return []
    waiting = pending.waiting
    del state.copy_nonces[waiting.request.request_id]
    if waiting.deadline_ms > now_ms:
        fair_queue.add(state.queue, waiting)
        return granting.grant_slots(state, now_ms)
    # Its deadline has passed; the next tick refuses it.
    fair_queue.add(state.queue, waiting)
    return []


def retry_copies(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Asks another process to store each copy that was not confirmed in time.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The messages to the other processes.
    """
    emitted: list[effects.Effect] = []
    for nonce, pending in list(state.pending_copies.items()):
        if now_ms - pending.requested_at_ms < _RETRY_AFTER_MS:
            continue
        del state.pending_copies[nonce]
        waiting = pending.waiting
        del state.copy_nonces[waiting.request.request_id]
        if record_key(state, waiting, now_ms, emitted, pending.target):
            fair_queue.add(state.queue, waiting)
    return emitted


def _build_copy_messages(
    state: service.ServiceState,
    target: ids.ProcessId,
    keys: list[ids.IdempotencyKey],
    now_ms: int,
) -> list[effects.Effect]:
    """Builds messages with copies of the confirmed records, split into parts.

    Args:
        state: The service's state.
        target: The process that stores the copies.
        keys: Keys of the records.
        now_ms: Current time in ms on this process's clock.

    Returns:
        One message for each part.
    """
    emitted: list[effects.Effect] = []
    keys = [
        key
        for key in keys
        if idempotency.is_confirmed(state.records.by_key[key])
    ]
    for start in range(0, len(keys), _PART_RECORDS):
        part = tuple(
            idempotency.export(key, state.records.by_key[key], now_ms)
            for key in keys[start : start + _PART_RECORDS]
        )
        keep = messages.KeepRecords(state.service, state.epoch, 0, part)
        emitted.append(effects.Send(target, keep))
    return emitted


def _build_status(
    state: service.ServiceState, restored: bool, now_ms: int
) -> messages.KeepRecords:
    remaining_ms = max(0, state.records.incomplete_until_ms - now_ms)
    return messages.KeepRecords(
        state.service, state.epoch, 0, (), remaining_ms, restored
    )


def _copy_to_other_centre(
    state: service.ServiceState, target: ids.ProcessId, now_ms: int
) -> list[effects.Effect]:
    """Copies records that are all in one data centre to a process elsewhere.

    Args:
        state: The service's state.
        target: A process that has restarted; it gets the records of which all
            copies are in one data centre other than its own.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The messages to the process.
    """
    centres = state.deployment.data_centres
    own = state.deployment.process_id
    keys = []
    for key, record in state.records.by_key.items():
        record_centres = {
            centres[process]
            for process in (record.entry, record.copy_holder, own)
            if process in centres
        }
        if len(record_centres) != 1 or centres[target] in record_centres:
            continue
        keys.append(key)
    for key in keys:
        state.records.by_key[key] = dataclasses.replace(
            state.records.by_key[key], copy_holder=target
        )
    return _build_copy_messages(state, target, keys, now_ms)


def restore_copies(
    state: service.ServiceState, entry: ids.ProcessId, now_ms: int
) -> list[effects.Effect]:
    """Sends a restarted process the records that it should store.

    Args:
        state: The service's state, ready to grant.
        entry: The restarted process.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The messages; the last one marks the process as fully restored.
    """
    lost = [
        key
        for key, record in state.records.by_key.items()
        if entry in (record.entry, record.copy_holder)
    ]
    emitted = _build_copy_messages(state, entry, lost, now_ms)
    emitted.extend(_copy_to_other_centre(state, entry, now_ms))
    emitted.append(effects.Send(entry, _build_status(state, True, now_ms)))
    return emitted


def restore_all(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Restores the records of every linked process that is not fully restored.

    Called when granting begins.

    Args:
        state: The service's state, ready to grant.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The messages to those processes.
    """
    emitted: list[effects.Effect] = []
    for entry in sorted(state.reachable):
        progress = state.progress_by_entry.get(entry)
        if progress is not None and not progress.restored:
            emitted.extend(restore_copies(state, entry, now_ms))
    return emitted


def copy_to_other_centres(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Copies recovered records out of the new holder's data centre.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The messages to those processes.
    """
    keys_by_target: dict[ids.ProcessId, list[ids.IdempotencyKey]] = {}
    for key, record in list(state.records.by_key.items()):
        target = choose_copy_holder(state, record.entry, NO_PROCESS)
        if target is None:
            continue
        state.records.by_key[key] = dataclasses.replace(
            record, copy_holder=target
        )
        keys_by_target.setdefault(target, []).append(key)
    emitted: list[effects.Effect] = []
    for target, keys in keys_by_target.items():
        emitted.extend(_build_copy_messages(state, target, keys, now_ms))
    return emitted


def check_records(
    state: service.ServiceState, now_ms: int
) -> list[effects.Effect]:
    """Decides, once granting may begin, whether records may be missing.

    A record is stored in two data centres, or by two processes when only one
    data centre is left. So no record is missing if at most one process has not
    answered with all its records, or if all such processes are in the same one
    of several data centres. A process that restarted has lost its records until
    a holder restores them. Records that an earlier holder lacked stay missing.

    Args:
        state: The service's state.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages that tell all linked entries until when records may be missing,
        so that a later holder learns of it.
    """
    table = state.records
    if not state.ready or not table.incomplete_until_ms:
        return []
    centres = state.deployment.data_centres
    incomplete_entries = [
        entry
        for entry, progress in state.progress_by_entry.items()
        if not (progress.outstanding_reported and progress.had_all_records)
    ]
    lost_centres = {centres[entry] for entry in incomplete_entries}
    all_centres = set(centres.values())
    one_centre_lost = len(lost_centres) == 1 and len(all_centres) > 1
    if len(incomplete_entries) <= 1 or one_centre_lost:
        table.incomplete_until_ms = table.inherited_until_ms
    if state.incomplete_announced or now_ms >= table.incomplete_until_ms:
        return []
    state.incomplete_announced = True
    return [
        effects.Send(entry, _build_status(state, False, now_ms))
        for entry in sorted(state.reachable)
    ]
