"""Random runs of large services in which demand turns and messages are lost.

In turn, each service gets several times its mean of new jobs for some seconds
and a small part of it in between, so that pools grow and shrink while standing
tasks wait. Workers are cut off for less or more than their lease and come back
as they were, as new lives or not at all; reports, answers and decisions that
are not committed are lost; workers shrink and refuse what they cannot hold.
"""

import dataclasses
import random

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_pools
from features.fakes import jobs_scale
from features.fakes import jobs_scale_runs
from features.fakes import jobs_simulation
from features.fakes import jobs_worker

_BUSY_FACTOR = 5
_QUIET_FACTOR = 0.05
_DAY_MS = 12_000
_END_MS = 18_000
# Number of tasks of each standing job in a small service.
_SMALL_COUNT = 5


class TurningSimulation(jobs_scale.ScaleSimulation):
    """Simulation of large pools whose messages may be lost or late."""

    def __init__(self, seed, members, spare, caps=None):
        self.loss_rate = 0.0
        self.has_losses = False
        self.refused = 0
        self._late = []
        # Time until which workers wait for an answer that is late or lost.
        self._awaited_until_ms = {}
        super().__init__(seed, members, spare, caps)

    def restart(self, worker):
        """Starts a new life on the same instance."""
        if self.renames:
            super().restart(worker)
            new = next(
                w
                for w in self.workers.values()
                if w.instance == worker.instance
            )
        else:
            new = jobs_worker.SimWorker(
                worker.name,
                worker.service,
                worker.capacity,
                worker.labels,
                jobs_simulation.WALL_START_MS + self.now_ms,
                instance=worker.instance,
            )
            self.workers[worker.name] = new
        new.capacity = worker.capacity

    def commit(self):
        """Commits the batch, unless the leader is lost with it."""
        if (
            self.has_losses
            and self.scheduler.term.batch
            and self.random.random() < self.loss_rate / 200
        ):
            self.events += self.scheduler.take_log_events()
            self.start_leader()
            self.watch.note_disturbance()
            return False
        return super().commit()

    def send_report(self, worker):
        """Sends a report, which may be lost or late."""
        life = (worker.name, worker.born_wall_ms)
        until_ms = self._awaited_until_ms.get(life, 0)
        if self.now_ms < until_ms:
            worker.next_report_ms = until_ms
            return
        if self.has_losses and not worker.is_cut_off:
            chance = self.random.random()
            if chance < 2 * self.loss_rate:
                report = worker.make_report(self.now_ms)
                worker.next_report_ms = (
                    self.now_ms + jobs_simulation.RESPONSE_TIMEOUT_MS
                )
                self._awaited_until_ms[life] = worker.next_report_ms
                if chance < self.loss_rate:
                    delay_ms = self.random.randrange(25, 5_000)
                    self.in_flight.append((self.now_ms + delay_ms, report))
                return
        super().send_report(worker)

    def step(self):
        """Runs one time step, with the late answers that are due."""
        late, self._late = self._late, []
        for due_ms, worker, orders, sent_ms in late:
            if due_ms > self.now_ms:
                self._late.append((due_ms, worker, orders, sent_ms))
            elif self.workers.get(worker.name) is worker and worker.is_up:
                super().apply_orders(worker, orders, sent_ms)
        super().step()

    def apply_orders(self, worker, orders, sent_ms):
        """Applies orders, some of them late."""
        if self.has_losses and self.random.random() < self.loss_rate:
            delay_ms = self.random.randrange(25, 1_000)
            self._late.append((self.now_ms + delay_ms, worker, orders, sent_ms))
            life = (worker.name, worker.born_wall_ms)
            self._awaited_until_ms[life] = self.now_ms + delay_ms + 25
            worker.next_report_ms = self.now_ms + delay_ms + 200
            return
        super().apply_orders(worker, orders, sent_ms)

    def start_run(self, worker, order):
        """Starts a run, unless the worker has no room for it."""
        step = self.specs[order.task.job].steps[order.task.step]
        if step.allows_copies and order.task in self.acknowledged_tasks:
            # The order was given before, and came late.
            return
        last_run = worker.last_runs.get(order.task, 0)
        if order.task not in worker.running and order.run > last_run:
            used = step.reserved
            for ref in worker.running:
                used += self.specs[ref.job].steps[ref.step].reserved
            if not used.fits_in(worker.capacity):
                self.refused += 1
                worker.refuse_run(order)
                return
        super().start_run(worker, order)


