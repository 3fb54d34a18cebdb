"""Weighs the crash of a worker as evidence against the tasks on it."""

from collections.abc import Sequence
import dataclasses
import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import specs


class Evidence(enum.IntEnum):
    """Weight of one crash as evidence against a task on the worker.

    A task is given up after two crashes if only its job had certainly just
    started runs in both of them, after three if its own or those of other jobs
    had, and after four if it was at work each time, or its orders may have been
    lost with the workers. A standing task has to outlast crashes by other
    causes: it is given up after three, and after eight in a row if it has
    started safely before. If the whole rack seems to have failed, a crash
    weighs something only against a run that was not at work yet: tasks that
    start together on all workers of a rack may crash them together.
    """

    ONLY_JOB_STARTED = 7
    MAY_HAVE_STARTED = 4
    AT_WORK = 3
    UNCONFIRMED = 2
    HAS_WORKED = 1
    RACK_FAILED = 0


GIVE_UP_EVIDENCE = 12
# Crashes after which a task is given up although its runs were not confirmed.
_UNCONFIRMED_CRASHES = 4
# Crashes after which a task is given up although other tasks that were given up
# explain some of them.
MAX_CRASHES = 5
# A run that a worker has reported for this long did not crash it by starting.
STARTED_MS = 800
# A run that a worker has reported for less than this is no older than its crash
# by a task that crashes workers when it starts.
FRESH_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A task with a run on a worker that may have crashed.

    Attributes:
        task: The task.
        worked_ms: Time in milliseconds for which the run can have worked.
        is_standing: Whether the task runs until its job is cancelled.
        has_worked: Whether the task, a standing one, has started safely before.
        is_reported: Whether the worker has reported the run.
    """

    task: specs.TaskRef
    worked_ms: int
    is_standing: bool
    has_worked: bool
    is_reported: bool

    @property
    def is_started(self) -> bool:
        """Whether the run may have just started."""
        return self.worked_ms < STARTED_MS

    @property
    def is_fresh(self) -> bool:
        """Whether the run was not at work yet."""
        return self.worked_ms < FRESH_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Circumstances:
    """What is known of a crash besides the runs.

    Attributes:
        is_heard: Whether the worker has reported to this leader.
        has_lease: Whether its lease was valid when the crash was noticed.
            Otherwise its runs may have ended before the crash.
        is_rack_dark: Whether its whole rack seems to have failed.
    """

    is_heard: bool
    has_lease: bool
    is_rack_dark: bool


def weigh(
    candidates: Sequence[Candidate], crash: Circumstances
) -> dict[specs.TaskRef, Evidence]:
    """Weighs a crash as evidence against the tasks on the worker.

    Args:
        candidates: Tasks with runs on the worker.
        crash: Circumstances of the crash.

    Returns:
        Suspects with the evidence against each.
    """
    if not crash.is_heard:
        return {
            each.task: min(Evidence.AT_WORK, _limit_weight(each, crash))
            for each in candidates
        }
    started = [each for each in candidates if each.is_started]
    if not started:
        if crash.is_rack_dark:
            return {}
        return {
            each.task: Evidence.AT_WORK
            for each in candidates
            if not each.is_standing
        }
    is_only_job = len({each.task.job for each in started}) == 1
    has_fresh = any(each.is_fresh for each in started)
    weights = {}
    for each in started:
        if crash.is_rack_dark:
            weight = Evidence.AT_WORK if each.is_fresh else Evidence.RACK_FAILED
        elif has_fresh and not each.is_fresh:
            weight = Evidence.AT_WORK
        elif is_only_job and each.is_reported and crash.has_lease:
            weight = Evidence.ONLY_JOB_STARTED
        else:
            weight = Evidence.MAY_HAVE_STARTED
        weights[each.task] = min(weight, _limit_weight(each, crash))
    return weights


def _limit_weight(candidate: Candidate, crash: Circumstances) -> Evidence:
    if candidate.has_worked:
        return Evidence.HAS_WORKED
    if crash.is_heard and not candidate.is_reported:
        return Evidence.UNCONFIRMED
    if candidate.is_standing:
        return Evidence.MAY_HAVE_STARTED
    return Evidence.ONLY_JOB_STARTED


def measure_evidence(
    task: book_records.Task,
    open_weights: Sequence[int] = (),
    is_alone: bool = False,
) -> int:
    """Measures the evidence that counts against a task.

    Args:
        task: The task.
        open_weights: Weights of further crashes that are not known to be some.
        is_alone: Whether it has crashed a worker on which nothing else had
            started; crashes that other tasks explain then count as well.

    Returns:
        Weight of the evidence.
    """
    evidence = task.evidence + sum(open_weights)
    if is_alone or task.crashes + len(open_weights) >= MAX_CRASHES:
        return evidence
    return evidence - task.explained_evidence


def is_conclusive(
    task: book_records.Task, evidence: int, open_weights: Sequence[int] = ()
) -> bool:
    """Returns whether evidence is enough to give a task up.

    Args:
        task: The task.
        evidence: Result of `measure_evidence`.
        open_weights: Weights of further crashes that are not known to be some.

    Returns:
        True if it is.
    """
    if task.crashes + len(open_weights) >= _UNCONFIRMED_CRASHES:
        return evidence >= _UNCONFIRMED_CRASHES * Evidence.UNCONFIRMED
    return evidence >= GIVE_UP_EVIDENCE
