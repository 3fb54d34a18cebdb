"""Updates the tasks of jobs from reports, failures and cancellations.

An attempt has ended only when its worker reports so, when the worker reports a
later incarnation, or when the worker has failed and its last lease has expired.
Until then the task is not started on another worker and counts against its
team's limit. A job with all its tasks is one record, so a batch of
cancellations needs only one plan.
"""

import dataclasses

from bambookeel.core import resources
from bambookeel.fleet import attribution
from bambookeel.fleet import jobs
from bambookeel.fleet import observe
from bambookeel.fleet import records

# States in which the tasks placed on a worker stay there.
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
    """Indexes the fresh reports of attempts.

    Args:
        view: Gives the time and the reports of instances.

    Returns:
        Reports of attempts by task id.
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
    """Returns whether an attempt is lost because its worker is gone.

    Args:
        view: Gives the instances, their reports and the ends of leases.
        task: A task with an active attempt.

    Returns:
        Whether the worker has a later incarnation, or has failed or is no
        longer in the state and its lease has expired.
    """
    instance = view.instances.get(task.worker)
    if instance is None:
        return observe.has_lease_expired(view, task.worker)
    if has_worker_restarted(view, instance, task):
        return True
    if records.find_fresh_report(view, instance) is not None:
        return False
    has_failed = instance.state is resources.InstanceState.FAILED
    return has_failed and observe.has_lease_expired(view, task.worker)


def has_worker_restarted(
    view: records.FleetView, instance: records.Instance, task: jobs.Task
) -> bool:
    """Returns whether the worker of an attempt has a later incarnation.

    Args:
        view: Gives the reports of instances.
        instance: Instance of the worker.
        task: A task with an active attempt.

    Returns:
        Whether the state or a fresh report shows a later incarnation.
    """
    if instance.incarnation > task.incarnation:
        return True
    report = records.find_fresh_report(view, instance)
    return report is not None and report.incarnation > task.incarnation


def _lose_attempt(view: records.FleetView, task: jobs.Task) -> jobs.Task:
    """Returns a task whose attempt is lost, with the crash of its worker."""
    lost = dataclasses.replace(task, state=jobs.TaskState.PENDING)
    instance = view.instances.get(task.worker)
    if instance is None or not has_worker_restarted(view, instance, task):
        return lost
    crash = jobs.Failure(task.worker, view.wall_ms)
    return dataclasses.replace(lost, crashes=(*task.crashes, crash))


def _end_attempt(
    task: jobs.Task, phase: jobs.TaskPhase, wall_ms: int
) -> jobs.Task:
    """Records the end of an attempt; unchanged while it runs."""
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
    """Returns whether an attempt should have been reported by now.

    The worker may have run the attempt and lost it when its lease expired, so
    the attempt must not be started again. It is stopped, and a new one follows.

    Args:
        view: Gives the time.
        task: A task whose attempt has not been reported.

    Returns:
        Whether at least `silent_ms` have passed since it was placed.
    """
    return view.wall_ms - task.started_ms >= view.tuning.silent_ms


def _should_stop(
    view: records.FleetView, job: jobs.Job, task: jobs.Task, is_known: bool
) -> bool:
    """Returns whether an attempt should be stopped.

    An attempt that its worker does not report is stopped if the worker drains
    or if the report is overdue. On a draining worker, a reported attempt is
    stopped if it can checkpoint, which loses no work; others run to their end.
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
    """Updates each active attempt of a job from its report."""
    for task in job.tasks:
        if task.state not in jobs.ACTIVE_STATES:
            continue
        report = reports.get(jobs.render_task_id(job.name, task))
        if report is None:
            if is_attempt_lost(view, task):
                job = jobs.replace_task(job, _lose_attempt(view, task))
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
    """Records the largest usage of any task, in whole units to save commits."""
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
    """Returns the final state and its reason; None while a job continues."""
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
    """Updates a job from reports, and ends it if its spec or results say so.

    Args:
        view: Gives the time, the instances and their reports.
        job: The committed record.
        reports: Fresh reports by task id.
        evidence: Evidence by worker.

    Returns:
        The updated job; the same object if nothing has changed.
    """
    job = _observe_tasks(view, job, reports)
    if job.state in jobs.ENDED_STATES:
        return job
    ended = _find_end_state(job, evidence)
    if ended is None:
        return job
    state, reason = ended
    return end_job(view, job, state, reason)


def end_job(
    view: records.FleetView, job: jobs.Job, state: jobs.JobState, reason: str
) -> jobs.Job:
    """Ends a job and stops its running tasks.

    Args:
        view: Gives the time.
        job: A job that has not ended.
        state: State in which it ends.
        reason: Why it ends.

    Returns:
        The ended job.
    """
    return dataclasses.replace(
        _stop_running_tasks(job),
        state=state,
        reason=reason,
        ended_ms=view.wall_ms,
    )
