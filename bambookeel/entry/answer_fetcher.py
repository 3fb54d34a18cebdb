"""Fetches the answer of a key's first request from the entry that ran it.

The entry of a repeat sends `FetchAnswer` and waits; the entry that has the
record replies with `AnswerCopy` once the first request has ended. The query is
repeated until a reply arrives, in case a message is lost; it has no side
effects.
"""

from collections.abc import Callable
import dataclasses

import gevent
import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import kept_answers
from bambookeel.runtime import clock

_RETRY_MS = 1_000
# The fetch fails if there has been no link to the first entry for this long.
_MAX_UNREACHABLE_MS = 3_000

SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller that waits for the copy has disconnected."""


def _build_copy(
    request_id: ids.RequestId, result: kept_answers.KeyedResult
) -> messages.AnswerCopy:
    """Builds the reply to a `FetchAnswer`.

    Args:
        request_id: The repeat that the answer is fetched for.
        result: How the first request ended.

    Returns:
        The answer, or only the outcome if the request was not answered.
    """
    if isinstance(result, kept_answers.KeptAnswer):
        headers = tuple(
            messages.AnswerHeader(name, value) for name, value in result.headers
        )
        return messages.AnswerCopy(
            request_id,
            True,
            result.status,
            headers,
            result.body,
            outcomes.OutcomeKind.ANSWERED,
            False,
        )
    kind = kept_answers.get_result_kind(result)
    return messages.AnswerCopy(request_id, False, 0, (), b"", kind, False)


class AnswerFetcher:
    """Sends and answers queries for the answers of first requests."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        kept: kept_answers.KeptAnswers,
        send: SendMessage,
    ) -> None:
        self._process_id = process_id
        self._kept = kept
        self._send = send
        self._pending: dict[ids.RequestId, gevent.event.AsyncResult] = {}

    def handle_fetch(
        self, peer: ids.ProcessId, fetch: messages.FetchAnswer
    ) -> None:
        """Answers another entry, at once or when the first request ends.

        Args:
            peer: The entry that sent the query.
            fetch: The query.
        """
        record = self._kept.find_by_request(fetch.first_request_id)
        if record is None:
            copy = _build_copy(
                fetch.request_id, kept_answers.describe_lost_answer()
            )
            self._send(peer, copy)
            return
        if record.fingerprint != fetch.fingerprint:
            unknown = outcomes.OutcomeKind.UNKNOWN
            copy = messages.AnswerCopy(
                fetch.request_id, False, 0, (), b"", unknown, True
            )
            self._send(peer, copy)
            return
        if record.result is not None:
            self._send(peer, _build_copy(fetch.request_id, record.result))
            return

        def send_copy(result: kept_answers.KeyedResult) -> None:
            self._send(peer, _build_copy(fetch.request_id, result))

        record.listeners.append(send_copy)

    def deliver_copy(self, copy: messages.AnswerCopy) -> None:
        """Delivers the reply of the first entry to the request that waits.

        Args:
            copy: The reply; dropped if the request no longer waits.
        """
        pending = self._pending.pop(copy.request_id, None)
        if pending is not None:
            pending.set(copy)

    def cancel(self, request_id: ids.RequestId) -> None:
        """Ends the wait of a request whose caller has disconnected.

        Args:
            request_id: The request.
        """
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            pending.set(CallerDisconnected())

    def fetch(
        self,
        request_id: ids.RequestId,
        duplicate: messages.SlotDuplicate,
        fingerprint: int,
        deadline_ms: int,
    ) -> messages.AnswerCopy | CallerDisconnected | None:
        """Fetches the first request's answer and waits for it.

        Args:
            request_id: The repeat that the answer is fetched for.
            duplicate: The dispatcher's reply, which names the first request
                and its entry.
            fingerprint: Hash of the repeat.
            deadline_ms: When the wait ends, on this process's clock.

        Returns:
            The copy, or None if it did not arrive in time.
        """
        query = messages.FetchAnswer(
            request_id, duplicate.first_request_id, fingerprint
        )
        last_sent_ms = clock.read_now_ms()
        try:
            while True:
                answer = gevent.event.AsyncResult()
                self._pending[request_id] = answer
                now_ms = clock.read_now_ms()
                if self._send(duplicate.first_entry, query):
                    last_sent_ms = now_ms
                wait_ms = min(_RETRY_MS, deadline_ms - now_ms)
                if wait_ms <= 0 or now_ms - last_sent_ms > _MAX_UNREACHABLE_MS:
                    return None
                try:
                    return answer.get(timeout=wait_ms / 1000.0)
                except gevent.Timeout:
                    continue
        finally:
            self._pending.pop(request_id, None)
