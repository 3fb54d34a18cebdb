"""Sends calls to the scheduling leader and returns its answers.

Repeating a call is safe: jobs and configurations carry their own identity, and
a worker's report its sequence number. A call is therefore retried until its
timeout, each time with the current leader. If it may still have taken effect
after that, the answer says so.
"""

import dataclasses
import enum
import itertools
import secrets

import gevent
import gevent.event
from returns import result

from bambookeel.core import client_limits
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.jobs import calls
from bambookeel.net import channels
from bambookeel.net import codec
from bambookeel.node import leader_finder
from bambookeel.node import leaderless
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

# Time limit for the leader's answer to one attempt.
_ATTEMPT_TIMEOUT_MS = 1_000
# Delay before the next attempt while no leader is known or answers.
_RETRY_DELAY_MS = 40
# Interval of `ask_and_announce`.
TICK_MS = 50
# Interval at which a node with a disk tells its seeds who leads. After a
# restart of all nodes, seeds without a disk know no process that they could
# ask.
_ANNOUNCE_MS = 1_000
# Limit of an error in a log line.
_MAX_CHARS = 200
# Maximum size of a call; the rest of the message is its header.
_MAX_CALL_BYTES = codec.MAX_MESSAGE_BYTES - 1024


class _NoAnswer(enum.Enum):
    """Why an attempt has no answer."""

    # It waited in vain for a connection, so that the call has no effect.
    NOT_SENT = "not_sent"
    MAY_HAVE_ARRIVED = "may_have_arrived"


