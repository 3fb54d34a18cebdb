"""Removes runs from the job book that are known to have ended."""

from bambookeel.jobs import checkpoints
from bambookeel.jobs import commands
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def lose_runs(
    term: term_state.Term,
    life: specs.WorkerIncarnation,
    reason: str,
    worker: worker_table.Worker | None,
    suspects: tuple[tuple[specs.TaskRef, int], ...] = (),
    instance: str = "",
    at_wall_ms: int = 0,
    kept: frozenset[term_state.RunKey] = frozenset(),
) -> None:
    """Removes the runs of a worker that are known to have ended.

    Args:
        term: State of the leader's term.
        life: Incarnation of the worker.
        reason: Why the runs have ended, for the log.
        worker: The worker as last reported; None if it has not reported.
        suspects: Tasks that have crashed the worker if it has crashed.
        instance: Instance of a worker that has not reported; empty if unknown.
        at_wall_ms: Unix time in milliseconds, if there are suspects.
        kept: Runs that stay assigned.
    """
    if worker is not None:
        instance = worker.report.instance
    lost = []
    for assigned in term.book.assigned_runs.get(life, {}).values():
        if (assigned.task, assigned.run) in kept:
            continue
        listed = worker.running.get(assigned.task) if worker else None
        checkpoint = checkpoints.keep(listed.saved) if listed else ""
        lost.append((assigned.task, assigned.run, checkpoint))
    if not lost and not suspects:
        return
    term.decide(
        commands.LoseRuns(
            life, reason, tuple(lost), instance, suspects, at_wall_ms
        )
    )
    term.log_event(
        "runs_lost",
        worker=life.worker,
        instance=instance,
        reason=reason,
        runs=len(lost),
    )
    for ref, run, _ in lost:
        term.log_event(
            "run_lost",
            job=ref.job,
            task=ref.position,
            run=run,
            worker=life.worker,
            born=life.born_wall_ms,
            reported=worker is not None and ref in worker.running,
            reason=reason,
        )
