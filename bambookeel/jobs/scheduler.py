"""Decides for the leader: calls, reports, timers and plans, in one place.

Each call is answered by a function that the leader runs once the commands
before it are committed. Nothing here does I/O or reads a clock.
"""

import typing

from bambookeel.jobs import advice
from bambookeel.jobs import advising
from bambookeel.jobs import book as job_book
from bambookeel.jobs import callers
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import instance_steps
from bambookeel.jobs import instances
from bambookeel.jobs import operators
from bambookeel.jobs import planning
from bambookeel.jobs import reports
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import term as term_state

# A plan follows every decision; without one, workers may have become fresh or
# tasks due, which can wait this long.
_PLAN_MS = 50

DeferredAnswer = term_state.DeferredAnswer
Now = term_state.Now
SchedulerSettings = job_settings.SchedulerSettings


class Scheduler:
    """The decisions of one leader's term."""

    def __init__(
        self,
        book: job_book.Book,
        settings: SchedulerSettings,
        fencing_token: int,
        now: Now,
    ) -> None:
        self.term = term_state.Term(book, settings, fencing_token, now)

    @property
    def book(self) -> job_book.Book:
        """The job book, with everything that was decided."""
        return self.term.book

    def take_batch(self) -> tuple[commands.Command, ...]:
        """Takes the commands that were decided on since the last time.

        Returns:
            The commands, already applied to the book.
        """
        batch = tuple(self.term.batch)
        self.term.batch = []
        return batch

    def take_orders(self) -> list[instances.Order]:
        """Takes the orders to the provider that were decided on.

        Returns:
            The orders, to be sent once the batch before them is committed.
        """
        orders = self.term.orders
        self.term.orders = []
        return orders

    def take_questions(self) -> list[advice.Question]:
        """Takes the questions to the advisor that were decided on.

        Returns:
            The questions.
        """
        questions = self.term.questions
        self.term.questions = []
        return questions

    def take_log_events(self) -> list[tuple[str, dict[str, typing.Any]]]:
        """Takes what the log should say of decisions.

        Returns:
            Events with their fields.
        """
        notes = self.term.log_events
        self.term.log_events = []
        return notes

    def begin_list_if_due(self, now_ms: int) -> bool:
        """Tells whether the provider's list should be read.

        Args:
            now_ms: The time.

        Returns:
            Whether it should; it then counts as asked for.
        """
        return self.term.instance_controller.is_list_due(self.term.book, now_ms)

    def handle(self, call: calls.Call, now: Now) -> DeferredAnswer:
        """Handles one call.

        Args:
            call: The call.
            now: The time.

        Returns:
            Gives the answer, once the commands so far are committed.
        """
        if isinstance(call, calls.WorkerReport):
            return reports.take_report(self.term, call, now)
        return term_state.settle(self._answer(call, now))

    def _answer(self, call: calls.Call, now: Now) -> calls.Answer:
        term = self.term
        match call:
            case calls.SubmitJob():
                return callers.submit(term, call, now)
            case calls.AskJob():
                return callers.ask(term, call)
            case calls.CancelJob():
                return callers.cancel(term, call, now)
            case calls.CountJobs():
                return callers.count(term, call)
            case calls.WorkerLeft():
                return reports.take_leave(term, call)
            case calls.PutDocument(document):
                return operators.put_document(term, document)
            case calls.GetDocument():
                return operators.get_document(term)
            case calls.StartWave():
                return operators.start_wave(term, call, now)
            case calls.AskWave(wave):
                return operators.ask_wave(term, wave)
        return calls.BadRequest(f"{type(call).__name__} has no answer")

    def handle_order_outcome(
        self,
        order: instances.Order,
        outcome: instances.OrderOutcome,
        now: Now,
    ) -> None:
        """Takes what came of an order to the provider.

        Args:
            order: The order.
            outcome: What came of it.
            now: The time.
        """
        instance_steps.handle_outcome(self.term, order, outcome, now)

    def handle_instance_list(
        self, listed: tuple[instances.Instance, ...] | None, asked_ms: int
    ) -> None:
        """Takes the provider's list of instances.

        Args:
            listed: The instances; None when the list did not come.
            asked_ms: When it was asked for.
        """
        instance_steps.handle_list(self.term, listed, asked_ms)

    def handle_advice(
        self,
        question: advice.Question,
        approvals: tuple[advice.Approval, ...] | None,
        now: Now,
    ) -> None:
        """Takes what came of a question to the advisor.

        Args:
            question: The question.
            approvals: The workers that are allowed; None without an answer.
            now: The time.
        """
        advising.handle_answer(self.term, question, approvals, now)

    def tick(self, now: Now) -> None:
        """Ends leases that have run out, forgets old jobs, steers instances.

        Args:
            now: The time.
        """
        reports.end_leases(self.term, now)
        reports.drop_old_jobs(self.term, now)
        instance_steps.control_instances(self.term, now)

    def plan(self, now: Now) -> None:
        """Gives waiting tasks to workers, if something may have changed.

        Args:
            now: The time.
        """
        term = self.term
        if not term.batch and now.steady_ms - term.planned_ms < _PLAN_MS:
            return
        term.planned_ms = now.steady_ms
        planning.plan(term, now)
        advising.choose_question(term, now)
