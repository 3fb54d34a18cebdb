"""Weighs which task has crashed a worker, and gives up tasks that do so.

A task that crashes its workers would go on to crash the next one with each new
run. A crash shows in the next report from the instance, which comes from a new
incarnation of the worker. It counts against the runs that the worker had just
started, most of all if they are of one job. Suspects of different jobs then run
apart from each other, so that the next crash tells them apart.
"""

from collections.abc import Iterator
import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


class Evidence(enum.IntEnum):
    """Weight of one crash as evidence against a task on the worker.

    A task is given up after two crashes if only its job had just started runs
    in one of them, after three among starts of several jobs, and after four if
    it was at work each time or it is not known when the workers crashed.
    """

    ONLY_JOB_STARTED = 8
    SEVERAL_JOBS_STARTED = 4
    AT_WORK = 3


# Logs of other versions may contain other weights.
_EVIDENCE_NAMES: dict[int, str] = {
    int(evidence): evidence.name.lower() for evidence in Evidence
}
_GIVE_UP_EVIDENCE = 12
# From here on the next crash decides, so that the task runs apart from others.
_ISOLATE_EVIDENCE = 8
# A run that a worker has reported for this long did not crash it by starting.
_STARTED_MS = 2_000
# A standing task that has worked for this long on one worker is no suspect.
_CLEARED_MS = 10_000
# Share of a rack's other workers that fall silent with one if the rack fails; a
# few may have been silent before.
_RACK_SHARE = 0.75
# Workers that fall silent together have sent their last reports within one
# interval; a report may be delayed by this much.
_REPORT_DELAY_MS = 50
# Number of ended workers that are remembered to recognise a failed rack.
_MAX_ENDED_WORKERS = 256


def find_suspects(
    term: term_state.Term,
    incarnation: specs.WorkerIncarnation,
    worker: worker_table.Worker | None,
    now: term_state.Now,
) -> tuple[tuple[specs.TaskRef, Evidence], ...]:
    """Finds the tasks that may have crashed a worker.

    Args:
        term: State of the leader's term.
        incarnation: Incarnation of the worker, with its runs still assigned.
        worker: The worker as last reported; None if it has not reported to
            this leader.
        now: Current time.

    Returns:
        Open tasks with the evidence against them if the worker has crashed;
        empty if its end has another cause.
    """
    runs = term.book.assigned_runs.get(incarnation, {})
    if not runs or (worker is not None and _has_other_cause(term, worker, now)):
        return ()
    started = []
    at_work = []
    for run in runs.values():
        step = term.book.get_step(run.task)
        if step is None or not _may_have_begun(run, worker):
            continue
        worked_ms = _measure_work_ms(run, worker, now)
        if worker is None:
            if not step.spec.is_standing or worked_ms < _CLEARED_MS:
                at_work.append(run.task)
        elif worked_ms < _STARTED_MS:
            started.append(run.task)
        elif not step.spec.is_standing:
            at_work.append(run.task)
    suspects, evidence = at_work, Evidence.AT_WORK
    if started:
        suspects, evidence = started, Evidence.SEVERAL_JOBS_STARTED
    if len({ref.job for ref in started}) == 1:
        evidence = Evidence.ONLY_JOB_STARTED
    return tuple((ref, evidence) for ref in suspects if term.is_task_open(ref))


def _may_have_begun(
    run: book_records.AssignedRun, worker: worker_table.Worker | None
) -> bool:
    if worker is None:
        return True
    listed = worker.running.get(run.task)
    if listed is not None and listed.run == run.run:
        return True
    return (run.task, run.run) in worker.ordered


def _measure_work_ms(
    run: book_records.AssignedRun,
    worker: worker_table.Worker | None,
    now: term_state.Now,
) -> int:
    """Measures how long a run can have worked.

    Args:
        run: The run.
        worker: The worker as last reported; None if it has not reported to
            this leader.
        now: Current time.

    Returns:
        Time in milliseconds from the assignment to the worker's last report,
        or until now if there was none; 0 if no report lists the run.
    """
    if worker is None:
        return now.wall_ms - run.assigned_wall_ms
    if run.task not in worker.running:
        return 0
    silent_ms = now.steady_ms - worker.last_report_ms
    return now.wall_ms - silent_ms - run.assigned_wall_ms


