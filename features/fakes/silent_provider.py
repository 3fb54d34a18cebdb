"""A provider of instances that does not answer the orders it gets."""

import gevent
import gevent.event

from bambookeel.jobs import instances

# How long a call waits for an answer before it is given up.
_ANSWER_TIMEOUT_S = 1.5


class SilentProvider:
    """Lists instances, and leaves orders without an answer while silent."""

    def __init__(self, count):
        up = instances.InstancePhase.UP
        self.listed = tuple(
            instances.Instance(f"m{i}", "pack", up, "dc") for i in range(count)
        )
        # Holder, leader's term and instance of each order.
        self.orders = []
        self.in_progress = 0
        self.max_in_progress = 0
        self.may_answer = gevent.event.Event()

    def list_instances(self):
        """Lists all instances."""
        return self.listed

    def carry_out(self, order, holder):
        """Takes an order."""
        self.orders.append((holder.name, int(holder.token), order.instance))
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)
        answered = self.may_answer.wait(_ANSWER_TIMEOUT_S)
        self.in_progress -= 1
        if not answered:
            return instances.OrderOutcome.UNKNOWN
        return instances.OrderOutcome.DONE
