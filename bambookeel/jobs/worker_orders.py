"""Builds the orders with which the leader answers a worker's report."""

from bambookeel.jobs import calls
from bambookeel.jobs import checkpoints
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import delivery
from bambookeel.jobs import evacuations
from bambookeel.jobs import isolating
from bambookeel.jobs import order_sizes
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
    if len(paces) <= order_sizes.MAX_PACES:
        return tuple(paces)
    # Those of other runs go with the next answers.
    first = report.number * order_sizes.MAX_PACES % len(paces)
    return tuple((paces[first:] + paces[:first])[: order_sizes.MAX_PACES])


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
    starts = _build_starts(term, worker, report)
    worker.ordered = {(start.task, start.run) for start in starts}
    return calls.WorkerOrders(
        term.settings.lease_ms,
        acknowledged,
        term.fencing_token,
        tuple(starts),
        tuple(stops[: order_sizes.MAX_STOPS]),
        _list_paces(term, worker, report),
        _choose_report_ms(
            term, worker, bool(starts) or len(stops) > order_sizes.MAX_STOPS
        ),
    )


def _build_starts(
    term: term_state.Term,
    worker: worker_table.Worker,
    report: calls.WorkerReport,
) -> list[calls.StartOrder]:
    """Builds the orders to start runs, as many as one answer takes.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        report: Report that is answered.

    Returns:
        The orders.
    """
    # An evacuation may have begun after the report was handled.
    if report.is_leaving or evacuations.is_evacuated(
        term.book.instances, worker
    ):
        return []
    listed = {(run.task, run.run) for run in report.running}
    assigned = term.book.assigned_runs.get(worker.incarnation, {})
    due = [
        run
        for run in assigned.values()
        if (run.task, run.run) not in listed
        and term.is_task_open(run.task)
        and (run.task, run.run) not in term.withdrawn
        and delivery.may_send(worker, run, report.number)
    ]
    checkpoint = checkpoints.CheckpointChoice()
    starts = []
    for run in delivery.choose_for_answer(term.book, due):
        job = term.book.jobs[run.task.job]
        step = term.book.get_step(run.task)
        task = term.book.get_task(run.task)
        assert step is not None and task is not None
        saved = checkpoint.choose(step, task)
        starts.append(
            calls.StartOrder(
                run.task, run.run, job.spec.body, saved, run.ticket
            )
        )
    return starts


def _choose_report_ms(
    term: term_state.Term, worker: worker_table.Worker, has_more: bool
) -> int:
    """Chooses after which time a worker should report again.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        has_more: Whether it is told to start runs, or not all orders fit.

    Returns:
        Time in milliseconds.
    """
    if has_more:
        return _CONFIRM_START_MS
    for (task, _), begun_after_ms in worker.begun_after_ms.items():
        worked_ms = worker.last_report_ms - begun_after_ms
        if worked_ms >= crash_evidence.STARTED_MS:
            continue
        if isolating.is_suspect(term, task):
            return min(_WATCH_SUSPECT_MS, term.settings.report_ms)
    return term.settings.report_ms
