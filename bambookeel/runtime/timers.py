"""The timer service that tasks subscribe to.

One task keeps all timers of the process in a heap and puts the subscriber's
message into its mailbox when a timer is due. Tasks thus meet time as messages
and never sleep with state in hand.
"""

import dataclasses
import heapq
import itertools
import typing

import gevent.event

from bambookeel.runtime import clock
from bambookeel.runtime import mailbox


@dataclasses.dataclass(slots=True)
class Timer:
    """One subscription; `cancel` ends it.

    Attributes:
        target: Mailbox that gets the message.
        message: What it gets.
        period_ms: Time between messages; 0 for a single one.
        cancelled: Whether the subscription has ended.
    """

    target: mailbox.Mailbox
    message: typing.Any
    period_ms: int
    cancelled: bool = False

    def cancel(self) -> None:
        """Ends the subscription."""
        self.cancelled = True


class TimerService:
    """Delivers messages when they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._numbers = itertools.count()
        self._wake = gevent.event.Event()

    def subscribe(
        self, target: mailbox.Mailbox, period_ms: int, message: typing.Any
    ) -> Timer:
        """Asks for a message every period.

        Args:
            target: Mailbox that gets the message.
            period_ms: Time between two messages.
            message: The message.

        Returns:
            The subscription.
        """
        timer = Timer(target, message, period_ms)
        self._push_period(clock.read_now_ms(), timer)
        return timer

    def _push_period(self, now_ms: int, timer: Timer) -> None:
        # Multiples of the period, so that timers of several tasks fall due
        # together and wake the process once.
        due_ms = (now_ms // timer.period_ms + 1) * timer.period_ms
        self._push(due_ms, timer)

    def schedule(
        self, target: mailbox.Mailbox, delay_ms: int, message: typing.Any
    ) -> Timer:
        """Asks for a single message.

        Args:
            target: Mailbox that gets the message.
            delay_ms: Time until then.
            message: The message.

        Returns:
            The subscription.
        """
        timer = Timer(target, message, 0)
        self._push(clock.read_now_ms() + delay_ms, timer)
        return timer

    def _push(self, due_ms: int, timer: Timer) -> None:
        heapq.heappush(self._heap, (due_ms, next(self._numbers), timer))
        if self._heap[0][2] is timer:
            self._wake.set()

    def run(self) -> None:
        """Delivers due messages until the task is killed."""
        while True:
            wait_s = None
            if self._heap:
                wait_ms = max(0, self._heap[0][0] - clock.read_now_ms())
                wait_s = wait_ms / 1000.0
            self._wake.clear()
            if wait_s is None or wait_s > 0:
                self._wake.wait(wait_s)
            self._deliver_due()

    def _deliver_due(self) -> None:
        now_ms = clock.read_now_ms()
        while self._heap and self._heap[0][0] <= now_ms:
            _, _, timer = heapq.heappop(self._heap)
            if timer.cancelled:
                continue
            timer.target.put(timer.message)
            if timer.period_ms == 0:
                continue
            # After a pause of the process, missed periods are not made up.
            self._push_period(now_ms, timer)
