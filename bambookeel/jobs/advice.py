"""Decides what to ask the advisor, and keeps the approvals that it has given.

Some queues have a policy that allows only certain workers to run a step, and
only the advisor can evaluate it. Its response time grows with the number of
workers in a question. Each question is therefore about one step and a few
workers, those with the most free processor time first. Steps that are ready
come before steps that will be ready later, and steps that have not been asked
about come before those that have. Steps that need no approval never wait for
the advisor.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import typing

import msgspec

from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# Workers in one question: twice the number of waiting tasks, within these
# bounds. A job's objective leaves time for one question about 30 workers for
# each step.
MIN_WORKERS = 8
MAX_WORKERS = 30
# Pause after a question that got no answer; the advisor may be overloaded.
_RETRY_MS = 300
# Minimum time between two questions about the same step; workers that already
# have a ticket may gain free capacity in the meantime.
_REPEAT_INTERVAL_MS = 400
# A worker receives an order in the response to its next report or to the one
# after it; the ticket must still be valid then.
_TICKET_MARGIN_MS = 1_000
# Open jobs of a queue, oldest first, that are examined for each question.
MAX_JOBS_PER_QUEUE = 200


class Question(msgspec.Struct, frozen=True):
    """Asks the advisor which workers may run a step.

    Attributes:
        step: Key of the step.
        workers: Workers that the answer must cover.
    """

    step: book_records.StepKey
    workers: tuple[specs.WorkerIncarnation, ...]


class Approval(typing.NamedTuple):
    """The advisor's permission for one worker to run the step.

    Attributes:
        worker: Id of the worker.
        ticket: Token that the worker gets with each start of the step's tasks.
    """

    worker: str
    ticket: str


class Advisor(typing.Protocol):
    """Service that decides which workers may run a step."""

    def ask(self, question: Question) -> tuple[Approval, ...] | None:
        """Asks which of some workers may run a step.

        Args:
            question: The step and the workers to check.

        Returns:
            Approvals of the allowed workers; None if there was no answer.
        """


@dataclasses.dataclass(slots=True)
class _StepAdvice:
    """The advisor's answers about one step.

    Attributes:
        tickets: Ticket of each approved worker, and the steady-clock time in
            milliseconds until which it is used.
        refused: Workers that must not run the step.
        asked_ms: Time of the last question about the step.
        times_asked: Number of questions about the step.
    """

    tickets: dict[specs.WorkerIncarnation, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    refused: set[specs.WorkerIncarnation] = dataclasses.field(
        default_factory=set
    )
    asked_ms: int = 0
    times_asked: int = 0


class Candidate(typing.NamedTuple):
    """A step that may need advice.

    Attributes:
        step: The step.
        workers: Workers of the step's service that could run it.
        rank: Sort key; steps with smaller keys are asked about first.
    """

    step: book_records.Step
    workers: list[worker_table.Worker]
    rank: tuple[float, ...]


def _count_fitting_tasks(
    step: book_records.Step, worker: worker_table.Worker, assigned: int
) -> int:
    """Counts how many more tasks of a step fit on a worker.

    Args:
        step: The step.
        worker: The worker.
        assigned: Number of the step's tasks that are assigned to the worker.

    Returns:
        Number of tasks. Based on the worker's total capacity while earlier
        steps are unfinished, and on its free capacity afterwards.
    """
    free = (
        worker.report.capacity if step.unfinished_dependencies else worker.free
    )
    count = step.spec.reserved.count_in(free, len(step.waiting))
    if step.spec.max_per_instance:
        count = min(count, max(0, step.spec.max_per_instance - assigned))
    return count


class Advice:
    """The advisor's answers in a leader's term, and the pending question."""

    def __init__(self) -> None:
        self._steps: dict[book_records.StepKey, _StepAdvice] = {}
        self._is_question_pending = False
        self._retry_at_ms = 0

    def may_ask(self, now_ms: int) -> bool:
        """Returns whether a question may be sent now.

        The advisor accepts one question at a time from each process.

        Args:
            now_ms: Steady-clock time in milliseconds.

        Returns:
            True if no question is pending and the pause after an unanswered
            question is over.
        """
        return not self._is_question_pending and now_ms >= self._retry_at_ms

    def list_tickets(
        self, key: book_records.StepKey, now_ms: int
    ) -> Mapping[specs.WorkerIncarnation, str]:
        """Lists the workers that are approved for a step.

        Args:
            key: Key of the step.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Valid tickets by worker.
        """
        known = self._steps.get(key)
        if known is None:
            return {}
        return {
            incarnation: ticket
            for incarnation, (ticket, until_ms) in known.tickets.items()
            if now_ms < until_ms
        }

    def choose_question(
        self, candidates: Iterator[Candidate], now_ms: int
    ) -> Question | None:
        """Chooses the next question and marks it as pending.

        Args:
            candidates: Steps that may need advice.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            The question; None if no step needs one.
        """
        best: Candidate | None = None
        best_rank: tuple[float, ...] = ()
        best_workers: list[worker_table.Worker] = []
        for candidate in candidates:
            known = self._steps.get(candidate.step.key, _StepAdvice())
            if (
                known.times_asked
                and now_ms - known.asked_ms < _REPEAT_INTERVAL_MS
            ):
                continue
            rank = (known.times_asked, *candidate.rank)
            if best is not None and rank >= best_rank:
                continue
            undecided = self._list_undecided(known, candidate, now_ms)
            if undecided:
                best, best_rank, best_workers = candidate, rank, undecided
        if best is None:
            return None
        known = self._steps.setdefault(best.step.key, _StepAdvice())
        known.times_asked += 1
        known.asked_ms = now_ms
        self._is_question_pending = True
        count = min(MAX_WORKERS, max(MIN_WORKERS, 2 * len(best.step.waiting)))
        best_workers.sort(key=lambda w: (-w.free.cpu_milli, w.incarnation))
        chosen = tuple(worker.incarnation for worker in best_workers[:count])
        return Question(best.step.key, chosen)

    def _list_undecided(
        self, known: _StepAdvice, candidate: Candidate, now_ms: int
    ) -> list[worker_table.Worker]:
        """Lists workers that could run a step but have no valid answer yet.

        Args:
            known: The advisor's answers about the step.
            candidate: The step and the workers that could run it.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Workers without a valid ticket that were not refused. Empty if all
            waiting tasks fit on the workers that have tickets.
        """
        step = candidate.step
        unplaced = len(step.waiting)
        undecided = []
        for worker in candidate.workers:
            incarnation = worker.incarnation
            if incarnation in known.refused:
                continue
            ticket = known.tickets.get(incarnation)
            if ticket is None or now_ms >= ticket[1]:
                undecided.append(worker)
                continue
            unplaced -= _count_fitting_tasks(
                step, worker, step.count_runs(incarnation)
            )
        return undecided if unplaced > 0 else []

    def handle_answer(
        self,
        question: Question,
        approvals: tuple[Approval, ...] | None,
        valid_ms: int,
        now_ms: int,
    ) -> None:
        """Stores the answer to the pending question.

        Args:
            question: The pending question.
            approvals: Approvals of the allowed workers; None if there was no
                answer.
            valid_ms: How long a ticket is valid, in milliseconds.
            now_ms: Steady-clock time in milliseconds.
        """
        self._is_question_pending = False
        known = self._steps.get(question.step)
        if approvals is None or known is None:
            self._retry_at_ms = now_ms + _RETRY_MS
            return
        # The advisor may have issued the tickets as soon as it was asked, so
        # their validity is counted from the time of the question.
        margin_ms = min(_TICKET_MARGIN_MS, valid_ms // 2)
        until_ms = known.asked_ms + valid_ms - margin_ms
        tickets = {each.worker: each.ticket for each in approvals}
        for incarnation in question.workers:
            ticket = tickets.get(incarnation.worker)
            if ticket is None:
                known.refused.add(incarnation)
                continue
            known.tickets[incarnation] = (ticket, until_ms)

    def retain_jobs(self, jobs: typing.Container[str]) -> None:
        """Discards the answers about all other jobs.

        Args:
            jobs: Ids of the jobs that are still in the job book.
        """
        self._steps = {
            key: known for key, known in self._steps.items() if key[0] in jobs
        }
