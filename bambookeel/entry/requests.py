"""Carries one request from admission to its one outcome.

Takes an admitted request, gets a slot from the service's dispatcher, sends the
request to the granted backend server and gives the slot back. Runs in the task
of the caller's connection. A request is sent again only where that is safe.
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
from bambookeel.entry import slot_asker
from bambookeel.entry import slot_use
from bambookeel.net import answer_stream
from bambookeel.net import backend_client
from bambookeel.net import connection_pool
from bambookeel.net import headers
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

# Answers up to this declared size are whole before the caller gets any byte.
_WHOLE_FIRST_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request whose key has been checked.

    Attributes:
        slot: What its dispatcher is told.
        request: What goes to the backend server.
        caller: Who waits for the answer.
        fingerprint: Hash of the request, to compare repeats of a key.
        key_ttl_ms: How long its Idempotency-Key is remembered.
    """

    slot: slot_asker.SlotRequest
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
_Tried = RequestResult | None


@dataclasses.dataclass(frozen=True, slots=True)
class RunnerParts:
    """What the runner works with.

    Attributes:
        asker: Gets slots.
        held: The grants in use.
        returned: Returns slots.
        pool: Connections to backend servers.
        max_answer_bytes: Largest answer that is passed on.
    """

    asker: slot_asker.SlotAsker
    held: outstanding.OutstandingTable
    returned: releases.Releases
    pool: connection_pool.ConnectionPool
    max_answer_bytes: int


class RequestRunner:
    """Runs admitted requests."""

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._budgets: dict[ids.ServiceName, second_tries.RetryBudget] = {}

    def run(
        self, admitted: AdmittedRequest, end: passed_answers.StreamEnd
    ) -> RequestResult | messages.SlotDuplicate:
        """Runs one request.

        Args:
            admitted: The request.
            end: Whom to tell how an answer ended that is passed on in parts.

        Returns:
            The answer, why there is none, or that another request has the key.
        """
        slot = admitted.slot
        budget = self._budgets.get(slot.service)
        if budget is None:
            budget = second_tries.RetryBudget()
            self._budgets[slot.service] = budget
        budget.earn()
        tries = 0
        while True:
            asked = self._parts.asker.acquire(slot, admitted.caller)
            if not isinstance(asked, request_table.ReceivedGrant):
                return asked
            wait_ms = clock.read_now_ms() - slot.asked_at_ms
            metrics.observe_queue_wait(slot.service, wait_ms)
            tried = self._try_once(admitted, asked, end)
            if tried is None:
                continue
            tries += 1
            match tried:
                case outcomes.NotRun() | outcomes.Unknown():
                    if not _may_try_again(admitted, tried, tries, budget):
                        return tried
                    _record_second_try(admitted, tried, asked.grant)
                    slot = _name_second_try(admitted, tried, tries)
                case _:
                    return tried

    def _try_once(
        self,
        admitted: AdmittedRequest,
        received: request_table.ReceivedGrant,
        end: passed_answers.StreamEnd,
    ) -> _Tried:
        """Sends the request to the granted backend server.

        Args:
            admitted: The request.
            received: The grant.
            end: Whom to tell how a passed answer ended.

        Returns:
            The outcome, or None when the grant became unusable before any byte
            was sent.
        """
        grant = received.grant
        caller = admitted.caller
        caller.set_action(_wait_for_step)
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
            self._parts.returned,
            self._parts.held,
            admitted.slot.deadline_ms,
        )
        if caller.is_gone:
            use.end_unused()
            return outcomes.Cancelled(may_have_run=False)
        # The last moment before bytes go out: the grant must still hold.
        if not self._parts.asker.is_usable(received):
            use.end_unused()
            return None
        try:
            return self._exchange(admitted, use, end)
        except BaseException:
            use.end_broken_off()
            raise

    def _return_unreached(
        self, grant: messages.SlotGranted, refusal: outcomes.NotRun
    ) -> None:
        is_fault = refusal.reason is outcomes.Reason.CONNECT_FAILED
        unreached = releases.SlotEnd(
            outcomes.OutcomeKind.NOT_RUN, is_fault, 0, 0
        )
        self._parts.returned.release(grant, unreached)

    def _exchange(
        self,
        admitted: AdmittedRequest,
        use: slot_use.SlotUse,
        end: passed_answers.StreamEnd,
    ) -> RequestResult:
        """Sends the request and takes the answer.

        Args:
            admitted: The request.
            use: The slot and connection.
            end: Whom to tell how a passed answer ended.

        Returns:
            The outcome.
        """
        deadline_ms = admitted.slot.deadline_ms
        if end.keep is None:
            # The backend server sees that its caller has gone; reading goes on
            # until the work's end is known.
            admitted.caller.set_action(
                lambda: backend_client.finish_sending(use.connection)
            )
        answer = backend_client.send_request(
            use.connection,
            admitted.request,
            deadline_ms,
            self._parts.max_answer_bytes,
        )
        if isinstance(answer, answer_stream.AnswerStream):
            body = _read_first(answer, deadline_ms)
            if isinstance(body, outcomes.Unknown):
                return _end_failed(admitted, use, body, end)
            return _pass_answer(admitted, use, answer, body, end)
        return _end_failed(admitted, use, answer, end)


