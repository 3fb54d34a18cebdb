"""Requests of this entry that wait for their dispatcher's answer.

A request's handler registers itself, asks the dispatcher and waits; the link's
reader hands it the grant or the refusal. Late answers to an ended request are
returned to the dispatcher, so that no slot leaks.
"""

import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages

SlotAnswer = (
    messages.SlotGranted | messages.SlotRefused | messages.SlotDuplicate
)


class RequestTable:
    """Waiting handlers by request id."""

    def __init__(self) -> None:
        self._waiting: dict[ids.RequestId, gevent.event.AsyncResult] = {}

    def register(self, request_id: ids.RequestId) -> gevent.event.AsyncResult:
        """Registers a request that is about to ask for a slot.

        Args:
            request_id: The request.

        Returns:
            Where the answer will appear.
        """
        answer = gevent.event.AsyncResult()
        self._waiting[request_id] = answer
        return answer

    def forget(self, request_id: ids.RequestId) -> None:
        """Ends the wait of a request.

        Args:
            request_id: The request.
        """
        self._waiting.pop(request_id, None)

    def deliver(self, answer: SlotAnswer) -> bool:
        """Hands a dispatcher's answer to its request.

        Args:
            answer: The grant or refusal.

        Returns:
            Whether the request still waits.
        """
        waiting = self._waiting.pop(answer.request_id, None)
        if waiting is None:
            return False
        waiting.set(answer)
        return True
