"""Removes the runs of workers that have ended or fallen silent."""

from bambookeel.jobs import crashes
from bambookeel.jobs import giving_up
from bambookeel.jobs import lost_runs
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def end_earlier_lives(
    term: term_state.Term,
    worker: worker_table.Worker,
    ended: list[worker_table.Worker],
    now: term_state.Now,
) -> None:
    """Ends the workers that cannot run beside one that has begun to report.

    Those on the same instance have crashed, unless their end has another cause.

    Args:
        term: State of the leader's term.
        worker: The worker that has begun to report.
        ended: Workers that the table has removed because of it.
        now: Current time.
    """
    for other in ended:
        suspects: tuple[tuple[specs.TaskRef, int], ...] = ()
        if _is_restart(other, worker):
            suspects = crashes.find_suspects(
                term, other.incarnation, other, now
            )
        lost_runs.lose_runs(
            term,
            other.incarnation,
            "a later life was heard",
            other,
            suspects,
            at_wall_ms=now.wall_ms,
        )
        crashes.remember_ended(term, other, now)
    for incarnation, instance in _list_unheard_lives(term, worker):
        suspects = crashes.find_suspects(term, incarnation, None, now)
        lost_runs.lose_runs(
            term,
            incarnation,
            "the worker has started again",
            None,
            suspects,
            instance,
            now.wall_ms,
        )
    for incarnation, silent in list(term.book.crashes.silent_workers.items()):
        if _is_earlier(incarnation, silent.instance, worker):
            giving_up.count_crash(term, incarnation, now)


def _is_restart(
    earlier: worker_table.Worker, worker: worker_table.Worker
) -> bool:
    """Returns whether a worker is a restart of an earlier one.

    Args:
        earlier: A worker that has ended.
        worker: The worker that has begun to report.

    Returns:
        False for another instance at the same address, and for an instance
        that has moved to another pool.
    """
    is_same = (
        earlier.report.instance == worker.report.instance
        or earlier.incarnation.worker == worker.incarnation.worker
    )
    return is_same and earlier.report.service == worker.report.service


def _is_earlier(
    incarnation: specs.WorkerIncarnation,
    instance: str,
    worker: worker_table.Worker,
) -> bool:
    life = worker.incarnation
    if incarnation.born_wall_ms >= life.born_wall_ms:
        return False
    is_same_instance = bool(instance) and instance == worker.report.instance
    return is_same_instance or incarnation.worker == life.worker


def _list_unheard_lives(
    term: term_state.Term, worker: worker_table.Worker
) -> list[tuple[specs.WorkerIncarnation, str]]:
    """Lists earlier lives of a worker that have not reported to this leader.

    Args:
        term: State of the leader's term.
        worker: The worker that has begun to report.

    Returns:
        Lives that still have assigned runs, with their instance.
    """
    found = []
    for incarnation, runs in term.book.assigned_runs.items():
        instance = next((run.instance for run in runs.values()), "")
        if _is_earlier(incarnation, instance, worker):
            found.append((incarnation, instance))
    return found


def expire_leases(term: term_state.Term, now: term_state.Now) -> None:
    """Removes the runs of workers whose leases have expired.

    Runs of workers that have not reported in this term are removed once the
    leases granted by earlier leaders have expired.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    for worker in list(term.workers.by_id.values()):
        if now.steady_ms < worker.lease_until_ms:
            continue
        suspects = crashes.find_suspects(term, worker.incarnation, worker, now)
        lost_runs.lose_runs(
            term,
            worker.incarnation,
            "its lease ran out",
            worker,
            suspects,
            at_wall_ms=now.wall_ms,
        )
        worker.running = {}
        worker.reserved = specs.Resources()
        if worker.is_lease_expired:
            continue
        worker.is_lease_expired = True
        term.log_event(
            "worker_silent",
            worker=worker.incarnation.worker,
            age_ms=now.steady_ms - worker.last_report_ms,
        )
    if now.steady_ms < term.earlier_leases_until_ms:
        return
    for incarnation in list(term.book.assigned_runs):
        known = term.workers.by_id.get(incarnation.worker)
        if known is None or known.incarnation != incarnation:
            runs = term.book.assigned_runs[incarnation].values()
            instance = next((run.instance for run in runs), "")
            suspects = crashes.find_suspects(term, incarnation, None, now)
            lost_runs.lose_runs(
                term,
                incarnation,
                "not heard in this term",
                None,
                suspects,
                instance,
                now.wall_ms,
            )