def _wait_for_step() -> None:
    """Leaves it to the next step to see that the caller has gone."""


def _get_target(grant: messages.SlotGranted) -> connection_pool.Endpoint:
    return connection_pool.Endpoint(
        grant.address, grant.incarnation, grant.connection_allowance
    )


def _name_second_try(
    admitted: AdmittedRequest,
    outcome: outcomes.NotRun | outcomes.Unknown,
    tries: int,
) -> slot_asker.SlotRequest:
    """Names the next try towards the dispatcher.

    A try whose end is unknown still counts there under its own name.

    Args:
        admitted: The request.
        outcome: How the last try ended.
        tries: Tries so far.

    Returns:
        What the dispatcher is told.
    """
    slot = admitted.slot
    if slot.idempotency_key:
        # Every try before it did not run, so its record is free again.
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
    # With a key, the record of a try that may have run bars another one.
    idempotent = (
        admitted.request.idempotent and not admitted.slot.idempotency_key
    )
    safe = second_tries.is_safe_to_try_again(
        outcome, idempotent, tries, remaining_ms
    )
    return safe and not admitted.caller.is_gone and budget.spend()


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


def _read_first(
    stream: answer_stream.AnswerStream, deadline_ms: int
) -> bytes | outcomes.Unknown:
    """Reads what must be there before the caller gets the head.

    Args:
        stream: The answer.
        deadline_ms: Until when.

    Returns:
        The whole body of a short answer, what has come of a long one, or why
        the answer is no answer.
    """
    declared = stream.get_declared_bytes()
    wants_whole = declared is not None and declared <= _WHOLE_FIRST_BYTES
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


def _end_failed(
    admitted: AdmittedRequest,
    use: slot_use.SlotUse,
    outcome: outcomes.NotRun | outcomes.Unknown,
    end: passed_answers.StreamEnd,
) -> outcomes.NotRun | outcomes.Unknown | outcomes.Cancelled:
    """Returns the slot of a request that got no answer.

    Args:
        admitted: The request.
        use: The slot.
        outcome: What happened.
        end: Tells whether the answer is kept for repeats.

    Returns:
        The outcome for the caller.
    """
    if isinstance(outcome, outcomes.NotRun):
        use.end_not_run()
        return outcome
    if admitted.caller.is_gone and end.keep is None:
        use.end_cancelled(slot_use.is_closed_by_peer(outcome))
        return outcomes.Cancelled(may_have_run=True)
    use.end_unknown()
    return outcome


def _pass_answer(
    admitted: AdmittedRequest,
    use: slot_use.SlotUse,
    stream: answer_stream.AnswerStream,
    body: bytes,
    end: passed_answers.StreamEnd,
) -> passed_answers.PassedAnswer:
    """Hands an answer over to the caller's side.

    Args:
        admitted: The request.
        use: The slot.
        stream: The answer.
        body: What has been read of it.
        end: Whom to tell how a passed answer ended.

    Returns:
        The answer; its slot is returned unless parts are still to come.
    """
    head = stream.head
    fields = headers.strip_hop_by_hop(head.fields)
    rest = None
    if stream.is_complete():
        use.end_answered(stream)
    else:
        use.start_stream()
        rest = passed_answers.AnswerRest(
            stream, use, admitted.caller, body, end
        )
    return passed_answers.PassedAnswer(
        head.status, head.reason, fields, body, rest
    )
