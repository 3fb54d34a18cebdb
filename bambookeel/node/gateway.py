"""Brings calls to the scheduling leader and their answers back.

Every call may be sent again: jobs and configurations carry their own identity,
and a worker's report its number. A call is therefore tried until its time is
up, with whoever leads then; what remains unknown at its end is told so.
"""

import itertools
import secrets

import gevent
import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.jobs import calls
from bambookeel.net import channels
from bambookeel.node import leader_finder
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

# How long one try waits for the leader's answer.
_TRY_MS = 1_000
# Pause before the next try when nobody leads.
_PAUSE_MS = 40
_TICK_MS = 50
# How often a node with a disk tells its seeds who leads: after a restart of all
# nodes, seeds without a disk know nobody whom they could ask.
_ANNOUNCE_MS = 1_000


class Gateway:
    """Calls that are on their way, and the belief about the leader."""

    def __init__(
        self,
        belief: leader_finder.Belief,
        link: channels.Channels,
        announces: bool,
    ) -> None:
        self.belief = belief
        self._announces = announces
        self._announced_ms = 0
        self._channels = link
        self._numbers = itertools.count(secrets.randbits(40) << 20)
        self._waiting: dict[int, gevent.event.AsyncResult] = {}
        self._news = gevent.event.Event()

    def call(
        self, call: calls.Call, timeout_ms: int, leaderless_ms: int
    ) -> calls.Answer:
        """Makes one call, and counts it.

        Args:
            call: The call.
            timeout_ms: Longest time for it.
            leaderless_ms: Longest wait while nobody is known to lead.

        Returns:
            The answer; `NotLeading` when there was none in time.
        """
        begun_ms = clock.read_now_ms()
        answer = self._call(call, timeout_ms, leaderless_ms)
        metrics.observe_leader_call(
            type(call).__name__,
            type(answer).__name__,
            clock.read_now_ms() - begun_ms,
        )
        return answer

    def _call(
        self, call: calls.Call, timeout_ms: int, leaderless_ms: int
    ) -> calls.Answer:
        """Makes one call.

        Args:
            call: The call.
            timeout_ms: Longest time for it.
            leaderless_ms: Longest wait while nobody is known to lead.

        Returns:
            The answer; `NotLeading` when there was none in time.
        """
        begun_ms = clock.read_now_ms()
        ends_ms = begun_ms + timeout_ms
        may_have_effect = False
        payload = calls.encode_call(call)
        while True:
            now_ms = clock.read_now_ms()
            left_ms = ends_ms - now_ms
            if left_ms <= 0:
                break
            leader = self.belief.leader
            is_known = bool(leader) and self.belief.is_confirmed(now_ms)
            if not is_known:
                if now_ms - begun_ms >= leaderless_ms:
                    break
                self._news.clear()
                self._news.wait(min(_PAUSE_MS, left_ms) / 1000.0)
                continue
            answer = self._try(leader, payload, min(left_ms, _TRY_MS))
            if answer is None:
                may_have_effect = True
                leader_finder.doubt(self.belief, leader)
                continue
            if not isinstance(answer, calls.NotLeading):
                return answer
            may_have_effect = may_have_effect or answer.is_unknown
            leader_finder.doubt(self.belief, leader)
            gevent.sleep(_PAUSE_MS / 1000.0)
        return calls.NotLeading("", may_have_effect)

    def _try(
        self, leader: ids.ProcessId, payload: bytes, timeout_ms: int
    ) -> calls.Answer | None:
        number = next(self._numbers)
        reply = gevent.event.AsyncResult()
        self._waiting[number] = reply
        try:
            self._channels.send(leader, messages.LeaderCall(number, payload))
            return reply.get(timeout=timeout_ms / 1000.0)
        except gevent.Timeout:
            return None
        finally:
            del self._waiting[number]

    def take_message(
        self, peer: ids.ProcessId, message: messages.Message
    ) -> None:
        """Takes an answer to a call or to the question who leads.

        Args:
            peer: Who sent it.
            message: The message.
        """
        match message:
            case messages.LeaderAnswer(number, payload):
                reply = self._waiting.get(number)
                if reply is not None:
                    reply.set(calls.decode_answer(payload))
            case messages.LeaderKnown():
                now_ms = clock.read_now_ms()
                belief = self.belief
                if leader_finder.take_answer(belief, peer, message, now_ms):
                    logs.log_event(
                        "leader_believed",
                        leader=belief.leader or "none",
                        term=belief.term,
                        told_by=peer,
                    )
                self._news.set()

    def describe_leader(self) -> messages.LeaderKnown:
        """Tells what is believed, to others who ask.

        Returns:
            The answer, with no nonce.
        """
        belief = self.belief
        return messages.LeaderKnown(
            0, belief.leader, ids.Term(belief.term), False, belief.voters
        )

    def run(self) -> None:
        """Asks who leads until the task is killed."""
        while True:
            now_ms = clock.read_now_ms()
            for peer in leader_finder.choose_asked(self.belief, now_ms):
                self._channels.send(peer, messages.LeaderQuestion(now_ms))
            if self._announces:
                self._announce(now_ms)
            gevent.sleep(_TICK_MS / 1000.0)

    def _announce(self, now_ms: int) -> None:
        belief = self.belief
        if now_ms - self._announced_ms < _ANNOUNCE_MS:
            return
        if not belief.is_confirmed(now_ms):
            return
        self._announced_ms = now_ms
        for seed in belief.seeds:
            if seed != belief.own and seed not in belief.voters:
                self._channels.send(seed, self.describe_leader())
