"""Weighs which tasks may have crashed a worker.

A crash shows in the next report from the instance, which comes from a new
incarnation of the worker. It counts against the runs that the worker had just
started, most of all if they are of one job, and less against a run that the
worker had not reported, since the order may have been lost with it.
"""

from collections.abc import Iterator
import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


class Evidence(enum.IntEnum):
    """Weight of one crash as evidence against a task on the worker.

    A task is given up after two crashes if only its job had certainly just
    started runs in one of them, after three if its own or those of other jobs
    may have begun, and after four if it was at work each time or it is not
    known when the workers crashed. If the whole rack seems to have failed, a
    crash weighs something only against a run that was not at work yet: tasks
    that start together on all workers of a rack may crash them together.
    """

    ONLY_JOB_STARTED = 8
    MAY_HAVE_STARTED = 4
    AT_WORK = 3
    RACK_FAILED = 0


GIVE_UP_EVIDENCE = 12
# Number of crashes after which a task is given up although other tasks that
# were given up explain some of them.
MAX_CRASHES = 5
# A run that a worker has reported for this long did not crash it by starting.
STARTED_MS = 800
# A run that a worker has reported for less than this is no older than its crash
# by a task that crashes workers when it starts.
FRESH_MS = 500
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
        empty if its end is known to have another cause.
    """
    runs = term.book.assigned_runs.get(incarnation, {})
    if not runs:
        return ()
    cause = _find_other_cause(term, worker) if worker is not None else ""
    if worker is not None and cause:
        _log_other_cause(term, worker, cause)
        return ()
    started = []
    fresh = []
    at_work = []
    certain = []
    for run in runs.values():
        step = term.book.get_step(run.task)
        if step is None or not _may_have_begun(run, worker):
            continue
        worked_ms = measure_work_ms(run, worker, now)
        if worker is None:
            if not step.spec.is_standing or worked_ms < _CLEARED_MS:
                at_work.append(run.task)
        elif worked_ms < STARTED_MS:
            started.append(run.task)
            if worked_ms < FRESH_MS:
                fresh.append(run.task)
            # After the end of its lease the worker may have crashed at any
            # time, and its runs have ended by themselves.
            if (
                _is_reported(run, worker)
                and now.steady_ms < worker.lease_until_ms
            ):
                certain.append(run.task)
        elif not step.spec.is_standing:
            at_work.append(run.task)
    weights = _weigh(started, fresh, at_work, certain)
    if worker is not None and _is_rack_dark(term, worker, now):
        _log_other_cause(term, worker, "its whole rack has failed")
        weights = dict.fromkeys(started, Evidence.RACK_FAILED)
        weights.update(dict.fromkeys(fresh, Evidence.AT_WORK))
    return tuple(
        (ref, weight)
        for ref, weight in weights.items()
        if term.is_task_open(ref)
    )


def _weigh(
    started: list[specs.TaskRef],
    fresh: list[specs.TaskRef],
    at_work: list[specs.TaskRef],
    certain: list[specs.TaskRef],
) -> dict[specs.TaskRef, Evidence]:
    """Weighs a crash as evidence against the tasks on the worker.

    Args:
        started: Tasks that the worker may have just started.
        fresh: Those of `started` that were not at work yet.
        at_work: Tasks that had worked for longer.
        certain: Those of `started` that certainly ran when it crashed.

    Returns:
        Suspects with the evidence against each.
    """
    if not started:
        return dict.fromkeys(at_work, Evidence.AT_WORK)
    weights = dict.fromkeys(started, Evidence.MAY_HAVE_STARTED)
    if len({ref.job for ref in started}) == 1:
        weights.update(dict.fromkeys(certain, Evidence.ONLY_JOB_STARTED))
    if fresh:
        # The others have started without a crash.
        older = [ref for ref in started if ref not in fresh]
        weights.update(dict.fromkeys(older, Evidence.AT_WORK))
    return weights


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


def measure_work_ms(
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
        Time in milliseconds from its start, or from the assignment if it is not
        known when it started, to the worker's last report, or until now if
        there was none; 0 if no report lists the run.
    """
    if worker is None:
        return now.wall_ms - run.assigned_wall_ms
    if run.task not in worker.running:
        return 0
    begun_after_ms = worker.begun_after_ms.get((run.task, run.run))
    if begun_after_ms is not None:
        return worker.last_report_ms - begun_after_ms
    silent_ms = now.steady_ms - worker.last_report_ms
    return now.wall_ms - silent_ms - run.assigned_wall_ms


def _find_other_cause(
    term: term_state.Term, worker: worker_table.Worker
) -> str:
    report = worker.report
    if report.is_leaving:
        return "it was draining"
    ordered_wall_ms = term.book.instances.ordered_wall_ms
    if ordered_wall_ms.get(report.instance, 0) > report.life.born_wall_ms:
        return "its instance was ordered away"
    return ""


def _log_other_cause(
    term: term_state.Term, worker: worker_table.Worker, cause: str
) -> None:
    term.log_event(
        "no_task_blamed",
        worker=worker.incarnation.worker,
        instance=worker.report.instance,
        cause=cause,
    )


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
    for task in list_suspects(term):
        step = term.book.get_step(task.ref)
        if step is None or not step.spec.is_standing:
            continue
        for incarnation in task.runs.values():
            worker = term.workers.by_id.get(incarnation.worker)
            if worker is None or worker.incarnation != incarnation:
                continue
            run = term.book.assigned_runs[incarnation][task.ref]
            if measure_work_ms(run, worker, now) >= _CLEARED_MS:
                cleared.append(task.ref)
    if cleared:
        term.decide(commands.ClearTasks(tuple(cleared)))


def list_suspects(term: term_state.Term) -> Iterator[book_records.Task]:
    """Lists the open tasks with evidence against them.

    Args:
        term: State of the leader's term.

    Yields:
        The tasks.
    """
    for ref in term.book.crashes.suspects:
        task = term.book.get_task(ref)
        if task is not None and task.evidence and term.is_task_open(ref):
            yield task
