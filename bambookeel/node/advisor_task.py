"""Asks the advisor for the leader; the replica's task never waits for it."""

import dataclasses

import gevent

from bambookeel.jobs import advice
from bambookeel.runtime import mailbox


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceResult:
    """A question to the advisor has ended.

    Attributes:
        question: The question.
        approvals: The workers that are allowed; None without an answer.
        term: The leader's term when it was asked.
    """

    question: advice.Question
    approvals: tuple[advice.Approval, ...] | None
    term: int


class AdvisorTask:
    """Asks in the background, one question at a time."""

    def __init__(
        self, advisor: advice.Advisor, target: mailbox.Mailbox
    ) -> None:
        self._advisor = advisor
        self._target = target

    def ask(self, question: advice.Question, term: int) -> None:
        """Asks in the background.

        Args:
            question: The question.
            term: The leader's term.
        """
        gevent.spawn(self._ask, question, term)

    def _ask(self, question: advice.Question, term: int) -> None:
        approvals = self._advisor.ask(question)
        self._target.put(AdviceResult(question, approvals, term))
