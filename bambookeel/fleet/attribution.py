"""Distinguishes faulty workers from faulty jobs.

A single failed attempt is not evidence against either. The next attempt on
another worker decides: if it succeeds, the first worker is suspected, if it
fails, the job is. A worker with failures of jobs that no other worker has tried
gets no further task until they have been tried, so that it fails few tasks. A
burst of bad jobs fails on many workers, so none of these is found faulty.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from bambookeel.fleet import jobs
from bambookeel.fleet import records

# Jobs that must fail on a worker and succeed on others to find it faulty.
_MIN_JOBS_FOR_FAULT = 2
# Distinct workers on which a job without any success must fail to be parked.
_MIN_WORKERS_TO_PARK = 3
# Jobs that must fail on a worker, and either succeed on another or be untried
# on others, to stop its new tasks.
_MIN_JOBS_FOR_SUSPICION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEvidence:
    """Task results of a worker since its evidence was last reset.

    A success on the worker or its return from quarantine resets the evidence.

    Attributes:
        succeeded_elsewhere: Jobs that failed on it and succeeded on another
            worker.
        untried_elsewhere: Jobs that failed on it and have neither failed nor
            succeeded on another worker.
        last_success_ms: Wall time at which its latest successful attempt
            started; 0 if there is none.
    """

    succeeded_elsewhere: frozenset[str] = frozenset()
    untried_elsewhere: frozenset[str] = frozenset()
    last_success_ms: int = 0

    def is_faulty(self) -> bool:
        """Returns whether the worker, not its jobs, is at fault.

        Returns:
            Whether enough jobs failed on it and succeeded on other workers.
        """
        return len(self.succeeded_elsewhere) >= _MIN_JOBS_FOR_FAULT

    def is_suspect(self) -> bool:
        """Returns whether the worker must get no further task for now.

        Returns:
            Whether enough jobs failed on it that succeeded on another worker
            or that no other worker has tried.
        """
        count = len(self.succeeded_elsewhere) + len(self.untried_elsewhere)
        return count >= _MIN_JOBS_FOR_SUSPICION


def _list_successes(job: jobs.Job) -> dict[str, int]:
    """Returns the workers where tasks succeeded, with the latest start."""
    found: dict[str, int] = {}
    for task in job.tasks:
        if task.state is jobs.TaskState.DONE:
            started_ms = max(found.get(task.worker, 0), task.started_ms)
            found[task.worker] = started_ms
    return found


def _list_failures(job: jobs.Job) -> dict[str, int]:
    """Returns the workers where attempts failed, with the latest time."""
    found: dict[str, int] = {}
    for task in job.tasks:
        for failure in task.failures:
            at_ms = max(found.get(failure.worker, 0), failure.at_ms)
            found[failure.worker] = at_ms
    return found


def gather_evidence(
    all_jobs: Iterable[jobs.Job], instances: Mapping[str, records.Instance]
) -> dict[str, WorkerEvidence]:
    """Collects the evidence on each worker from the attempts of all jobs.

    Args:
        all_jobs: All jobs, including ended ones.
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
    """Explains why a job, and not its workers, is at fault.

    Args:
        job: A job that has not ended.
        evidence: Evidence by worker; failures on faulty workers do not count
            towards the number of workers on which the job failed.

    Returns:
        The reason to park the job; empty if its tasks may be retried.
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
