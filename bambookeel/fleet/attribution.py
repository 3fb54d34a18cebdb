"""Tells a worker that fails everything from a job that fails everywhere.

A failed attempt alone blames nobody. It is the second attempt, elsewhere, that
tells: success there speaks against the first worker, failure there against the
job. A worker with unexplained failures gets no further task until those jobs
have been tried elsewhere, so that it wastes few; a burst of bad jobs fails on
many workers and so convicts none.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from bambookeel.fleet import jobs
from bambookeel.fleet import records

# Jobs that failed on a worker and succeeded elsewhere before it is convicted.
_MIN_JOBS_FOR_FAULT = 2
# Distinct workers on which a job must fail, with no success, to be at fault.
_MIN_WORKERS_TO_PARK = 3
# Unexplained failures after which a worker gets no further task.
_MIN_JOBS_FOR_SUSPICION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEvidence:
    """What attempts say of a worker since it was last trusted.

    Attributes:
        cleared_jobs: Jobs that failed on it and succeeded elsewhere.
        open_jobs: Jobs that failed on it and have been tried nowhere else.
        last_success_ms: Wall time of the start of its latest success.
    """

    succeeded_elsewhere: frozenset[str] = frozenset()
    untried_elsewhere: frozenset[str] = frozenset()
    last_success_ms: int = 0

    def is_faulty(self) -> bool:
        """Tells whether the worker, not the jobs, is at fault.

        Returns:
            Whether enough jobs failed here and succeeded elsewhere.
        """
        return len(self.succeeded_elsewhere) >= _MIN_JOBS_FOR_FAULT

    def is_suspect(self) -> bool:
        """Tells whether the worker must wait for trials elsewhere.

        Returns:
            Whether enough failures on it are unexplained.
        """
        count = len(self.succeeded_elsewhere) + len(self.untried_elsewhere)
        return count >= _MIN_JOBS_FOR_SUSPICION


def _list_successes(job: jobs.Job) -> dict[str, int]:
    """Lists where tasks of a job succeeded, with their latest start."""
    found: dict[str, int] = {}
    for task in job.tasks:
        if task.state is jobs.TaskState.DONE:
            started_ms = max(found.get(task.worker, 0), task.started_ms)
            found[task.worker] = started_ms
    return found


def _list_failures(job: jobs.Job) -> dict[str, int]:
    """Lists where attempts of a job failed, with the latest time."""
    found: dict[str, int] = {}
    for task in job.tasks:
        for failure in task.failures:
            at_ms = max(found.get(failure.worker, 0), failure.at_ms)
            found[failure.worker] = at_ms
    return found


def gather_evidence(
    all_jobs: Iterable[jobs.Job], instances: Mapping[str, records.Instance]
) -> dict[str, WorkerEvidence]:
    """Gathers what attempts say of each worker.

    Args:
        all_jobs: Jobs, ended ones included.
        instances: Instances by name.

    Returns:
        Evidence by worker; workers without any are left out.
    """
    succeeded: dict[str, set[str]] = {}
    untried: dict[str, set[str]] = {}
    last_success_ms: dict[str, int] = {}
    attempts: list[tuple[jobs.Job, dict[str, int], dict[str, int]]] = []
    for job in all_jobs:
        successes = _list_successes(job)
        attempts.append((job, successes, _list_failures(job)))
        for worker, at_ms in successes.items():
            known_ms = last_success_ms.get(worker, 0)
            last_success_ms[worker] = max(known_ms, at_ms)
    for job, successes, failures in attempts:
        for worker, at_ms in failures.items():
            instance = instances.get(worker)
            reset_ms = last_success_ms.get(worker, 0)
            if instance is not None:
                reset_ms = max(reset_ms, instance.trusted_since_ms)
            if at_ms <= reset_ms:
                continue
            if successes.keys() - {worker}:
                succeeded.setdefault(worker, set()).add(job.name)
            elif len(failures) == 1 and not successes:
                untried.setdefault(worker, set()).add(job.name)
    workers = succeeded.keys() | untried.keys() | last_success_ms.keys()
    return {
        worker: WorkerEvidence(
            frozenset(succeeded.get(worker, ())),
            frozenset(untried.get(worker, ())),
            last_success_ms.get(worker, 0),
        )
        for worker in workers
    }


def find_job_fault(
    job: jobs.Job, evidence: Mapping[str, WorkerEvidence]
) -> str:
    """Tells why a job, and not its workers, is at fault.

    Args:
        job: The job.
        evidence: Evidence by worker.

    Returns:
        The reason to park it; empty when it may be tried again.
    """
    if any(task.state is jobs.TaskState.DONE for task in job.tasks):
        limit = job.spec.max_attempts
        worst = max((len(task.failures) for task in job.tasks), default=0)
        if worst >= limit:
            return f"a task failed {worst} times while others succeeded"
        return ""
    failed = {
        worker
        for worker in _list_failures(job)
        if worker not in evidence or not evidence[worker].is_faulty()
    }
    if len(failed) >= _MIN_WORKERS_TO_PARK:
        return f"failed on {len(failed)} workers: {', '.join(sorted(failed))}"
    attempts = max((len(task.failures) for task in job.tasks), default=0)
    if attempts >= job.spec.max_attempts:
        return f"a task failed {attempts} times"
    return ""
