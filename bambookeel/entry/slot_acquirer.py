"""Acquires a slot for a request from the dispatcher of its service.

Sends the request to the holder of the service's dispatch lease and waits. If
the holder changes, the link to it ends, or it refuses because it does not hold
the lease, the request is sent again with the time that it has waited so far.
This ends at the request's deadline, or if there has been no holder for too
long. A grant that arrived too late or that an earlier holder made is given
back.
"""

from collections.abc import Callable
import dataclasses

import gevent

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import caller_watch
from bambookeel.entry import holders
from bambookeel.entry import outstanding
from bambookeel.entry import releases
from bambookeel.entry import request_table
from bambookeel.runtime import clock
from bambookeel.runtime import metrics

# A request is refused if there has been no holder for this long.
_MAX_WITHOUT_HOLDER_MS = 6_000
_RETRY_PAUSE_MS = 50
_RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot, as sent to the dispatcher.

    Attributes:
        request_id: The request.
        service: The request's service.
        team: The request's team; empty without an API key.
        urgent: Whether it goes before the team's other requests.
        deadline_ms: When its caller stops waiting, on this process's clock.
        idempotency_key: The Idempotency-Key, prefixed by the team; or empty.
        requested_at_ms: When the slot was first requested, on this process's
            clock.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    team: ids.TeamName
    urgent: bool
    deadline_ms: int
    idempotency_key: ids.IdempotencyKey
    requested_at_ms: int


FindHolder = Callable[[ids.ServiceName], holders.Holder | None]
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]
AcquireResult = (
    request_table.ReceivedGrant
    | messages.SlotDuplicate
    | outcomes.NotRun
    | outcomes.Unknown
    | outcomes.Cancelled
)


class SlotAcquirer:
    """Acquires slots from the holders of dispatch leases."""

    def __init__(
        self,
        table: request_table.RequestTable,
        outstanding_table: outstanding.OutstandingTable,
        slot_releases: releases.Releases,
        find_holder: FindHolder,
        send: SendMessage,
    ) -> None:
        self._table = table
        self._outstanding = outstanding_table
        self._releases = slot_releases
        self._find_holder = find_holder
        self._send = send

    def acquire(
        self, request: SlotRequest, caller: caller_watch.Caller
    ) -> AcquireResult:
        """Acquires a slot.

        Args:
            request: The request for a slot.
            caller: The request's caller; the wait ends if it disconnects.

        Returns:
            A grant that may be used, or why there is none.
        """
        last_holder_ms = clock.read_now_ms()
        while True:
            now_ms = clock.read_now_ms()
            if now_ms >= request.deadline_ms:
                return _refuse_past_deadline()
            if now_ms - last_holder_ms > _MAX_WITHOUT_HOLDER_MS:
                return _refuse_without_holder()
            holder = self._find_holder(request.service)
            answer = self._request_once(request, holder, caller, last_holder_ms)
            match answer:
                case request_table.ReceivedGrant():
                    if self._accept(request, answer):
                        return answer
                case messages.SlotRefused(reason=reason):
                    if not _is_holder_fault(reason):
                        return _convert_refusal(answer)
                    gevent.sleep(_RETRY_PAUSE_MS / 1000.0)
                    continue
                case messages.SlotDuplicate() | outcomes.NotRun():
                    return answer
                case request_table.CallerDisconnected():
                    self._cancel(request, holder)
                    return outcomes.Cancelled(may_have_run=False)
                case request_table.HolderChanged():
                    # The time without a holder starts anew, unless there was
                    # no holder.
                    if holder is None:
                        continue
            last_holder_ms = clock.read_now_ms()

    def _request_once(
        self,
        request: SlotRequest,
        holder: holders.Holder | None,
        caller: caller_watch.Caller,
        last_holder_ms: int,
    ) -> request_table.SlotAnswer | outcomes.NotRun:
        """Sends the request to the holder once, or waits until there is one.

        Args:
            request: The request for a slot.
            holder: The holder, or None.
            caller: The request's caller.
            last_holder_ms: When there last was a holder, on this process's
                clock.

        Returns:
            The answer, or the reason why the wait ended.
        """
        request_id = request.request_id
        process_id = holder.process_id if holder else ids.ProcessId("")
        epoch = holder.epoch if holder else ids.Epoch(0)
        waiting = self._table.register(
            request_id, request.service, process_id, epoch
        )

        def report_disconnect() -> None:
            self._table.deliver(request_id, request_table.CallerDisconnected())

        caller.set_disconnect_callback(report_disconnect)
        now_ms = clock.read_now_ms()
        wait_until_ms = request.deadline_ms
        sent = False
        if holder is not None:
            sent = self._send(process_id, _build_acquire(request, now_ms))
        if not sent:
            # The request is sent again after a short pause, or when the link
            # or the holder changes.
            wait_until_ms = min(
                wait_until_ms,
                now_ms + 2 * _RETRY_PAUSE_MS,
                last_holder_ms + _MAX_WITHOUT_HOLDER_MS,
            )
        try:
            answer = waiting.get(
                timeout=max(0.001, (wait_until_ms - now_ms) / 1000.0)
            )
            return _backdate_grant(answer, now_ms)
        except gevent.Timeout:
            if waiting.ready():
                # The answer arrived in the same loop iteration as the time-out.
                return _backdate_grant(waiting.get(), now_ms)
            if not sent:
                return _build_no_holder_refusal(request)
            self._cancel(request, holder)
            return _refuse_past_deadline()
        finally:
            self._table.unregister(request_id)

    def _accept(
        self, request: SlotRequest, received: request_table.ReceivedGrant
    ) -> bool:
        """Lists a grant as held, or gives it back if it may not be used.

        Args:
            request: The request.
            received: The grant.

        Returns:
            Whether the grant may be used.
        """
        grant = received.grant
        self._outstanding.add(
            outstanding.HeldGrant(
                grant,
                request.team,
                request.idempotency_key,
                request.deadline_ms,
            )
        )
        if self.is_usable(received):
            return True
        self.give_back(grant)
        return False

    def is_usable(self, received: request_table.ReceivedGrant) -> bool:
        """Checks whether a grant may still be used.

        Args:
            received: The grant.

        Returns:
            False if it is too old or an earlier holder made it.
        """
        grant = received.grant
        age_ms = clock.read_now_ms() - received.received_at_ms
        if age_ms >= grant.start_within_ms:
            return False
        holder = self._find_holder(grant.service)
        if holder is not None:
            self._outstanding.raise_epoch(grant.service, holder.epoch)
        return self._outstanding.raise_epoch(grant.service, grant.epoch)

    def give_back(self, grant: messages.SlotGranted) -> None:
        """Returns a slot that was not used.

        Args:
            grant: The slot's grant.
        """
        metrics.GRANTS_RETURNED.inc()
        self._releases.release(grant, releases.UNUSED)

    def _cancel(
        self, request: SlotRequest, holder: holders.Holder | None
    ) -> None:
        if holder is None:
            return
        cancel = messages.CancelWaiting(request.service, (request.request_id,))
        self._send(holder.process_id, cancel)


