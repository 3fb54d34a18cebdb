"""Judges workers by their own runs: those that fail, stall or crawl.

A failure is blamed on the worker unless the same task has failed elsewhere. A
run that makes no progress is taken away, and its worker gets nothing new for a
while; it is tried again afterwards, since most troubles pass.
"""

import dataclasses

from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs

# How long a worker gets nothing new after one failure, or after more.
FIRST_SUSPICION_MS = 1_500
SUSPICION_MS = 5_000
# Failures in a row after which the longer time holds.
_REPEATED = 2.0
# What a good end leaves of earlier failures.
_FORGIVEN = 0.5


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a run has come.

    Attributes:
        percent: As last reported.
        changed_ms: When that last changed.
    """

    percent: int
    changed_ms: int


@dataclasses.dataclass(slots=True)
class Record:
    """What is known of one worker's health.

    Attributes:
        faults: Recent failures; fades with good ends.
        suspect_until_ms: Until when it gets nothing new.
        progress: How far its runs have come.
    """

    faults: float = 0.0
    suspect_until_ms: int = 0
    progress: dict[tuple[specs.TaskRef, int], Progress] = dataclasses.field(
        default_factory=dict
    )


def note_failure(record: Record, now_ms: int) -> None:
    """Blames a worker for a failed run.

    Args:
        record: The worker's record.
        now_ms: The time.
    """
    record.faults += 1.0
    span_ms = FIRST_SUSPICION_MS
    if record.faults >= _REPEATED:
        span_ms = SUSPICION_MS
    record.suspect_until_ms = max(record.suspect_until_ms, now_ms + span_ms)


def note_success(record: Record) -> None:
    """Notes a good end.

    Args:
        record: The worker's record.
    """
    record.faults *= _FORGIVEN


def find_stalled(
    record: Record,
    listed: list[tuple[specs.TaskRef, int, int]],
    settings: job_settings.SchedulerSettings,
    now_ms: int,
) -> list[tuple[specs.TaskRef, int]]:
    """Finds runs that stand still, from a new report.

    Args:
        record: The worker's record, which is brought up to date.
        listed: Task, run and percent of each run that should make progress.
        settings: How long a run may take to make some.
        now_ms: The time.

    Returns:
        The runs; their worker is then under suspicion.
    """
    seen: dict[tuple[specs.TaskRef, int], Progress] = {}
    stalled = []
    for task, run, percent in listed:
        known = record.progress.get((task, run))
        if known is None or known.percent != percent:
            known = Progress(percent, now_ms)
        seen[task, run] = known
        limit_ms = settings.stall_at_start_ms
        if percent:
            limit_ms = settings.stall_ms
        if now_ms - known.changed_ms >= limit_ms:
            stalled.append((task, run))
    record.progress = seen
    if stalled:
        until_ms = now_ms + SUSPICION_MS
        record.suspect_until_ms = max(record.suspect_until_ms, until_ms)
    return stalled
