"""Requests this process's allotments from control.

One request covers all services that this process dispatches. It is sent at a
regular interval, and sooner when a team's allotment holds requests back. Only
the reply to the newest request is adopted, so that control knows which amounts
can still take effect.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import dispatcher
from bambookeel.dispatch import effects
from bambookeel.dispatch import service

# Minimum time between two requests.
MIN_INTERVAL_MS = 20
# After this many unanswered requests, the next goes to all control processes.
_MAX_UNANSWERED = 2


class AllotmentClient:
    """State of the allotment requests; owned by the dispatcher task."""

    def __init__(
        self, control: tuple[ids.ProcessId, ...], period_ms: int
    ) -> None:
        self._control = control
        self._period_ms = period_ms
        self._nonce = 0
        self._sent_at_ms = 0
        self._unanswered_count = 0
        self._leader: ids.ProcessId | None = None
        self._answered_term = ids.Term(0)
        self._send_soon = False

    def request_soon(self) -> None:
        """Makes the next request due once the minimum interval has passed."""
        self._send_soon = True

    def build_request(
        self, states: list[service.ServiceState], now_ms: int
    ) -> list[effects.Effect]:
        """Builds an allotment request if one is due.

        Args:
            states: States of the services that this process dispatches.
            now_ms: Current time in ms on this process's clock.

        Returns:
            The request to the leader, or one to each control process; empty if
            none is due or no service is ready.
        """
        interval_ms = MIN_INTERVAL_MS if self._send_soon else self._period_ms
        if now_ms - self._sent_at_ms < interval_ms:
            return []
        demands: list[messages.TeamDemand] = []
        reports = []
        for state in states:
            if not state.ready or state.released:
                continue
            complete = state.limits.complete
            reports.append(
                messages.ServiceReport(state.service, state.epoch, complete)
            )
            demands.extend(dispatcher.list_demands(state, now_ms))
        if not reports:
            return []
        self._send_soon = False
        self._nonce += 1
        self._sent_at_ms = now_ms
        request = messages.AllotmentRequest(
            self._nonce, tuple(demands), tuple(reports), self._answered_term
        )
        self._unanswered_count += 1
        if self._leader and self._unanswered_count <= _MAX_UNANSWERED:
            return [effects.Send(self._leader, request)]
        return [effects.Send(peer, request) for peer in self._control]

    def handle_reply(
        self, peer: ids.ProcessId, reply: messages.AllotmentReply
    ) -> int | None:
        """Decides whether a reply may be adopted.

        Args:
            peer: The control process that sent the reply.
            reply: The reply; its lease runs from the sending of the request.

        Returns:
            When the allotments' lease ends, in ms on this process's clock; None
            for a reply to an older request or from an earlier leader.
        """
        if reply.nonce != self._nonce or reply.term < self._answered_term:
            return None
        if reply.term > self._answered_term:
            # A new leader raises no amount before it has received a request
            # that follows its first reply.
            self._send_soon = True
        self._answered_term = reply.term
        self._leader = peer
        self._unanswered_count = 0
        return self._sent_at_ms + reply.lease_ms
