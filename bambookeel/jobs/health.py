"""Health of workers, judged by runs that fail, stall or progress slowly.

A failure counts against the worker unless the same task has failed before, as a
rule on another worker. A run without progress is withdrawn, and its worker is
suspect for a while, during which it gets no new runs. The suspicion ends by
itself, since most faults are temporary.
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


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a run.

    Attributes:
        percent: Percentage that was last reported.
        changed_ms: Steady-clock time in milliseconds of its last change.
    """

    percent: int
    changed_ms: int


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
    listed: list[tuple[specs.TaskRef, int, int]],
    settings: job_settings.SchedulerSettings,
    now_ms: int,
) -> list[tuple[specs.TaskRef, int]]:
    """Finds runs that have stopped making progress, from a new report.

    Args:
        record: Health of the worker, which is updated.
        listed: Task, run number and percentage of each run that should make
            progress.
        settings: Time limits for runs without progress.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The stalled runs; if there are any, their worker becomes suspect.
    """
    reported: dict[tuple[specs.TaskRef, int], Progress] = {}
    stalled = []
    for task, run, percent in listed:
        known = record.progress.get((task, run))
        if known is None or known.percent != percent:
            known = Progress(percent, now_ms)
        reported[task, run] = known
        limit_ms = settings.stall_at_start_ms
        if percent:
            limit_ms = settings.stall_ms
        if now_ms - known.changed_ms >= limit_ms:
            stalled.append((task, run))
    record.progress = reported
    if stalled:
        until_ms = now_ms + SUSPICION_MS
        record.suspect_until_ms = max(record.suspect_until_ms, until_ms)
    return stalled
