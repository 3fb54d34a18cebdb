"""Decides whether a request that failed may be sent again.

The functions here perform no I/O. A second try is safe if no byte of the
request was sent to a backend server, or if the server reported that it ran
nothing, or if the request is declared idempotent and no part of an answer has
reached its caller. A budget limits second tries to a fraction of the first
tries, so that they cannot amplify an overload.
"""

import dataclasses

from bambookeel.core import outcomes

MAX_TRIES = 3
# Second tries per first try in the long run, and the most that may follow each
# other without further first tries.
_EARNED_PER_REQUEST = 0.2
_MAX_BUDGET = 20.0
# A further try needs time for a grant and an answer.
_MIN_REMAINING_MS = 20
# Failures that another backend server might not have.
_RETRIABLE_NOT_RUN = (
    outcomes.Reason.CONNECT_FAILED,
    outcomes.Reason.BACKEND_REFUSED,
    outcomes.Reason.OVERLOADED,
    outcomes.Reason.STALE_EPOCH,
)


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """The budget for second tries of one service.

    Attributes:
        available: Second tries that are allowed now, with fractions.
    """

    available: float = _MAX_BUDGET

    def earn(self) -> None:
        """Adds to the budget for a first try."""
        self.available = min(_MAX_BUDGET, self.available + _EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Takes one second try from the budget.

        Returns:
            False if the budget is used up.
        """
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def is_safe_to_try_again(
    outcome: outcomes.NotRun | outcomes.Unknown,
    idempotent: bool,
    tries: int,
    remaining_ms: int,
) -> bool:
    """Checks whether a failed request may be sent again.

    Args:
        outcome: The outcome of the last try.
        idempotent: Whether the request is declared idempotent.
        tries: Number of tries so far.
        remaining_ms: Time until the request's deadline.

    Returns:
        Whether another try is safe and has enough time left.
    """
    if tries >= MAX_TRIES or remaining_ms < _MIN_REMAINING_MS:
        return False
    match outcome:
        case outcomes.NotRun(reason=reason):
            return reason in _RETRIABLE_NOT_RUN
        case outcomes.Unknown(reason=outcomes.Reason.ANSWER_TOO_LARGE):
            return False
        case outcomes.Unknown():
            return idempotent
