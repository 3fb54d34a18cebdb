"""Weighs which tasks may have crashed a worker.

A crash shows in the next report from the instance, which comes from a new
incarnation of the worker. It counts against the runs that the worker had just
started, most of all if they are of one job, and least against a run that the
worker had not reported, since the order may have been lost with it.
"""

from collections.abc import Iterator

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import delivery
from bambookeel.jobs import run_records
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# A standing task that was assigned for longer than this to a worker which has
# not reported to this leader is no suspect.
_SETTLED_MS = 10_000
# Progress of a standing run that has started up.
_AT_WORK_PERCENT = 100
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
) -> tuple[tuple[specs.TaskRef, crash_evidence.Evidence], ...]:
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
    has_ended = term.book.instances.has_ended(incarnation, now.wall_ms)
    if worker is None and has_ended:
        # An earlier leader knew of an orderly shutdown or an order.
        return ()
    cause = _find_other_cause(term, worker) if worker is not None else ""
    if worker is not None and cause:
        _log_other_cause(term, worker, cause)
        return ()
    candidates = []
    for run in runs.values():
        step = term.book.get_step(run.task)
        if step is None or not _may_have_begun(term, run, worker):
            continue
        worked_ms = measure_work_ms(run, worker, now)
        task = term.book.get_task(run.task)
        is_standing = step.spec.is_standing
        if is_standing and _has_started_up(run, worker, worked_ms):
            continue
        is_reported = worker is not None and delivery.is_reported(worker, run)
        candidates.append(
            crash_evidence.Candidate(
                run.task,
                worked_ms,
                is_standing,
                task is not None and task.has_worked,
                is_reported,
            )
        )
    is_rack_dark = worker is not None and _is_rack_dark(term, worker, now)
    if worker is not None and is_rack_dark:
        _log_other_cause(term, worker, "its whole rack has failed")
    weights = crash_evidence.weigh(
        candidates,
        crash_evidence.Circumstances(
            is_heard=worker is not None,
            has_lease=(
                worker is not None and now.steady_ms < worker.lease_until_ms
            ),
            is_rack_dark=is_rack_dark,
        ),
    )
    return tuple(
        (ref, weight)
        for ref, weight in weights.items()
        if term.is_task_open(ref)
    )


def _may_have_begun(
    term: term_state.Term,
    run: run_records.AssignedRun,
    worker: worker_table.Worker | None,
) -> bool:
    if worker is None or delivery.is_reported(worker, run):
        return True
    return delivery.may_be_on_way(term, worker, run)


def _has_started_up(
    run: run_records.AssignedRun,
    worker: worker_table.Worker | None,
    worked_ms: int,
) -> bool:
    if worker is None:
        return worked_ms >= _SETTLED_MS
    return _is_at_work(run, worker)


def _is_at_work(
    run: run_records.AssignedRun, worker: worker_table.Worker
) -> bool:
    """Returns whether a worker has reported that a standing run is at work."""
    listed = worker.running.get(run.task)
    return (
        listed is not None
        and listed.run == run.run
        and listed.percent >= _AT_WORK_PERCENT
    )


def measure_work_ms(
    run: run_records.AssignedRun,
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
    # The clock of the leader that assigned the run may have been ahead.
    heard_ms = worker.last_report_ms - worker.first_report_ms
    silent_ms = now.steady_ms - worker.last_report_ms
    return max(heard_ms, now.wall_ms - silent_ms - run.assigned_wall_ms)


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
            worker.report.service,
            worker.rack,
            worker.report.instance,
            worker.last_report_ms,
            now.steady_ms,
        )
    )
    del term.ended_workers[:-_MAX_ENDED_WORKERS]


def clear_standing_tasks(
    term: term_state.Term, worker: worker_table.Worker
) -> None:
    """Clears the standing tasks that have started safely on a worker.

    A task that crashes the workers that start it would have crashed this one.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
    """
    cleared = []
    for run in term.book.assigned_runs.get(worker.incarnation, {}).values():
        step = term.book.get_step(run.task)
        task = term.book.get_task(run.task)
        if step is None or task is None or not step.spec.is_standing:
            continue
        if task.has_worked and not task.evidence:
            continue
        if _is_at_work(run, worker):
            cleared.append(run.task)
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
        job = term.book.jobs.get(ref.job)
        if job is None or not job.is_open:
            continue
        task = term.book.get_task(ref)
        if task is not None and task.evidence and not task.is_done:
            yield task