def _backdate_grant(
    answer: request_table.SlotAnswer, requested_at_ms: int
) -> request_table.SlotAnswer:
    """Backdates a grant to the earliest time at which it can have been made.

    A grant may have been delayed on the network for so long that its holder no
    longer counts it.

    Args:
        answer: The holder's answer.
        requested_at_ms: When the request was sent, on this process's clock.

    Returns:
        The answer; the age of a grant is measured from the time of the request
        plus the wait that the holder reports, unless the grant arrived earlier.
    """
    if not isinstance(answer, request_table.ReceivedGrant):
        return answer
    made_at_ms = requested_at_ms + answer.grant.waited_ms
    return dataclasses.replace(
        answer, received_at_ms=min(answer.received_at_ms, made_at_ms)
    )


def _build_acquire(request: SlotRequest, now_ms: int) -> messages.AcquireSlot:
    return messages.AcquireSlot(
        request.request_id,
        request.service,
        request.team,
        request.urgent,
        max(1, request.deadline_ms - now_ms),
        request.idempotency_key,
        now_ms - request.requested_at_ms,
    )


def _is_holder_fault(reason: outcomes.Reason) -> bool:
    return reason in (
        outcomes.Reason.NO_DISPATCHER,
        outcomes.Reason.STALE_EPOCH,
        outcomes.Reason.STOPPING,
    )


def _build_no_holder_refusal(request: SlotRequest) -> messages.SlotRefused:
    return messages.SlotRefused(
        request.request_id,
        request.service,
        outcomes.Reason.NO_DISPATCHER,
        "the service has no reachable dispatcher",
        _RETRY_AFTER_MS,
    )


def _convert_refusal(
    refusal: messages.SlotRefused,
) -> outcomes.NotRun | outcomes.Unknown:
    if refusal.reason is outcomes.Reason.DUPLICATE_UNKNOWN:
        # This request did not run, but an earlier one with its key may have.
        return outcomes.Unknown(refusal.reason, refusal.detail)
    return outcomes.NotRun(
        refusal.reason, refusal.detail, refusal.retry_after_ms
    )


def _refuse_past_deadline() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.DEADLINE_UNREACHABLE,
        "no slot became free before the deadline",
    )


def _refuse_without_holder() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.NO_DISPATCHER,
        "the service has no reachable dispatcher",
        _RETRY_AFTER_MS,
    )
