"""Runs of a worker's former lives that its present life may have received.

An answer names no life. One that was on its way when a worker crashed is obeyed
by the next life under the same id, if it arrives in time. A run whose order may
have been in it is in doubt: it stays assigned until the present life lists it,
or sends a report by which no such answer can be obeyed any more and which does
not list it. The present life gets no other runs until then: the run may need
the room, and the answer may acknowledge ends, by numbers that the present life
uses again.
"""

from bambookeel.jobs import commands
from bambookeel.jobs import delivery
from bambookeel.jobs import lost_runs
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def find_in_doubt(
    term: term_state.Term,
    life: specs.WorkerIncarnation,
    worker: worker_table.Worker | None,
) -> frozenset[term_state.RunKey]:
    """Finds the runs of a life that its next life may have received.

    Args:
        term: State of the leader's term.
        life: Life that has ended, with its runs still assigned.
        worker: The life as last reported; None if it has not reported to this
            leader.

    Returns:
        Task and number of each run. A run that a report has listed is not among
        them, since the answer that may be on its way is to a later report.
    """
    found = set()
    for run in term.book.assigned_runs.get(life, {}).values():
        if worker is None or delivery.may_be_on_way(term, worker, run):
            found.add((run.task, run.run))
    return frozenset(found)


def keep_in_doubt(
    term: term_state.Term,
    life: specs.WorkerIncarnation,
    former: worker_table.FormerLife,
) -> None:
    """Keeps the runs of an ended life that are still assigned to it.

    Args:
        term: State of the leader's term.
        life: Life that has ended.
        former: What is known of it.
    """
    runs = term.book.assigned_runs.get(life, {})
    if not runs:
        term.former_lives.pop(life, None)
        return
    term.former_lives[life] = former
    for run in runs.values():
        _log(term, "run_in_doubt", life, (run.task, run.run))


def has_any(term: term_state.Term, worker: specs.WorkerIncarnation) -> bool:
    """Returns whether runs of former lives of a worker are in doubt.

    Args:
        term: State of the leader's term.
        worker: Its present life.

    Returns:
        True if there are any.
    """
    return any(life.worker == worker.worker for life in term.former_lives)


def settle(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> None:
    """Decides on the runs in doubt by a report of the worker's present life.

    Args:
        term: State of the leader's term.
        worker: The present life, which has reported.
        now: Current time.
    """
    present = worker.incarnation
    for life, former in list(term.former_lives.items()):
        if life.worker != present.worker or life == present:
            continue
        _adopt_listed(term, life, worker)
        if not worker.is_settling:
            _lose(term, life, "its next life has not received them")
            continue
        lease_end_ms = worker_table.compute_lease_end(
            now.steady_ms, term.settings.lease_ms
        )
        former.leases_until_ms = max(former.leases_until_ms, lease_end_ms)


def expire(term: term_state.Term, now: term_state.Now) -> None:
    """Removes the runs in doubt whose leases have expired.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    for life, former in list(term.former_lives.items()):
        if now.steady_ms >= former.leases_until_ms:
            _lose(term, life, "its lease ran out")


def _adopt_listed(
    term: term_state.Term,
    life: specs.WorkerIncarnation,
    worker: worker_table.Worker,
) -> None:
    report = worker.report
    listed = {(run.task, run.run) for run in report.running}
    listed.update((end.task, end.run) for end in report.ends)
    adopted = tuple(
        (run.task, run.run)
        for run in term.book.assigned_runs.get(life, {}).values()
        if (run.task, run.run) in listed
    )
    if not adopted:
        return
    term.decide(
        commands.AdoptRuns(life, worker.incarnation, report.number, adopted)
    )
    for key in adopted:
        _log(term, "run_adopted", worker.incarnation, key)


def _lose(
    term: term_state.Term, life: specs.WorkerIncarnation, reason: str
) -> None:
    former = term.former_lives.pop(life)
    lost_runs.lose_runs(term, life, reason, None, instance=former.instance)


def _log(
    term: term_state.Term,
    event: str,
    life: specs.WorkerIncarnation,
    key: term_state.RunKey,
) -> None:
    task, number = key
    term.log_event(
        event,
        job=task.job,
        task=task.position,
        run=number,
        worker=life.worker,
        born=life.born_wall_ms,
    )
