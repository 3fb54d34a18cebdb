"""What reports, failures and cancellations mean for the tasks of jobs.

An attempt is over only when a worker says so, when the worker reports a later
life, or when its last lease has run out; until then it is not started elsewhere
and counts against its team's limit. All changes of one job are one record, so a
batch of cancellations costs one plan.
"""

import dataclasses

from bambookeel.core import resources
from bambookeel.fleet import attribution
from bambookeel.fleet import jobs
from bambookeel.fleet import observe
from bambookeel.fleet import records

# States in which a worker keeps the tasks that were placed on it.
_STATES_KEEPING_TASKS = frozenset(
    (
        resources.InstanceState.SERVING,
        resources.InstanceState.IN_DOUBT,
        resources.InstanceState.QUARANTINED,
    )
)


def index_reports(
    view: records.FleetView,
) -> dict[str, jobs.TaskReport]:
    """Indexes fresh reports of attempts.

    Args:
        view: The view.

    Returns:
        Reports by task id.
    """
    found: dict[str, jobs.TaskReport] = {}
    for instance in view.instances.values():
        report = records.find_fresh_report(view, instance)
        if report is None:
            continue
        for task_report in report.tasks:
            found[task_report.task_id] = task_report
    return found


def is_attempt_lost(view: records.FleetView, task: jobs.Task) -> bool:
    """Tells whether the life of the worker that ran an attempt is over.

    Args:
        view: The view.
        task: The task.

    Returns:
        Whether a later life reports, or its lease has ended, or the instance
        is known no more.
    """
    instance = view.instances.get(task.worker)
    if instance is None:
        return True
    if instance.incarnation > task.incarnation:
        return True
    report = records.find_fresh_report(view, instance)
    if report is not None and report.incarnation > task.incarnation:
        return True
    if report is not None:
        return False
    has_failed = instance.state is resources.InstanceState.FAILED
    return has_failed and observe.has_lease_expired(view, task.worker)


def _end_attempt(
    task: jobs.Task, phase: jobs.TaskPhase, wall_ms: int
) -> jobs.Task:
    """Records what became of an attempt."""
    match phase:
        case jobs.TaskPhase.SUCCEEDED:
            return dataclasses.replace(task, state=jobs.TaskState.DONE)
        case jobs.TaskPhase.FAILED:
            failure = jobs.Failure(task.worker, wall_ms)
            return dataclasses.replace(
                task,
                state=jobs.TaskState.PENDING,
                failures=(*task.failures, failure),
            )
        case jobs.TaskPhase.STOPPED:
            return dataclasses.replace(task, state=jobs.TaskState.PENDING)
        case jobs.TaskPhase.RUNNING:
            return task


def is_first_report_overdue(view: records.FleetView, task: jobs.Task) -> bool:
    """Tells whether an attempt should have been reported by now.

    Its worker may have run it and forgotten it when its lease lapsed, so it is
    told to start no more; once it has been stopped, a new attempt follows.

    Args:
        view: The view.
        task: The task.

    Returns:
        Whether the time for its first report has passed.
    """
    return view.wall_ms - task.started_ms >= view.tuning.silent_ms


def _should_stop(
    view: records.FleetView, job: jobs.Job, task: jobs.Task, is_known: bool
) -> bool:
    """Tells whether an attempt should be ended.

    One that its worker does not know of is started no more when it drains or
    when the report is overdue. On a drain one that can be checkpointed loses
    nothing; others run to their end.
    """
    instance = view.instances.get(task.worker)
    if instance is None:
        return False
    if records.find_fresh_report(view, instance) is None:
        return False
    if instance.state in _STATES_KEEPING_TASKS:
        return not is_known and is_first_report_overdue(view, task)
    return not is_known or job.spec.can_checkpoint


def _stop_task(job: jobs.Job, task: jobs.Task) -> jobs.Job:
    stopping = dataclasses.replace(task, state=jobs.TaskState.STOPPING)
    return jobs.replace_task(job, stopping)


def _observe_tasks(
    view: records.FleetView,
    job: jobs.Job,
    reports: dict[str, jobs.TaskReport],
) -> jobs.Job:
    """Applies what is known of each attempt of a job."""
    for task in job.tasks:
        if task.state not in jobs.ACTIVE_STATES:
            continue
        report = reports.get(jobs.render_task_id(job.name, task))
        if report is None:
            if is_attempt_lost(view, task):
                lost = dataclasses.replace(task, state=jobs.TaskState.PENDING)
                job = jobs.replace_task(job, lost)
            elif _should_stop(view, job, task, is_known=False):
                job = _stop_task(job, task)
            continue
        ended = _end_attempt(task, report.phase, view.wall_ms)
        if ended is not task:
            job = jobs.replace_task(job, ended)
        elif _should_stop(view, job, task, is_known=True):
            job = _stop_task(job, task)
        job = _update_peak_usage(job, report)
    return job


def _update_peak_usage(job: jobs.Job, report: jobs.TaskReport) -> jobs.Job:
    """Keeps the largest usage of any task, rounded to save commits."""
    cores = max(job.peak_cores, report.cores_used)
    memory_mb = max(job.peak_memory_mb, report.memory_used_mb)
    if cores == job.peak_cores and memory_mb == job.peak_memory_mb:
        return job
    return dataclasses.replace(job, peak_cores=cores, peak_memory_mb=memory_mb)


def _stop_running_tasks(job: jobs.Job) -> jobs.Job:
    for task in job.tasks:
        if task.state is jobs.TaskState.RUNNING:
            job = _stop_task(job, task)
    return job


def _find_end_state(
    job: jobs.Job, evidence: dict[str, attribution.WorkerEvidence]
) -> tuple[jobs.JobState, str] | None:
    """Finds whether a job has come to an end, and which."""
    if job.spec.cancelled:
        return jobs.JobState.CANCELLED, "withdrawn"
    if all(task.state is jobs.TaskState.DONE for task in job.tasks):
        return jobs.JobState.DONE, "all tasks succeeded"
    fault = attribution.find_job_fault(job, evidence)
    if fault:
        return jobs.JobState.PARKED, fault
    return None


def observe_job(
    view: records.FleetView,
    job: jobs.Job,
    reports: dict[str, jobs.TaskReport],
    evidence: dict[str, attribution.WorkerEvidence],
) -> jobs.Job:
    """Brings a job up to date.

    Args:
        view: The view.
        job: The job.
        reports: Fresh reports by task id.
        evidence: Evidence by worker.

    Returns:
        The job, the same object when nothing has changed.
    """
    job = _observe_tasks(view, job, reports)
    if job.state in jobs.ENDED_STATES:
        return job
    ended = _find_end_state(job, evidence)
    if ended is None:
        return job
    state, reason = ended
    return dataclasses.replace(
        _stop_running_tasks(job),
        state=state,
        reason=reason,
        ended_ms=view.wall_ms,
    )