@dataclasses.dataclass
class Plan:
    """What a random run does beyond one of large services."""

    loss_rate: float
    cut_per_s: float
    shrink_per_s: float
    leaders_per_s: float
    closing_wave: int

    @classmethod
    def draw(cls, source):
        """Draws a random plan."""
        return cls(
            loss_rate=source.choice([0.02, 0.1, 0.3]),
            cut_per_s=source.choice([0, 0.5, 1.5]),
            shrink_per_s=source.choice([0, 0.5, 2]),
            leaders_per_s=source.choice([0, 0.1, 0.4]),
            closing_wave=source.choice([0, 6, 40]),
        )


class _Run(jobs_scale_runs.Run):
    """One random run."""

    def __init__(self, seed, changes, turning):
        super().__init__(seed, changes, TurningSimulation)
        self.turning = Plan.draw(random.Random(seed + 1))
        for name, value in turning.items():
            setattr(self.turning, name, value)
        self.simulation.loss_rate = self.turning.loss_rate
        self.is_disturbed = False
        self._phases = {}
        self._cut = []

    def _get_factor(self, pool):
        now_ms = self.simulation.now_ms
        until_ms, factor = self._phases.get(pool, (0, _BUSY_FACTOR))
        if now_ms >= until_ms:
            factor = _QUIET_FACTOR if factor == _BUSY_FACTOR else _BUSY_FACTOR
            span_ms = self.source.randrange(1_500, 6_000)
            if factor == _QUIET_FACTOR:
                span_ms *= 2
            self._phases[pool] = (now_ms + span_ms, factor)
        return factor

    def advance(self, ms, has_traffic):
        """Runs the simulation; each service's demand turns."""
        for _ in range(ms // jobs_scale.CHECK_MS):
            if has_traffic:
                for pool in jobs_scale.SERVICES:
                    rate = (
                        self.plan.arrivals_per_s
                        * self._get_factor(pool)
                        * jobs_scale.CHECK_MS
                        / 1_000
                        / len(jobs_scale.SERVICES)
                    )
                    for _ in range(int(rate + self.source.random())):
                        self.submit(
                            pool, jobs_scale_runs.make_spec(self.source)
                        )
            self._disturb()
            self.simulation.advance(jobs_scale.CHECK_MS)

    def _disturb(self):
        simulation, source, turning = self.simulation, self.source, self.turning
        self._return_cut()
        share = jobs_scale.CHECK_MS / 1_000
        if source.random() < turning.shrink_per_s * share:
            worker = source.choice(list(simulation.workers.values()))
            factor = source.choice([0.3, 0.6, 0.9, 1, 1])
            worker.capacity = specs.Resources(
                int(64_000 * factor), int(262_144 * factor), 0
            )
        if not self.is_disturbed:
            return
        simulation.watch.note_disturbance()
        if source.random() < turning.leaders_per_s * share:
            self.start_leader(source.choice(self.plan.ahead_ms))
        if source.random() < turning.cut_per_s * share:
            chosen = source.choice([0.03, 0.03, 0.2, 0.6])
            for worker in simulation.workers.values():
                if source.random() < chosen and not worker.is_cut_off:
                    worker.is_cut_off = True
                    span_ms = source.choice([1_500, 3_500, 4_300, 5_500, 9_000])
                    span_ms += source.randrange(-500, 500)
                    self._cut.append((simulation.now_ms + span_ms, worker))

    def _return_cut(self):
        simulation = self.simulation
        cut, self._cut = self._cut, []
        for until_ms, worker in cut:
            if simulation.now_ms < until_ms:
                self._cut.append((until_ms, worker))
                continue
            worker.is_cut_off = False
            if simulation.workers.get(worker.name) is not worker:
                continue
            if self.source.random() < 0.3 and worker.is_up:
                simulation.replace_worker(worker, self.source.random() < 0.5)
                simulation.renames = self.plan.renames

    def start_closing_wave(self):
        """Starts a wave of many upkeeps at once, if one is drawn."""
        if self.turning.closing_wave:
            simulation = self.simulation
            names = tuple(
                worker.instance
                for worker in simulation.workers.values()
                if worker.service != jobs_pools.SPARE
            )
            simulation.call(
                calls.StartWave(2, names, 60_000, self.turning.closing_wave)
            )

    def end_disturbance(self):
        """Reconnects all workers; from here on only demand turns."""
        self._cut = [(0, worker) for _, worker in self._cut]
        self._return_cut()
        self.is_disturbed = False
        self.simulation.has_losses = False
        self.simulation.watch.restart()


def simulate(seed, changes=None, turning=None, standing_count=24):
    """Runs a random day with turning demand and a closing fault.

    Args:
        seed: Seed of the run.
        changes: Values of the plan of large services that are not random.
        turning: Values of the further plan that are not random.
        standing_count: Number of tasks of each standing job.

    Returns:
        The run, whose simulation has the violations.
    """
    run = _Run(seed, changes or {}, turning or {})
    plan, simulation, source = run.plan, run.simulation, run.source
    simulation.renames = plan.renames
    simulation.down_ms = plan.down_ms
    simulation.advance(1_000)
    for pool in jobs_scale.SERVICES * plan.standing_jobs:
        run.submit(
            pool,
            jobs_scale_runs.make_standing(
                source, plan.most_memory_mb, standing_count
            ),
        )
    simulation.advance(2_000)
    simulation.has_watch = True
    simulation.failure_rate = plan.failure_rate
    simulation.has_losses = True
    run.is_disturbed = True
    run.advance(_DAY_MS, True)
    for worker in simulation.workers.values():
        worker.stalls_runs = source.random() < plan.stalled_share
        worker.fails_runs = source.random() < plan.grey_share
    run.start_closing_wave()
    run.close()
    run.end_disturbance()
    simulation.watch.note_disturbance()
    simulation.lost_order_rate = 0
    if plan.provider_silent_ms < 60_000:
        simulation.is_provider_silent = False
    run.advance(_END_MS, True)
    return run


def simulate_small(seed):
    """Runs a random day of services with one or two workers to spare.

    A wave takes most of them, or all, for upkeep at the closing fault, after
    which some workers are gone for good and the provider may be silent.
    """
    source = random.Random(seed)
    changes = {
        "members": _SMALL_COUNT + source.choice([1, 2]),
        "spare": 0,
        "arrivals_per_s": source.choice([0.2, 1]),
        "standing_jobs": 2,
        "deadly_share": 0,
        "cap_share": 0,
        "grey_share": 0,
        "most_memory_mb": 60_000,
        "stalled_share": source.choice([0, 0.5]),
        "has_wave": False,
        "back_shares": source.choice(
            [(0.6, 0.2, 0.2), (0.8, 0, 0.2), (0.4, 0.4, 0.2)]
        ),
        "cut_share": source.choice([0.3, 0.6]),
        "provider_silent_ms": source.choice([0, 0, 6_000, 60_000]),
    }
    turning = {
        "closing_wave": source.choice([4, 20]),
        "shrink_per_s": 0,
        "cut_per_s": 0,
        "leaders_per_s": 0,
        "loss_rate": 0.02,
    }
    return simulate(seed, changes, turning, _SMALL_COUNT)
