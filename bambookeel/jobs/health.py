"""Health of workers, judged by runs that fail, stall or progress slowly.

A failure counts against the worker unless the same task has failed before, as a
rule on another worker. A run without progress is withdrawn, and its worker is
suspect for a while, during which it gets no new runs. The suspicion ends by
itself, since most faults are temporary.

Workers report whole percentages, so a run of a long task shows no progress for
a long time. How long it may do so follows from when its next percent is due.
"""

import dataclasses

from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs

# How long a worker is suspect after one failure, and after several.
FIRST_SUSPICION_MS = 1_500
SUSPICION_MS = 5_000
# Failure score from which the longer time applies.
_REPEATED_FAILURES = 2.0
# Factor by which a successful run reduces the failure score.
_SUCCESS_FACTOR = 0.5
# A run may take this many times as long for a percent as is expected, before
# and after its own progress has been measured: estimates are rough, and what
# runs beside it changes.
_ESTIMATED_PATIENCE = 10
_MEASURED_PATIENCE = 5
# Number of percents over which progress is measured at least.
_MIN_MEASURED_PERCENT = 2
# Stalled runs of a task after which the next one is given more time. Workers
# may have stalled them, but a task whose estimate is far too low has to end.
_MAX_EARLY_STALLS = 1
_MAX_DOUBLINGS = 20
# Most that one interval between two reports adds to the time without progress,
# as a multiple of the usual one: a report that was delayed says little about
# the time since it was sent.
_MAX_INTERVALS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ListedRun:
    """A run in a report that should make progress.

    Attributes:
        task: Task of the run.
        run: Number of the run.
        percent: Reported percentage.
        percent_ms: Estimated duration of one percent in milliseconds; 0 if
            unknown.
        earlier_stalls: How many runs of the task have stalled.
    """

    task: specs.TaskRef
    run: int
    percent: int
    percent_ms: float
    earlier_stalls: int


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a run.

    Attributes:
        percent: Percentage that was last reported.
        reported_ms: Steady-clock time in milliseconds of the last report.
        changed_ms: Steady-clock time in milliseconds of the last change of the
            percentage.
        idle_ms: Time in milliseconds that counts as being without progress.
        first_percent: Percentage after the first change; -1 before.
        first_changed_ms: Steady-clock time in milliseconds of the first change.
    """

    percent: int
    reported_ms: int
    changed_ms: int
    idle_ms: int = 0
    first_percent: int = -1
    first_changed_ms: int = 0

    def update(self, percent: int, max_idle_ms: int, now_ms: int) -> None:
        """Updates the progress from a new report.

        Args:
            percent: Reported percentage.
            max_idle_ms: Most that the time since the last report may add to
                the time without progress, in milliseconds.
            now_ms: Steady-clock time in milliseconds.
        """
        self.idle_ms += min(now_ms - self.reported_ms, max_idle_ms)
        self.reported_ms = now_ms
        if percent == self.percent:
            return
        if self.first_percent < 0:
            self.first_percent = percent
            self.first_changed_ms = now_ms
        self.percent = percent
        self.changed_ms = now_ms
        self.idle_ms = 0

    def measure_percent_ms(self) -> float:
        """Measures the duration of one percent.

        Returns:
            Duration in milliseconds; 0 if too little progress has been seen.
        """
        gained = self.percent - self.first_percent
        if self.first_percent < 0 or gained < _MIN_MEASURED_PERCENT:
            return 0.0
        return (self.changed_ms - self.first_changed_ms) / gained


@dataclasses.dataclass(slots=True)
class HealthRecord:
    """Health of one worker.

    Attributes:
        failure_score: Number of recent failures, reduced by each success.
        suspect_until_ms: Steady-clock time in milliseconds until which the
            worker gets no new runs.
        progress: Progress of the worker's runs.
    """

    failure_score: float = 0.0
    suspect_until_ms: int = 0
    progress: dict[tuple[specs.TaskRef, int], Progress] = dataclasses.field(
        default_factory=dict
    )


def record_failure(record: HealthRecord, now_ms: int) -> None:
    """Counts a failed run against a worker and makes the worker suspect.

    Args:
        record: Health of the worker, which is updated.
        now_ms: Steady-clock time in milliseconds.
    """
    record.failure_score += 1.0
    duration_ms = FIRST_SUSPICION_MS
    if record.failure_score >= _REPEATED_FAILURES:
        duration_ms = SUSPICION_MS
    record.suspect_until_ms = max(record.suspect_until_ms, now_ms + duration_ms)


def record_success(record: HealthRecord) -> None:
    """Reduces a worker's failure score after a successful run.

    Args:
        record: Health of the worker, which is updated.
    """
    record.failure_score *= _SUCCESS_FACTOR


def find_stalled(
    record: HealthRecord,
    listed: list[ListedRun],
    settings: job_settings.SchedulerSettings,
    now_ms: int,
) -> list[tuple[specs.TaskRef, int]]:
    """Finds runs that have stopped making progress, from a new report.

    Args:
        record: Health of the worker, which is updated.
        listed: The runs that should make progress.
        settings: Time limits for runs without progress.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The stalled runs; if there are any, their worker becomes suspect.
    """
    reported: dict[tuple[specs.TaskRef, int], Progress] = {}
    stalled = []
    max_idle_ms = _MAX_INTERVALS * settings.report_ms
    for run in listed:
        key = (run.task, run.run)
        known = record.progress.get(key)
        if known is None:
            known = Progress(run.percent, now_ms, now_ms)
        known.update(run.percent, max_idle_ms, now_ms)
        reported[key] = known
        if known.idle_ms >= _compute_limit_ms(run, known, settings):
            stalled.append(key)
    record.progress = reported
    if stalled:
        until_ms = now_ms + SUSPICION_MS
        record.suspect_until_ms = max(record.suspect_until_ms, until_ms)
    return stalled


def _compute_limit_ms(
    run: ListedRun,
    progress: Progress,
    settings: job_settings.SchedulerSettings,
) -> float:
    """Computes how long a run may be without progress."""
    limit_ms: float = settings.stall_at_start_ms
    if run.percent:
        limit_ms = settings.stall_ms
    due_ms = _ESTIMATED_PATIENCE * run.percent_ms
    measured_ms = progress.measure_percent_ms()
    if measured_ms:
        due_ms = _MEASURED_PATIENCE * max(measured_ms, run.percent_ms)
    doublings = max(0, run.earlier_stalls - _MAX_EARLY_STALLS)
    return max(limit_ms, due_ms) * 2 ** min(doublings, _MAX_DOUBLINGS)
