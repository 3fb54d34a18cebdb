"""Requests of this entry that wait for their dispatcher's answer.

A request's handler registers itself, asks the dispatcher and waits; the link's
reader hands it the grant or the refusal, the holder watch tells it that another
process holds the lease now, and the caller watch that its caller has gone. Late
answers to an ended request are told apart, so that no slot leaks.
"""

import dataclasses

import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedGrant:
    """A grant with the time from which its use is counted.

    Attributes:
        grant: The grant.
        received_at_ms: A time not after its arrival, on the own clock.
    """

    grant: messages.SlotGranted
    received_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class HolderChanged:
    """The holder that was asked no longer answers for the service."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The request's caller has gone away."""


SlotAnswer = (
    ReceivedGrant
    | messages.SlotRefused
    | messages.SlotDuplicate
    | HolderChanged
    | CallerDisconnected
)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits.

    Attributes:
        service: Its service.
        holder: The process that was asked; empty for none.
        epoch: The holder's epoch.
        answer: Where the answer appears.
    """

    service: ids.ServiceName
    holder: ids.ProcessId
    epoch: ids.Epoch
    answer: gevent.event.AsyncResult


class RequestTable:
    """Waiting handlers by request id."""

    def __init__(self) -> None:
        self._waiting: dict[ids.RequestId, WaitingRequest] = {}

    def register(
        self,
        request_id: ids.RequestId,
        service: ids.ServiceName,
        holder: ids.ProcessId,
        epoch: ids.Epoch,
    ) -> gevent.event.AsyncResult:
        """Registers a request that is about to ask for a slot.

        Args:
            request_id: The request.
            service: Its service.
            holder: The process that it asks; empty when there is none.
            epoch: The holder's epoch.

        Returns:
            Where the answer will appear.
        """
        answer = gevent.event.AsyncResult()
        self._waiting[request_id] = WaitingRequest(
            service, holder, epoch, answer
        )
        return answer

    def unregister(self, request_id: ids.RequestId) -> None:
        """Ends the wait of a request.

        Args:
            request_id: The request.
        """
        self._waiting.pop(request_id, None)

    def deliver(self, request_id: ids.RequestId, answer: SlotAnswer) -> bool:
        """Hands an answer to its request.

        Args:
            request_id: The request.
            answer: The answer.

        Returns:
            Whether the request still waited.
        """
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return False
        waiting.answer.set(answer)
        return True

    def list_waiting(self) -> list[tuple[ids.RequestId, WaitingRequest]]:
        """Lists the waiting requests.

        Returns:
            Request ids with what they wait for.
        """
        return list(self._waiting.items())
