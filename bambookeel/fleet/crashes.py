"""Parks jobs with a task that crashes its workers.

The crash of a worker is evidence against a job that was alone on it. Placement
keeps jobs whose workers have crashed apart from all others, so that a further
crash shows which of them is at fault.
"""

from collections.abc import Iterable

from bambookeel.fleet import jobs
from bambookeel.fleet import records
from bambookeel.fleet import task_steps

# Distinct workers that must crash under a job alone to park it.
_MIN_LONE_CRASHES = 2
# Crashes under one task from which its job is parked, alone or not.
_MAX_CRASHES = 4


def park_crashing_jobs(
    view: records.FleetView, current: dict[str, jobs.Job]
) -> dict[str, jobs.Job]:
    """Parks the jobs that crash their workers.

    Args:
        view: Gives the time.
        current: All jobs after the crashes of this plan were recorded.

    Returns:
        All jobs, with the changed ones replaced.
    """
    involved: dict[jobs.Failure, set[str]] = {}
    for name, job in current.items():
        for task in job.tasks:
            for crash in task.crashes:
                involved.setdefault(crash, set()).add(name)
    if not involved:
        return current
    changed = dict(current)
    for name, job in current.items():
        if job.state in jobs.ENDED_STATES:
            continue
        reason = _find_reason(job, involved)
        if reason:
            changed[name] = task_steps.end_job(
                view, job, jobs.JobState.PARKED, reason
            )
    return changed


def list_suspects(all_jobs: Iterable[jobs.Job]) -> set[str]:
    """Lists the open jobs under whose tasks a worker has crashed.

    Args:
        all_jobs: All jobs.

    Returns:
        Their names.
    """
    return {
        job.name
        for job in all_jobs
        if job.state not in jobs.ENDED_STATES
        and any(task.crashes for task in job.tasks)
    }


def list_confined(all_jobs: Iterable[jobs.Job]) -> set[str]:
    """Lists the open jobs that get workers of their own.

    Args:
        all_jobs: All jobs.

    Returns:
        Names of the jobs with a task under which several workers have crashed.
    """
    return {
        job.name
        for job in all_jobs
        if job.state not in jobs.ENDED_STATES
        and any(len(task.crashes) >= _MIN_LONE_CRASHES for task in job.tasks)
    }


def may_share(job: str, on_worker: set[str], confined: set[str]) -> bool:
    """Returns whether a job may be placed on a worker with other jobs.

    Args:
        job: Name of the job to be placed.
        on_worker: Jobs with attempts on the worker.
        confined: Jobs that get workers of their own.

    Returns:
        False if one of them is confined and it is not alone.
    """
    others = on_worker - {job}
    return not others or not confined & {job, *others}


def count_conflicts(job: str, on_worker: set[str], suspects: set[str]) -> int:
    """Counts the jobs with which a job should not share a worker.

    Args:
        job: Name of the job to be placed.
        on_worker: Jobs with attempts on the worker.
        suspects: Jobs that may crash their workers.

    Returns:
        Number of other jobs on the worker for a suspect; otherwise the number
        of suspects among them.
    """
    others = on_worker - {job}
    return len(others) if job in suspects else len(others & suspects)


def _find_reason(job: jobs.Job, involved: dict[jobs.Failure, set[str]]) -> str:
    crashes = [crash for task in job.tasks for crash in task.crashes]
    lone = {crash.worker for crash in crashes if len(involved[crash]) == 1}
    most = max((len(task.crashes) for task in job.tasks), default=0)
    if len(lone) < _MIN_LONE_CRASHES and most < _MAX_CRASHES:
        return ""
    names = ", ".join(sorted({crash.worker for crash in crashes}))
    return f"workers crashed under its tasks: {names}"
