"""Sends the leader's questions to the advisor in the background.

The replica's task never waits for the advisor.
"""

import dataclasses

import gevent

from bambookeel.jobs import advice
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox

# Limit of an error in a log line.
_MAX_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceResult:
    """Result of a question to the advisor.

    Attributes:
        question: The question that was asked.
        approvals: Approvals of the allowed workers; None if there was no
            answer.
        term: Term of the leader that asked.
    """

    question: advice.Question
    approvals: tuple[advice.Approval, ...] | None
    term: int


class AdvisorTask:
    """Asks each question in a task of its own."""

    def __init__(
        self, advisor: advice.Advisor, target: mailbox.Mailbox
    ) -> None:
        self._advisor = advisor
        self._target = target

    def ask(self, question: advice.Question, term: int) -> None:
        """Asks in the background; the result goes to the target mailbox.

        Args:
            question: The question to ask.
            term: Term of the leader that asks.
        """
        gevent.spawn(self._ask, question, term)

    def _ask(self, question: advice.Question, term: int) -> None:
        approvals = None
        try:
            approvals = self._advisor.ask(question)
        except Exception as error:  # pylint: disable=broad-exception-caught
            # Without a result, no other question would ever be asked.
            logs.log_event("advisor_failed", error=repr(error)[:_MAX_CHARS])
        self._target.put(AdviceResult(question, approvals, term))
