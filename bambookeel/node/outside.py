"""What a leader asks of others: the provider of instances and the advisor.

Their answers come back through the replica's mailbox; those to an earlier term
are dropped.
"""

from collections.abc import Callable
import functools

from bambookeel.jobs import advice
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.node import advisor_task
from bambookeel.node import provider_task
from bambookeel.runtime import mailbox

ServiceResult = (
    provider_task.OrderResult
    | provider_task.InstanceListResult
    | advisor_task.AdviceResult
)


class ExternalServices:
    """Provider and advisor, as far as a node has them."""

    def __init__(
        self, target: mailbox.Mailbox, leads: Callable[[int], bool]
    ) -> None:
        self._target = target
        # Whether the leader of a term still leads.
        self._leads = leads
        self._provider: provider_task.ProviderTask | None = None
        self._advisor: advisor_task.AdvisorTask | None = None
        self._results: list[ServiceResult] = []

    def connect_provider(
        self, provider: instances.Provider, holder: str
    ) -> None:
        """Gives the leader the provider of instances.

        Args:
            provider: The provider.
            holder: Name under which orders are given.
        """
        self._provider = provider_task.ProviderTask(
            provider, holder, self._target
        )

    def connect_advisor(self, advisor: advice.Advisor) -> None:
        """Gives the leader the advisor.

        Args:
            advisor: The advisor.
        """
        self._advisor = advisor_task.AdvisorTask(advisor, self._target)

    def add_result(self, result: ServiceResult) -> None:
        """Notes an answer until the scheduler takes it.

        Args:
            result: The answer.
        """
        self._results.append(result)

    def pass_results(
        self,
        scheduler: job_scheduler.Scheduler,
        term: int,
        now: job_scheduler.Now,
    ) -> None:
        """Hands the answers to the scheduler; decisions may follow from them.

        Args:
            scheduler: The scheduler.
            term: Its term.
            now: The time.
        """
        results = self._results
        self._results = []
        for each in results:
            if each.term != term:
                continue
            match each:
                case provider_task.OrderResult(order, outcome):
                    scheduler.handle_order_outcome(order, outcome, now)
                case provider_task.InstanceListResult(listed, asked_ms):
                    scheduler.handle_instance_list(listed, asked_ms)
                case advisor_task.AdviceResult(question, approvals):
                    scheduler.handle_advice(question, approvals, now)

    def send_requests(
        self,
        scheduler: job_scheduler.Scheduler,
        term: int,
        now: job_scheduler.Now,
    ) -> list[Callable[[calls.Answer], None]]:
        """Asks what the scheduler wants to know, and takes its orders.

        Args:
            scheduler: The scheduler.
            term: Its term.
            now: The time.

        Returns:
            One function for each order. It sends the order, and is called
            with what came of the batch that the order waits for.
        """
        questions = scheduler.take_questions()
        if self._advisor is not None:
            for question in questions:
                self._advisor.ask(question, term)
        provider = self._provider
        if provider is None:
            return []
        if scheduler.begin_list_if_due(now.steady_ms):
            provider.list_instances(term)
        return [
            functools.partial(self._send_order, provider, order, term)
            for order in scheduler.take_orders()
        ]

    def _send_order(
        self,
        provider: provider_task.ProviderTask,
        order: instances.Order,
        term: int,
        answer: calls.Answer,
    ) -> None:
        """Sends an order unless its batch was not committed.

        Args:
            provider: The provider.
            order: The order.
            term: The term in which it was decided on.
            answer: Whether the batch was committed.
        """
        if isinstance(answer, calls.Done):
            provider.carry_out(order, term, self._leads)
