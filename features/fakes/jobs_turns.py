"""Replays queues that take turns of demand, and measures what callers get.

In its turn a queue gets several times its mean of new jobs, and a small part of
it in between. The plan of a replay says when each turn begins and ends, so that
regular turns, irregular ones, turns that stop and load without turns are
replayed alike.
"""

import argparse
import dataclasses
import random

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import objectives
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from features.fakes import jobs_pools
from features.fakes import jobs_simulation

POOLS = ("s0", "s1", "s2", "s3")
_MEMBERS = 6
_SPARE = 36
CAPACITY = specs.Resources(32_000, 262_144, 0)
_STANDING = 4
# Arrivals of a queue in a second, within its turn and between turns.
_BUSY_PER_S = 6.0
_QUIET_PER_S = 0.04
_STEP_MS = jobs_simulation.STEP_MS
# Time from the start of a replay to its first turn.
_WARM_MS = 2_000


class TurnsSimulation(jobs_pools.PoolsSimulation):
    """Simulation of four pools whose leader may change."""

    pools = POOLS

    def __init__(self, seed, members=_MEMBERS, spare=_SPARE):
        self._replica = job_book.Book()
        self.moves = 0
        self.pool_ms = 0
        self.response_ms = 0
        self.open = {}
        self.ended = []
        super().__init__(seed, members, spare)
        for worker in self.workers.values():
            worker.capacity = CAPACITY

    def start_leader(self):
        """Starts a new leader from a snapshot of the committed commands."""
        self._answers = []
        self._list_due = None
        self.committed = book_snapshot.encode_book(self._replica)
        self.term += 1
        self.scheduler = job_scheduler.Scheduler(
            book_snapshot.decode_book(self.committed),
            self.settings,
            self.term,
            self.read_now(),
        )

    def commit(self):
        """Commits the batch to the replica."""
        self.events += self.scheduler.take_log_events()
        for command in self.scheduler.take_batch():
            self._replica.apply(command)
        return True

    def _carry_out(self, order):
        self.moves += isinstance(order, instances.Move)
        super()._carry_out(order)

    def step(self):
        """Runs one time step and counts the instances outside the spare."""
        super().step()
        members = sum(
            worker.service != jobs_pools.SPARE
            for worker in self.workers.values()
        )
        members += len(self._moving)
        self.pool_ms += members * _STEP_MS
        for job in list(self.open):
            record = self.scheduler.book.jobs.get(job)
            if record is not None and not record.is_open:
                self.ended.append(record.ended_wall_ms - self.open.pop(job))
                self.response_ms += (
                    record.ended_wall_ms - record.admitted_wall_ms
                )


def make_spec(source):
    """Builds a job of one or two steps of eight tasks."""
    steps = []
    for i in range(source.choice([1, 2])):
        needs = specs.Resources(source.randrange(3_000, 9_000), 2_000, 0)
        estimate_ms = source.randrange(700, 2_000)
        after = (i - 1,) if i else ()
        steps.append(specs.StepSpec(8, needs, estimate_ms, after))
    return specs.JobSpec("body", tuple(steps))


def make_standing():
    """Builds a job of standing tasks, each on an instance of its own."""
    step = specs.StepSpec(
        _STANDING,
        specs.Resources(1_000, 2_000, 0),
        after=(),
        max_per_instance=1,
        is_standing=True,
    )
    return specs.JobSpec("body", (step,))


def plan_turns(kind, source, total_ms):
    """Plans the turns of all queues.

    Args:
        kind: Kind of load: `regular`, `varied`, `irregular`, `stopping`,
            `overlapping` or `steady`.
        source: Source of random numbers.
        total_ms: Length of the replay in milliseconds.

    Returns:
        Queues' pools with begin and end of each turn; empty if there are none.
    """
    turns = []
    at_ms = _WARM_MS
    number = 0
    if kind == "steady":
        return turns
    if kind == "overlapping":
        for index, pool in enumerate(POOLS):
            at_ms = _WARM_MS + index * 4_000
            while at_ms < total_ms:
                turns.append((pool, at_ms, at_ms + 5_000))
                at_ms += 19_000 + index * 2_000
        return turns
    while at_ms < total_ms:
        pool = POOLS[number % len(POOLS)]
        length_ms = 5_000
        if kind == "varied":
            length_ms = source.randrange(4_000, 6_500)
        if kind == "irregular":
            pool = source.choice(POOLS)
            length_ms = source.randrange(2_000, 8_000)
            at_ms += source.randrange(0, 6_000)
        if kind == "stopping" and at_ms >= total_ms * 0.6:
            break
        turns.append((pool, at_ms, at_ms + length_ms))
        at_ms += length_ms
        number += 1
    return turns


