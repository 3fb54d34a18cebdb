"""Runs a request with an Idempotency-Key once, whichever entry repeats reach.

The first request with a key runs and its result is kept. A repeat on the same
entry waits for that result. For a repeat on another entry, the dispatcher names
the entry of the first request, from which the answer is fetched. If the answer
is not available, the repeat gets the outcome `Unknown`; it is never run.
"""

from collections.abc import Callable

import gevent
import gevent.event

from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import answer_fetcher
from bambookeel.entry import kept_answers
from bambookeel.entry import passed_answers
from bambookeel.entry import requests
from bambookeel.runtime import clock

_RETRY_AFTER_MS = 200

CountOutcome = Callable[[outcomes.Outcome], None]


class KeyedRunner:
    """Runs requests, with or without an Idempotency-Key."""

    def __init__(
        self,
        runner: requests.RequestRunner,
        kept: kept_answers.KeptAnswers,
        fetcher: answer_fetcher.AnswerFetcher,
    ) -> None:
        self._runner = runner
        self._kept = kept
        self._fetcher = fetcher

    def run(
        self, admitted: requests.AdmittedRequest, count_outcome: CountOutcome
    ) -> requests.RequestResult:
        """Runs a request or answers it from the first one with its key.

        Args:
            admitted: The request.
            count_outcome: Called with the outcome of an answer that is
                streamed, once it has ended.

        Returns:
            The outcome.
        """
        slot = admitted.slot
        if not slot.idempotency_key:
            callbacks = passed_answers.AnswerCallbacks(count_outcome, None, 0)
            result = self._runner.run(admitted, callbacks)
            if isinstance(result, messages.SlotDuplicate):
                return kept_answers.describe_lost_answer()
            return result
        key = (slot.service, slot.idempotency_key)
        now_ms = clock.read_now_ms()
        record = self._kept.find(key, now_ms)
        if record is not None:
            return self._await_first(admitted, record)
        record = kept_answers.Record(
            key,
            slot.request_id,
            admitted.fingerprint,
            now_ms + admitted.key_ttl_ms,
        )
        if not self._kept.add(record, now_ms):
            return outcomes.NotRun(
                outcomes.Reason.OVERLOADED,
                "this entry remembers too many Idempotency-Keys already",
                _RETRY_AFTER_MS,
            )
        return self._run_first(admitted, record, count_outcome)

    def _run_first(
        self,
        admitted: requests.AdmittedRequest,
        record: kept_answers.Record,
        count_outcome: CountOutcome,
    ) -> requests.RequestResult:
        """Runs the first request with a key on this entry.

        Args:
            admitted: The request.
            record: Its record.
            count_outcome: Called with the outcome of an answer that is
                streamed, once it has ended.

        Returns:
            The outcome.
        """
        heads: list[passed_answers.PassedAnswer] = []

        def keep_answer(body: bytes | outcomes.Unknown | None) -> None:
            if isinstance(body, bytes) and heads:
                self._finish_answered(record, heads[0], body)
                return
            self._kept.finish(record, kept_answers.describe_lost_answer())

        callbacks = passed_answers.AnswerCallbacks(
            count_outcome, keep_answer, self._kept.max_answer_bytes
        )
        is_streamed = False
        try:
            result = self._runner.run(admitted, callbacks)
            if isinstance(result, messages.SlotDuplicate):
                result = self._fetch(admitted, result)
                self._kept.discard(record, _convert_to_kept(result))
            is_streamed = isinstance(result, passed_answers.PassedAnswer) and (
                result.rest is not None
            )
            if isinstance(result, passed_answers.PassedAnswer):
                heads.append(result)
            if not is_streamed:
                self._finish(record, result)
            return result
        finally:
            if not is_streamed:
                # No effect unless the run was aborted by an exception.
                self._kept.finish(record, kept_answers.describe_lost_answer())

    def _finish(
        self, record: kept_answers.Record, result: requests.RequestResult
    ) -> None:
        match result:
            case passed_answers.PassedAnswer():
                self._finish_answered(record, result, result.body)
            case outcomes.NotRun():
                self._kept.finish(record, result)
            case outcomes.Cancelled(may_have_run=False):
                cancelled = outcomes.NotRun(
                    outcomes.Reason.CALLER_GONE,
                    "the first request with this key was withdrawn",
                    _RETRY_AFTER_MS,
                )
                self._kept.finish(record, cancelled)
            case outcomes.Unknown(reason=outcomes.Reason.DUPLICATE_UNKNOWN):
                # The dispatcher refused to run it: it is not the key's first.
                self._kept.discard(record, result)
            case outcomes.Unknown() | outcomes.Cancelled():
                self._kept.finish(record, kept_answers.describe_lost_answer())

    def _finish_answered(
        self,
        record: kept_answers.Record,
        answer: passed_answers.PassedAnswer,
        body: bytes,
    ) -> None:
        if len(body) > self._kept.max_answer_bytes:
            self._kept.finish(record, kept_answers.describe_lost_answer())
            return
        kept = kept_answers.KeptAnswer(
            answer.status, answer.reason, answer.headers, body
        )
        self._kept.finish(record, kept)

    def _await_first(
        self, admitted: requests.AdmittedRequest, record: kept_answers.Record
    ) -> requests.RequestResult:
        """Answers a repeat from the first request on this entry.

        Args:
            admitted: The repeat.
            record: The first request's record.

        Returns:
            The first request's answer, or why there is none.
        """
        if record.fingerprint != admitted.fingerprint:
            return _describe_other_request()
        if record.result is not None:
            return _convert_result(record.result)
        first_ended = gevent.event.AsyncResult()
        record.listeners.append(first_ended.set)
        admitted.caller.set_disconnect_callback(lambda: first_ended.set(None))
        wait_ms = admitted.slot.deadline_ms - clock.read_now_ms()
        try:
            result = first_ended.get(timeout=max(0, wait_ms) / 1000.0)
        except gevent.Timeout:
            return kept_answers.describe_lost_answer()
        if result is None:
            return outcomes.Cancelled(may_have_run=False)
        return _convert_result(result)

    def _fetch(
        self,
        admitted: requests.AdmittedRequest,
        duplicate: messages.SlotDuplicate,
    ) -> requests.RequestResult:
        """Answers a repeat from the first request on another entry.

        Args:
            admitted: The repeat.
            duplicate: The dispatcher's reply, which names the first request
                and its entry.

        Returns:
            The first request's answer, or why there is none.
        """
        request_id = admitted.slot.request_id
        if duplicate.first_request_id == request_id:
            return kept_answers.describe_lost_answer()
        admitted.caller.set_disconnect_callback(
            lambda: self._fetcher.cancel(request_id)
        )
        copy = self._fetcher.fetch(
            request_id,
            duplicate,
            admitted.fingerprint,
            admitted.slot.deadline_ms,
        )
        match copy:
            case None:
                return kept_answers.describe_lost_answer()
            case answer_fetcher.CallerDisconnected():
                return outcomes.Cancelled(may_have_run=False)
            case messages.AnswerCopy(found=True):
                fields = tuple((h.name, h.value) for h in copy.headers)
                return passed_answers.PassedAnswer(
                    copy.status, "", fields, copy.body
                )
            case messages.AnswerCopy(is_other_request=True):
                return _describe_other_request()
            case messages.AnswerCopy(outcome=outcomes.OutcomeKind.NOT_RUN):
                return outcomes.NotRun(
                    outcomes.Reason.OVERLOADED,
                    "the first request with this key did not run either",
                    _RETRY_AFTER_MS,
                )
        return kept_answers.describe_lost_answer()


def _describe_other_request() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.KEY_REUSED,
        "this Idempotency-Key came before with another request",
    )


def _convert_to_kept(
    result: requests.RequestResult,
) -> kept_answers.KeyedResult:
    """Converts a fetched outcome for the repeats that wait on this entry.

    Args:
        result: The outcome of the repeat that fetched it.

    Returns:
        How the first request ended, as far as it is known.
    """
    match result:
        case passed_answers.PassedAnswer():
            return kept_answers.KeptAnswer(
                result.status, result.reason, result.headers, result.body
            )
        case outcomes.NotRun() | outcomes.Unknown():
            return result
    return kept_answers.describe_lost_answer()


def _convert_result(
    result: kept_answers.KeyedResult,
) -> requests.RequestResult:
    """Converts the result of a first request to the outcome of a repeat.

    Args:
        result: How the first request ended.

    Returns:
        The outcome of the repeat.
    """
    if isinstance(result, kept_answers.KeptAnswer):
        return passed_answers.PassedAnswer(
            result.status, result.reason, result.headers, result.body
        )
    return result
