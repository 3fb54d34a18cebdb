"""A provider of instances that does not answer the orders it gets."""

import gevent
import gevent.event

from bambookeel.jobs import instances

# How long a call waits for an answer before it is given up.
_PATIENCE_S = 1.5


class SilentProvider:
    """Lists instances, and leaves orders without an answer while silent."""

    def __init__(self, count):
        up = instances.InstancePhase.UP
        self.listed = tuple(
            instances.Instance(f"m{i}", "pack", up, "dc") for i in range(count)
        )
        # Holder, leader's term and instance of each order.
        self.orders = []
        self.under_way = 0
        self.most_under_way = 0
        self.answers = gevent.event.Event()

    def list_instances(self):
        """Lists all instances."""
        return self.listed

    def carry_out(self, order, holder):
        """Takes an order."""
        self.orders.append((holder.name, int(holder.token), order.instance))
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        answered = self.answers.wait(_PATIENCE_S)
        self.under_way -= 1
        if not answered:
            return instances.OrderOutcome.UNKNOWN
        return instances.OrderOutcome.DONE
