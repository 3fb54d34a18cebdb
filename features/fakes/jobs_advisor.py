"""A simulated advisor for the simulated workers.

Its response time grows with the number of workers in a question. It issues
tickets that are valid for a limited time, for one step and one incarnation of a
worker.
"""

import zlib

from bambookeel.jobs import advice

_QUESTION_MS = 60
_WORKER_MS = 5
_MAX_PENDING = 32


class FakeAdvisor:
    """Answers the questions of the scheduler in a simulation."""

    def __init__(self, simulation, share=0.5, valid_ms=6_000, allowed=None):
        self._simulation = simulation
        self._share = share
        # Ids of the only allowed workers; None to decide by the share.
        self._allowed = allowed
        self.valid_ms = valid_ms
        self.is_silent = False
        self.questions = []
        self._pending = []
        self._tickets = {}
        self.refused_starts = 0

    def is_allowed(self, key, worker):
        """Returns whether the policy allows a worker to run a step."""
        if self._allowed is not None:
            return worker in self._allowed
        if worker in ("w0", "w1", "w2"):
            # Enough workers for tasks that must run on different instances.
            return True
        percentile = zlib.crc32(f"{key} {worker}".encode()) % 100
        return percentile < 100 * self._share

    def discard_questions(self):
        """Discards the questions of a leader that has been replaced."""
        self._pending = []

    def step(self):
        """Accepts new questions and sends the answers that are due."""
        simulation = self._simulation
        for question in simulation.scheduler.take_questions():
            self.questions.append(question)
            duration_ms = _QUESTION_MS + _WORKER_MS * len(question.workers)
            if self.is_silent or len(self._pending) >= _MAX_PENDING:
                self._pending.append(
                    (simulation.now_ms + 1_000, question, None)
                )
                continue
            due_ms = simulation.now_ms + duration_ms
            self._pending.append((due_ms, question, self._issue(question)))
        for pending in list(self._pending):
            due_ms, question, approvals = pending
            if due_ms <= simulation.now_ms:
                self._pending.remove(pending)
                simulation.scheduler.handle_advice(
                    question, approvals, simulation.read_now()
                )

    def _issue(self, question):
        approvals = []
        for incarnation in question.workers:
            if not self.is_allowed(question.step, incarnation.worker):
                continue
            ticket = f"ticket-{len(self._tickets)}"
            until_ms = self._simulation.now_ms + self.valid_ms
            self._tickets[ticket] = (question.step, incarnation, until_ms)
            approvals.append(advice.Approval(incarnation.worker, ticket))
        return tuple(approvals)

    def accepts(self, ticket, key, incarnation):
        """Returns whether a ticket is valid; counts a refused start if not."""
        found = self._tickets.get(ticket)
        is_valid = (
            found is not None
            and found[:2] == (key, incarnation)
            and self._simulation.now_ms < found[2]
        )
        self.refused_starts += not is_valid
        return is_valid
