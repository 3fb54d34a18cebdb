"""Estimates what isolation can serve at best in a storm of deadly jobs.

Workers are servers of a queue. A job that has not proven itself has a worker of
its own; a deadly one takes its worker away, as often as it must to be given up.
Later steps of proven jobs share workers without loss.
"""

import dataclasses
import heapq
import random

from bambookeel.jobs import objectives
from features.fakes import jobs_storm

# From the end of a run to the start of the next one, by a report.
_GAP_S = 0.2
_START_S = 0.15
_CRASH_S = 0.1
_AWAY_S = 3.3
_CRASHES = 2
# Run times of the simulation.
_RUN_S = (0.2, 2.0)
_OBJECTIVE_MS = 3_600.0
_STRETCH = 1.6


@dataclasses.dataclass
class Bound:
    """What isolation serves.

    Attributes:
        sound: Sound jobs that arrive.
        served: Those that end within three times their objective.
        in_time: Those that end within their objective.
        crashes: Crashes of workers.
    """

    sound: int = 0
    served: int = 0
    in_time: int = 0
    crashes: int = 0


def measure_alone_s(source, step):
    """Draws how long a step takes that has a worker of its own."""
    slots = step.needs.count_in(jobs_storm.CAPACITY, step.count)
    ends_s = [0.0] * slots
    for number in range(step.count):
        begun_s = heapq.heappop(ends_s) + (_GAP_S if number >= slots else 0.0)
        heapq.heappush(ends_s, begun_s + source.uniform(*_RUN_S))
    return max(ends_s) + _GAP_S


def measure_packed_s(step):
    """Returns the worker time of a step that shares its workers."""
    capacity = jobs_storm.CAPACITY.cpu_milli
    return step.count * step.needs.cpu_milli / capacity * sum(_RUN_S) / 2


@dataclasses.dataclass(order=True)
class _Job:
    """A job by the time at which it is ready to run."""

    ready_s: float
    number: int
    arrival: jobs_storm.Arrival = dataclasses.field(compare=False)
    crashes: int = 0

    @property
    def objective_s(self):
        """Time from its arrival within which it should end."""
        chain_ms = objectives.compute_critical_path_ms(self.arrival.spec)
        return (_STRETCH * chain_ms + _OBJECTIVE_MS) / 1_000


def compute_bound(seed, workers, deadly_share, load=3.0, proof_s=None):
    """Runs the queue.

    Args:
        seed: Seed of the arrivals.
        workers: Number of workers.
        deadly_share: Share of the deadly jobs.
        load: Arriving work as a multiple of what the workers hold.
        proof_s: Time at work after which others may join the first step of a
            job; None if only its end proves the job.

    Returns:
        The bound.
    """
    source = random.Random(seed)
    free_s = [0.0] * workers
    arrivals = jobs_storm.draw_arrivals(seed, workers, deadly_share, load)
    jobs = [_Job(a.at_ms / 1_000, i, a) for i, a in enumerate(arrivals)]
    bound = Bound(sound=sum(a.deadly_task is None for a in arrivals))
    while jobs:
        job = heapq.heappop(jobs)
        begun_s = max(heapq.heappop(free_s), job.ready_s)
        first, *later = job.arrival.spec.steps
        alone_s = measure_alone_s(source, first)
        ended_s = begun_s + _START_S + alone_s
        ended_s += sum(_START_S + measure_alone_s(source, s) for s in later)
        took_s = ended_s - job.arrival.at_ms / 1_000
        is_late = took_s > objectives.USEFUL_FACTOR * job.objective_s
        if is_late and not job.crashes:
            heapq.heappush(free_s, begun_s)
            continue
        if job.arrival.deadly_task is not None:
            bound.crashes += 1
            job.crashes += 1
            job.ready_s = begun_s + _START_S + _CRASH_S + _AWAY_S
            heapq.heappush(free_s, job.ready_s)
            if job.crashes < _CRASHES:
                heapq.heappush(jobs, job)
            continue
        if proof_s is not None:
            packed_s = measure_packed_s(first)
            alone_s = packed_s + proof_s * max(0.0, 1 - packed_s / alone_s)
        alone_s += sum(map(measure_packed_s, later))
        heapq.heappush(free_s, begun_s + _START_S + alone_s)
        bound.served += 1
        bound.in_time += took_s <= job.objective_s
    return bound
