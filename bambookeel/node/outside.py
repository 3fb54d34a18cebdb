"""Requests of a leader to external services: the provider and the advisor.

Their results arrive in the replica's mailbox. Results of requests that were
made in an earlier term are dropped.
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
    """The instance provider and the advisor; a node may lack either."""

    def __init__(
        self, target: mailbox.Mailbox, leads: Callable[[int], bool]
    ) -> None:
        self._target = target
        # Returns whether this node still leads in the given term.
        self._leads = leads
        self._provider: provider_task.ProviderTask | None = None
        self._advisor: advisor_task.AdvisorTask | None = None
        self._results: list[ServiceResult] = []

    def connect_provider(
        self, provider: instances.Provider, holder: str
    ) -> None:
        """Sets the provider that carries out orders.

        Args:
            provider: Provider of instances.
            holder: Name of the node, as the holder of the provider's lease.
        """
        self._provider = provider_task.ProviderTask(
            provider, holder, self._target
        )

    def connect_advisor(self, advisor: advice.Advisor) -> None:
        """Sets the advisor that approves workers.

        Args:
            advisor: Advisor to ask.
        """
        self._advisor = advisor_task.AdvisorTask(advisor, self._target)

    def add_result(self, result: ServiceResult) -> None:
        """Keeps a result until it is passed to the scheduler.

        Args:
            result: Result from the replica's mailbox.
        """
        self._results.append(result)

    def pass_results(
        self,
        scheduler: job_scheduler.Scheduler,
        term: int,
        now: job_scheduler.Now,
    ) -> None:
        """Passes the kept results to the scheduler, which may decide on them.

        Args:
            scheduler: Scheduler of the current term.
            term: The current term; results of other terms are dropped.
            now: Current steady and wall time.
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
        """Sends the scheduler's questions, and prepares to send its orders.

        Args:
            scheduler: Scheduler of the current term.
            term: The current term.
            now: Current steady and wall time.

        Returns:
            One function for each order, to be called with `Done` once the batch
            with the order is committed, or with `NotLeading` if it is not. The
            function sends a committed order.
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
        """Sends an order if the batch with it was committed.

        Args:
            provider: Task that sends the order.
            order: The order to send.
            term: Term in which the order was decided.
            answer: `Done` if the batch was committed.
        """
        if isinstance(answer, calls.Done):
            provider.carry_out(order, term, self._leads)
