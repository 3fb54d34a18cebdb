"""Replays callers who compete for too little capacity.

Each load pattern names the pools, the teams and the arrivals. Callers that are
refused try again up to four times within 3 s of their first try. Jobs run as
long as they declare. `python -m features.fakes.jobs_competition [PATTERN ...]`
prints the sums of several seeds for each pattern.
"""

import collections
import dataclasses
import math
import random
import sys

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import objectives
from bambookeel.jobs import specs
from features.fakes import jobs_competition_loads as loads
from features.fakes import jobs_pools
from features.fakes import jobs_scale
from features.fakes import jobs_simulation

_CAPACITY = specs.Resources(loads.CORES * 1_000, 131_072, 0)
# Retries of a refused caller, and the time after its first try in which they
# are.
_MAX_RETRIES = 4
_RETRY_SPAN_MS = 3_000
# Time before the first arrival, in which the leader hears all workers.
_SETTLE_MS = 4_000
# Time after the last arrival; late jobs are of use for about 25 s.
_DRAIN_MS = 26_000
_SEEDS = range(1, 13)


class CompetitionSimulation(jobs_scale.ScaleSimulation):
    """Simulation of one load pattern."""

    def __init__(self, seed, pattern):
        self.pattern = pattern
        super().__init__(seed, 0, 0)
        for pool, count in {
            **pattern.members,
            jobs_pools.SPARE: pattern.spare,
        }.items():
            for i in range(count):
                name = f"{pool}w{i}"
                self.add_worker(name, pool, labels=("a", f"{pool}r{i // 8}"))
                self.workers[name].instance = f"m-{name}"
                self.workers[name].capacity = _CAPACITY
        self.put_document(self.build_document(4))
        self.start_leader()

    def build_document(self, version=1, max_attempts=3):
        """Builds a configuration with the pattern's queues and teams."""
        document = super().build_document(version, max_attempts)
        queue = document.queues[0]
        return msgspec.structs.replace(
            document,
            queues=tuple(
                msgspec.structs.replace(
                    queue,
                    name=name,
                    path_prefix=f"/{name}/",
                    service=service,
                    priority=priority,
                )
                for name, (service, priority) in self.pattern.queues.items()
            ),
            teams=tuple(
                configuration.Team(team, (f"key-{team}",), weight)
                for team, weight in self.pattern.weights.items()
            ),
        )

    def send_report(self, worker):
        """Sends a report; instances of the spare pool are off."""
        if worker.service == jobs_pools.SPARE:
            worker.next_report_ms += jobs_simulation.RESPONSE_TIMEOUT_MS
            return
        super().send_report(worker)

    def start_run(self, worker, order):
        """Starts a run, which takes as long as declared."""
        step = self.specs[order.task.job].steps[order.task.step]
        self.run_duration_ms = step.estimate_ms or 1
        super().start_run(worker, order)


@dataclasses.dataclass
class Caller:
    """One caller and what became of its job."""

    job: str
    stream: loads.Stream
    kind: str
    first_ms: int
    next_ms: int
    tries: int = 0
    refusals: int = 0
    is_admitted: bool = False
    outcome: str = "refused"


def _draw_callers(pattern, source):
    callers = []
    for stream in pattern.streams:
        kinds = list(stream.mix)
        weights = [stream.mix[kind] for kind in kinds]
        mean = sum(
            loads.measure_core_s(kind) * weight
            for kind, weight in zip(kinds, weights)
        )
        rate = stream.cores / mean / 1_000
        at_ms = float(stream.begin_ms)
        while rate:
            at_ms += source.expovariate(rate)
            if at_ms >= stream.end_ms:
                break
            kind = source.choices(kinds, weights)[0]
            job = f"{source.getrandbits(64):016x}"
            callers.append(Caller(job, stream, kind, int(at_ms), int(at_ms)))
    return callers


