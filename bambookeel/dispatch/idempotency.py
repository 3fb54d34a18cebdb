"""Records of Idempotency-Keys at a service's dispatcher.

A key's record exists from the moment its first request is queued until the
time to live after it ended. A record goes when its request did not run, since
the repeat may then run. Before a request with a key is granted, a second
process holds its record, in another data centre where there is one.
"""

from collections import OrderedDict
import dataclasses
import enum

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes

# Records of one service; past it a request with a new key is refused.
MAX_RECORDS = 100_000


class Certainty(enum.IntEnum):
    """How sure it is that a record's request is the one that may run."""

    # An entry holds a request with the key that has not been granted.
    CLAIMED = 0
    # A holder recorded it before a grant.
    RECORDED = 1
    # It has been granted or has ended.
    STARTED = 2


# Stands for two requests of which either may have run.
CONTESTED = ids.RequestId("")


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What is remembered of a key.

    Attributes:
        request_id: Its first request.
        entry: The process that took it.
        finished: Whether the first request has ended.
        outcome: How it ended.
        expires_at_ms: When the record may go.
        copy_holder: The process that holds a copy, or empty.
        certainty: How sure it is that this is the key's one request.
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
        by_key: Records by key, the oldest first.
        incomplete_until_ms: Until when a record of an earlier holder may be
            missing here; no request with an unknown key runs before.
        inherited_until_ms: The same, as an earlier holder told it.
        restored: Whether a holder has given this process everything that it
            should keep, since its start.
    """

    by_key: OrderedDict[ids.IdempotencyKey, Record] = dataclasses.field(
        default_factory=OrderedDict
    )
    incomplete_until_ms: int = 0
    inherited_until_ms: int = 0
    restored: bool = False


def is_confirmed(record: Record) -> bool:
    """Tells whether a record may be told to others.

    Args:
        record: The record.

    Returns:
        False for a mere claim, which others would take for a record.
    """
    return record.certainty > Certainty.CLAIMED


def put(table: RecordTable, key: ids.IdempotencyKey, record: Record) -> None:
    """Adds or renews a key's record.

    Args:
        table: The records.
        key: The key.
        record: The record.
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
    """Takes in the end of a request with a key.

    Args:
        table: The records.
        key: The key.
        request_id: The request that ended.
        outcome: How it ended; one that did not run leaves no record.
        expires_at_ms: When the record may go.
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
    """Keeps copies for a holder, whose word replaces what was kept.

    Args:
        table: The kept copies.
        copies: The copies; one without remaining time is dropped.
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
    """Takes in records that another process tells a new holder.

    Args:
        table: The holder's records.
        copies: What the process tells.
        claimed: Requests of which it is only known that they wait.
        now_ms: Current time in ms on this process's clock.
    """
    for copy in copies:
        if copy.remaining_ms <= 0:
            continue
        received = _import(copy, now_ms)
        if copy.request_id in claimed:
            received = dataclasses.replace(received, certainty=Certainty.CLAIMED)
        known = table.by_key.get(copy.idempotency_key)
        if known is None or received.certainty > known.certainty:
            put(table, copy.idempotency_key, received)
            continue
        if received.certainty < known.certainty:
            continue
        if received.request_id == known.request_id:
            continue
        if received.certainty is Certainty.RECORDED:
            # Either may have run: neither may run now.
            contested = dataclasses.replace(received, request_id=CONTESTED)
            put(table, copy.idempotency_key, contested)


def mark_started(
    table: RecordTable,
    key: ids.IdempotencyKey,
    request_id: ids.RequestId,
    entry: ids.ProcessId,
    expires_at_ms: int,
) -> None:
    """Notes that a request with a key has been granted.

    Args:
        table: The records.
        key: The key, or empty.
        request_id: The request.
        entry: Its entry.
        expires_at_ms: When the record may go.
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
    """Converts a record for another process.

    Args:
        key: The key.
        record: Its record.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The record as a message carries it.
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
    """Drops records whose time is over, a bounded number at once.

    Args:
        table: The records.
        now_ms: Current time in ms on this process's clock.
    """
    while table.by_key:
        key, record = next(iter(table.by_key.items()))
        if record.expires_at_ms > now_ms:
            return
        del table.by_key[key]
