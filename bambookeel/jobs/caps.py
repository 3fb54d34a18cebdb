"""Keeps what a team has running within its cap, over all services."""

from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state


def allows(
    term: term_state.Term,
    step: book_records.Step,
    count: int,
    planned: dict[str, specs.Resources],
) -> bool:
    """Tells whether a team may have more of a step running.

    Args:
        term: The leader's term.
        step: The step.
        count: How many tasks more.
        planned: What the teams were given in this plan.

    Returns:
        Whether it stays within its cap. A task larger than what is left
        of a cap that is less than half used may run too.
    """
    job = term.book.jobs[step.key[0]]
    team = term.book.configuration.teams.get(job.team)
    if team is None:
        return True
    nothing = specs.Resources()
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