class Run:
    """Replays one pattern with one seed."""

    def __init__(self, pattern, seed):
        self.simulation = CompetitionSimulation(seed, pattern)
        self.callers = _draw_callers(pattern, random.Random(seed))
        self._pattern = pattern

    def _submit(self, caller, elapsed_ms):
        simulation, stream = self.simulation, caller.stream
        spec = loads.KINDS[caller.kind]
        simulation.specs[caller.job] = spec
        answer = simulation.call(
            calls.SubmitJob(
                jobs_simulation.HOST,
                f"/{stream.queue}/{caller.job}",
                f"key-{stream.team}",
                caller.job,
                spec,
            )
        )
        if isinstance(answer, calls.Done):
            caller.is_admitted = True
            return
        caller.refusals += 1
        caller.tries += 1
        # Retry-After is sent in whole seconds.
        delay_ms = math.ceil(answer.retry_after_ms / 1_000) * 1_000
        last_ms = caller.first_ms + _RETRY_SPAN_MS
        if caller.tries > _MAX_RETRIES or elapsed_ms >= last_ms:
            caller.next_ms = None
            return
        caller.next_ms = min(elapsed_ms + delay_ms, last_ms)

    def replay(self):
        """Replays the pattern and returns the callers."""
        simulation = self.simulation
        simulation.advance(_SETTLE_MS)
        begin_ms = simulation.now_ms
        end_ms = max(stream.end_ms for stream in self._pattern.streams)
        has_changed = self._pattern.leader_at_ms is None
        while simulation.now_ms < begin_ms + end_ms + _DRAIN_MS:
            elapsed_ms = simulation.now_ms - begin_ms
            if not has_changed and elapsed_ms >= self._pattern.leader_at_ms:
                has_changed = True
                simulation.start_leader()
            for caller in self.callers:
                if caller.is_admitted or caller.next_ms is None:
                    continue
                if caller.next_ms <= elapsed_ms:
                    self._submit(caller, elapsed_ms)
            simulation.advance(jobs_simulation.STEP_MS)
        for caller in self.callers:
            if caller.is_admitted:
                caller.outcome = self._judge(caller, begin_ms)
        return self.callers

    def _judge(self, caller, begin_ms):
        """Tells whether a job ended in time, since its first try."""
        simulation = self.simulation
        job = simulation.scheduler.book.jobs[caller.job]
        queue = simulation.scheduler.book.find_queue(job.queue)
        objective_ms = objectives.compute_objective_ms(queue, job.spec)
        submitted_wall_ms = (
            jobs_simulation.WALL_START_MS + begin_ms + caller.first_ms
        )
        if job.state is not specs.JobState.COMPLETED:
            return "useless"
        took_ms = job.ended_wall_ms - submitted_wall_ms
        if took_ms <= objective_ms:
            return "in_time"
        if took_ms <= objectives.USEFUL_FACTOR * objective_ms:
            return "late"
        return "useless"


def weigh(kind, mean):
    """Weighs a job: by its work, within bounds."""
    return min(4.0, max(1 / 3, loads.measure_core_s(kind) / mean))


def measure_worth(callers):
    """Measures the share of the worth that was served; late counts half."""
    mean = sum(loads.measure_core_s(c.kind) for c in callers) / len(callers)
    gain = {"in_time": 1.0, "late": 0.5}
    total = sum(weigh(c.kind, mean) for c in callers)
    got = sum(weigh(c.kind, mean) * gain.get(c.outcome, 0.0) for c in callers)
    return got / total


def count_outcomes(callers, key):
    """Counts the outcomes by a property of the callers."""
    counts = collections.defaultdict(collections.Counter)
    for caller in callers:
        counts[key(caller)][caller.outcome] += 1
    return counts


def replay(name, seed):
    """Replays a pattern and returns its callers."""
    return Run(loads.PATTERNS[name], seed).replay()


def _print_counts(title, callers, key):
    for value, counts in sorted(count_outcomes(callers, key).items()):
        total = sum(counts.values())
        shares = " ".join(
            f"{outcome}={counts[outcome] / total:.2f}"
            for outcome in ("in_time", "late", "useless", "refused")
        )
        print(f"  {title}={value} jobs={total} {shares}")


def main():
    """Prints who is served in the named patterns, or in all."""
    for name in sys.argv[1:] or loads.PATTERNS:
        runs = [replay(name, seed) for seed in _SEEDS]
        worth = [measure_worth(callers) for callers in runs]
        callers = [caller for run in runs for caller in run]
        tries = sum(caller.refusals for caller in callers)
        print(
            f"pattern={name} worth={sum(worth) / len(worth):.3f}"
            f" least={min(worth):.3f} most={max(worth):.3f} refusals={tries}"
        )
        _print_counts("team", callers, lambda caller: "all")
        _print_counts("team", callers, lambda caller: caller.stream.team)
        _print_counts("queue", callers, lambda caller: caller.stream.queue)
        _print_counts("kind", callers, lambda caller: caller.kind)
        sys.stdout.flush()


if __name__ == "__main__":
    main()
