"""The timer service of a process.

One task keeps all timers of the process in a heap. When a timer is due, it puts
the timer's message into the mailbox of the task that asked for it. Other tasks
thus receive timer events as messages, and do not sleep in the middle of work on
their state.
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
    """A periodic or one-time timer.

    Attributes:
        target: Mailbox that receives the message.
        message: Message to deliver when the timer is due.
        period_ms: Time between two messages; 0 for a one-time timer.
        cancelled: Whether the timer has been cancelled.
    """

    target: mailbox.Mailbox
    message: typing.Any
    period_ms: int
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancels the timer; it delivers no further message."""
        self.cancelled = True


class TimerService:
    """Delivers the messages of timers when they are due."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._insertion_numbers = itertools.count()
        self._wake = gevent.event.Event()

    def subscribe(
        self, target: mailbox.Mailbox, period_ms: int, message: typing.Any
    ) -> Timer:
        """Starts a periodic timer.

        Args:
            target: Mailbox that receives the messages.
            period_ms: Time between two messages.
            message: Message to deliver in each period.

        Returns:
            The timer, which can be cancelled.
        """
        timer = Timer(target, message, period_ms)
        self._push_next_period(clock.read_now_ms(), timer)
        return timer

    def _push_next_period(self, now_ms: int, timer: Timer) -> None:
        # Due times are multiples of the period, so that timers of several tasks
        # are due together and wake the process only once.
        due_ms = (now_ms // timer.period_ms + 1) * timer.period_ms
        self._push(due_ms, timer)

    def schedule(
        self, target: mailbox.Mailbox, delay_ms: int, message: typing.Any
    ) -> Timer:
        """Starts a one-time timer.

        Args:
            target: Mailbox that receives the message.
            delay_ms: Time until the message is delivered.
            message: Message to deliver.

        Returns:
            The timer, which can be cancelled.
        """
        timer = Timer(target, message, 0)
        self._push(clock.read_now_ms() + delay_ms, timer)
        return timer

    def _push(self, due_ms: int, timer: Timer) -> None:
        heapq.heappush(
            self._heap, (due_ms, next(self._insertion_numbers), timer)
        )
        if self._heap[0][2] is timer:
            self._wake.set()

    def run(self) -> None:
        """Delivers due messages until this task is killed."""
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
            # Periods missed while the process was paused are skipped.
            self._push_next_period(now_ms, timer)
