"""Runs one admitted request until it has an outcome.

Acquires a slot from the service's dispatcher, sends the request to the backend
server of the grant and releases the slot. Runs in the task of the caller's
connection. A request is sent again only if that is safe.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import caller_watch
from bambookeel.entry import outstanding
from bambookeel.entry import passed_answers
from bambookeel.entry import releases
from bambookeel.entry import request_table
from bambookeel.entry import second_tries
from bambookeel.entry import slot_acquirer
from bambookeel.entry import slot_use
from bambookeel.net import answer_stream
from bambookeel.net import backend_client
from bambookeel.net import connection_pool
from bambookeel.net import headers
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

# An answer with a declared size up to this is read completely before any byte
# is sent to the caller.
_BUFFERED_ANSWER_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request whose API key has been checked.

    Attributes:
        slot: The request for a slot, for its dispatcher.
        request: The request to send to the backend server.
        caller: The caller, who waits for the answer.
        fingerprint: Hash of the request, to compare it with repeats of its
            Idempotency-Key; 0 without a key.
        key_ttl_ms: How long its Idempotency-Key is remembered.
    """

    slot: slot_acquirer.SlotRequest
    request: backend_client.BackendRequest
    caller: caller_watch.Caller
    fingerprint: int = 0
    key_ttl_ms: int = 0


RequestResult = (
    passed_answers.PassedAnswer
    | outcomes.NotRun
    | outcomes.Unknown
    | outcomes.Cancelled
)
_TryResult = RequestResult | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerParts:
    """The parts of the request path that the runner uses.

    Attributes:
        acquirer: Acquires slots.
        outstanding_table: The grants in use.
        slot_releases: Returns slots to the holders of dispatch leases.
        pool: The connections to backend servers.
        max_answer_bytes: Size of the largest answer that is passed on.
    """

    acquirer: slot_acquirer.SlotAcquirer
    outstanding_table: outstanding.OutstandingTable
    slot_releases: releases.Releases
    pool: connection_pool.ConnectionPool
    max_answer_bytes: int


class RequestRunner:
    """Runs admitted requests."""

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._budgets: dict[ids.ServiceName, second_tries.RetryBudget] = {}

    def run(
        self,
        admitted: AdmittedRequest,
        callbacks: passed_answers.AnswerCallbacks,
    ) -> RequestResult | messages.SlotDuplicate:
        """Runs one request.

        Args:
            admitted: The request.
            callbacks: Called when a streamed answer has ended.

        Returns:
            The answer, why there is none, or that another request has the same
            Idempotency-Key.
        """
        slot = admitted.slot
        budget = self._budgets.get(slot.service)
        if budget is None:
            budget = second_tries.RetryBudget()
            self._budgets[slot.service] = budget
        budget.earn()
        tries = 0
        while True:
            acquired = self._parts.acquirer.acquire(slot, admitted.caller)
            if not isinstance(acquired, request_table.ReceivedGrant):
                return acquired
            wait_ms = clock.read_now_ms() - slot.requested_at_ms
            metrics.observe_queue_wait(slot.service, wait_ms)
            result = self._try_once(admitted, acquired, callbacks)
            if result is None:
                continue
            tries += 1
            match result:
                case outcomes.NotRun() | outcomes.Unknown():
                    if not _may_try_again(admitted, result, tries, budget):
                        return result
                    _record_second_try(admitted, result, acquired.grant)
                    slot = _build_next_slot_request(admitted, result, tries)
                case _:
                    return result

    def _try_once(
        self,
        admitted: AdmittedRequest,
        received: request_table.ReceivedGrant,
        callbacks: passed_answers.AnswerCallbacks,
    ) -> _TryResult:
        """Sends the request to the granted backend server.

        Args:
            admitted: The request.
            received: The grant.
            callbacks: Called when a streamed answer has ended.

        Returns:
            The outcome, or None if the grant became unusable before any byte
            was sent.
        """
        grant = received.grant
        caller = admitted.caller
        caller.set_disconnect_callback(_defer_disconnect)
        connection = self._parts.pool.take(
            _get_target(grant),
            admitted.request.idempotent,
            min(
                received.received_at_ms + grant.start_within_ms,
                admitted.slot.deadline_ms,
            ),
        )
        if isinstance(connection, outcomes.NotRun):
            self._return_unreached(grant, connection)
            return connection
        use = slot_use.SlotUse(
            grant,
            connection,
            self._parts.pool,
            self._parts.slot_releases,
            self._parts.outstanding_table,
            admitted.slot.deadline_ms,
        )
        if caller.is_disconnected:
            use.end_unused()
            return outcomes.Cancelled(may_have_run=False)
        # Last check before bytes are sent: the grant must still be usable.
        if not self._parts.acquirer.is_usable(received):
            use.end_unused()
            return None
        try:
            return self._exchange(admitted, use, callbacks)
        except BaseException:
            use.end_if_open()
            raise

    def _return_unreached(
        self, grant: messages.SlotGranted, refusal: outcomes.NotRun
    ) -> None:
        is_fault = refusal.reason is outcomes.Reason.CONNECT_FAILED
        unreached = releases.SlotEnd(
            outcomes.OutcomeKind.NOT_RUN, is_fault, 0, 0
        )
        self._parts.slot_releases.release(grant, unreached)

    def _exchange(
        self,
        admitted: AdmittedRequest,
        use: slot_use.SlotUse,
        callbacks: passed_answers.AnswerCallbacks,
    ) -> RequestResult:
        """Sends the request and reads the answer or its first part.

        Args:
            admitted: The request.
            use: The slot and connection.
            callbacks: Called when a streamed answer has ended.

        Returns:
            The outcome.
        """
        deadline_ms = admitted.slot.deadline_ms
        if callbacks.keep_answer is None:
            # Tells the backend server that the caller has disconnected; the
            # answer is read on until the work is known to have ended.
            admitted.caller.set_disconnect_callback(
                lambda: backend_client.finish_sending(use.connection)
            )
        answer = backend_client.send_request(
            use.connection,
            admitted.request,
            deadline_ms,
            self._parts.max_answer_bytes,
        )
        if isinstance(answer, answer_stream.AnswerStream):
            body = _read_body_start(answer, deadline_ms)
            if isinstance(body, outcomes.Unknown):
                return _end_unanswered(admitted, use, body, callbacks)
            return _pass_answer(admitted, use, answer, body, callbacks)
        return _end_unanswered(admitted, use, answer, callbacks)


