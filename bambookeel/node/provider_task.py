"""Sends the leader's orders to the instance provider in the background.

Calls to the provider may take long or get lost. The replica's task never waits
for them, even while the maximum number of orders is in progress. An order is
not sent if its term or the leader's lease has ended before.
"""

from collections.abc import Callable
import dataclasses
import functools

import gevent
import gevent.lock

from bambookeel.jobs import instances
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox

# Maximum number of orders in progress at once.
_MAX_CONCURRENT_ORDERS = 16
# Maximum wait of an order while others are in progress. The next leader relies
# on the time at which an order was recorded, so it must be sent soon after.
_MAX_WAIT_MS = 2_000
# Limit of an error in a log line.
_MAX_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class OrderResult:
    """Outcome of an order that the leader of a term gave."""

    order: instances.Order
    outcome: instances.OrderOutcome
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListResult:
    """Result of a request for the provider's list of instances.

    Attributes:
        listed: The instances; None if no complete list was received.
        asked_ms: Steady time in milliseconds when the request was sent.
        term: Term of the leader that sent it.
    """

    listed: tuple[instances.Instance, ...] | None
    asked_ms: int
    term: int


def _log_failure(error: Exception) -> None:
    """Logs a failed call; the leader still waits for the call's result."""
    logs.log_event("provider_failed", error=repr(error)[:_MAX_CHARS])


class ProviderTask:
    """Runs each call to the provider in a task of its own."""

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
        """Carries out an order in the background.

        Args:
            order: The order to send.
            term: Term of the leader; also the order's fencing token.
            leads: Returns whether this node still leads in the given term.
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
                    outcome = instances.OrderOutcome.UNKNOWN
                    outcome = self._provider.carry_out(order, holder)
            except Exception as error:  # pylint: disable=broad-exception-caught
                _log_failure(error)
            finally:
                self._slots.release()
        self._target.put(OrderResult(order, outcome, term))

    def list_instances(self, term: int) -> None:
        """Requests the list of instances in the background.

        Args:
            term: Term of the leader that requests it.
        """
        gevent.spawn(self._list, term)

    def _list(self, term: int) -> None:
        asked_ms = clock.read_now_ms()
        listed = None
        try:
            listed = self._provider.list_instances()
        except Exception as error:  # pylint: disable=broad-exception-caught
            _log_failure(error)
        self._target.put(InstanceListResult(listed, asked_ms, term))
