"""Builds the orders with which the leader answers a worker's report."""

from bambookeel.core import faults
from bambookeel.jobs import calls
from bambookeel.jobs import checkpoints
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import delivery
from bambookeel.jobs import evacuations
from bambookeel.jobs import isolating
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# A worker reports soon after each start, since a run that it has not reported
# may have been lost with its order if it crashes.
_CONFIRM_START_MS = 10
# While a suspect task starts, its worker reports at this interval, since the
# evidence depends on how long the run had worked.
_WATCH_SUSPECT_MS = 100


def _list_paces(
    term: term_state.Term,
    worker: worker_table.Worker,
    report: calls.WorkerReport,
) -> tuple[tuple[specs.TaskRef, int, int], ...]:
    """Lists the paces that a worker gets in the answer to each report.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        report: Report that is answered.

    Returns:
        Task, run number and pace in percent of each filler run; empty for a
        worker whose filler tasks have never been slowed down.
    """
    if not worker.pace.changed_ms:
        return ()
    percent = worker.pace.percent
    paces = []
    for run in report.running:
        step = term.book.get_step(run.task)
        if step is not None and step.spec.is_filler:
            paces.append((run.task, run.run, percent))
    return tuple(paces)


def build_orders(
    term: term_state.Term,
    worker: worker_table.Worker,
    report: calls.WorkerReport,
    acknowledged: int,
) -> calls.WorkerOrders:
    """Builds the orders with which a worker's report is answered.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        report: Report that is answered.
        acknowledged: Number of the last end that it lists; 0 for none.

    Returns:
        The orders.
    """
    assigned = term.book.assigned_runs.get(worker.incarnation, {})
    stops = []
    for run in report.running:
        found = assigned.get(run.task)
        is_assigned = found is not None and found.run == run.run
        is_withdrawn = (run.task, run.run) in term.withdrawn
        if is_assigned and not is_withdrawn and term.is_task_open(run.task):
            continue
        stops.append((run.task, run.run))
    starts = []
    checkpoint = checkpoints.CheckpointChoice()
    listed = {(run.task, run.run) for run in report.running}
    # An evacuation may have begun after the report was handled.
    gets_none = report.is_leaving or evacuations.is_evacuated(
        term.book.instances, worker
    )
    for each in assigned.values():
        if (each.task, each.run) in listed or gets_none:
            continue
        if not term.is_task_open(each.task):
            continue
        if (each.task, each.run) in term.withdrawn:
            continue
        if not delivery.may_send(worker, each, report.number):
            continue
        job = term.book.jobs[each.task.job]
        task = term.book.get_task(each.task)
        step = term.book.get_step(each.task)
        faults.check_invariant(
            task is not None,
            f"task {each.task} of an assigned run does not exist",
        )
        assert task is not None and step is not None
        saved = checkpoint.choose(step, task)
        starts.append(
            calls.StartOrder(
                each.task, each.run, job.spec.body, saved, each.ticket
            )
        )
    worker.ordered = {(start.task, start.run) for start in starts}
    return calls.WorkerOrders(
        term.settings.lease_ms,
        acknowledged,
        term.fencing_token,
        tuple(starts),
        tuple(stops),
        _list_paces(term, worker, report),
        _choose_report_ms(term, worker, bool(starts)),
    )


def _choose_report_ms(
    term: term_state.Term, worker: worker_table.Worker, has_starts: bool
) -> int:
    """Chooses after which time a worker should report again.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        has_starts: Whether it is told to start runs.

    Returns:
        Time in milliseconds.
    """
    if has_starts:
        return _CONFIRM_START_MS
    for (task, _), begun_after_ms in worker.begun_after_ms.items():
        worked_ms = worker.last_report_ms - begun_after_ms
        if worked_ms >= crash_evidence.STARTED_MS:
            continue
        if isolating.is_suspect(term, task):
            return min(_WATCH_SUSPECT_MS, term.settings.report_ms)
    return term.settings.report_ms
