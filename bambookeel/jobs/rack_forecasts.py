"""Forecasts when there is room for tasks in one rack, during one plan.

The forecast follows from the ends of the runs in the rack, and from the tasks
that the plan already lets wait for it, in the order of their rank. Nothing is
reserved: a forecast lasts no longer than its plan.
"""

import bisect
from collections.abc import Collection
import dataclasses
import math

from bambookeel.jobs import book_records
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# Time from the end of a run until the leader knows of it.
_END_KNOWN_MS = 100
# Remaining time of a run whose estimated end has passed.
_OVERDUE_MS = 100
# Percentage from which the run time so far says more than the estimate.
_MIN_PERCENT = 10
# Number of reports that a worker may have missed; the ends of its runs would
# not be known in time.
_MAX_MISSED_REPORTS = 2


@dataclasses.dataclass(slots=True)
class _WorkerForecast:
    """When a worker has room.

    Attributes:
        capacity: Its free capacity, which the plan changes.
        ends: Ends of its runs in milliseconds from now, with what they free.
        claimed: Resources of tasks that wait for it.
    """

    capacity: placing.FreeCapacity
    ends: list[tuple[float, specs.Resources]]
    claimed: specs.Resources = specs.Resources()

    def measure_free(self, at_ms: float) -> specs.Resources:
        """Measures what should be free at a time.

        Args:
            at_ms: Time in milliseconds from now.

        Returns:
            Free resources, which may be negative.
        """
        capacity = self.capacity
        cpu_milli = capacity.cpu_milli - self.claimed.cpu_milli
        memory_mb = capacity.memory_mb - self.claimed.memory_mb
        gpus = capacity.gpus - self.claimed.gpus
        for end_ms, freed in self.ends:
            if end_ms > at_ms:
                break
            cpu_milli += freed.cpu_milli
            memory_mb += freed.memory_mb
            gpus += freed.gpus
        return specs.Resources(cpu_milli, memory_mb, gpus)

    def find_room_ms(self, needs: specs.Resources, limit_ms: float) -> float:
        """Finds when a task should fit on the worker.

        Args:
            needs: Resources of the task.
            limit_ms: Time in milliseconds from now after which it is of no use.

        Returns:
            Time in milliseconds from now; infinite if it is after the limit.
        """
        capacity = self.capacity
        cpu_milli = (
            capacity.cpu_milli - self.claimed.cpu_milli - needs.cpu_milli
        )
        memory_mb = (
            capacity.memory_mb - self.claimed.memory_mb - needs.memory_mb
        )
        gpus = capacity.gpus - self.claimed.gpus - needs.gpus
        if cpu_milli >= 0 and memory_mb >= 0 and gpus >= 0:
            return 0.0
        for end_ms, freed in self.ends:
            if end_ms > limit_ms:
                break
            cpu_milli += freed.cpu_milli
            memory_mb += freed.memory_mb
            gpus += freed.gpus
            if cpu_milli >= 0 and memory_mb >= 0 and gpus >= 0:
                return end_ms
        return math.inf

    def claim(
        self, needs: specs.Resources, from_ms: float, run_ms: float
    ) -> None:
        """Notes that a task waits for the worker.

        Tasks after it count as behind it, also where they would fit before.

        Args:
            needs: Resources of the task.
            from_ms: When it should start, in milliseconds from now.
            run_ms: Its run time in milliseconds.
        """
        self.claimed += needs
        end_ms = from_ms + run_ms + _END_KNOWN_MS
        bisect.insort(self.ends, (end_ms, needs), key=lambda end: end[0])


