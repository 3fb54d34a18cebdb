"""A provider of instances around the simulated workers.

Carries upkeeps out with a delay, ends what runs, and brings instances back with
a new worker. Counts how many are away at a time. It may be busy, reset calls,
fail to list, or carry an order out after its caller has given up.
"""

from bambookeel.jobs import instances

_ANSWER_MS = 25
# How long a call waits for an answer before it is given up.
_PATIENCE_MS = 1_500


class FakeProvider:
    """Carries out the orders of a world's scheduler."""

    def __init__(self, world):
        self._world = world
        self._down = {}
        self.upkeep_ms = 2_000
        # Whether the first answer to each order is lost.
        self.drops_first_answer = False
        self._lost = set()
        # What comes of orders while it is set, of which none is carried out.
        self.forced_outcome = None
        # Whether orders are carried out without an answer.
        self.drops_answers = False
        # Whether lists fail.
        self.fails_lists = False
        # Time from the first order for an instance to its upkeep, where the
        # order gets no answer.
        self.start_delay_ms = None
        self._late = []
        self._carried_out = set()
        self._answers = []
        self.max_down = 0
        # Time, leader's term and instance of each order.
        self.orders = []
        self.max_interrupted = 0

    def discard_answers(self):
        """Forgets answers to a leader that is gone."""
        self._answers = []

    def list_down(self):
        """Lists the instances that are down now."""
        return list(self._down)

    def _list(self):
        listed = []
        for worker in self._world.workers.values():
            name = f"m-{worker.name}"
            phase = instances.InstancePhase.UP
            if name in self._down:
                phase = instances.InstancePhase.UPKEEP
            listed.append(instances.Instance(name, worker.service, phase, "dc"))
        return tuple(listed)

    def pass_time(self, ms):
        """Lets time pass for the world and the provider."""
        for _ in range(ms // 25):
            self._world.pass_time(25)
            self._step()

    def _step(self):
        world = self._world
        scheduler = world.scheduler
        for due in list(self._answers):
            at_ms, order, outcome = due
            if at_ms <= world.now_ms:
                self._answers.remove(due)
                scheduler.take_outcome(order, outcome, world.read_now())
        for due in list(self._late):
            if due[0] <= world.now_ms:
                self._late.remove(due)
                self._carry_out(due[1])
        for order in scheduler.take_orders():
            self._begin(order)
        for name, until_ms in list(self._down.items()):
            if world.now_ms >= until_ms:
                del self._down[name]
                world.restart(world.workers[name.removeprefix("m-")])
        now_ms = world.now_ms
        if scheduler.is_list_due(now_ms):
            listed = None if self.fails_lists else self._list()
            scheduler.take_list(listed, now_ms)
        world.commit()

    def _begin(self, order):
        world = self._world
        self.orders.append((world.now_ms, world.term, order.instance))
        is_first = order not in self._lost
        self._lost.add(order)
        outcome = instances.OrderOutcome.DONE
        answer_ms = _ANSWER_MS
        if self.forced_outcome is not None:
            outcome = self.forced_outcome
        elif self.start_delay_ms is not None and is_first:
            outcome = instances.OrderOutcome.UNKNOWN
            answer_ms = _PATIENCE_MS
            self._late.append((world.now_ms + self.start_delay_ms, order))
        else:
            if self.drops_answers or (self.drops_first_answer and is_first):
                outcome = instances.OrderOutcome.UNKNOWN
            self._carry_out(order)
        self._answers.append((world.now_ms + answer_ms, order, outcome))

    def _carry_out(self, order):
        world = self._world
        worker = world.workers[order.instance.removeprefix("m-")]
        # The same order again does nothing more, also once it is through.
        if not worker.is_up or order in self._carried_out:
            return
        self._carried_out.add(order)
        if isinstance(order, instances.Move):
            worker.service = order.pool
        self._down[order.instance] = world.now_ms + self.upkeep_ms
        world.crash(worker)
        self.max_down = max(self.max_down, len(self._down))
        standing = sum(
            step.count
            for job in world.scheduler.book.jobs.values()
            for step in job.spec.steps
            if step.is_standing
        )
        running = sum(
            world.specs[task.job].steps[task.step].is_standing
            for other in world.workers.values()
            for task in other.running
        )
        self.max_interrupted = max(self.max_interrupted, standing - running)
