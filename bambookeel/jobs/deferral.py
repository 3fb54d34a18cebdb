"""Chooses the jobs that wait until others have met their objectives.

Load pattern: for some seconds a queue gets several times the work that its pool
can complete. In the order of slack alone, each job would begin just when it can
no longer meet its objective, and almost every job would be late. Jobs that
would miss it behind those with less slack are deferred instead. They get the
capacity that the others leave, and are reconsidered as capacity is added.
"""

from collections.abc import Iterable
import dataclasses

# A job that has not begun must be able to end this long before its objective;
# estimates are too rough for less, and what a late job has used is lost to the
# others.
MARGIN_MS = 300
# Share of the capacity that tasks use while a service is full; the rest is idle
# between the end of a task and the start of the next one, or too small for one.
USED_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An open job of a service that is full.

    Attributes:
        job: Id of the job.
        slack_ms: Milliseconds from now until its objective; negative if it has
            passed.
        work: Remaining work, in thousandths of a core times milliseconds.
        chain_ms: Remaining run time of its longest chain of steps.
        has_begun: Whether any of its tasks has had a run.
    """

    job: str
    slack_ms: float
    work: float
    chain_ms: float
    has_begun: bool


def choose_deferred(
    candidates: Iterable[Candidate], capacity_milli: int
) -> frozenset[str]:
    """Chooses the jobs that could not meet their objective in their turn.

    Args:
        candidates: Open jobs of one service.
        capacity_milli: Processor time of the service without that of standing
            tasks, in thousandths of a core.

    Returns:
        Ids of the jobs to defer.
    """
    deferred = []
    used_milli = capacity_milli * USED_SHARE
    work_ahead = 0.0
    ordered = sorted(
        candidates,
        key=lambda candidate: (
            not candidate.has_begun,
            candidate.slack_ms,
            candidate.job,
        ),
    )
    for candidate in ordered:
        ends_ms = candidate.chain_ms
        if used_milli > 0:
            ahead_ms = work_ahead / used_milli
            ends_ms = ahead_ms + max(
                candidate.work / used_milli, candidate.chain_ms
            )
        margin_ms = 0.0 if candidate.has_begun else MARGIN_MS
        if ends_ms + margin_ms > candidate.slack_ms:
            deferred.append(candidate.job)
            continue
        work_ahead += candidate.work
    return frozenset(deferred)