def _defer_disconnect() -> None:
    """Does nothing: the next step checks whether the caller disconnected."""


def _get_target(grant: messages.SlotGranted) -> connection_pool.Endpoint:
    return connection_pool.Endpoint(
        grant.address, grant.incarnation, grant.connection_allowance
    )


def _build_next_slot_request(
    admitted: AdmittedRequest,
    outcome: outcomes.NotRun | outcomes.Unknown,
    tries: int,
) -> slot_acquirer.SlotRequest:
    """Builds the slot request of the next try.

    It has a request id of its own if the dispatcher may still count a former
    try, whose outcome is unknown.

    Args:
        admitted: The request.
        outcome: The outcome of the last try.
        tries: Number of tries so far.

    Returns:
        The slot request.
    """
    slot = admitted.slot
    if slot.idempotency_key:
        # No former try has run, so the record of the key is free again.
        return slot
    if isinstance(outcome, outcomes.NotRun) and tries == 1:
        return slot
    request_id = ids.RequestId(f"{slot.request_id}-try{tries + 1}")
    return dataclasses.replace(slot, request_id=request_id)


def _may_try_again(
    admitted: AdmittedRequest,
    outcome: outcomes.NotRun | outcomes.Unknown,
    tries: int,
    budget: second_tries.RetryBudget,
) -> bool:
    remaining_ms = admitted.slot.deadline_ms - clock.read_now_ms()
    # With an Idempotency-Key, the record of a try that may have run prevents
    # another try.
    idempotent = (
        admitted.request.idempotent and not admitted.slot.idempotency_key
    )
    safe = second_tries.is_safe_to_try_again(
        outcome, idempotent, tries, remaining_ms
    )
    return safe and not admitted.caller.is_disconnected and budget.spend()


def _record_second_try(
    admitted: AdmittedRequest,
    outcome: outcomes.NotRun | outcomes.Unknown,
    grant: messages.SlotGranted,
) -> None:
    metrics.count_second_try(outcome.reason)
    logs.log_event(
        "second_try",
        request=admitted.slot.request_id,
        service=admitted.slot.service,
        backend=grant.backend_id,
        reason=outcome.reason.name.lower(),
    )


def _read_body_start(
    stream: answer_stream.AnswerStream, deadline_ms: int
) -> bytes | outcomes.Unknown:
    """Reads what is required before the head is sent to the caller.

    Args:
        stream: The answer.
        deadline_ms: When reading ends, on this process's clock.

    Returns:
        The whole body of a short answer, nothing of a long one, or why there
        is no valid answer.
    """
    declared = stream.get_declared_bytes()
    wants_whole = declared is not None and declared <= _BUFFERED_ANSWER_BYTES
    if not wants_whole and not stream.has_ended():
        return b""
    parts: list[bytes] = []
    while True:
        part = stream.read_part(deadline_ms)
        if isinstance(part, outcomes.Unknown):
            return part
        if not part:
            return b"".join(parts)
        parts.append(part)


def _end_unanswered(
    admitted: AdmittedRequest,
    use: slot_use.SlotUse,
    outcome: outcomes.NotRun | outcomes.Unknown,
    callbacks: passed_answers.AnswerCallbacks,
) -> outcomes.NotRun | outcomes.Unknown | outcomes.Cancelled:
    """Releases the slot of a request that got no answer.

    Args:
        admitted: The request.
        use: The slot.
        outcome: Why there is no answer.
        callbacks: Show whether the answer would have been kept for repeats.

    Returns:
        The outcome for the caller.
    """
    if isinstance(outcome, outcomes.NotRun):
        use.end_not_run()
        return outcome
    if admitted.caller.is_disconnected and callbacks.keep_answer is None:
        use.end_cancelled(slot_use.is_closed_by_peer(outcome))
        return outcomes.Cancelled(may_have_run=True)
    use.end_unknown()
    return outcome


def _pass_answer(
    admitted: AdmittedRequest,
    use: slot_use.SlotUse,
    stream: answer_stream.AnswerStream,
    body: bytes,
    callbacks: passed_answers.AnswerCallbacks,
) -> passed_answers.PassedAnswer:
    """Converts a backend server's answer to one for the caller.

    Args:
        admitted: The request.
        use: The slot.
        stream: The answer.
        body: The part of the body that has been read.
        callbacks: Called when a streamed answer has ended.

    Returns:
        The answer; its slot has been released unless parts are still to be
        read.
    """
    head = stream.head
    fields = headers.strip_hop_by_hop(head.fields)
    rest = None
    if stream.is_complete():
        use.end_answered(stream)
    else:
        use.start_stream()
        rest = passed_answers.AnswerRest(
            stream, use, admitted.caller, body, callbacks
        )
    return passed_answers.PassedAnswer(
        head.status, head.reason, fields, body, rest
    )
