"""Keeps the resource usage of a team within its cap, across all services."""

from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state


def allows(
    term: term_state.Term,
    step: book_records.Step,
    count: int,
    planned: dict[str, specs.Resources],
) -> bool:
    """Returns whether a team's cap allows more tasks of a step to run.

    Args:
        term: State of the leader's term.
        step: Step of the tasks.
        count: Number of additional tasks.
        planned: Resources that the current plan has given to each team.

    Returns:
        Whether the team stays within its cap. A single task that exceeds the
        rest of the cap is also allowed while less than half the cap is used.
    """
    job = term.book.jobs[step.key[0]]
    team = term.book.configuration.teams.get(job.team)
    nothing = specs.Resources()
    if team is None or team.cap == nothing:
        return True
    used = term.book.usage.by_team.get(job.team, nothing)
    used = used + planned.get(job.team, nothing)
    needs = step.spec.needs
    triples = (
        (used.cpu_milli, needs.cpu_milli, team.cap.cpu_milli),
        (used.memory_mb, needs.memory_mb, team.cap.memory_mb),
        (used.gpus, needs.gpus, team.cap.gpus),
    )
    for has, need, cap in triples:
        if not cap or not need:
            continue
        if has + count * need > cap and (count > 1 or 2 * has >= cap):
            return False
    return True
