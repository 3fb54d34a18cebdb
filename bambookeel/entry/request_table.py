"""Requests of this entry that wait for their dispatcher's answer.

The handler of a request registers it, requests a slot from the dispatcher and
waits. It is woken by the reader of the link with a grant or a refusal, by the
holder watch when another process holds the lease, or by the caller watch when
its caller has disconnected. A late answer to a request that no longer waits is
reported as such, so that a granted slot can be given back.
"""

import dataclasses

import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedGrant:
    """A grant with the time from which its age is measured.

    Attributes:
        grant: The grant.
        received_at_ms: A time not later than its arrival, on this process's
            clock.
    """

    grant: messages.SlotGranted
    received_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HolderChanged:
    """The holder of the request has lost the lease, or its link has changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The request's caller has disconnected."""


SlotAnswer = (
    ReceivedGrant
    | messages.SlotRefused
    | messages.SlotDuplicate
    | HolderChanged
    | CallerDisconnected
)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for its dispatcher's answer.

    Attributes:
        service: The request's service.
        holder: The process that received the request; empty if there was no
            holder.
        epoch: The holder's epoch.
        answer: The event that delivers the answer to the request's handler.
    """

    service: ids.ServiceName
    holder: ids.ProcessId
    epoch: ids.Epoch
    answer: gevent.event.AsyncResult


class RequestTable:
    """The waiting requests, by request id."""

    def __init__(self) -> None:
        self._waiting: dict[ids.RequestId, WaitingRequest] = {}

    def register(
        self,
        request_id: ids.RequestId,
        service: ids.ServiceName,
        holder: ids.ProcessId,
        epoch: ids.Epoch,
    ) -> gevent.event.AsyncResult:
        """Registers a request before its slot is requested.

        Args:
            request_id: The request.
            service: The request's service.
            holder: The process that will receive it; empty if there is no
                holder.
            epoch: The holder's epoch.

        Returns:
            The event that will deliver the answer.
        """
        answer = gevent.event.AsyncResult()
        self._waiting[request_id] = WaitingRequest(
            service, holder, epoch, answer
        )
        return answer

    def unregister(self, request_id: ids.RequestId) -> None:
        """Removes a request that no longer waits.

        Args:
            request_id: The request.
        """
        self._waiting.pop(request_id, None)

    def deliver(self, request_id: ids.RequestId, answer: SlotAnswer) -> bool:
        """Delivers an answer to its request.

        Args:
            request_id: The request.
            answer: The answer.

        Returns:
            False if the request no longer waits; a grant must then be given
            back.
        """
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return False
        waiting.answer.set(answer)
        return True

    def list_waiting(self) -> list[tuple[ids.RequestId, WaitingRequest]]:
        """Lists the waiting requests.

        Returns:
            The requests with their ids.
        """
        return list(self._waiting.items())
