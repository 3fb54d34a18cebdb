"""An advisor beside the simulated workers.

Takes one question at a time, needs time for each worker that is named, and
issues tickets that hold for a while, for one step and one life of a worker.
"""

import zlib

from bambookeel.jobs import advice

_DECISION_MS = 60
_EACH_MS = 5
_MAX_WAITING = 32


class FakeAdvisor:
    """Answers the questions of a world's scheduler."""

    def __init__(self, world, share=0.5, valid_ms=6_000, most=None):
        self._world = world
        self._share = share
        self._most = most
        self.valid_ms = valid_ms
        self.is_silent = False
        self.questions = []
        self._waiting = []
        self._tickets = {}
        self.refused_starts = 0

    def is_allowed(self, key, worker):
        """Tells whether the policy lets a worker run a step."""
        if self._most is not None:
            return worker in self._most
        if worker in ("w0", "w1", "w2"):
            # Enough for tasks that must be apart.
            return True
        drawn = zlib.crc32(f"{key} {worker}".encode()) % 100
        return drawn < 100 * self._share

    def discard_questions(self):
        """Forgets the questions of a leader that is gone."""
        self._waiting = []

    def step(self):
        """Takes new questions and answers those that are due."""
        world = self._world
        for question in world.scheduler.take_questions():
            self.questions.append(question)
            length_ms = _DECISION_MS + _EACH_MS * len(question.workers)
            if self.is_silent or len(self._waiting) >= _MAX_WAITING:
                self._waiting.append((world.now_ms + 1_000, question, None))
                continue
            due_ms = world.now_ms + length_ms
            self._waiting.append((due_ms, question, self._issue(question)))
        for each in list(self._waiting):
            due_ms, question, approvals = each
            if due_ms <= world.now_ms:
                self._waiting.remove(each)
                world.scheduler.take_advice(
                    question, approvals, world.read_now()
                )

    def _issue(self, question):
        approvals = []
        for life in question.workers:
            if not self.is_allowed(question.step, life.worker):
                continue
            ticket = f"ticket-{len(self._tickets)}"
            until_ms = self._world.now_ms + self.valid_ms
            self._tickets[ticket] = (question.step, life, until_ms)
            approvals.append(advice.Approval(life.worker, ticket))
        return tuple(approvals)

    def accepts(self, ticket, key, life):
        """Tells whether a worker takes a start with a ticket."""
        found = self._tickets.get(ticket)
        is_sound = (
            found is not None
            and found[:2] == (key, life)
            and self._world.now_ms < found[2]
        )
        self.refused_starts += not is_sound
        return is_sound