@dataclasses.dataclass
class Result:
    """What callers got in a replay, and what the instances cost."""

    jobs: int = 0
    in_time: int = 0
    of_use: int = 0
    refused: int = 0
    response_s: float = 0.0
    instance_s: float = 0.0
    moves: int = 0

    def add(self, other):
        """Adds the result of another replay."""
        for field in dataclasses.fields(self):
            value = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, value)


class Replay:
    """One replay of a plan of turns."""

    def __init__(self, kind, seed, total_ms=120_000):
        self.source = random.Random(seed)
        self.kind = kind
        self.total_ms = total_ms
        self.turns = plan_turns(kind, self.source, total_ms)
        self.simulation = TurnsSimulation(seed)
        self.result = Result()
        self.begin_ms = self.simulation.now_ms
        self._number = 0
        for pool in POOLS:
            self._submit(pool, make_standing())
        # Tasks have the run times that their callers declared.
        simulation = self.simulation
        simulation.begin_run = simulation.start_run
        simulation.start_run = self._start_run

    def _start_run(self, worker, order):
        simulation = self.simulation
        task = order.task
        step = simulation.specs[task.job].steps[task.step]
        simulation.run_duration_ms = step.estimate_ms
        simulation.begin_run(worker, order)

    def _submit(self, pool, spec):
        job = f"{self._number:016x}"
        self._number += 1
        answer = self.simulation.submit_to(pool, job, spec)
        return job, isinstance(answer, calls.Done)

    def _get_rate(self, pool, at_ms):
        if self.kind == "steady":
            return _BUSY_PER_S / 4
        is_busy = any(
            begin_ms <= at_ms < end_ms
            for queue, begin_ms, end_ms in self.turns
            if queue == pool
        )
        return _BUSY_PER_S if is_busy else _QUIET_PER_S

    def advance(self, ms, has_traffic=True):
        """Runs the replay for some time."""
        simulation = self.simulation
        for _ in range(ms // _STEP_MS):
            at_ms = simulation.now_ms - self.begin_ms
            for pool in POOLS:
                rate = self._get_rate(pool, at_ms) * _STEP_MS / 1_000
                if has_traffic and self.source.random() < rate:
                    self._arrive(pool)
            simulation.advance(_STEP_MS)

    def _arrive(self, pool):
        spec = make_spec(self.source)
        job, is_admitted = self._submit(pool, spec)
        self.result.jobs += 1
        if not is_admitted:
            self.result.refused += 1
            return
        simulation = self.simulation
        queue = simulation.scheduler.book.find_queue(f"q-{pool}")
        assert isinstance(queue, configuration.Queue)
        due_ms = simulation.read_now().wall_ms
        due_ms += int(objectives.compute_objective_ms(queue, spec))
        simulation.open[job] = due_ms

    def run(self):
        """Runs the whole replay and returns its result."""
        self.advance(self.total_ms)
        simulation, result = self.simulation, self.result
        result.instance_s = simulation.pool_ms / 1_000
        result.moves = simulation.moves
        self.advance(15_000, False)
        result.response_s = simulation.response_ms / 1_000
        result.in_time = sum(late_ms <= 0 for late_ms in simulation.ended)
        result.of_use = sum(late_ms <= 12_000 for late_ms in simulation.ended)
        return result


KINDS = ("regular", "varied", "irregular", "stopping", "overlapping", "steady")


def main():
    """Prints the results of all kinds of load, summed over some seeds."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--kinds", nargs="*", default=KINDS)
    args = parser.parse_args()
    for kind in args.kinds:
        total = Result()
        for seed in range(args.seeds):
            total.add(Replay(kind, seed).run())
        print(f"{kind:<12} {total}", flush=True)


if __name__ == "__main__":
    main()
