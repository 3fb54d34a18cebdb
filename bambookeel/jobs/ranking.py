"""Ranks steps with waiting tasks by urgency.

Load pattern: more arrives for many seconds than can be completed while it is
of use. By slack alone, the jobs that are too late to be of use would come first
of all late ones, and others would become useless behind them.
"""

import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import objectives
from bambookeel.jobs import term as term_state


class _Urgency(enum.IntEnum):
    """Groups of steps; each gets only what the groups before it leave free."""

    STANDING = 0
    FILLING = 1
    IN_TIME = 2
    LATE = 3
    USELESS = 4
    SUSPECT = 5


def rank_step(
    term: term_state.Term,
    step: book_records.Step,
    now: term_state.Now,
    deferred: frozenset[str] = frozenset(),
    suspects: frozenset[str] = frozenset(),
) -> tuple[int, float, int]:
    """Ranks a step: standing, by slack, late, of no use, suspects.

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
    chain_ms = term.compute_chain_ms(job, step.key[2])
    is_late = slack_ms < chain_ms
    if is_late:
        objective_ms = term.objectives_ms[job.job_id]
        useful_ms = slack_ms + (objectives.USEFUL_FACTOR - 1) * objective_ms
        if useful_ms < chain_ms:
            return (_Urgency.USELESS, slack_ms, job.admitted_wall_ms)
    if is_late or job.job_id in deferred:
        return (_Urgency.LATE, slack_ms, job.admitted_wall_ms)
    return (_Urgency.IN_TIME, slack_ms, job.admitted_wall_ms)
