"""Watches who dispatches each service, for the requests that wait.

A task that wakes waiting requests when their service has another holder or the
link to it ends, sends releases that could not be sent, and stamps grants with a
time that is never later than their arrival: after a freeze of the process, a
grant that lay in a socket all the while counts as old.
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

_PERIOD_MS = 50
# Between two rounds of tidying up.
_TIDY_MS = 1_000
# Between two renewals of the slots of streamed answers.
_RENEW_MS = 5_000


class HolderWatch:
    """Owns what is known of holders; everyone else asks `find_holder`."""

    def __init__(
        self,
        follower: follower_task.FollowerTask,
        table: request_table.RequestTable,
        held: outstanding.OutstandingTable,
        returned: releases.Releases,
        pool: connection_pool.ConnectionPool,
    ) -> None:
        self._follower = follower
        self._table = table
        self._held = held
        self._releases = returned
        self._pool = pool
        self._seen_view: view.View | None = None
        self._last_round_ms = clock.read_now_ms()
        self._round_before_ms = self._last_round_ms
        self._last_tidy_ms = 0
        self._last_renewal_ms = self._last_round_ms

    def run(self) -> None:
        """Looks for changes until the task is killed."""
        while True:
            self.take_round(clock.read_now_ms())
            gevent.sleep(_PERIOD_MS / 1000.0)

    def take_round(self, now_ms: int) -> None:
        """Does one round.

        Args:
            now_ms: The time.
        """
        self._round_before_ms = self._last_round_ms
        self._last_round_ms = now_ms
        if self._follower.view is not self._seen_view:
            self._seen_view = self._follower.view
            self._wake_moved()
            self._releases.retry_unsent()
        if now_ms - self._last_tidy_ms >= _TIDY_MS:
            self._last_tidy_ms = now_ms
            self._releases.retry_unsent()
            self._held.drop_expired(now_ms)
            self._pool.close_idle()
        if now_ms - self._last_renewal_ms >= _RENEW_MS:
            self._last_renewal_ms = now_ms
            for grant in self._held.list_streaming():
                self._releases.extend(grant)

    def _wake_moved(self) -> None:
        """Wakes requests that asked a process that is no longer the holder."""
        for request_id, waiting in self._table.list_waiting():
            holder = holders.find_holder(self._follower, waiting.service)
            known = (waiting.holder, waiting.epoch)
            if holder is not None and known == (
                holder.process_id,
                holder.epoch,
            ):
                continue
            if holder is None and not waiting.holder:
                continue
            self._table.deliver(request_id, request_table.HolderChanged())

    def take_slot_answer(
        self,
        message: (
            messages.SlotGranted | messages.SlotRefused | messages.SlotDuplicate
        ),
    ) -> None:
        """Hands a dispatcher's answer to its request, or returns the grant.

        Args:
            message: The answer.
        """
        answer: request_table.SlotAnswer
        match message:
            case messages.SlotGranted():
                arrived_ms = self.get_arrival_ms(clock.read_now_ms())
                answer = request_table.ReceivedGrant(message, arrived_ms)
            case _:
                answer = message
        if self._table.deliver(message.request_id, answer):
            return
        if isinstance(message, messages.SlotGranted):
            metrics.GRANTS_RETURNED.inc()
            self._releases.release(message, releases.UNUSED)

    def get_arrival_ms(self, now_ms: int) -> int:
        """Gives a time that is not later than a message's arrival.

        The process may have been frozen since its last rounds, and whether the
        round or the message comes first after that is open, so the round
        before the last one counts.

        Args:
            now_ms: The time at which the message is read.

        Returns:
            The time.
        """
        return min(now_ms, self._round_before_ms + 2 * _PERIOD_MS)

    def take_link_up(self, peer: ids.ProcessId) -> None:
        """Sends what an ended link to a process may have lost.

        Args:
            peer: The process.
        """
        self._releases.resend_recent(peer)
        self._wake_waiting_on(peer)

    def take_link_down(self, peer: ids.ProcessId) -> None:
        """Wakes requests that wait for a process that is out of reach.

        Args:
            peer: The process.
        """
        self._wake_waiting_on(peer)

    def _wake_waiting_on(self, peer: ids.ProcessId) -> None:
        for request_id, waiting in self._table.list_waiting():
            if waiting.holder == peer:
                self._table.deliver(request_id, request_table.HolderChanged())
