"""Scheduler of the leader: handles calls and reports, timers and planning.

Each call is answered by a function that the leader calls once the commands
decided so far are committed. Nothing here does I/O or reads a clock.
"""

import typing

from bambookeel.jobs import advice
from bambookeel.jobs import advising
from bambookeel.jobs import book as job_book
from bambookeel.jobs import callers
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import evacuation_steps
from bambookeel.jobs import forecasting
from bambookeel.jobs import instance_steps
from bambookeel.jobs import instances
from bambookeel.jobs import losses
from bambookeel.jobs import operators
from bambookeel.jobs import planning
from bambookeel.jobs import reports
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import term as term_state
from bambookeel.jobs import undelivered
from bambookeel.jobs import waiting

# The scheduler plans after every decision, and at this interval since tasks may
# become due and workers usable without one.
_PLAN_INTERVAL_MS = 50

DeferredAnswer = term_state.DeferredAnswer
Now = term_state.Now
SchedulerSettings = job_settings.SchedulerSettings


class Scheduler:
    """Decisions in one leader's term."""

    def __init__(
        self,
        book: job_book.Book,
        settings: SchedulerSettings,
        fencing_token: int,
        now: Now,
    ) -> None:
        self.term = term_state.Term(book, settings, fencing_token, now)
        forecasting.learn_from_book(self.term)

    @property
    def book(self) -> job_book.Book:
        """The job book, including decisions that are not committed yet."""
        return self.term.book

    def take_batch(self) -> tuple[commands.Command, ...]:
        """Returns the commands decided since the last call and clears them.

        Returns:
            Commands for one log entry, already applied to the book.
        """
        batch = tuple(self.term.batch)
        self.term.batch = []
        return batch

    def take_orders(self) -> list[instances.Order]:
        """Returns the queued orders to the provider and clears the queue.

        Returns:
            Orders to send once the commands decided so far are committed.
        """
        orders = self.term.orders
        self.term.orders = []
        return orders

    def take_questions(self) -> list[advice.Question]:
        """Returns the queued questions to the advisor and clears the queue.

        Returns:
            Questions to send to the advisor.
        """
        questions = self.term.questions
        self.term.questions = []
        return questions

    def take_log_events(self) -> list[tuple[str, dict[str, typing.Any]]]:
        """Returns the queued log events and clears the queue.

        Returns:
            Name and fields of each event.
        """
        log_events = self.term.log_events
        self.term.log_events = []
        return log_events

    def take_ended_waits(self) -> dict[str, tuple[int, int]]:
        """Takes the waits for a rack that have ended and are not counted yet.

        Returns:
            Number of their tasks and the time that these waited, in
            milliseconds, by outcome.
        """
        return {
            outcome.value: (ended.tasks, ended.waited_ms)
            for outcome, ended in self.term.place_waits.take_ended().items()
        }

    def begin_list_if_due(self, now_ms: int) -> bool:
        """Marks the provider's list as requested if a new one is due.

        Args:
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Whether the caller must request the list now.
        """
        return self.term.instance_controller.begin_list_if_due(
            self.term.book, now_ms
        )

    def handle(self, call: calls.Call, now: Now) -> DeferredAnswer:
        """Handles one call.

        Args:
            call: Decoded call.
            now: Current time.

        Returns:
            Function that returns the answer, to be called once the commands
            decided so far are committed.
        """
        if isinstance(call, calls.WorkerReport):
            return reports.handle_report(self.term, call, now)
        return term_state.make_deferred(self._answer(call, now))

    def _answer(self, call: calls.Call, now: Now) -> calls.Answer:
        term = self.term
        match call:
            case calls.SubmitJob():
                return callers.submit_job(term, call, now)
            case calls.AskJob():
                return callers.get_job_state(term, call)
            case calls.CancelJob():
                return callers.cancel_job(term, call, now)
            case calls.CountJobs():
                return callers.count_jobs(term, call)
            case calls.WorkerLeft():
                return reports.handle_worker_left(term, call, now)
            case calls.PutDocument(document):
                return operators.put_document(term, document)
            case calls.GetDocument():
                return operators.get_document(term)
            case calls.StartWave():
                return operators.start_wave(term, call, now)
            case calls.AskWave(wave):
                return operators.get_wave_state(term, wave)
            case calls.BeginEvacuation() | calls.EndEvacuation():
                return operators.change_evacuation(term, call, now)
            case calls.ListEvacuations():
                return operators.list_evacuations(term)
        return calls.BadRequest(f"{type(call).__name__} has no answer")

    def handle_order_outcome(
        self,
        order: instances.Order,
        outcome: instances.OrderOutcome,
        now: Now,
    ) -> None:
        """Handles the outcome of an order to the provider.

        Args:
            order: Order that was sent.
            outcome: Outcome of the order.
            now: Current time.
        """
        instance_steps.handle_order_outcome(self.term, order, outcome, now)

    def handle_instance_list(
        self, listed: tuple[instances.Instance, ...] | None, requested_ms: int
    ) -> None:
        """Handles the provider's list of instances.

        Args:
            listed: All instances; None if the request failed.
            requested_ms: Steady-clock time in milliseconds of the request.
        """
        instance_steps.handle_instance_list(self.term, listed, requested_ms)

    def handle_advice(
        self,
        question: advice.Question,
        approvals: tuple[advice.Approval, ...] | None,
        now: Now,
    ) -> None:
        """Handles the advisor's answer to a question.

        Args:
            question: Question that was sent.
            approvals: Approvals of the allowed workers; None if there was no
                answer.
            now: Current time.
        """
        advising.handle_answer(self.term, question, approvals, now)

    def tick(self, now: Now) -> None:
        """Expires leases, takes back unsent runs, controls instances and logs.

        Args:
            now: Current time.
        """
        losses.expire_leases(self.term, now)
        undelivered.lose_unsent(self.term, now)
        reports.drop_old_jobs(self.term, now)
        instance_steps.control_instances(self.term, now)
        evacuation_steps.carry_out(self.term, now)
        waiting.log_waiting_steps(self.term, now)

    def plan(self, now: Now) -> None:
        """Assigns waiting tasks to workers if something may have changed.

        Args:
            now: Current time.
        """
        term = self.term
        if (
            not term.batch
            and now.steady_ms - term.planned_ms < _PLAN_INTERVAL_MS
        ):
            return
        term.planned_ms = now.steady_ms
        planning.plan(term, now)
        advising.choose_question(term, now)
