"""Objectives of jobs, i.e. when they should be complete, and their work.

A job's objective follows from its critical path, the longest chain of dependent
steps. Declared run times may be far from the real ones; they are corrected by
the run times of earlier tasks of the same queue.
"""

import collections
import math

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book_records
from bambookeel.jobs import specs

# Weight of a new observation in the moving average of the ratio of real to
# declared run time.
_LEARNING_RATE = 0.1
# Bounds of that ratio; a few exceptional runs must not disable admission
# control.
_MIN_FACTOR = 0.3
_MAX_FACTOR = 4.0
# A job is of use to its caller until this multiple of its objective.
USEFUL_FACTOR = 3.0


class RunTimes:
    """Ratio of real to declared run times, by queue."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def observe(self, queue: str, declared_ms: int, real_ms: int) -> None:
        """Adds the run time of a successful run.

        Args:
            queue: Name of the run's queue.
            declared_ms: Declared run time in milliseconds.
            real_ms: Real run time in milliseconds.
        """
        if declared_ms <= 0:
            return
        observed = real_ms / declared_ms
        known = self._factors.get(queue, 1.0)
        mixed = known + _LEARNING_RATE * (observed - known)
        self._factors[queue] = min(_MAX_FACTOR, max(_MIN_FACTOR, mixed))

    def estimate_ms(self, queue: str, step: specs.StepSpec) -> float:
        """Estimates the run time of a step's tasks.

        Args:
            queue: Name of the step's queue.
            step: Specification of the step.

        Returns:
            Run time of one task in milliseconds.
        """
        return step.estimate_ms * self.get_factor(queue)

    def get_factor(self, queue: str) -> float:
        """Returns the ratio of real to declared run times.

        Args:
            queue: Name of the queue.

        Returns:
            The ratio; 1 before the first run of the queue has ended.
        """
        return self._factors.get(queue, 1.0)


class ArrivalRate:
    """Rate at which work arrives.

    An exponentially decaying average reacts late when demand rises. The average
    over a short window reacts sooner; it is used only when the window holds
    several arrivals, so that a few large ones do not count as a rise.
    """

    # Time constant of the decay; demand changes within a second or two.
    _DECAY_MS = 1_200
    # Length of the short window, and the number of arrivals in it from which
    # its average is used; when demand is lowest, that many arrive by chance
    # less than once in an hour.
    _WINDOW_MS = 500
    _WINDOW_COUNT = 5

    def __init__(self) -> None:
        self._rate = 0.0
        self._at_ms = 0
        self._recent: collections.deque[tuple[int, float]] = collections.deque()

    def add(self, work: float, now_ms: int) -> None:
        """Adds arriving work.

        Args:
            work: Work in thousandths of a core times milliseconds.
            now_ms: Steady-clock time in milliseconds.
        """
        self._rate = self._compute_decayed(now_ms) + work / self._DECAY_MS
        self._at_ms = now_ms
        self._recent.append((now_ms, work))
        self._drop_old(now_ms)

    def _drop_old(self, now_ms: int) -> None:
        while self._recent and now_ms - self._recent[0][0] > self._WINDOW_MS:
            self._recent.popleft()

    def _compute_decayed(self, now_ms: int) -> float:
        decay = math.exp(-(now_ms - self._at_ms) / self._DECAY_MS)
        return self._rate * decay

    def read(self, now_ms: int) -> float:
        """Returns the current rate.

        Args:
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Processor time that the arriving work needs, in thousandths of a
            core.
        """
        self._drop_old(now_ms)
        rate = self._compute_decayed(now_ms)
        if len(self._recent) < self._WINDOW_COUNT:
            return rate
        recent = sum(work for _, work in self._recent) / self._WINDOW_MS
        return max(rate, recent)


def compute_critical_path_ms(spec: specs.JobSpec) -> float:
    """Computes the declared run time of the longest chain of dependent steps.

    Args:
        spec: Specification of the job.

    Returns:
        Run time of the chain in milliseconds.
    """
    ends: list[float] = []
    for step in spec.steps:
        begins = max((ends[i] for i in step.after), default=0.0)
        ends.append(begins + step.estimate_ms)
    return max(ends, default=0.0)


def compute_chains_ms(spec: specs.JobSpec) -> tuple[float, ...]:
    """Computes the longest chain of dependent steps that begins with each step.

    Args:
        spec: Specification of the job.

    Returns:
        Declared run time of the chain in milliseconds, by number of the step.
    """
    chains: list[float] = [float(step.estimate_ms) for step in spec.steps]
    for number in reversed(range(len(spec.steps))):
        for earlier in spec.steps[number].after:
            begun_ms = spec.steps[earlier].estimate_ms + chains[number]
            chains[earlier] = max(chains[earlier], begun_ms)
    return tuple(chains)


def compute_objective_ms(
    queue: configuration.Queue | None, spec: specs.JobSpec
) -> float:
    """Computes how long a job may take.

    Args:
        queue: Queue of the job; None if it was never configured.
        spec: Specification of the job.

    Returns:
        Time in milliseconds from the job's admission or its due time.
    """
    critical_path_ms = compute_critical_path_ms(spec)
    if queue is None:
        return critical_path_ms
    return critical_path_ms * queue.stretch + queue.objective_ms


def measure_ready(
    job: book_records.Job, run_times: RunTimes
) -> tuple[float, int]:
    """Sums the work of a job's tasks that run or are ready to run.

    Args:
        job: The job.
        run_times: Observed run times, which correct the declared ones.

    Returns:
        Remaining work in thousandths of a core times milliseconds, where a
        running task counts half, and the processor time of the tasks in
        thousandths of a core.
    """
    work = 0.0
    cpu_milli = 0
    for step in job.steps.values():
        if (
            step.spec.is_standing
            or step.spec.is_filler
            or step.unfinished_dependencies
        ):
            continue
        left = len(step.tasks) - step.done_count
        running = left - len(step.waiting)
        each_ms = run_times.estimate_ms(job.queue, step.spec)
        tasks = len(step.waiting) + running / 2
        work += tasks * each_ms * step.spec.needs.cpu_milli
        cpu_milli += left * step.spec.needs.cpu_milli
    return work, cpu_milli


def estimate_open_work(job: book_records.Job, run_times: RunTimes) -> float:
    """Estimates the remaining work of a job.

    Args:
        job: The job.
        run_times: Observed run times, which correct the declared ones.

    Returns:
        Work in thousandths of a core times milliseconds.
    """
    factor = run_times.get_factor(job.queue)
    total = 0.0
    for left, estimate_ms, cpu_milli in job.get_remaining_steps().tasks:
        total += left * (estimate_ms * factor) * cpu_milli
    return total
