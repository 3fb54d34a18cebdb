"""Decides whether a request that failed may be sent again.

Pure: a second try is safe when no byte of the request had been handed to a
backend server (or that server said that it ran nothing), or when the request is
declared idempotent and nothing of an answer has reached its caller. The budget
keeps second tries to a part of the first ones, so that they cannot amplify an
overload.
"""

import dataclasses

from bambookeel.core import outcomes

MAX_TRIES = 3
# Second tries per first try in the long run, and how many may come at once.
_EARNED_PER_REQUEST = 0.2
_MAX_BUDGET = 20.0
# A further try needs time for a grant and an answer.
_MIN_REMAINING_MS = 20
# Failures that another backend server may not have.
_RETRIABLE_NOT_RUN = (
    outcomes.Reason.CONNECT_FAILED,
    outcomes.Reason.BACKEND_REFUSED,
    outcomes.Reason.OVERLOADED,
    outcomes.Reason.STALE_EPOCH,
)


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """How many second tries one service may make now.

    Attributes:
        available: Second tries that are allowed.
    """

    available: float = _MAX_BUDGET

    def earn(self) -> None:
        """Counts a first try."""
        self.available = min(_MAX_BUDGET, self.available + _EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Takes one second try out of the budget.

        Returns:
            Whether there was one.
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
    """Tells whether a failed request may be sent again.

    Args:
        outcome: How the last try ended.
        idempotent: Whether the request is declared idempotent.
        tries: Tries so far.
        remaining_ms: Time until the request's deadline.

    Returns:
        Whether a second try cannot break a promise and has time left.
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
