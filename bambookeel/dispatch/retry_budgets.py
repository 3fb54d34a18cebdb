"""Retry budgets, which keep retries from amplifying an overload.

Each first request of a team earns a fraction of a retry; a retry spends 1.0. A
retry is refused when the team's balance is below 1.0.
"""

import dataclasses

from bambookeel.core import ids

_EARNED_PER_REQUEST = 0.1
_MAX_BALANCE = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudgets:
    """Balance of retries by team; a new team starts with the largest one."""

    balances: dict[ids.TeamName, float] = dataclasses.field(
        default_factory=dict
    )


def earn(budgets: RetryBudgets, team: ids.TeamName) -> None:
    """Credits a team for a first request.

    Args:
        budgets: Budgets of all teams in the service.
        team: The request's team.
    """
    balance = budgets.balances.get(team, _MAX_BALANCE)
    budgets.balances[team] = min(_MAX_BALANCE, balance + _EARNED_PER_REQUEST)


def spend(budgets: RetryBudgets, team: ids.TeamName) -> bool:
    """Spends 1.0 of a team's balance on a retry.

    Args:
        budgets: Budgets of all teams in the service.
        team: The request's team.

    Returns:
        Whether the balance was sufficient; otherwise nothing is spent.
    """
    balance = budgets.balances.get(team, _MAX_BALANCE)
    if balance < 1.0:
        return False
    budgets.balances[team] = balance - 1.0
    return True
