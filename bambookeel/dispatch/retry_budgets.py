"""Retry budgets, so that second tries never amplify an overload.

Each team earns a part of a second try with each first request; a second try
spends a whole one. Without a balance the second try is refused.
"""

import dataclasses

from bambookeel.core import ids

_EARNED_PER_REQUEST = 0.1
_MAX_BALANCE = 10.0


@dataclasses.dataclass(slots=True)
class RetryBudgets:
    """Balances of second tries by team."""

    balances: dict[ids.TeamName, float] = dataclasses.field(
        default_factory=dict
    )


def earn(budgets: RetryBudgets, team: ids.TeamName) -> None:
    """Counts a first request.

    Args:
        budgets: The budgets.
        team: Its team.
    """
    balance = budgets.balances.get(team, _MAX_BALANCE)
    budgets.balances[team] = min(_MAX_BALANCE, balance + _EARNED_PER_REQUEST)


def spend(budgets: RetryBudgets, team: ids.TeamName) -> bool:
    """Asks for a second try.

    Args:
        budgets: The budgets.
        team: Its team.

    Returns:
        Whether the budget allows it.
    """
    balance = budgets.balances.get(team, _MAX_BALANCE)
    if balance < 1.0:
        return False
    budgets.balances[team] = balance - 1.0
    return True
