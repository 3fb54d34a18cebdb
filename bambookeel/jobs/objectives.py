"""When a job should be complete, and how much work it is.

The length of a job is its longest chain of steps. Declared run times may be far
off, so that what earlier tasks of the same queue took corrects them.
"""

import collections
from collections.abc import Iterable
import math

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book_records
from bambookeel.jobs import specs

# Weight of a new observation in the average of real to declared run time.
_LEARNING_RATE = 0.1
# Bounds of the correction; a few odd runs must not turn admission off.
_MIN_FACTOR = 0.3
_MAX_FACTOR = 4.0
# A job is still of use to its caller up to this multiple of its objective.
LATE_FACTOR = 3.0


class RunTimes:
    """Real run times against the declared ones, by queue."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def observe(self, queue: str, declared_ms: int, real_ms: int) -> None:
        """Takes a run that ended well.

        Args:
            queue: Its queue.
            declared_ms: The declared run time.
            real_ms: The real one.
        """
        if declared_ms <= 0:
            return
        seen = real_ms / declared_ms
        known = self._factors.get(queue, 1.0)
        mixed = known + _LEARNING_RATE * (seen - known)
        self._factors[queue] = min(_MAX_FACTOR, max(_MIN_FACTOR, mixed))

    def estimate_ms(self, queue: str, step: specs.StepSpec) -> float:
        """Estimates how long a task of a step runs.

        Args:
            queue: Its queue.
            step: The step.

        Returns:
            Milliseconds.
        """
        return step.estimate_ms * self._factors.get(queue, 1.0)


class ArrivalRate:
    """How much work arrives in a time.

    An average that fades lags behind the beginning of a turn of demand. Several
    arrivals within a short time tell of it earlier; a few large ones do not.
    """

    # Time in which a past arrival fades; demand turns within a second or two.
    _FADE_MS = 1_200
    # A short time and the arrivals in it that make its own average count; at
    # the low point of demand so many come by chance less than once in an hour.
    _RECENT_MS = 500
    _RECENT_COUNT = 5

    def __init__(self) -> None:
        self._rate = 0.0
        self._at_ms = 0
        self._recent: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, work: float, now_ms: int) -> None:
        """Adds arriving work.

        Args:
            work: Thousandths of a core times milliseconds.
            now_ms: The time.
        """
        self._rate = self._read_faded(now_ms) + work / self._FADE_MS
        self._at_ms = now_ms
        self._recent.append((now_ms, work))
        self._drop_old(now_ms)

    def _drop_old(self, now_ms: int) -> None:
        while self._recent and now_ms - self._recent[0][0] > self._RECENT_MS:
            self._recent.popleft()

    def _read_faded(self, now_ms: int) -> float:
        faded = math.exp(-(now_ms - self._at_ms) / self._FADE_MS)
        return self._rate * faded

    def read(self, now_ms: int) -> float:
        """Reads the rate.

        Args:
            now_ms: The time.

        Returns:
            Thousandths of a core that the arriving work asks for.
        """
        self._drop_old(now_ms)
        rate = self._read_faded(now_ms)
        if len(self._recent) < self._RECENT_COUNT:
            return rate
        recent = sum(work for _, work in self._recent) / self._RECENT_MS
        return max(rate, recent)


def measure_chain_ms(spec: specs.JobSpec) -> float:
    """Measures the longest chain of declared run times.

    Args:
        spec: The job.

    Returns:
        Milliseconds.
    """
    ends: list[float] = []
    for step in spec.steps:
        begins = max((ends[i] for i in step.after), default=0.0)
        ends.append(begins + step.estimate_ms)
    return max(ends, default=0.0)


def compute_objective_ms(
    queue: configuration.Queue | None, spec: specs.JobSpec
) -> float:
    """Computes how long a job may take.

    Args:
        queue: Its queue; None once that is gone.
        spec: The job.

    Returns:
        Milliseconds from its admission.
    """
    chain_ms = measure_chain_ms(spec)
    if queue is None:
        return chain_ms
    return chain_ms * queue.stretch + queue.objective_ms


def measure_ready(job: book_records.Job, times: RunTimes) -> tuple[float, int]:
    """Counts a job's tasks that run or could run now.

    Args:
        job: The job.
        times: What is known of run times.

    Returns:
        Their work in thousandths of a core times milliseconds, where running
        tasks count half, and their processor time in thousandths of a core.
    """
    work = 0.0
    cpu_milli = 0
    for step in job.steps.values():
        if step.spec.is_standing or step.spec.is_filler or step.unfinished_dependencies:
            continue
        left = len(step.tasks) - step.done_count
        running = left - len(step.waiting)
        each_ms = times.estimate_ms(job.queue, step.spec)
        tasks = len(step.waiting) + running / 2
        work += tasks * each_ms * step.spec.needs.cpu_milli
        cpu_milli += left * step.spec.needs.cpu_milli
    return work, cpu_milli


def count_open_work(job: book_records.Job, times: RunTimes) -> float:
    """Estimates the processor time that a job still needs.

    Args:
        job: The job.
        times: What is known of run times.

    Returns:
        Thousandths of a core times milliseconds.
    """
    total = 0.0
    for step in job.steps.values():
        if step.spec.is_standing or step.spec.is_filler:
            continue
        left = len(step.tasks) - step.done_count
        each_ms = times.estimate_ms(job.queue, step.spec)
        total += left * each_ms * step.spec.needs.cpu_milli
    return total


def sum_open(
    jobs: Iterable[book_records.Job], times: RunTimes, counts_fillers: bool
) -> tuple[float, int]:
    """Sums what open jobs have to do, without those that are timed.

    Args:
        jobs: The jobs.
        times: What is known of run times.
        counts_fillers: Whether filling tasks count as standing ones.

    Returns:
        Their open work in thousandths of a core times milliseconds, and the
        processor time of their standing tasks.
    """
    open_work = 0.0
    standing_milli = 0
    for job in jobs:
        if job.spec.is_timed:
            continue
        open_work += count_open_work(job, times)
        for step in job.spec.steps:
            if step.is_standing and (counts_fillers or not step.is_filler):
                standing_milli += step.count * step.needs.cpu_milli
    return open_work, standing_milli
