"""Decides what to ask the advisor, and keeps what it has approved.

The policy of some queues allows only some workers to run a step, and only an
advisor knows which. Its answers take time for each worker that is named, so
that a step is asked about once, for few workers, the roomiest first; steps that
wait come before steps that will be ready later, and first questions before
further ones. What needs no advice never waits for any of this.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import typing

import msgspec

from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# Workers named in one question: twice the tasks that wait, within these bounds.
# A job's objective leaves time for one question about 30 workers for each step.
MIN_WORKERS = 8
MAX_WORKERS = 30
# Pause after a question without an answer; the advisor may be overloaded.
_RETRY_MS = 300
# Pause between two questions about one step, in which tickets may find room.
_AGAIN_MS = 400
# A worker gets its order with its next report or the one after it; a ticket
# must hold until then.
_TICKET_MARGIN_MS = 1_000
# Oldest open jobs of a queue that are looked at for each question.
MAX_JOBS = 200


class Question(msgspec.Struct, frozen=True):
    """Asks which workers may run a step.

    Attributes:
        step: The step.
        workers: The workers.
    """

    step: book_records.StepKey
    workers: tuple[specs.WorkerLife, ...]


class Approval(typing.NamedTuple):
    """The advisor allows a worker to run the step.

    Attributes:
        worker: The worker.
        ticket: Shown to the worker with each start of the step.
    """

    worker: str
    ticket: str


class Advisor(typing.Protocol):
    """Whoever knows which workers may run a step."""

    def ask(self, question: Question) -> tuple[Approval, ...] | None:
        """Asks about some workers.

        Args:
            question: The step and the workers.

        Returns:
            Those that are allowed; None when there was no answer.
        """


@dataclasses.dataclass(slots=True)
class _StepAdvice:
    """What is known about one step.

    Attributes:
        tickets: Ticket of each approved worker, and until when it is used.
        refused: Workers that must not run the step.
        asked_ms: When it was last asked about.
        times_asked: How often.
    """

    tickets: dict[specs.WorkerLife, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    refused: set[specs.WorkerLife] = dataclasses.field(default_factory=set)
    asked_ms: int = 0
    times_asked: int = 0


class Candidate(typing.NamedTuple):
    """A step that may need advice.

    Attributes:
        step: The step.
        workers: Workers of its service that could run it.
        rank: Steps that are needed earlier come first.
    """

    step: book_records.StepRun
    workers: list[worker_table.Worker]
    rank: tuple[float, ...]


def _count_places(
    step: book_records.StepRun, worker: worker_table.Worker, held: int
) -> int:
    """Counts how many more tasks of a step a worker could take.

    Args:
        step: The step.
        worker: The worker.
        held: Tasks of the step that it has.

    Returns:
        The count; by its whole capacity while the step is not ready.
    """
    room = worker.report.capacity if step.unfinished else worker.free
    needs = step.spec.reserved
    count = len(step.waiting)
    for has, need in (
        (room.cpu_milli, needs.cpu_milli),
        (room.memory_mb, needs.memory_mb),
        (room.gpus, needs.gpus),
    ):
        if need:
            count = min(count, max(0, has) // need)
    if step.spec.max_per_instance:
        count = min(count, max(0, step.spec.max_per_instance - held))
    return count


class Advice:
    """What the advisor said in a leader's term, and what is being asked."""

    def __init__(self) -> None:
        self._steps: dict[book_records.StepKey, _StepAdvice] = {}
        self._is_asking = False
        self._retry_at_ms = 0

    def may_ask(self, now_ms: int) -> bool:
        """Tells whether a question may be asked now.

        The advisor takes one at a time from each process.

        Args:
            now_ms: The time.

        Returns:
            Whether none is under way and the last one did not just fail.
        """
        return not self._is_asking and now_ms >= self._retry_at_ms

    def list_tickets(
        self, key: book_records.StepKey, now_ms: int
    ) -> Mapping[specs.WorkerLife, str]:
        """Lists the workers that may be told to run a step now.

        Args:
            key: The step.
            now_ms: The time.

        Returns:
            Their tickets.
        """
        known = self._steps.get(key)
        if known is None:
            return {}
        return {
            life: ticket
            for life, (ticket, until_ms) in known.tickets.items()
            if now_ms < until_ms
        }

    def choose_question(
        self, candidates: Iterator[Candidate], now_ms: int
    ) -> Question | None:
        """Chooses what to ask next, and counts it as asked.

        Args:
            candidates: Steps that may need advice.
            now_ms: The time.

        Returns:
            The question; None when nothing needs one.
        """
        best: Candidate | None = None
        best_rank: tuple[float, ...] = ()
        best_workers: list[worker_table.Worker] = []
        for candidate in candidates:
            known = self._steps.get(candidate.step.key, _StepAdvice())
            if known.times_asked and now_ms - known.asked_ms < _AGAIN_MS:
                continue
            rank = (known.times_asked, *candidate.rank)
            if best is not None and rank >= best_rank:
                continue
            unknown = self._list_unknown(known, candidate, now_ms)
            if unknown:
                best, best_rank, best_workers = candidate, rank, unknown
        if best is None:
            return None
        known = self._steps.setdefault(best.step.key, _StepAdvice())
        known.times_asked += 1
        known.asked_ms = now_ms
        self._is_asking = True
        count = min(MAX_WORKERS, max(MIN_WORKERS, 2 * len(best.step.waiting)))
        best_workers.sort(key=lambda w: (-w.free.cpu_milli, w.life))
        named = tuple(worker.life for worker in best_workers[:count])
        return Question(best.step.key, named)

    def _list_unknown(
        self, known: _StepAdvice, candidate: Candidate, now_ms: int
    ) -> list[worker_table.Worker]:
        """Lists workers that could run a step and need to be asked about.

        Args:
            known: What is known about the step.
            candidate: The step with the workers that could run it.
            now_ms: The time.

        Returns:
            The workers; none while those with tickets have room for all
            tasks that wait.
        """
        step = candidate.step
        held: collections.Counter[specs.WorkerLife] = collections.Counter()
        for task in step.tasks:
            held.update(task.runs.values())
        missing = len(step.waiting)
        unknown = []
        for worker in candidate.workers:
            life = worker.life
            if life in known.refused:
                continue
            ticket = known.tickets.get(life)
            if ticket is None or now_ms >= ticket[1]:
                unknown.append(worker)
                continue
            missing -= _count_places(step, worker, held[life])
        return unknown if missing > 0 else []

    def handle_answer(
        self,
        question: Question,
        approvals: tuple[Approval, ...] | None,
        valid_ms: int,
        now_ms: int,
    ) -> None:
        """Takes what came of a question.

        Args:
            question: The question.
            approvals: The workers that are allowed; None without an answer.
            valid_ms: How long a ticket holds.
            now_ms: The time.
        """
        self._is_asking = False
        known = self._steps.get(question.step)
        if approvals is None or known is None:
            self._retry_at_ms = now_ms + _RETRY_MS
            return
        # The advisor may have issued the tickets at once.
        margin_ms = min(_TICKET_MARGIN_MS, valid_ms // 2)
        until_ms = known.asked_ms + valid_ms - margin_ms
        tickets = {each.worker: each.ticket for each in approvals}
        for life in question.workers:
            ticket = tickets.get(life.worker)
            if ticket is None:
                known.refused.add(life)
                continue
            known.tickets[life] = (ticket, until_ms)

    def retain_jobs(self, kept: typing.Container[str]) -> None:
        """Forgets the steps of jobs that are no longer on record.

        Args:
            kept: The jobs that are.
        """
        self._steps = {
            key: known for key, known in self._steps.items() if key[0] in kept
        }
