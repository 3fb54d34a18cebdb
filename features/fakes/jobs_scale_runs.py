"""Random runs of large services in which the leader and leases are lost.

The services run standing jobs of 24 tasks, of which each worker runs one at
most, beside jobs of short steps. At the end the leader is lost together with
the leases of many workers or of all.
"""

import dataclasses
import random

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_pools
from features.fakes import jobs_scale

_STANDING_COUNT = 24
_MAX_MISSING = 2
# Length of the day before the closing fault, and from it to the end.
_DAY_MS = 14_000
_TRAFFIC_MS = 8_000
_END_MS = 24_000
_MAX_SKEW_MS = 6_000


@dataclasses.dataclass
class Plan:
    """What a random run does."""

    members: int
    spare: int
    arrivals_per_s: float
    deadly_share: float
    has_wave: bool
    cap_share: float
    failure_rate: float
    stalled_share: float
    grey_share: float
    standing_jobs: int
    most_memory_mb: int
    provider_silent_ms: int
    lost_orders: float
    ahead_ms: tuple
    second_leader_ms: int
    cut_share: float
    cut_ms: int
    down_ms: int
    renames: bool
    back_shares: tuple

    @classmethod
    def draw(cls, source):
        """Draws a random plan."""
        skews = [
            0,
            0,
            -_MAX_SKEW_MS,
            _MAX_SKEW_MS,
            source.randrange(-6000, 6000),
        ]
        return cls(
            members=source.choice([26, 32, 40, 44]),
            spare=source.choice([6, 20]),
            arrivals_per_s=source.choice([1, 2, 4, 8]),
            deadly_share=source.choice([0, 0, 0.05, 0.3]),
            has_wave=source.random() < 0.5,
            cap_share=source.choice([0, 0, 1.05, 1.3]),
            failure_rate=source.choice([0, 0, 0.02, 0.2]),
            stalled_share=source.choice([0, 0, 0.1, 0.5]),
            grey_share=source.choice([0, 0, 0.2, 0.6]),
            standing_jobs=source.choice([1, 2]),
            most_memory_mb=source.choice([60_000, 100_000, 150_000]),
            provider_silent_ms=source.choice([0, 0, 6_000, 60_000]),
            lost_orders=source.choice([0, 0.05, 0.3]),
            ahead_ms=(source.choice(skews), source.choice(skews)),
            second_leader_ms=source.choice([0, 1_000]),
            cut_share=source.choice([0.3, 0.8, 1.0]),
            cut_ms=source.randrange(1_000, 7_000),
            down_ms=source.choice([1_100, 3_300, 6_000]),
            renames=source.random() < 0.5,
            back_shares=source.choice(
                [(1, 0, 0), (0.5, 0.5, 0), (0.4, 0.4, 0.2), (0, 0.9, 0.1)]
            ),
        )


def make_standing(source, most_memory_mb, count=_STANDING_COUNT):
    """Builds a standing job as large sites have them."""
    step = specs.StepSpec(
        count=count,
        needs=specs.Resources(
            source.randrange(5_000, 10_000),
            source.randrange(8_000, most_memory_mb),
            0,
        ),
        estimate_ms=500,
        max_per_instance=1,
        is_standing=True,
        max_missing=_MAX_MISSING,
        checkpoints=True,
    )
    return specs.JobSpec("body", (step,))


def make_spec(source):
    """Builds a job of one to three wide steps of short tasks."""
    steps = []
    for i in range(source.choice([1, 1, 2, 3])):
        kind = source.random()
        count = source.randrange(2, 17)
        steps.append(
            specs.StepSpec(
                count=count,
                needs=specs.Resources(
                    source.randrange(3_000, 16_000),
                    source.randrange(3_000, 30_000),
                    0,
                ),
                estimate_ms=source.choice([800, 2_100]),
                after=(i - 1,) if i else (),
                max_per_instance=1 if kind > 0.9 else 0,
                is_gang=kind < 0.15,
                allows_copies=0.15 < kind < 0.3,
                checkpoints=source.random() < 0.5,
            )
        )
    return specs.JobSpec("body", tuple(steps))


