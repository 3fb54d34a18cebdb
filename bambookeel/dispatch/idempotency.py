"""Records of Idempotency-Keys at a service's dispatcher.

A key's record is created when its first request is queued, and expires one time
to live after that request has ended. It is deleted when the request did not
run, because a repeat may then run. Before a request with a key is granted, a
second process stores its record, in another data centre if there is one.
"""

from collections import OrderedDict
import dataclasses
import enum

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes

# The most records of one service; further requests with a new key are refused.
MAX_RECORDS = 100_000


class Certainty(enum.IntEnum):
    """How certain it is that a record's request is the one that may run."""

    # An entry has a request with the key that has not been granted.
    CLAIMED = 0
    # A holder recorded the request, as it does before a grant.
    RECORDED = 1
    # The request has been granted or has ended.
    STARTED = 2


# Request id of a record for two requests, either of which may have run.
CONTESTED = ids.RequestId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The record of one Idempotency-Key.

    Attributes:
        request_id: The first request with the key.
        entry: The entry process that received the request.
        finished: Whether the first request has ended.
        outcome: Its outcome; UNKNOWN until it has ended.
        expires_at_ms: When the record may be dropped.
        copy_holder: The process that stores a copy, or empty.
        certainty: How certain it is that this is the key's one request.
    """

    request_id: ids.RequestId
    entry: ids.ProcessId
    finished: bool
    outcome: outcomes.OutcomeKind
    expires_at_ms: int
    copy_holder: ids.ProcessId = ids.ProcessId("")
    certainty: Certainty = Certainty.RECORDED


@dataclasses.dataclass(slots=True)
class RecordTable:
    """The records of one service.

    Attributes:
        by_key: Records by key, the least recently updated first.
        incomplete_until_ms: Until when a record of an earlier holder may be
            missing here; no request with an unknown key runs before.
        inherited_until_ms: The same time as reported by an earlier holder.
        restored: Whether a holder has sent this process all records that it
            should store, since its start.
    """

    by_key: OrderedDict[ids.IdempotencyKey, Record] = dataclasses.field(
        default_factory=OrderedDict
    )
    incomplete_until_ms: int = 0
    inherited_until_ms: int = 0
    restored: bool = False


def is_confirmed(record: Record) -> bool:
    """Checks whether a record may be sent to other processes.

    Args:
        record: The record.

    Returns:
        False for a claim, which the receiver would treat as RECORDED.
    """
    return record.certainty > Certainty.CLAIMED


def put(table: RecordTable, key: ids.IdempotencyKey, record: Record) -> None:
    """Adds or replaces a key's record and makes it the newest one.

    Args:
        table: The service's records.
        key: The Idempotency-Key.
        record: The new record.
    """
    table.by_key[key] = record
    table.by_key.move_to_end(key)


def finish(
    table: RecordTable,
    key: ids.IdempotencyKey,
    request_id: ids.RequestId,
    outcome: outcomes.OutcomeKind,
    expires_at_ms: int,
) -> None:
    """Marks a key's record as finished, or deletes it if nothing has run.

    Args:
        table: The service's records.
        key: The Idempotency-Key.
        request_id: The request that ended; a record of another one stays.
        outcome: The request's outcome; NOT_RUN deletes the record.
        expires_at_ms: When the record may be dropped.
    """
    record = table.by_key.get(key)
    if record is None or record.request_id != request_id:
        return
    if outcome is outcomes.OutcomeKind.NOT_RUN:
        del table.by_key[key]
        return
    ended = dataclasses.replace(
        record,
        finished=True,
        outcome=outcome,
        expires_at_ms=expires_at_ms,
        certainty=Certainty.STARTED,
    )
    put(table, key, ended)


def store_copies(
    table: RecordTable,
    copies: tuple[messages.IdempotencyRecord, ...],
    now_ms: int,
) -> None:
    """Stores a holder's copies; they replace those stored before.

    Args:
        table: The stored copies of the service.
        copies: The holder's records; one without remaining time deletes the
            stored copy of the same request.
        now_ms: Current time in ms on this process's clock.
    """
    for copy in copies:
        known = table.by_key.get(copy.idempotency_key)
        if copy.remaining_ms <= 0:
            if known is not None and known.request_id == copy.request_id:
                del table.by_key[copy.idempotency_key]
            continue
        put(table, copy.idempotency_key, _import(copy, now_ms))


def _import(copy: messages.IdempotencyRecord, now_ms: int) -> Record:
    certainty = Certainty.STARTED if copy.finished else Certainty.RECORDED
    return Record(
        copy.request_id,
        copy.entry,
        copy.finished,
        copy.outcome,
        now_ms + copy.remaining_ms,
        certainty=certainty,
    )


def merge_records(
    table: RecordTable,
    copies: tuple[messages.IdempotencyRecord, ...],
    claimed: frozenset[ids.RequestId],
    now_ms: int,
) -> None:
    """Merges the records that another process sends to a new holder.

    Of two records of a key the one with the higher certainty is kept.

    Args:
        table: The holder's records.
        copies: The records received from the process.
        claimed: Requests that are waiting and are not known to be granted.
        now_ms: Current time in ms on this process's clock.
    """
    for copy in copies:
        if copy.remaining_ms <= 0:
            continue
        received = _import(copy, now_ms)
        if copy.request_id in claimed:
            received = dataclasses.replace(
                received, certainty=Certainty.CLAIMED
            )
        known = table.by_key.get(copy.idempotency_key)
        if known is None or received.certainty > known.certainty:
            put(table, copy.idempotency_key, received)
            continue
        if received.certainty < known.certainty:
            continue
        if received.request_id == known.request_id:
            continue
        if received.certainty is Certainty.RECORDED:
            # Either request may have run, so neither may run now.
            contested = dataclasses.replace(received, request_id=CONTESTED)
            put(table, copy.idempotency_key, contested)


def mark_started(
    table: RecordTable,
    key: ids.IdempotencyKey,
    request_id: ids.RequestId,
    entry: ids.ProcessId,
    expires_at_ms: int,
) -> None:
    """Records that a request has been granted, if it has a key.

    Args:
        table: The service's records.
        key: The request's Idempotency-Key, or empty.
        request_id: The granted request.
        entry: The entry process that received the request.
        expires_at_ms: When the record may be dropped.
    """
    if not key:
        return
    known = table.by_key.get(key)
    copy_holder = known.copy_holder if known is not None else ids.ProcessId("")
    started = Record(
        request_id,
        entry,
        False,
        outcomes.OutcomeKind.UNKNOWN,
        expires_at_ms,
        copy_holder,
        Certainty.STARTED,
    )
    put(table, key, started)


def export(
    key: ids.IdempotencyKey, record: Record, now_ms: int
) -> messages.IdempotencyRecord:
    """Converts a record to its form in messages.

    Args:
        key: The Idempotency-Key.
        record: The key's record.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The record with its remaining time in place of the time of expiry.
    """
    return messages.IdempotencyRecord(
        key,
        record.request_id,
        record.entry,
        record.finished,
        record.outcome,
        max(0, record.expires_at_ms - now_ms),
    )


def drop_expired(table: RecordTable, now_ms: int) -> None:
    """Drops expired records, oldest first, up to the first unexpired one.

    Args:
        table: The service's records.
        now_ms: Current time in ms on this process's clock.
    """
    while table.by_key:
        key, record = next(iter(table.by_key.items()))
        if record.expires_at_ms > now_ms:
            return
        del table.by_key[key]
