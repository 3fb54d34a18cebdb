"""The provider in the check of the job interface, with the rules for it.

It carries out moves and upkeeps, at once or late, answers or not, and lists its
instances, unless it is silent.
"""

import dataclasses

from bambookeel.jobs import instances

_DOWN_MS = 2_000
_ANSWER_MS = 50
_CALL_TIMEOUT_MS = 1_500
# Run time after which a standing task is at work.
_STARTUP_MS = 500
# Time not at work after which a task counts as away.
_NOTICE_MS = 4_500


@dataclasses.dataclass
class Wave:
    """A wave that the operator has ordered, and what became of it."""

    machines: tuple[str, ...]
    cap: int
    begun: set = dataclasses.field(default_factory=set)
    down: set = dataclasses.field(default_factory=set)


class Provider:
    """Carries out orders and judges them.

    Attributes:
        waves: Waves by their number.
        silent_until_ms: Until then, no call gets an answer.
        slow_until_ms: Until then, orders are carried out after their callers
            have given up.
    """

    def __init__(self, simulation):
        self._simulation = simulation
        self.waves = {}
        self.silent_until_ms = 0
        self.slow_until_ms = 0
        self._down = {}
        self._answers = []
        self._late = []
        # Standing tasks that an order has ended and that are not back.
        self._ended_by_order = set()
        self._away_since_ms = {}

    def discard_answers(self):
        """Discards answers to a leader that has been replaced."""
        self._answers = []

    def list_instances(self):
        """Lists all instances."""
        return tuple(
            instances.Instance(
                f"m-{worker.name}",
                worker.service,
                self._get_phase(worker),
                "dc",
                capacity=worker.capacity,
                labels=worker.labels,
            )
            for worker in self._simulation.workers.values()
        )

    def _get_phase(self, worker):
        if worker.name in self._down:
            return self._down[worker.name][1]
        return instances.InstancePhase.UP

    def step(self):
        """Runs one time step."""
        simulation = self._simulation
        now_ms = simulation.now_ms
        scheduler = simulation.scheduler
        for answer in [a for a in self._answers if a[0] <= now_ms]:
            self._answers.remove(answer)
            scheduler.handle_order_outcome(*answer[1:], simulation.read_now())
        for late in [o for o in self._late if o[0] <= now_ms]:
            self._late.remove(late)
            self._carry_out(late[1], is_late=True)
        for order in simulation.take_orders():
            self._handle(order)
        for name, (until_ms, _) in list(self._down.items()):
            if now_ms >= until_ms:
                self._bring_back(name)
        if scheduler.begin_list_if_due(now_ms):
            is_silent = now_ms < self.silent_until_ms
            listed = None if is_silent else self.list_instances()
            scheduler.handle_instance_list(listed, now_ms)
        simulation.commit()
        self._watch_standing()

    def _bring_back(self, name):
        del self._down[name]
        self._simulation.restart(self._simulation.workers[name])
        for wave in self.waves.values():
            wave.down.discard(f"m-{name}")

    def _handle(self, order):
        now_ms = self._simulation.now_ms
        if now_ms < self.silent_until_ms or now_ms < self.slow_until_ms:
            outcome = instances.OrderOutcome.UNKNOWN
            delay_ms = _CALL_TIMEOUT_MS
            if now_ms >= self.silent_until_ms:
                self._late.append((now_ms + 1_000, order))
        else:
            outcome = self._carry_out(order, is_late=False)
            delay_ms = _ANSWER_MS
        self._answers.append((now_ms + delay_ms, order, outcome))

    def _carry_out(self, order, is_late):
        simulation = self._simulation
        worker = simulation.workers[order.instance.removeprefix("m-")]
        phase = instances.InstancePhase.MOVING
        if isinstance(order, instances.Upkeep):
            phase = instances.InstancePhase.UPKEEP
            wave = self.waves.get(order.wave)
            if wave is None or order.instance not in wave.machines:
                simulation.oracle.add("UNASKED", order.instance, f"{order}")
                return instances.OrderOutcome.IMPOSSIBLE
            if order.instance in wave.begun:
                return instances.OrderOutcome.DONE
        elif worker.service == order.pool:
            return instances.OrderOutcome.DONE
        if not worker.is_up or worker.name in self._down:
            return instances.OrderOutcome.BUSY
        simulation.note("", f"the provider carries out {order}")
        if not is_late:
            self._check_available(worker)
        if isinstance(order, instances.Upkeep):
            wave.begun.add(order.instance)
            if len(wave.down) >= wave.cap:
                text = f"{sorted(wave.down)} of at most {wave.cap} are down"
                simulation.oracle.add("LIMIT", order.instance, text)
            wave.down.add(order.instance)
        else:
            worker.service = order.pool
        for ref in worker.running:
            simulation.note(ref.job, f"{ref.position} was on {worker.name}")
            self._ended_by_order.add(ref)
        simulation.crash(worker)
        until_ms = simulation.now_ms + _DOWN_MS
        self._down[worker.name] = (until_ms, phase)
        return instances.OrderOutcome.DONE

    # --- Standing tasks ---

    def _list_at_work(self):
        now_ms = self._simulation.now_ms
        return {
            ref
            for worker in self._simulation.workers.values()
            if worker.is_up
            for ref, run in worker.running.items()
            if now_ms - run.started_ms >= _STARTUP_MS
        }

    def _list_standing(self):
        for known in self._simulation.oracle.jobs.values():
            if known.accepted_ms is None or known.cancel_sent_ms is not None:
                continue
            for number, step in enumerate(known.spec.steps):
                if step.is_standing:
                    yield known, number, step

    def _watch_standing(self):
        at_work = self._list_at_work()
        now_ms = self._simulation.now_ms
        for known, number, step in self._list_standing():
            for ref in known.list_tasks(number, step.count):
                if ref in at_work:
                    self._away_since_ms.pop(ref, None)
                    self._ended_by_order.discard(ref)
                else:
                    self._away_since_ms.setdefault(ref, now_ms)

    def _check_available(self, worker):
        """Checks that an order ends a task only if enough others are there."""
        now_ms = self._simulation.now_ms
        if worker.is_cut_off:
            return
        at_work = self._list_at_work()
        for known, number, step in self._list_standing():
            tasks = known.list_tasks(number, step.count)
            ended = [r for r in tasks if r in worker.running and r in at_work]
            if not ended:
                continue
            away = [
                ref
                for ref in tasks
                if ref not in worker.running
                and ref not in at_work
                and (
                    ref in self._ended_by_order
                    or now_ms - self._away_since_ms.get(ref, now_ms)
                    >= _NOTICE_MS
                )
            ]
            if len(away) + len(ended) - 1 >= step.max_missing:
                text = f"an order ends {ended} while {away} are away"
                self._simulation.oracle.add("AVAIL", known.job, text)

    def check_wave(self, number, is_complete):
        """Checks what is said of a wave."""
        wave = self.waves[number]
        missing = set(wave.machines) - wave.begun
        if is_complete and missing:
            text = f"wave {number} is completed without {sorted(missing)}"
            self._simulation.oracle.add("MIXED", f"wave {number}", text)

    def check_end(self):
        """Checks that all machines of each wave have had their upkeep."""
        for number, wave in self.waves.items():
            missing = set(wave.machines) - wave.begun
            if missing:
                text = f"wave {number} never reaches {sorted(missing)}"
                self._simulation.oracle.add("DUTY", f"wave {number}", text)
