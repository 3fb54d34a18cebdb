"""Talks to the provider of instances for the leader, one call at a time each.

Calls may take long or get lost; the replica's task never waits for them, also
while as many are under way as may be. An order is given up when its term is
over or the leader's lease has run out before it is sent.
"""

from collections.abc import Callable
import dataclasses
import functools

import gevent
import gevent.lock

from bambookeel.jobs import instances
from bambookeel.runtime import clock
from bambookeel.runtime import mailbox

# Orders that may be under way at once.
_MAX_CONCURRENT_ORDERS = 16
# Longest wait of an order for others to end. The next leader goes by when an
# order was put on record, so that it must not be sent much later.
_MAX_WAIT_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """An order has an outcome."""

    order: instances.Order
    outcome: instances.OrderOutcome
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListResult:
    """A list has come, or has failed to.

    Attributes:
        listed: The instances; None without a whole list.
        asked_ms: When it was asked for.
        term: The leader's term then.
    """

    listed: tuple[instances.Instance, ...] | None
    asked_ms: int
    term: int


class ProviderTask:
    """Carries out orders and lists in the background."""

    def __init__(
        self,
        provider: instances.Provider,
        holder: str,
        target: mailbox.Mailbox,
    ) -> None:
        self._provider = provider
        self._holder = holder
        self._target = target
        self._slots = gevent.lock.BoundedSemaphore(_MAX_CONCURRENT_ORDERS)

    def carry_out(
        self,
        order: instances.Order,
        term: int,
        leads: Callable[[int], bool],
    ) -> None:
        """Carries an order out in the background.

        Args:
            order: The order.
            term: The leader's term, which is the fencing token.
            leads: Tells whether the leader of a term still leads.
        """
        gevent.spawn(self._carry_out, order, term, leads)

    def _carry_out(
        self,
        order: instances.Order,
        term: int,
        leads: Callable[[int], bool],
    ) -> None:
        outcome = instances.OrderOutcome.OVERLOADED
        if self._slots.acquire(timeout=_MAX_WAIT_MS / 1000.0):
            try:
                outcome = instances.OrderOutcome.BUSY
                holder = instances.Holder(
                    self._holder, str(term), functools.partial(leads, term)
                )
                if holder.leads():
                    outcome = self._provider.carry_out(order, holder)
            finally:
                self._slots.release()
        self._target.put(OrderResult(order, outcome, term))

    def list_instances(self, term: int) -> None:
        """Reads the list in the background.

        Args:
            term: The leader's term.
        """
        gevent.spawn(self._list, term)

    def _list(self, term: int) -> None:
        asked_ms = clock.read_now_ms()
        listed = self._provider.list_instances()
        self._target.put(InstanceListResult(listed, asked_ms, term))
