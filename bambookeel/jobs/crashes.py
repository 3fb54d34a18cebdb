"""Weighs which tasks may have crashed a worker.

A crash shows in the next report from the instance, which comes from a new
incarnation of the worker. It counts against the runs that the worker had just
started, most of all if they are of one job, and less against a run that the
worker had not reported, since the order may have been lost with it. Suspects of
different jobs then run apart from each other, so that the next crash tells them
apart.
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

    A task is given up after two crashes if only its job had certainly just
    started runs in one of them, after three if its own or those of other jobs
    may have begun, and after four if it was at work each time or it is not
    known when the workers crashed.
    """

    ONLY_JOB_STARTED = 8
    MAY_HAVE_STARTED = 4
    AT_WORK = 3


GIVE_UP_EVIDENCE = 12
# Maximum time for which a task waits until it is known whether its last worker
# has crashed.
_MAX_HOLD_MS = 4_000
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
    certain = []
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
            # After the end of its lease the worker may have crashed at any
            # time, and its runs have ended by themselves.
            if (
                _is_reported(run, worker)
                and now.steady_ms < worker.lease_until_ms
            ):
                certain.append(run.task)
        elif not step.spec.is_standing:
            at_work.append(run.task)
    if not started:
        weights = dict.fromkeys(at_work, Evidence.AT_WORK)
    else:
        weights = dict.fromkeys(started, Evidence.MAY_HAVE_STARTED)
        if len({ref.job for ref in started}) == 1:
            weights.update(dict.fromkeys(certain, Evidence.ONLY_JOB_STARTED))
    return tuple(
        (ref, weight)
        for ref, weight in weights.items()
        if term.is_task_open(ref)
    )


def _may_have_begun(
    run: book_records.AssignedRun, worker: worker_table.Worker | None
) -> bool:
    if worker is None or _is_reported(run, worker):
        return True
    return (run.task, run.run) in worker.ordered


def _is_reported(
    run: book_records.AssignedRun, worker: worker_table.Worker
) -> bool:
    listed = worker.running.get(run.task)
    return listed is not None and listed.run == run.run


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


def is_suspect(term: term_state.Term, ref: specs.TaskRef) -> bool:
    """Returns whether a task may have crashed a worker.

    Args:
        term: State of the leader's term.
        ref: Identifies the task.

    Returns:
        True if there is evidence against it, or a silent worker that may have
        crashed under it.
    """
    task = term.book.get_task(ref)
    if task is None:
        return False
    return task.evidence > 0 or bool(_list_open_cases(term, task))


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
                jobs[task.ref.job] = _choose_isolation(term, [task])
    return found


def get_isolation(
    term: term_state.Term,
    tasks: list[book_records.Task],
    now: term_state.Now,
) -> placing.Isolation:
    """Returns how far tasks must be kept apart from those of other jobs.

    A task is held if it will be given up as soon as a worker that is silent
    turns out to have crashed.

    Args:
        term: State of the leader's term.
        tasks: A task that waits for a worker or a copy, or those of a gang.
        now: Current time.

    Returns:
        The isolation; a task whose worker is silent may have crashed it.
    """
    if any(_is_held(term, task, now) for task in tasks):
        return placing.Isolation.HELD
    return _choose_isolation(term, tasks)


def _choose_isolation(
    term: term_state.Term, tasks: list[book_records.Task]
) -> placing.Isolation:
    evidence = 0
    for task in tasks:
        open_cases = _list_open_cases(term, task)
        pending = sum(weight for weight, _ in open_cases)
        evidence = max(evidence, task.evidence + pending)
    if evidence >= _ISOLATE_EVIDENCE:
        return placing.Isolation.REQUIRED
    if evidence or any(task.runs for task in tasks):
        return placing.Isolation.PREFERRED
    return placing.Isolation.NONE


def _list_open_cases(
    term: term_state.Term, task: book_records.Task
) -> list[tuple[int, int]]:
    """Lists the workers that are silent and that a task may have crashed.

    Args:
        term: State of the leader's term.
        task: The task.

    Returns:
        Weight of the evidence and Unix time in milliseconds of the loss, for
        each worker.
    """
    return [
        (weight, silent.lost_wall_ms)
        for silent in term.book.crashes.silent_workers.values()
        for ref, weight in silent.suspects
        if ref == task.ref
    ]


def _is_held(
    term: term_state.Term, task: book_records.Task, now: term_state.Now
) -> bool:
    recent = [
        weight
        for weight, lost_wall_ms in _list_open_cases(term, task)
        if 0 <= now.wall_ms - lost_wall_ms < _MAX_HOLD_MS
    ]
    if not recent:
        return False
    return task.evidence + sum(recent) >= GIVE_UP_EVIDENCE
