"""Computes the teams' shares of a service that is full."""

from bambookeel.jobs import book_records
from bambookeel.jobs import placing
from bambookeel.jobs import shares as team_shares
from bambookeel.jobs import term as term_state


def compute_shares(
    term: term_state.Term,
    service: str,
    steps: list[book_records.Step],
    capacities: list[placing.FreeCapacity],
) -> team_shares.Shares | None:
    """Computes the teams' shares of a service that is full.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        steps: Steps of the service with waiting tasks.
        capacities: Free capacities of the service's workers.

    Returns:
        The shares; None if the free processor time is enough for all waiting
        tasks.
    """
    free_milli = sum(capacity.cpu_milli for capacity in capacities)
    left_milli = free_milli
    for step in steps:
        left_milli -= len(step.waiting) * step.spec.reserved.cpu_milli
        if left_milli < 0:
            break
    if left_milli >= 0:
        return None
    used: dict[str, int] = {}
    for name, teams in term.book.usage.by_queue.items():
        queue = term.book.find_queue(name)
        if queue is None or queue.service != service:
            continue
        for team, cpu_milli in teams.items():
            used[team] = used.get(team, 0) + cpu_milli
    waiting = {term.book.jobs[step.key[0]].team for step in steps}
    configured = term.book.configuration.teams
    weights = {
        team: configured[team].weight if team in configured else 1.0
        for team in waiting | set(used)
    }
    capacity_milli = free_milli + sum(used.values())
    return team_shares.Shares.from_weights(capacity_milli, weights, used)