class RackForecast:
    """When the workers of a rack have room."""

    def __init__(self, workers: list[_WorkerForecast]) -> None:
        self._workers = workers
        # Time before which tasks of these needs and label find no room. It only
        # rises during a plan.
        self._earliest_ms: dict[tuple[specs.Resources, str], float] = {}

    def find_room(
        self,
        step: book_records.Step,
        avoided: Collection[str],
        limit_ms: float,
    ) -> tuple[float, _WorkerForecast | None]:
        """Finds when one task of a step should find room.

        Args:
            step: Step of the task, which needs not be kept apart.
            avoided: Ids of workers that it should not run on.
            limit_ms: Time in milliseconds from now after which it is of no use.

        Returns:
            Time in milliseconds from now, and the worker; None if it is after
            the limit.
        """
        needs = step.spec.reserved
        key = (needs, step.spec.label)
        is_plain = not avoided and not step.spec.max_per_instance
        earliest_ms = self._earliest_ms.get(key, 0.0) if is_plain else 0.0
        if earliest_ms > limit_ms:
            return math.inf, None
        best_ms = math.inf
        best = None
        for worker in self._workers:
            capacity = worker.capacity
            if not placing.is_allowed(capacity, step, None):
                continue
            if not capacity.admits(step, placing.Isolation.NONE):
                continue
            if capacity.worker.incarnation.worker in avoided:
                continue
            room_ms = worker.find_room_ms(needs, min(limit_ms, best_ms))
            if room_ms < best_ms:
                best_ms, best = room_ms, worker
                if room_ms <= earliest_ms:
                    break
        if is_plain:
            self._earliest_ms[key] = (
                best_ms if best is not None else math.nextafter(limit_ms, 1e18)
            )
        return best_ms, best

    def count_room(self, step: book_records.Step, at_ms: float) -> int:
        """Counts how many tasks of a step should fit at the same time.

        Args:
            step: The step.
            at_ms: Time in milliseconds from now.

        Returns:
            Number of tasks, at most that of the step.
        """
        most = len(step.tasks)
        count = 0
        for worker in self._workers:
            count += _count_on(worker, step, at_ms, most - count)
            if count >= most:
                return most
        return count

    def find_gang_room_ms(
        self, step: book_records.Step, limit_ms: float
    ) -> float:
        """Finds when all tasks of a gang should fit at the same time.

        Args:
            step: Step of the gang.
            limit_ms: Time in milliseconds from now after which it is of no use.

        Returns:
            Time in milliseconds from now; infinite if it is after the limit.
        """
        wanted = len(step.tasks)
        if self.count_room(step, limit_ms) < wanted:
            return math.inf
        if self.count_room(step, 0.0) >= wanted:
            return 0.0
        times_ms = sorted(
            {
                end_ms
                for worker in self._workers
                for end_ms, _ in worker.ends
                if end_ms <= limit_ms
            }
        )
        # What fits at a time also fits later.
        found = bisect.bisect_left(
            times_ms,
            wanted,
            key=lambda at_ms: self.count_room(step, at_ms),
        )
        return times_ms[found] if found < len(times_ms) else math.inf

    def claim_gang(
        self, step: book_records.Step, from_ms: float, run_ms: float
    ) -> None:
        """Notes that a gang waits for the rack.

        Args:
            step: Step of the gang.
            from_ms: When it should start, in milliseconds from now.
            run_ms: Its run time in milliseconds.
        """
        left = len(step.tasks)
        for worker in self._workers:
            count = _count_on(worker, step, from_ms, left)
            for _ in range(count):
                worker.claim(step.spec.reserved, from_ms, run_ms)
            left -= count


def _count_on(
    worker: _WorkerForecast, step: book_records.Step, at_ms: float, most: int
) -> int:
    """Counts the tasks of a gang, none of which has a run, that fit."""
    capacity = worker.capacity
    spec = step.spec
    if spec.label and spec.label not in capacity.worker.report.labels:
        return 0
    if not capacity.admits(step, placing.Isolation.NONE):
        return 0
    if spec.max_per_instance:
        most = min(most, spec.max_per_instance)
    return spec.reserved.count_in(worker.measure_free(at_ms), most)


def _estimate_left_ms(
    term: term_state.Term,
    worker: worker_table.Worker,
    ref: specs.TaskRef,
    number: int,
    now_ms: int,
) -> float:
    """Estimates the remaining run time of a run.

    Args:
        term: State of the leader's term.
        worker: Worker of the run.
        ref: Task of the run.
        number: Number of the run.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Milliseconds until its end; infinite for one without an end.
    """
    step = term.book.get_step(ref)
    if step is None or step.spec.is_standing or step.spec.is_filler:
        return math.inf
    total_ms = term.run_times.estimate_ms(
        term.book.jobs[ref.job].queue, step.spec
    )
    if (ref, number) in term.place_waits.remote_runs:
        total_ms *= term.settings.remote_factor
    running = worker.running.get(ref)
    if running is None or running.run != number:
        # It starts with the next report of its worker.
        return total_ms + term.settings.report_ms
    left_ms = total_ms * (1 - running.percent / 100)
    begun_ms = worker.begun_after_ms.get((ref, number))
    if (
        begun_ms is not None
        and running.percent >= _MIN_PERCENT
        and not step.spec.checkpoints
    ):
        # It has begun at any time between two reports.
        ran_ms = worker.last_report_ms - begun_ms - term.settings.report_ms / 2
        left_ms = max(0.0, ran_ms) * (100 / running.percent - 1)
    left_ms -= now_ms - worker.last_report_ms
    return max(left_ms, _OVERDUE_MS)


def build_forecast(
    term: term_state.Term,
    capacities: list[placing.FreeCapacity],
    now_ms: int,
) -> RackForecast:
    """Builds the forecast for a rack.

    Workers that have missed reports count for nothing, so that nothing waits
    for a rack that has gone silent.

    Args:
        term: State of the leader's term.
        capacities: Free capacities of the rack's workers.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The forecast.
    """
    forecasts = []
    max_silence_ms = _MAX_MISSED_REPORTS * term.settings.report_ms
    for capacity in capacities:
        worker = capacity.worker
        if now_ms - worker.last_report_ms > max_silence_ms:
            continue
        runs = {
            ref: assigned.run
            for ref, assigned in term.book.assigned_runs.get(
                worker.incarnation, {}
            ).items()
        }
        runs.update((ref, run.run) for ref, run in worker.running.items())
        ends = []
        for ref, number in runs.items():
            left_ms = _estimate_left_ms(term, worker, ref, number, now_ms)
            step = term.book.get_step(ref)
            if step is not None and left_ms != math.inf:
                ends.append((left_ms + _END_KNOWN_MS, step.spec.reserved))
        ends.sort(key=lambda end: end[0])
        forecasts.append(_WorkerForecast(capacity, ends))
    return RackForecast(forecasts)
