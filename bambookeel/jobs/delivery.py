"""Judges by reports whether a worker can have received the order for a run.

A worker sends a report once the answers to its earlier ones have arrived or
would be dropped. A report that does not list a run shows that no answer to an
earlier report has started it, but nothing about answers to this report or to
later ones: it may have been delayed until another leader had answered those.

An order therefore goes only with answers to reports up to a number that stands
in the log before. A report beyond that number shows whether the run has been
received, whichever leader it reaches, until the number is raised.
"""

import collections
from collections.abc import Iterable

from bambookeel.jobs import book as job_book
from bambookeel.jobs import checkpoints
from bambookeel.jobs import order_sizes
from bambookeel.jobs import run_records
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# A report lists at most this many ends; others follow when these have been
# acknowledged.
_MAX_LISTED_ENDS = 500


def may_run_unheard(
    term: term_state.Term,
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
) -> bool:
    """Returns whether a run may be in progress that the last report omits.

    Args:
        term: State of the leader's term.
        worker: Worker as last reported.
        assigned: Run that is assigned to it and that the report does not list.

    Returns:
        True if an earlier leader may have sent the order with the answer to
        that report or to a later one, or if the report may omit the run's end.
        Orders of this leader are not considered: it has not answered a later
        report, and its last answer is known.
    """
    if len(worker.report.ends) >= _MAX_LISTED_ENDS:
        return True
    if (assigned.task, assigned.run) in term.assigned_ms:
        return False
    return worker.report.number <= assigned.order_limit


def may_be_on_way(
    term: term_state.Term,
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
) -> bool:
    """Returns whether an answer that has not arrived may carry a run's order.

    Args:
        term: State of the leader's term.
        worker: Worker as last reported.
        assigned: Run that is assigned to it.

    Returns:
        False if the worker has received the run, or if no answer to its last
        report or to a later one can carry the order.
    """
    if is_reported(worker, assigned):
        return False
    if (assigned.task, assigned.run) in worker.ordered:
        return True
    return may_run_unheard(term, worker, assigned)


def is_reported(
    worker: worker_table.Worker, assigned: run_records.AssignedRun
) -> bool:
    """Returns whether the last report of a worker lists a run.

    Args:
        worker: Worker as last reported.
        assigned: Run that is assigned to it.

    Returns:
        True if the run is in progress by that report.
    """
    listed = worker.running.get(assigned.task)
    return listed is not None and listed.run == assigned.run


def may_send(
    worker: worker_table.Worker,
    assigned: run_records.AssignedRun,
    report_number: int,
) -> bool:
    """Returns whether the answer to a report may carry the order for a run.

    Args:
        worker: Worker that has reported.
        assigned: Run that is assigned to it.
        report_number: Number of the report that is answered.

    Returns:
        False if the order is withheld, or if the report is beyond the limit.
    """
    if (assigned.task, assigned.run) in worker.withheld:
        return False
    return report_number <= assigned.order_limit


def choose_for_answer(
    book: job_book.Book, runs: Iterable[run_records.AssignedRun]
) -> list[run_records.AssignedRun]:
    """Chooses the runs whose orders fit in one answer; jobs take turns.

    Args:
        book: The job book.
        runs: Runs that should start, in the order of their assignment.

    Returns:
        All of them if they fit. Otherwise as many as fit, but at least one, of
        the first run of each job, then the second one of each, and so on.
    """
    checkpoint = checkpoints.CheckpointChoice()
    sized = [(run, checkpoint.measure_order(book, run)) for run in runs]
    left = order_sizes.MAX_START_BYTES
    if sum(size for _, size in sized) <= left:
        return [run for run, _ in sized]
    counts: collections.Counter[str] = collections.Counter()
    ranked = []
    for run, size in sized:
        counts[run.task.job] += 1
        ranked.append((counts[run.task.job], run, size))
    ranked.sort(key=lambda entry: entry[0])
    chosen: list[run_records.AssignedRun] = []
    for _, run, size in ranked:
        if size > left and chosen:
            continue
        chosen.append(run)
        left -= size
    return chosen