class Run:
    """One random run."""

    def __init__(self, seed, changes, create=jobs_scale.ScaleSimulation):
        self.plan = Plan.draw(random.Random(seed))
        plan = self.plan
        for name, value in changes.items():
            setattr(plan, name, value)
        caps = {}
        if plan.cap_share:
            # Standing jobs of a team need about 24 x 7.5 cores each.
            milli = int(plan.cap_share * 2 * 7_500 * _STANDING_COUNT * 2)
            caps = {
                team: specs.Resources(milli, 0, 0) for team in jobs_scale.TEAMS
            }
        self.simulation = create(seed, plan.members, plan.spare, caps)
        self.source = self.simulation.random
        self.number = 0

    def submit(self, pool, spec):
        simulation = self.simulation
        job = f"{self.number:016x}"
        team = jobs_scale.TEAMS[self.number % len(jobs_scale.TEAMS)]
        self.number += 1
        answer = simulation.submit_as(team, pool, job, spec)
        if not isinstance(answer, calls.Done):
            return
        if self.source.random() < self.plan.deadly_share:
            number = self.source.randrange(len(spec.steps))
            if not spec.steps[number].is_standing:
                index = self.source.randrange(spec.steps[number].count)
                ref = specs.TaskRef(job, 0, number, index)
                simulation.deadly.add(ref)

    def advance(self, ms, has_traffic):
        """Runs the simulation, with or without new jobs."""
        for _ in range(ms // jobs_scale.CHECK_MS):
            rate = self.plan.arrivals_per_s * jobs_scale.CHECK_MS / 1_000
            if has_traffic:
                for _ in range(int(rate + self.source.random())):
                    self.submit(
                        self.source.choice(jobs_scale.SERVICES),
                        make_spec(self.source),
                    )
            self.simulation.advance(jobs_scale.CHECK_MS)

    def start_leader(self, ahead_ms):
        self.simulation.wall_ahead_ms = ahead_ms
        self.simulation.start_leader()
        self.simulation.watch.note_disturbance()

    def start_wave(self):
        simulation = self.simulation
        names = [
            worker.instance
            for worker in simulation.workers.values()
            if worker.service != jobs_pools.SPARE
        ]
        simulation.call(calls.StartWave(1, tuple(names), 10_000, 6))

    def close(self):
        """Loses the leader and the leases of many workers."""
        plan, simulation = self.plan, self.simulation
        if plan.provider_silent_ms:
            simulation.is_provider_silent = True
        cut = [
            worker
            for worker in simulation.workers.values()
            if self.source.random() < plan.cut_share
        ]
        for worker in cut:
            worker.is_cut_off = True
        simulation.lost_order_rate = plan.lost_orders
        self.start_leader(plan.ahead_ms[0])
        if plan.second_leader_ms:
            self.advance(plan.second_leader_ms, True)
            self.start_leader(plan.ahead_ms[1])
        self.advance(max(0, plan.cut_ms - plan.second_leader_ms), True)
        for worker in cut:
            if simulation.workers.get(worker.name) is not worker:
                continue
            chance = self.source.random()
            same, new, _ = plan.back_shares
            worker.is_cut_off = False
            if chance >= same + new:
                simulation.crash(worker)
                simulation.crash_at_ms.pop(worker.name, None)
            elif chance >= same:
                simulation.replace_worker(worker, self.source.random() < 0.5)
        simulation.renames = plan.renames


def simulate(seed, changes=None):
    """Runs a random day with a closing fault.

    Args:
        seed: Seed of the run.
        changes: Values of the plan that are not random.

    Returns:
        The run, whose simulation has the violations.
    """
    run = Run(seed, changes or {})
    plan, simulation, source = run.plan, run.simulation, run.source
    simulation.renames = plan.renames
    simulation.down_ms = plan.down_ms
    simulation.advance(1_000)
    for pool in jobs_scale.SERVICES * plan.standing_jobs:
        run.submit(pool, make_standing(source, plan.most_memory_mb))
    simulation.advance(2_000)
    simulation.has_watch = True
    simulation.failure_rate = plan.failure_rate
    run.advance(_DAY_MS - 6_000, True)
    if plan.has_wave:
        run.start_wave()
    run.advance(6_000, True)
    for worker in simulation.workers.values():
        worker.stalls_runs = source.random() < plan.stalled_share
        worker.fails_runs = source.random() < plan.grey_share
    run.close()
    simulation.watch.note_disturbance()
    run.advance(_TRAFFIC_MS, True)
    simulation.lost_order_rate = 0
    if plan.provider_silent_ms < 60_000:
        simulation.is_provider_silent = False
    run.advance(_END_MS, False)
    return run
