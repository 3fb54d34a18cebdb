"""A fake provider of instances that does not answer orders."""

import gevent
import gevent.event

from bambookeel.jobs import instances

# Time after which an order without an answer has an unknown outcome.
_ANSWER_TIMEOUT_S = 1.5


class SilentProvider:
    """Lists instances, and answers orders only once `may_answer` is set."""

    def __init__(self, count):
        up = instances.InstancePhase.UP
        self.listed = tuple(
            instances.Instance(f"m{i}", "pack", up, "dc") for i in range(count)
        )
        # Holder, term of the leader and instance of each order.
        self.orders = []
        self.in_progress = 0
        self.max_in_progress = 0
        self.may_answer = gevent.event.Event()

    def list_instances(self):
        """Lists all instances."""
        return self.listed

    def carry_out(self, order, holder):
        """Records an order and waits until it may be answered."""
        self.orders.append((holder.name, int(holder.token), order.instance))
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)
        answered = self.may_answer.wait(_ANSWER_TIMEOUT_S)
        self.in_progress -= 1
        if not answered:
            return instances.OrderOutcome.UNKNOWN
        return instances.OrderOutcome.DONE
