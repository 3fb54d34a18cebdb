"""A simulated provider of instances for the simulated workers.

It carries out moves and upkeeps, which end all runs on the instance, and brings
each instance back with a new worker after a delay. It counts how many instances
are down at a time. It can refuse orders, drop answers, fail to list its
instances, or carry out an order after its caller has given up.
"""

from bambookeel.jobs import instances

_ANSWER_MS = 25
# How long a call waits for an answer before it fails.
_CALL_TIMEOUT_MS = 1_500


class FakeProvider:
    """Carries out the orders of the scheduler in a simulation."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._down = {}
        self.upkeep_ms = 2_000
        # Whether the first answer to each order is lost.
        self.drops_first_answer = False
        self._received = set()
        # While set, no order is carried out and each has this outcome.
        self.forced_outcome = None
        # Whether orders are carried out without an answer.
        self.drops_answers = False
        # Whether requests for the list fail.
        self.fails_lists = False
        # While set, an order gets no answer at its first attempt and is carried
        # out after this delay.
        self.start_delay_ms = None
        self._delayed = []
        self._carried_out = set()
        self._answers = []
        # Most instances that were down at a time.
        self.max_down = 0
        # Time, leader's term and instance of each order.
        self.orders = []
        # Most standing tasks that were interrupted at a time.
        self.max_interrupted = 0

    def discard_answers(self):
        """Discards pending answers to a leader that has been replaced."""
        self._answers = []

    def list_down(self):
        """Returns the names of the instances that are down."""
        return list(self._down)

    def _list(self):
        listed = []
        for worker in self._simulation.workers.values():
            name = f"m-{worker.name}"
            phase = instances.InstancePhase.UP
            if name in self._down:
                phase = instances.InstancePhase.UPKEEP
            listed.append(
                instances.Instance(
                    name, worker.service, phase, worker.data_centre
                )
            )
        return tuple(listed)

    def advance(self, ms):
        """Advances the time of the simulation and of the provider."""
        for _ in range(ms // 25):
            self._simulation.advance(25)
            self._step()

    def _step(self):
        simulation = self._simulation
        scheduler = simulation.scheduler
        for answer in list(self._answers):
            at_ms, order, outcome = answer
            if at_ms <= simulation.now_ms:
                self._answers.remove(answer)
                scheduler.handle_order_outcome(
                    order, outcome, simulation.read_now()
                )
        for delayed in list(self._delayed):
            if delayed[0] <= simulation.now_ms:
                self._delayed.remove(delayed)
                self._carry_out(delayed[1])
        for order in scheduler.take_orders():
            self._handle_order(order)
        for name, until_ms in list(self._down.items()):
            if simulation.now_ms >= until_ms:
                del self._down[name]
                simulation.restart(simulation.workers[name.removeprefix("m-")])
        now_ms = simulation.now_ms
        if scheduler.begin_list_if_due(now_ms):
            listed = None if self.fails_lists else self._list()
            scheduler.handle_instance_list(listed, now_ms)
        simulation.commit()
        self._count_interrupted()

    def _handle_order(self, order):
        simulation = self._simulation
        self.orders.append((simulation.now_ms, simulation.term, order.instance))
        is_first = order not in self._received
        self._received.add(order)
        outcome = instances.OrderOutcome.DONE
        answer_ms = _ANSWER_MS
        if self.forced_outcome is not None:
            outcome = self.forced_outcome
        elif self.start_delay_ms is not None and is_first:
            outcome = instances.OrderOutcome.UNKNOWN
            answer_ms = _CALL_TIMEOUT_MS
            self._delayed.append(
                (simulation.now_ms + self.start_delay_ms, order)
            )
        else:
            if self.drops_answers or (self.drops_first_answer and is_first):
                outcome = instances.OrderOutcome.UNKNOWN
            self._carry_out(order)
        self._answers.append((simulation.now_ms + answer_ms, order, outcome))

    def _carry_out(self, order):
        simulation = self._simulation
        worker = simulation.workers[order.instance.removeprefix("m-")]
        # Repeating an order has no effect, even after it has been completed.
        if not worker.is_up or order in self._carried_out:
            return
        self._carried_out.add(order)
        if isinstance(order, instances.Move):
            worker.service = order.pool
        self._down[order.instance] = simulation.now_ms + self.upkeep_ms
        simulation.crash(worker)
        self.max_down = max(self.max_down, len(self._down))
        self._count_interrupted()

    def _count_interrupted(self):
        simulation = self._simulation
        standing = sum(
            step.count
            for job in simulation.scheduler.book.jobs.values()
            for step in job.spec.steps
            if step.is_standing
        )
        running = sum(
            simulation.specs[task.job].steps[task.step].is_standing
            for other in simulation.workers.values()
            for task in other.running
        )
        self.max_interrupted = max(self.max_interrupted, standing - running)
