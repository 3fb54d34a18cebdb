"""Takes back runs that a worker has not received and should not start.

A worker may have shrunk since it was given a run, be about to leave, or be in a
data centre that is evacuated. A gang is taken back as a whole, since its tasks
would wait for the missing ones.
"""

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import delivery
from bambookeel.jobs import evacuations
from bambookeel.jobs import run_records
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# Why a run is removed that its worker has not received.
_NEVER_TOLD = "never told"


def settle_unlisted(term: term_state.Term, worker: worker_table.Worker) -> None:
    """Decides on the assigned runs that a worker's report does not list.

    Runs that should start are ordered with the answer. The others are of tasks
    that no longer have to run or that were withdrawn, those that no longer fit
    on the worker, and all of them if it is draining or evacuated. They are
    removed if the worker has not received them, and otherwise wait for the next
    report.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
    """
    worker.withheld = set()
    assigned_runs = term.book.assigned_runs.get(worker.incarnation, {})
    unlisted = [
        (delivery.may_run_unheard(term, worker, assigned), assigned)
        for assigned in assigned_runs.values()
        if assigned.task not in worker.running
    ]
    if not unlisted:
        return
    # Runs that may be in progress need their resources before any other.
    unlisted.sort(key=lambda each: not each[0])
    free = _measure_free(term, worker)
    wanted = []
    lost = []
    for may_run, assigned in unlisted:
        key = assigned.task, assigned.run
        step = term.book.get_step(assigned.task)
        is_wanted = step is not None and _is_wanted(
            term, worker, assigned, step
        )
        fits = step is not None and step.spec.reserved.fits_in(free)
        if step is not None and (may_run or (is_wanted and fits)):
            free = free - step.spec.reserved
        if is_wanted and fits:
            wanted.append(assigned)
            continue
        if may_run:
            worker.withheld.add(key)
            _log_withheld(term, worker, assigned)
            continue
        is_evacuated = evacuations.is_evacuated(term.book.instances, worker)
        if step is not None and (is_wanted or is_evacuated):
            withdraw_gang(term, worker, assigned, step)
        lost.append((*key, ""))
    repeated = _choose_repeated(term, worker, wanted)
    if repeated:
        term.decide(
            commands.RepeatOrders(
                worker.incarnation, worker.report.number, tuple(repeated)
            )
        )
    if lost:
        term.decide(
            commands.LoseRuns(worker.incarnation, _NEVER_TOLD, tuple(lost))
        )
    for task, number, _ in lost:
        _log_lost(term, worker, task, number)


def _choose_repeated(
    term: term_state.Term,
    worker: worker_table.Worker,
    wanted: list[run_records.AssignedRun],
) -> list[term_state.RunKey]:
    """Chooses which runs the answer to a report orders, and withholds others.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        wanted: Runs that should start, in the order of their assignment.

    Returns:
        Those of the chosen ones whose order needs a higher limit.
    """
    chosen = delivery.choose_for_answer(term.book, wanted)
    if len(chosen) < len(wanted):
        deferred = {(run.task, run.run) for run in wanted}
        deferred -= {(run.task, run.run) for run in chosen}
        worker.withheld |= deferred
        term.log_event(
            "orders_deferred",
            worker=worker.incarnation.worker,
            report=worker.report.number,
            orders=len(deferred),
        )
    return [
        (run.task, run.run)
        for run in chosen
        if run.order_limit < worker.report.number
    ]


def _is_wanted(
    term: term_state.Term,
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
    step: book_records.Step,
) -> bool:
    return (
        term.is_task_open(assigned.task)
        and not worker.report.is_leaving
        and not evacuations.is_evacuated(term.book.instances, worker)
        and (assigned.task, assigned.run) not in term.withdrawn
        and step.is_gang_complete(assigned.run)
    )


def lose_unsent(term: term_state.Term, now: term_state.Now) -> None:
    """Removes runs of silent workers whose order has not been sent.

    The order would go out with the answer to the next report, which does not
    come if the worker crashed before the assignment. Gangs are left as they
    are, since their other members may have started.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    for worker in term.workers.by_id.values():
        silent_ms = now.steady_ms - worker.last_report_ms
        if silent_ms <= term.settings.assign_max_silence_ms:
            continue
        runs = term.book.assigned_runs.get(worker.incarnation, {})
        unsent = [run for run in runs.values() if _is_unsent(term, worker, run)]
        if not unsent:
            continue
        lost = tuple((run.task, run.run, "") for run in unsent)
        term.decide(commands.LoseRuns(worker.incarnation, _NEVER_TOLD, lost))
        term.update_reserved(worker)
        for run in unsent:
            _log_lost(term, worker, run.task, run.run)


def _log_lost(
    term: term_state.Term,
    worker: worker_table.Worker,
    task: specs.TaskRef,
    run: int,
) -> None:
    term.log_event(
        "run_lost",
        job=task.job,
        task=task.position,
        run=run,
        worker=worker.incarnation.worker,
        born=worker.incarnation.born_wall_ms,
        reported=False,
        reason=_NEVER_TOLD,
    )


def _log_withheld(
    term: term_state.Term,
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
) -> None:
    """Logs a run that is neither ordered nor removed, and what decided it."""
    term.log_event(
        "run_withheld",
        job=assigned.task.job,
        task=assigned.task.position,
        run=assigned.run,
        worker=worker.incarnation.worker,
        report=worker.report.number,
        order_limit=assigned.order_limit,
    )


def _is_unsent(
    term: term_state.Term,
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
) -> bool:
    # Most runs of a silent worker have been reported.
    if (
        assigned.task in worker.running
        or (assigned.task, assigned.run) in worker.ordered
        or assigned.report_number != worker.report.number
    ):
        return False
    step = term.book.get_step(assigned.task)
    return (
        step is not None
        and not step.spec.is_gang
        # Of other runs, an earlier leader may have sent the order.
        and (assigned.task, assigned.run) in term.assigned_ms
    )


def _measure_free(
    term: term_state.Term, worker: worker_table.Worker
) -> specs.Resources:
    """Measures what the runs that a worker reports leave of its capacity.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.

    Returns:
        Free resources, which may be negative; none if a run is unknown.
    """
    free = worker.report.capacity
    for ref in worker.running:
        step = term.book.get_step(ref)
        if step is None:
            return specs.Resources()
        free = free - step.spec.reserved
    return free


def withdraw_gang(
    term: term_state.Term,
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
    step: book_records.Step,
) -> None:
    """Withdraws all runs of a gang of which one cannot start.

    Args:
        term: State of the leader's term.
        worker: Worker that has shrunk, or whose data centre is evacuated.
        assigned: Run that cannot start there, or that waits for another one.
        step: Step of the run.
    """
    term.log_event(
        "run_withdrawn",
        job=assigned.task.job,
        task=assigned.task.position,
        run=assigned.run,
        worker=worker.incarnation.worker,
        capacity_milli=worker.report.capacity.cpu_milli,
    )
    if not step.spec.is_gang:
        return
    for task in step.tasks:
        term.withdrawn.update((task.ref, run) for run in task.runs)
