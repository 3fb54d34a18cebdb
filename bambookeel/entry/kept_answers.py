"""Records of the Idempotency-Keys whose first request this entry ran.

A record belongs to the first request with its key. Repeats wait until that
request ends and get its answer while the answer is kept. Kept answers are
limited by their total size; the records themselves, which prevent a second run,
are kept until the key expires.
"""

from collections import OrderedDict
from collections.abc import Callable
import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes

_MAX_RECORDS = 50_000
# The most expired records that are dropped to make room for one new key.
_EXPIRY_BATCH = 100
# No single answer may take more than the limit divided by this.
_MAX_ANSWER_DIVISOR = 16

RecordKey = tuple[ids.ServiceName, ids.IdempotencyKey]


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer that is kept for repeats.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Header fields for the caller.
        body: The whole body.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


KeyedResult = KeptAnswer | outcomes.NotRun | outcomes.Unknown


@dataclasses.dataclass(slots=True)
class Record:
    """The record of the first request with a key.

    Attributes:
        key: Service and Idempotency-Key.
        request_id: The first request.
        fingerprint: Hash of the first request.
        expires_at_ms: When the record may be dropped, unless the request runs.
        result: How the first request ended; None while it runs.
        listeners: Called once with the result.
    """

    key: RecordKey
    request_id: ids.RequestId
    fingerprint: int
    expires_at_ms: int
    result: KeyedResult | None = None
    listeners: list[Callable[[KeyedResult], None]] = dataclasses.field(
        default_factory=list
    )


class KeptAnswers:
    """The records of this entry, by key and by the first request's id."""

    def __init__(self, process_id: ids.ProcessId, max_bytes: int) -> None:
        self._process_id = process_id
        self._max_bytes = max_bytes
        self._records: OrderedDict[RecordKey, Record] = OrderedDict()
        self._by_request: dict[ids.RequestId, Record] = {}
        # Sizes of the kept answers in bytes by key, the oldest first.
        self._with_answer: OrderedDict[RecordKey, int] = OrderedDict()
        self._kept_bytes = 0

    @property
    def kept_bytes(self) -> int:
        """Total size of the kept answers."""
        return self._kept_bytes

    @property
    def max_answer_bytes(self) -> int:
        """Size of the largest answer that is kept."""
        return self._max_bytes // _MAX_ANSWER_DIVISOR

    def find(self, key: RecordKey, now_ms: int) -> Record | None:
        """Looks up the record of a key.

        Args:
            key: Service and Idempotency-Key.
            now_ms: Current time in ms on this process's clock.

        Returns:
            The record, or None if there is none or it has expired.
        """
        record = self._records.get(key)
        if record is None:
            return None
        if record.result is not None and record.expires_at_ms <= now_ms:
            self._drop(record)
            return None
        return record

    def find_by_request(self, request_id: ids.RequestId) -> Record | None:
        """Looks up the record of a first request.

        Args:
            request_id: The first request's id.

        Returns:
            The record, or None if it has been dropped.
        """
        return self._by_request.get(request_id)

    def add(self, record: Record, now_ms: int) -> bool:
        """Adds the record of a request that is about to run.

        Args:
            record: The record.
            now_ms: Current time in ms on this process's clock.

        Returns:
            False if there is no room for another key.
        """
        if len(self._records) >= _MAX_RECORDS:
            self._drop_expired(now_ms)
        if len(self._records) >= _MAX_RECORDS:
            return False
        self._records[record.key] = record
        self._by_request[record.request_id] = record
        return True

    def _drop_expired(self, now_ms: int) -> None:
        """Drops a limited number of expired records, the oldest first.

        Args:
            now_ms: Current time in ms on this process's clock.
        """
        for _ in range(min(_EXPIRY_BATCH, len(self._records))):
            key, record = next(iter(self._records.items()))
            if record.result is None:
                # It still runs; the loop goes on with the records behind it.
                self._records.move_to_end(key)
                continue
            if record.expires_at_ms > now_ms:
                return
            self._drop(record)

    def _drop(self, record: Record) -> None:
        self._discard_answer(record)
        self._records.pop(record.key, None)
        self._by_request.pop(record.request_id, None)

    def _discard_answer(self, record: Record) -> None:
        size = self._with_answer.pop(record.key, 0)
        self._kept_bytes -= size

    def finish(self, record: Record, result: KeyedResult) -> None:
        """Stores how the first request ended and notifies its repeats.

        Args:
            record: The request's record.
            result: How it ended; after `NotRun` the key is free again.
        """
        if record.result is not None:
            return
        record.result = result
        listeners, record.listeners = record.listeners, []
        match result:
            case outcomes.NotRun():
                self._drop(record)
            case KeptAnswer():
                self._keep_answer(record, result)
        for listener in listeners:
            listener(result)

    def _keep_answer(self, record: Record, answer: KeptAnswer) -> None:
        """Keeps an answer and evicts the oldest ones above the size limit.

        Args:
            record: The record of the answered request.
            answer: The answer.
        """
        size = len(answer.body)
        for name, value in answer.headers:
            size += len(name) + len(value)
        self._with_answer[record.key] = size
        self._kept_bytes += size
        while self._kept_bytes > self._max_bytes:
            oldest = self._records[next(iter(self._with_answer))]
            self._discard_answer(oldest)
            oldest.result = describe_lost_answer()

    def discard(self, record: Record, result: KeyedResult) -> None:
        """Drops a record whose request was not the first with its key.

        Args:
            record: The record.
            result: What is known of the first request, for the repeats that
                wait here.
        """
        if record.result is not None:
            return
        record.result = result
        self._drop(record)
        listeners, record.listeners = record.listeners, []
        for listener in listeners:
            listener(result)

    def list_records(
        self, service: ids.ServiceName, now_ms: int
    ) -> tuple[messages.IdempotencyRecord, ...]:
        """Lists a service's records for its new holder.

        Args:
            service: The service.
            now_ms: Current time in ms on this process's clock.

        Returns:
            The records that have not expired.
        """
        found = []
        for record in self._records.values():
            if record.key[0] != service:
                continue
            remaining_ms = record.expires_at_ms - now_ms
            if record.result is not None and remaining_ms <= 0:
                continue
            found.append(
                messages.IdempotencyRecord(
                    record.key[1],
                    record.request_id,
                    self._process_id,
                    record.result is not None,
                    get_result_kind(record.result),
                    max(1, remaining_ms),
                )
            )
        return tuple(found)


def get_result_kind(result: KeyedResult | None) -> outcomes.OutcomeKind:
    """Returns the kind of outcome of a request with a key.

    Args:
        result: How it ended; None while it runs.

    Returns:
        The kind; UNKNOWN while it runs.
    """
    match result:
        case KeptAnswer():
            return outcomes.OutcomeKind.ANSWERED
        case outcomes.NotRun():
            return outcomes.OutcomeKind.NOT_RUN
    return outcomes.OutcomeKind.UNKNOWN


def describe_lost_answer() -> outcomes.Unknown:
    """Returns the outcome of a repeat if the first answer is not available.

    Returns:
        An unknown outcome, since the first request may have run.
    """
    return outcomes.Unknown(
        outcomes.Reason.DUPLICATE_UNKNOWN,
        "a request with this Idempotency-Key came before; its answer is not"
        " kept",
    )