def _has_other_cause(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> bool:
    """Checks for a cause of a worker's end other than a task, and logs it.

    Args:
        term: State of the leader's term.
        worker: A worker that has ended or fallen silent, with assigned runs.
        now: Current time.

    Returns:
        True if no task is to blame.
    """
    cause = _find_other_cause(term, worker, now)
    if not cause:
        return False
    term.log_event(
        "no_task_blamed",
        worker=worker.incarnation.worker,
        instance=worker.report.instance,
        cause=cause,
    )
    return True


def _find_other_cause(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> str:
    report = worker.report
    if report.is_leaving:
        return "it was draining"
    ordered_wall_ms = term.book.instances.ordered_wall_ms
    if ordered_wall_ms.get(report.instance, 0) > report.life.born_wall_ms:
        return "its instance was ordered away"
    if _is_rack_dark(term, worker, now):
        return "its whole rack has failed"
    return ""


def _is_rack_dark(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> bool:
    """Returns whether the workers of a rack fell silent at the same time.

    Args:
        term: State of the leader's term.
        worker: A worker that has ended or fallen silent.
        now: Current time.

    Returns:
        True if the rack has other workers and most of them fell silent with
        this one.
    """
    others = [
        other
        for other in term.workers.by_id.values()
        if other.rack == worker.rack
        and other.report.instance != worker.report.instance
    ]
    tolerance_ms = term.settings.report_ms + _REPORT_DELAY_MS
    last_reports_ms = [
        ended.last_report_ms
        for ended in term.ended_workers
        if ended.rack == worker.rack
        and ended.instance != worker.report.instance
        and ended.ended_ms > worker.last_report_ms
    ]
    last_reports_ms += [
        other.last_report_ms
        for other in others
        if now.steady_ms - other.last_report_ms > tolerance_ms
    ]
    together = sum(
        abs(last_report_ms - worker.last_report_ms) <= tolerance_ms
        for last_report_ms in last_reports_ms
    )
    return together > 0 and together >= _RACK_SHARE * len(others)


def remember_ended(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> None:
    """Remembers when a worker that has ended fell silent.

    Args:
        term: State of the leader's term.
        worker: The worker.
        now: Current time.
    """
    term.ended_workers.append(
        worker_table.EndedWorker(
            worker.rack,
            worker.report.instance,
            worker.last_report_ms,
            now.steady_ms,
        )
    )
    del term.ended_workers[:-_MAX_ENDED_WORKERS]


def count_crash(
    term: term_state.Term,
    incarnation: specs.WorkerIncarnation,
    now: term_state.Now,
) -> None:
    """Counts the crash of a worker and gives up the tasks that caused it.

    Args:
        term: State of the leader's term.
        incarnation: Incarnation of a worker that has lost its runs.
        now: Current time.
    """
    silent = term.book.crashes.silent_workers[incarnation]
    term.decide(commands.WorkerCrashed(incarnation))
    term.log_event(
        "worker_crashed",
        worker=incarnation.worker,
        instance=silent.instance,
        suspects=len(silent.suspects),
    )
    for ref, evidence in silent.suspects:
        task = term.book.get_task(ref)
        if task is None or not term.is_task_open(ref):
            continue
        term.log_event(
            "task_suspected",
            job=ref.job,
            task=ref.position,
            worker=incarnation.worker,
            evidence=_EVIDENCE_NAMES.get(evidence, evidence),
            crashes=task.crashes,
            weight=f"{task.evidence}/{_GIVE_UP_EVIDENCE}",
        )
        if task.evidence >= _GIVE_UP_EVIDENCE:
            _give_up(term, task, now)


def _give_up(
    term: term_state.Term, task: book_records.Task, now: term_state.Now
) -> None:
    job = term.book.jobs[task.ref.job]
    reason = (
        f"task {task.ref.position} was given up: {task.crashes} workers have"
        " crashed under it"
    )
    term.decide(commands.GiveUpJob(job.job_id, reason, now.wall_ms))
    term.log_event(
        "job_given_up",
        job=job.job_id,
        task=task.ref.position,
        crashes=task.crashes,
        queue=job.queue,
        team=job.team,
    )
    term.log_event(
        "job_ended",
        job=job.job_id,
        queue=job.queue,
        team=job.team,
        state=job.state.value,
        took_ms=now.wall_ms - job.admitted_wall_ms,
        reason=reason,
    )


def clear_standing_tasks(term: term_state.Term, now: term_state.Now) -> None:
    """Drops the evidence against standing tasks that have worked for long.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    cleared = []
    for task in _list_suspects(term):
        step = term.book.get_step(task.ref)
        if step is None or not step.spec.is_standing:
            continue
        for incarnation in task.runs.values():
            worker = term.workers.by_id.get(incarnation.worker)
            if worker is None or worker.incarnation != incarnation:
                continue
            run = term.book.assigned_runs[incarnation][task.ref]
            if _measure_work_ms(run, worker, now) >= _CLEARED_MS:
                cleared.append(task.ref)
    if cleared:
        term.decide(commands.ClearTasks(tuple(cleared)))


def _list_suspects(term: term_state.Term) -> Iterator[book_records.Task]:
    for ref in term.book.crashes.suspects:
        task = term.book.get_task(ref)
        if task is not None and task.evidence and term.is_task_open(ref):
            yield task


def list_isolated_jobs(
    term: term_state.Term, now: term_state.Now
) -> dict[specs.WorkerIncarnation, dict[str, placing.Isolation]]:
    """Lists the jobs with suspect tasks that each worker has just started.

    Args:
        term: State of the leader's term.
        now: Current time.

    Returns:
        Jobs with their isolation, by worker; workers without any are left out.
    """
    found: dict[specs.WorkerIncarnation, dict[str, placing.Isolation]] = {}
    for task in _list_suspects(term):
        for incarnation in task.runs.values():
            worker = term.workers.by_id.get(incarnation.worker)
            run = term.book.assigned_runs[incarnation][task.ref]
            if _measure_work_ms(run, worker, now) < _STARTED_MS:
                jobs = found.setdefault(incarnation, {})
                jobs[task.ref.job] = get_isolation(term, [task])
    return found


def get_isolation(
    term: term_state.Term, tasks: list[book_records.Task]
) -> placing.Isolation:
    """Returns how far tasks must be kept apart from those of other jobs.

    Args:
        term: State of the leader's term.
        tasks: A task that waits for a worker or a copy, or those of a gang.

    Returns:
        The isolation; a task whose worker is silent may have crashed it.
    """
    pending = term.book.crashes.silent_workers
    evidence = 0
    for task in tasks:
        weights = [
            weight
            for silent in pending.values()
            for ref, weight in silent.suspects
            if ref == task.ref
        ]
        evidence = max(evidence, task.evidence + sum(weights))
    if evidence >= _ISOLATE_EVIDENCE:
        return placing.Isolation.REQUIRED
    if evidence or any(task.runs for task in tasks):
        return placing.Isolation.PREFERRED
    return placing.Isolation.NONE
