"""Asks control for this process's allotments.

Builds one report over all services held here, at a regular pace and sooner
when a team is held back. Only the reply to the newest report is adopted, so
that control knows which amounts can still take effect.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import dispatcher
from bambookeel.dispatch import effects
from bambookeel.dispatch import service

# Shortest time between two reports.
MIN_INTERVAL_MS = 20
# Unanswered reports after which every control process is asked.
_MAX_UNANSWERED = 2


class AllotmentClient:
    """What was asked and what may be adopted; owned by the dispatcher task."""

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
        """Makes the next report go out as soon as the gap allows."""
        self._send_soon = True

    def build_request(
        self, states: list[service.ServiceState], now_ms: int
    ) -> list[effects.Effect]:
        """Builds a report when one is due.

        Args:
            states: The services held here.
            now_ms: The time.

        Returns:
            The report to the leader, or to all control processes.
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
            peer: The control process that sent it.
            reply: The reply.

        Returns:
            When the allotments' lease ends on the own clock; None for a reply
            to an older report or of an older leader.
        """
        if reply.nonce != self._nonce or reply.term < self._answered_term:
            return None
        if reply.term > self._answered_term:
            # A new leader waits for a report that follows its first reply.
            self._send_soon = True
        self._answered_term = reply.term
        self._leader = peer
        self._unanswered_count = 0
        return self._sent_at_ms + reply.lease_ms
