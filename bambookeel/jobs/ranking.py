"""Ranks steps with waiting tasks by urgency."""

import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import term as term_state


class _Urgency(enum.IntEnum):
    """Groups of steps; each gets only what the groups before it leave free."""

    STANDING = 0
    FILLING = 1
    IN_TIME = 2
    LATE = 3
    SUSPECT = 4


def rank_step(
    term: term_state.Term,
    step: book_records.Step,
    now: term_state.Now,
    deferred: frozenset[str] = frozenset(),
    suspects: frozenset[str] = frozenset(),
) -> tuple[int, float, int]:
    """Ranks a step: standing steps, then by slack, late ones, suspects last.

    Args:
        term: State of the leader's term.
        step: A step with waiting tasks.
        now: Current time.
        deferred: Jobs that come after those that can meet their objective.
        suspects: Jobs that come after all others.

    Returns:
        Sort key; steps with smaller keys are placed first.
    """
    job = term.book.jobs[step.key[0]]
    if step.spec.is_standing:
        urgency = _Urgency.FILLING if step.spec.is_filler else _Urgency.STANDING
        return (urgency, 0.0, job.admitted_wall_ms)
    slack_ms = term.compute_objective_wall_ms(job, step) - now.wall_ms
    if job.job_id in suspects:
        return (_Urgency.SUSPECT, slack_ms, job.admitted_wall_ms)
    is_late = slack_ms < term.compute_chain_ms(job, step.key[2])
    if is_late or job.job_id in deferred:
        return (_Urgency.LATE, slack_ms, job.admitted_wall_ms)
    return (_Urgency.IN_TIME, slack_ms, job.admitted_wall_ms)
