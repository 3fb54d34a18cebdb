"""Carries one request from admission to its one outcome.

Takes an admitted request, asks the service's dispatcher for a slot, sends it to
the granted backend server once, and gives the slot back. Runs in the caller's
connection task.
"""

import dataclasses

import gevent

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import follower_task
from bambookeel.entry import request_table
from bambookeel.entry import router
from bambookeel.entry import view
from bambookeel.net import backend_client
from bambookeel.runtime import clock

_RETRY_AFTER_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request whose key has been checked.

    Attributes:
        team: The team of its key.
        service: The service it is for.
        urgent: Whether it goes before the team's other requests.
        deadline_ms: When its caller stops waiting, on the own clock.
        idempotency_key: The caller's key, prefixed by its team; or empty.
        request: What goes to the backend server.
    """

    team: ids.TeamName
    service: ids.ServiceName
    urgent: bool
    deadline_ms: int
    idempotency_key: ids.IdempotencyKey
    request: backend_client.BackendRequest


RequestResult = (
    backend_client.BackendAnswer | outcomes.NotRun | outcomes.Unknown
)


class RequestRunner:
    """Runs admitted requests."""

    def __init__(
        self,
        follower: follower_task.FollowerTask,
        table: request_table.RequestTable,
        route: router.Router,
        client: backend_client.BackendClient,
    ) -> None:
        self._follower = follower
        self._table = table
        self._router = route
        self._client = client

    def run(self, admitted: AdmittedRequest) -> RequestResult:
        """Runs one request.

        Args:
            admitted: The request.

        Returns:
            The backend server's answer, or why there is none.
        """
        answer = self._acquire_slot(admitted)
        match answer:
            case messages.SlotGranted():
                return self._use_slot(admitted, answer)
            case messages.SlotRefused(_, _, reason, detail, retry_after_ms):
                return outcomes.NotRun(reason, detail, retry_after_ms)
            case messages.SlotDuplicate():
                return outcomes.Unknown(
                    outcomes.Reason.DUPLICATE_UNKNOWN,
                    "a request with this Idempotency-Key came before",
                )
            case outcomes.NotRun():
                return answer

    def _acquire_slot(
        self, admitted: AdmittedRequest
    ) -> request_table.SlotAnswer | outcomes.NotRun:
        """Asks the service's dispatcher for a slot and waits.

        Args:
            admitted: The request.

        Returns:
            The dispatcher's answer, or `NotRun` without one.
        """
        assigned = view.get_dispatcher(self._follower.view, admitted.service)
        if assigned is None or not assigned.holder:
            return _refuse_without_dispatcher()
        holder = ids.ProcessId(assigned.holder)
        request_id = ids.RequestId(admitted.request.request_id)
        waiting = self._table.register(request_id)
        remaining_ms = admitted.deadline_ms - clock.read_now_ms()
        acquire = messages.AcquireSlot(
            request_id,
            admitted.service,
            admitted.team,
            admitted.urgent,
            remaining_ms,
            admitted.idempotency_key,
            waited_ms=0,
        )
        try:
            if not self._router.send(holder, acquire):
                return _refuse_without_dispatcher()
            return waiting.get(timeout=remaining_ms / 1000.0)
        except gevent.Timeout:
            cancel = messages.CancelWaiting(admitted.service, (request_id,))
            self._router.send(holder, cancel)
            return outcomes.NotRun(
                outcomes.Reason.DEADLINE_UNREACHABLE,
                "no slot became free before the deadline",
            )
        finally:
            self._table.forget(request_id)

    def _use_slot(
        self, admitted: AdmittedRequest, grant: messages.SlotGranted
    ) -> RequestResult:
        """Sends the request to the granted backend server.

        Args:
            admitted: The request.
            grant: The slot.

        Returns:
            The answer, or why there is none.
        """
        started_ms = clock.read_now_ms()
        outcome: RequestResult = self._client.send(
            grant.address, admitted.request, admitted.deadline_ms - started_ms
        )
        ended_ms = clock.read_now_ms()
        kind = outcomes.OutcomeKind.ANSWERED
        hold_ms = 0
        match outcome:
            case outcomes.NotRun():
                kind = outcomes.OutcomeKind.NOT_RUN
            case outcomes.Unknown():
                kind = outcomes.OutcomeKind.UNKNOWN
                hold_ms = max(0, admitted.deadline_ms - ended_ms)
        release = messages.SlotReleased(
            grant.request_id,
            grant.service,
            grant.epoch,
            grant.grant_id,
            kind,
            backend_fault=kind is not outcomes.OutcomeKind.ANSWERED,
            duration_ms=ended_ms - started_ms,
            hold_ms=hold_ms,
        )
        assigned = view.get_dispatcher(self._follower.view, admitted.service)
        if assigned is not None:
            self._router.send(ids.ProcessId(assigned.holder), release)
        return outcome


def _refuse_without_dispatcher() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.NO_DISPATCHER,
        "the service has no reachable dispatcher",
        _RETRY_AFTER_MS,
    )
