"""Talks to the provider of instances for the leader, one call at a time each.

Calls may take long or get lost; the replica's task never waits for them. An
order is given up when the leader's lease has run out before it is sent.
"""

from collections.abc import Callable
import dataclasses

import gevent
import gevent.pool

from bambookeel.jobs import instances
from bambookeel.runtime import clock
from bambookeel.runtime import mailbox

# Orders that may be under way at once.
_MAX_CALLS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class OrderEnded:
    """An order has an outcome."""

    order: instances.Order
    outcome: instances.OrderOutcome
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
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
        self._calls = gevent.pool.Pool(_MAX_CALLS)

    def carry_out(
        self,
        order: instances.Order,
        term: int,
        holds_lease: Callable[[], bool],
    ) -> None:
        """Carries an order out in the background.

        Args:
            order: The order.
            term: The leader's term, which is the fencing token.
            holds_lease: Tells whether the leader still leads.
        """
        self._calls.start(
            gevent.Greenlet(self._carry_out, order, term, holds_lease)
        )

    def _carry_out(
        self,
        order: instances.Order,
        term: int,
        holds_lease: Callable[[], bool],
    ) -> None:
        outcome = instances.OrderOutcome.BUSY
        if holds_lease():
            outcome = self._provider.carry_out(order, self._holder, term)
        self._target.put(OrderEnded(order, outcome, term))

    def list_instances(self, term: int) -> None:
        """Reads the list in the background.

        Args:
            term: The leader's term.
        """
        self._calls.start(gevent.Greenlet(self._list, term))

    def _list(self, term: int) -> None:
        asked_ms = clock.read_now_ms()
        listed = self._provider.list_instances()
        self._target.put(Listed(listed, asked_ms, term))
