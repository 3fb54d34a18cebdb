"""Removes the runs of workers that have ended or fallen silent."""

from bambookeel.jobs import crashes
from bambookeel.jobs import former_lives
from bambookeel.jobs import giving_up
from bambookeel.jobs import lost_runs
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

_Suspects = tuple[tuple[specs.TaskRef, int], ...]


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
    unheard = _list_unheard_lives(term, worker, ended)
    for other in ended:
        suspects: _Suspects = ()
        if _is_restart(other, worker):
            suspects = crashes.find_suspects(
                term, other.incarnation, other, now
            )
        reason = "a later life was heard"
        instance = other.report.instance
        life = other.incarnation
        _end_life(term, life, other, worker, reason, suspects, instance, now)
        crashes.remember_ended(term, other, now)
        if _may_acknowledge(other, worker, now):
            worker.begin_settling()
    for life, instance in unheard:
        suspects = ()
        # Its crash has been counted if an earlier leader kept runs in doubt.
        if life not in term.book.crashes.unexplained:
            suspects = crashes.find_suspects(term, life, None, now)
        reason = "the worker has started again"
        _end_life(term, life, None, worker, reason, suspects, instance, now)
    if former_lives.has_any(term, worker.incarnation):
        worker.begin_settling()
    for incarnation, silent in list(term.book.crashes.silent_workers.items()):
        if _is_earlier(incarnation, silent.instance, worker):
            giving_up.count_crash(term, incarnation, now)


def _end_life(
    term: term_state.Term,
    life: specs.WorkerIncarnation,
    other: worker_table.Worker | None,
    worker: worker_table.Worker,
    reason: str,
    suspects: _Suspects,
    instance: str,
    now: term_state.Now,
) -> None:
    """Removes the runs of a life that has ended, other than those in doubt.

    Args:
        term: State of the leader's term.
        life: The life that has ended.
        other: The same as last reported; None if it has not reported to this
            leader.
        worker: The worker that shows its end.
        reason: Why it has ended, for the log.
        suspects: Tasks that may have crashed it.
        instance: Instance that it ran on; empty if unknown.
        now: Current time.
    """
    in_doubt: frozenset[term_state.RunKey] = frozenset()
    if life.worker == worker.incarnation.worker:
        in_doubt = former_lives.find_in_doubt(term, life, other)
    lost_runs.lose_runs(
        term, life, reason, other, suspects, instance, now.wall_ms, in_doubt
    )
    leases_until_ms = term.earlier_leases_until_ms
    if other is not None:
        leases_until_ms = other.lease_until_ms
    former_lives.keep_in_doubt(
        term, life, worker_table.FormerLife(instance, leases_until_ms)
    )


def _may_acknowledge(
    other: worker_table.Worker,
    worker: worker_table.Worker,
    now: term_state.Now,
) -> bool:
    """Returns whether an acknowledgement may reach a later life of a worker.

    Args:
        other: A worker that has ended.
        worker: The worker that has begun to report.
        now: Current time.

    Returns:
        False if the worker has another id, or if no answer that acknowledges
        ends of the former one can be on its way.
    """
    if not (other.acknowledges or other.is_settling):
        return False
    answers_until_ms = worker_table.compute_answers_end(other.last_report_ms)
    is_same = other.incarnation.worker == worker.incarnation.worker
    return is_same and now.steady_ms < answers_until_ms


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
    term: term_state.Term,
    worker: worker_table.Worker,
    ended: list[worker_table.Worker],
) -> list[tuple[specs.WorkerIncarnation, str]]:
    """Lists earlier lives of a worker that have not reported to this leader.

    Args:
        term: State of the leader's term.
        worker: The worker that has begun to report.
        ended: Workers that have reported, and have ended.

    Returns:
        Lives that still have assigned runs, with their instance; without those
        whose runs are in doubt already.
    """
    found = []
    heard = {other.incarnation for other in ended}
    for incarnation, runs in term.book.assigned_runs.items():
        if incarnation in heard or incarnation in term.former_lives:
            continue
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
    former_lives.expire(term, now)
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
        if term.book.instances.has_ended(worker.incarnation, now.wall_ms):
            term.workers.remove_ended(worker, now.steady_ms)
            continue
        worker.running = {}
        worker.reserved = specs.Resources()
        worker.run_count = 0
        worker.end_settling()
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
        if incarnation in term.former_lives:
            continue
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