class Gateway:
    """Calls that wait for an answer, and the node's view of the leader."""

    def __init__(
        self,
        view: leader_finder.LeaderView,
        node_channels: channels.Channels,
        announces: bool,
    ) -> None:
        self.leader_view = view
        self._announces = announces
        self._announced_ms = 0
        self._channels = node_channels
        self._call_numbers = itertools.count(secrets.randbits(40) << 20)
        self._replies: dict[int, gevent.event.AsyncResult] = {}
        self._leader_answered = gevent.event.Event()
        # Limits for callers in the configuration that the leader last named.
        self.client_limits = client_limits.DEFAULT

    def call(
        self,
        call: calls.Call,
        timeout_ms: int,
        leaderless_ms: int | None = None,
    ) -> calls.Answer:
        """Makes one call and records its duration and answer as metrics.

        Args:
            call: The call to make.
            timeout_ms: Time limit for the call, in milliseconds.
            leaderless_ms: Maximum wait in milliseconds while no leader is
                known; None if it depends on the duration of the outage.

        Returns:
            The answer; `NotLeading` if there was none in time.
        """
        start_ms = clock.read_now_ms()
        if leaderless_ms is None:
            outage_ms = self.leader_view.measure_outage_ms(start_ms)
            leaderless_ms = leaderless.compute_wait_ms(outage_ms)
        answer = self._call(call, timeout_ms, leaderless_ms)
        metrics.observe_leader_call(
            type(call).__name__,
            type(answer).__name__,
            clock.read_now_ms() - start_ms,
        )
        return answer

    def _call(
        self, call: calls.Call, timeout_ms: int, leaderless_ms: int
    ) -> calls.Answer:
        """Makes one call, with as many attempts as the time limits allow.

        Args:
            call: The call to make.
            timeout_ms: Time limit for the call, in milliseconds.
            leaderless_ms: Maximum wait in milliseconds while no leader is
                known.

        Returns:
            The answer; `NotLeading` if there was none in time.
        """
        start_ms = clock.read_now_ms()
        deadline_ms = start_ms + timeout_ms
        may_have_effect = False
        try:
            payload = calls.encode_call(call)
        except (OverflowError, TypeError, ValueError) as error:
            logs.log_event("call_unencodable", error=repr(error)[:_MAX_CHARS])
            return calls.BadRequest("the call cannot be encoded")
        if len(payload) > _MAX_CALL_BYTES:
            logs.log_event("call_too_large", size=len(payload))
            return calls.BadRequest(
                f"the call is {len(payload)} bytes; at most {_MAX_CALL_BYTES}"
            )
        while True:
            now_ms = clock.read_now_ms()
            remaining_ms = deadline_ms - now_ms
            if remaining_ms <= 0:
                break
            leader = self.leader_view.leader
            is_known = bool(leader) and self.leader_view.is_confirmed(now_ms)
            if not is_known:
                if now_ms - start_ms >= leaderless_ms:
                    break
                self._leader_answered.clear()
                self._leader_answered.wait(
                    min(_RETRY_DELAY_MS, remaining_ms) / 1000.0
                )
                continue
            answer = self._send_once(
                leader, payload, min(remaining_ms, _ATTEMPT_TIMEOUT_MS)
            )
            if isinstance(answer, _NoAnswer):
                may_have_effect |= answer is _NoAnswer.MAY_HAVE_ARRIVED
                leader_finder.mark_unconfirmed(self.leader_view, leader)
                continue
            if not isinstance(answer, calls.NotLeading):
                return answer
            may_have_effect = may_have_effect or answer.is_unknown
            leader_finder.mark_unconfirmed(self.leader_view, leader)
            gevent.sleep(_RETRY_DELAY_MS / 1000.0)
        outage_ms = self.leader_view.measure_outage_ms(clock.read_now_ms())
        retry_ms = leaderless.compute_retry_ms(outage_ms)
        return calls.NotLeading("", may_have_effect, retry_ms)

    def _send_once(
        self, leader: ids.ProcessId, payload: bytes, timeout_ms: int
    ) -> "calls.Answer | _NoAnswer":
        number = next(self._call_numbers)
        reply = gevent.event.AsyncResult()
        self._replies[number] = reply
        sending = self._channels.begin_sending(
            leader, messages.LeaderCall(number, payload)
        )
        try:
            return reply.get(timeout=timeout_ms / 1000.0)
        except gevent.Timeout:
            if sending.cancel():
                return _NoAnswer.NOT_SENT
            return _NoAnswer.MAY_HAVE_ARRIVED
        finally:
            del self._replies[number]

    def handle_message(
        self, peer: ids.ProcessId, message: messages.Message
    ) -> None:
        """Handles an answer to a call or to the question which process leads.

        Args:
            peer: Process that sent the message.
            message: The answer; other messages are ignored.
        """
        match message:
            case messages.LeaderAnswer(number, payload):
                self._take_answer(peer, number, payload)
            case messages.LeaderKnown():
                now_ms = clock.read_now_ms()
                view = self.leader_view
                if message.is_certain and message.term >= view.term:
                    self._take_limits(message)
                if leader_finder.update_view(view, peer, message, now_ms):
                    logs.log_event(
                        "leader_believed",
                        leader=view.leader or "none",
                        term=view.term,
                        told_by=peer,
                    )
                self._leader_answered.set()

    def _take_limits(self, message: messages.LeaderKnown) -> None:
        for limits in message.limits:
            if limits != self.client_limits:
                self.client_limits = limits
                logs.log_event("client_limits", **dataclasses.asdict(limits))

    def _take_answer(
        self, peer: ids.ProcessId, number: int, payload: bytes
    ) -> None:
        reply = self._replies.get(number)
        if reply is None:
            return
        match calls.decode_answer(payload):
            case result.Success(answer):
                reply.set(answer)
            case result.Failure(error):
                # The call is sent again when its attempt has timed out.
                logs.log_event("answer_malformed", peer=peer, error=error)

    def find_other_leader_host(self) -> str:
        """Finds the host of the leader, if it is another process.

        Returns:
            The host; empty if no leader is known or this process leads.
        """
        leader = self.leader_view.find_other(clock.read_now_ms())
        return leader.rpartition(":")[0]

    def describe_leader(self) -> messages.LeaderKnown:
        """Builds the message that tells other processes the known leader.

        Returns:
            The message; its nonce is 0.
        """
        view = self.leader_view
        return messages.LeaderKnown(
            0, view.leader, ids.Term(view.term), False, view.voters
        )

    def run(self) -> None:
        """Asks other processes who leads until the task is killed."""
        while True:
            self.ask_and_announce(clock.read_now_ms())
            gevent.sleep(TICK_MS / 1000.0)

    def ask_and_announce(self, now_ms: int) -> None:
        """Asks who leads, and tells the seeds, if either is due.

        Args:
            now_ms: Steady time in milliseconds.
        """
        for peer in leader_finder.choose_peers_to_ask(self.leader_view, now_ms):
            self._channels.send(peer, messages.LeaderQuestion(now_ms))
        if self._announces:
            self._announce(now_ms)

    def _announce(self, now_ms: int) -> None:
        view = self.leader_view
        if now_ms - self._announced_ms < _ANNOUNCE_MS:
            return
        if not view.is_confirmed(now_ms):
            return
        self._announced_ms = now_ms
        for seed in view.seeds:
            if seed != view.own and seed not in view.voters:
                self._channels.send(seed, self.describe_leader())
