"""Watches the holders of the dispatch leases on behalf of waiting requests.

The task wakes waiting requests when their service has another holder or the
link to the holder ends, and sends releases that could not be sent before. It
also records for each grant a time that is not later than its arrival: a grant
that stayed in a socket while the process was frozen then counts as old.
"""

import gevent

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import follower_task
from bambookeel.entry import holders
from bambookeel.entry import outstanding
from bambookeel.entry import releases
from bambookeel.entry import request_table
from bambookeel.entry import view
from bambookeel.net import connection_pool
from bambookeel.runtime import clock
from bambookeel.runtime import metrics

_ROUND_INTERVAL_MS = 50
# Time between two rounds that drop ended grants and idle connections.
_CLEANUP_INTERVAL_MS = 1_000
# Time between two renewals of the slots of streamed answers.
_RENEWAL_INTERVAL_MS = 5_000


class HolderWatch:
    """Wakes waiting requests and sends postponed releases."""

    def __init__(
        self,
        follower: follower_task.FollowerTask,
        table: request_table.RequestTable,
        outstanding_table: outstanding.OutstandingTable,
        slot_releases: releases.Releases,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        self._follower = follower
        self._table = table
        self._outstanding = outstanding_table
        self._releases = slot_releases
        self._pool = pool
        self._last_view: view.View | None = None
        self._last_round_ms = clock.read_now_ms()
        self._previous_round_ms = self._last_round_ms
        self._last_cleanup_ms = 0
        self._last_renewal_ms = self._last_round_ms

    def run(self) -> None:
        """Runs rounds at a regular interval until the task is killed."""
        while True:
            self.run_round(clock.read_now_ms())
            gevent.sleep(_ROUND_INTERVAL_MS / 1000.0)

    def run_round(self, now_ms: int) -> None:
        """Checks for a new view and for regular work that is due.

        Args:
            now_ms: Current time in ms on this process's clock.
        """
        self._previous_round_ms = self._last_round_ms
        self._last_round_ms = now_ms
        if self._follower.view is not self._last_view:
            self._last_view = self._follower.view
            self._wake_after_holder_change()
            self._releases.retry_unsent()
        if now_ms - self._last_cleanup_ms >= _CLEANUP_INTERVAL_MS:
            self._last_cleanup_ms = now_ms
            self._releases.retry_unsent()
            self._outstanding.drop_expired(now_ms)
            self._pool.close_idle()
        if now_ms - self._last_renewal_ms >= _RENEWAL_INTERVAL_MS:
            self._last_renewal_ms = now_ms
            for grant in self._outstanding.list_streaming():
                self._releases.extend(grant)

    def _wake_after_holder_change(self) -> None:
        """Wakes requests whose service has another holder or epoch now."""
        for request_id, waiting in self._table.list_waiting():
            holder = holders.find_holder(self._follower, waiting.service)
            sent_to = (waiting.holder, waiting.epoch)
            if holder is not None and sent_to == (
                holder.process_id,
                holder.epoch,
            ):
                continue
            if holder is None and not waiting.holder:
                continue
            self._table.deliver(request_id, request_table.HolderChanged())

    def handle_slot_answer(
        self,
        message: (
            messages.SlotGranted | messages.SlotRefused | messages.SlotDuplicate
        ),
    ) -> None:
        """Passes a dispatcher's answer to its request.

        Args:
            message: The answer; a grant whose request has ended is released.
        """
        answer: request_table.SlotAnswer
        match message:
            case messages.SlotGranted():
                arrived_ms = self.get_earliest_arrival_ms(clock.read_now_ms())
                answer = request_table.ReceivedGrant(message, arrived_ms)
            case _:
                answer = message
        if self._table.deliver(message.request_id, answer):
            return
        if isinstance(message, messages.SlotGranted):
            metrics.GRANTS_RETURNED.inc()
            self._releases.release(message, releases.UNUSED)

    def get_earliest_arrival_ms(self, now_ms: int) -> int:
        """Returns the earliest time at which a message may have arrived.

        The process may have been frozen since its last rounds, and after a
        freeze either the next round or the message may be handled first. The
        bound is therefore computed from the round before the last one.

        Args:
            now_ms: When the message is read, in ms on this process's clock.

        Returns:
            A time that is not later than the message's arrival, on the same
            clock.
        """
        return min(now_ms, self._previous_round_ms + 2 * _ROUND_INTERVAL_MS)

    def handle_link_up(self, peer: ids.ProcessId) -> None:
        """Repeats releases and requests that the former link may have lost.

        Args:
            peer: The process to which a new link has been established.
        """
        self._releases.resend_recent(peer)
        self._wake_requests_to(peer)

    def handle_link_down(self, peer: ids.ProcessId) -> None:
        """Wakes requests that wait for an answer of an unreachable process.

        Args:
            peer: The process whose link has ended.
        """
        self._wake_requests_to(peer)

    def _wake_requests_to(self, peer: ids.ProcessId) -> None:
        for request_id, waiting in self._table.list_waiting():
            if waiting.holder == peer:
                self._table.deliver(request_id, request_table.HolderChanged())
