"""Sends the commands and reads of one replica to the leader.

The leader appends commands and confirms reads through its core; a follower
sends both to the leader over the peer links. While no leader is known, they
wait for a limited time. A command that may or may not have been committed is
sent again with the same id, so that a repeat returns the first outcome. If no
outcome arrives in time, the command is answered as unknown.
"""

from collections.abc import Callable
import functools
import typing

import gevent.event

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import events as core_events
from bambookeel.consensus import records
from bambookeel.control import core_runner
from bambookeel.control import events
from bambookeel.control import replicated_state
from bambookeel.control import waiting
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.state import commands

# Timeout of a command or read.
_ANSWER_TIMEOUT_MS = 4_000
# Timeout while no leader is known, as a multiple of the longest election
# timeout.
_LEADERLESS_ELECTIONS = 3


class LeaderRequests:
    """Owns the commands and reads that have not been answered."""

    def __init__(
        self,
        runner: core_runner.CoreRunner,
        replicated: replicated_state.ReplicatedState,
        election_max_ms: int,
        read_number_base: int,
    ) -> None:
        self._runner = runner
        self._replicated = replicated
        self._leaderless_ms = _LEADERLESS_ELECTIONS * election_max_ms
        # A leader may still answer reads that this process sent before a
        # restart, so their numbers must not be used again.
        self._waiting = waiting.WaitingRequests(
            last_read_number=read_number_base
        )
        # Answers to be given once the view has been published.
        self._pending_answers: list[Callable[[], None]] = []

    def submit_local_commands(
        self, batch: list[events.LocalCommand], now_ms: int
    ) -> None:
        """Submits commands of this process to the leader.

        Args:
            batch: Commands, in the order in which they are appended.
            now_ms: Current time on the monotonic clock.
        """
        deadline_ms = now_ms + _ANSWER_TIMEOUT_MS
        self._submit_commands(
            [
                waiting.WaitingCommand(
                    event.command, event.reply.set, deadline_ms, is_local=True
                )
                for event in batch
            ]
        )

    def submit_local_read(
        self, reply: gevent.event.AsyncResult, now_ms: int
    ) -> None:
        """Submits a read of this process to the leader.

        Args:
            reply: Set to the state or to a `NotCommitted`.
            now_ms: Current time on the monotonic clock.
        """
        self._submit_read(
            waiting.WaitingRead(
                functools.partial(self._answer_local_read, reply),
                now_ms + _ANSWER_TIMEOUT_MS,
                is_local=True,
            )
        )

    def handle_message(
        self, peer: ids.ProcessId, message: messages.Message, now_ms: int
    ) -> None:
        """Handles another replica's request, or its reply to this replica.

        Args:
            peer: Process id of the other replica.
            message: The received message.
            now_ms: Current time on the monotonic clock.
        """
        match message:
            case messages.Propose():
                self._handle_proposal(peer, message, now_ms)
            case messages.ProposeReply():
                self._handle_propose_reply(message)
            case messages.ReadIndexRequest(nonce):
                read = waiting.WaitingRead(
                    functools.partial(self._answer_peer_read, peer, nonce),
                    now_ms + _ANSWER_TIMEOUT_MS,
                    is_local=False,
                )
                number = waiting.add_read(self._waiting, read)
                self._runner.run_step(core_events.ReadRequested(number, peer))
            case messages.ReadIndexReply(nonce, True, index):
                waiting.confirm_read(self._waiting, nonce, index)
            case messages.ReadIndexReply(nonce):
                waiting.refuse_read(self._waiting, nonce)

    def handle_output(self, output: core_runner.Output) -> None:
        """Handles an output of a step of the core.

        Args:
            output: An output of the core runner.
        """
        match output:
            case core_runner.Applied(index, outcome):
                command = self._waiting.appended_commands.pop(index, None)
                if command is not None:
                    self._answer(command, outcome)
            case core_runner.LeaderChanged():
                waiting.park_all(self._waiting, False)
            case core_effects.ReadConfirmed(number, index):
                waiting.confirm_read(self._waiting, number, index)
            case core_effects.ReadRefused(number):
                waiting.refuse_read(self._waiting, number)
            case core_effects.RoleChanged(_, False):
                waiting.park_all(self._waiting, True)

    def handle_peer_down(self, peer: ids.ProcessId) -> None:
        """Parks what was sent to the leader if the link to it has ended.

        Args:
            peer: Process id of the replica whose link has ended.
        """
        if peer == self._runner.get_leader():
            waiting.park_all(self._waiting, False)

    def send_answers(self) -> None:
        """Gives the answers that the published view includes."""
        answers = self._pending_answers
        self._pending_answers = []
        for answer in answers:
            answer()
        applied_index = self._runner.replicated.applied_index
        waiting.answer_applied_reads(self._waiting, applied_index)

    def _answer(
        self,
        command: waiting.WaitingCommand,
        outcome: commands.CommandOutcome | events.NotCommitted,
    ) -> None:
        self._pending_answers.append(functools.partial(command.answer, outcome))

    def _submit_commands(self, batch: list[waiting.WaitingCommand]) -> None:
        """Appends commands as the leader, or forwards or parks them.

        Args:
            batch: Commands, in the order in which they are appended.
        """
        if self._runner.core.role is records.Role.LEADER:
            self._append_commands(batch)
            return
        for command in batch:
            payload = commands.encode_command(command.command)
            propose = messages.Propose(command.command.command_id, payload)
            leader = self._runner.get_leader()
            if (
                command.is_local
                and leader
                and self._runner.send(leader, propose)
            ):
                waiting.add_forwarded_command(self._waiting, command)
                continue
            waiting.park_command(self._waiting, command, False)

    def _append_commands(self, batch: list[waiting.WaitingCommand]) -> None:
        payloads = tuple(commands.encode_command(c.command) for c in batch)
        first = self._runner.core.log.last_index + 1
        for i, command in enumerate(batch):
            self._waiting.appended_commands[first + i] = command
        refusal = self._runner.run_step(core_events.ProposalsMade(payloads))
        if not refusal:
            return
        for i, command in enumerate(batch):
            self._waiting.appended_commands.pop(first + i, None)
            outcome = events.NotCommitted(command.may_take_effect, refusal)
            self._answer(command, outcome)

    def _handle_proposal(
        self, peer: ids.ProcessId, message: messages.Propose, now_ms: int
    ) -> None:
        command = waiting.WaitingCommand(
            commands.decode_command(message.payload),
            functools.partial(self._answer_proposal, peer, message.command_id),
            now_ms + _ANSWER_TIMEOUT_MS,
            is_local=False,
        )
        self._submit_commands([command])

    def _answer_proposal(
        self,
        peer: ids.ProcessId,
        command_id: ids.CommandId,
        outcome: commands.CommandOutcome | events.NotCommitted,
    ) -> None:
        """Answers another replica that has forwarded a command.

        Args:
            peer: Process id of the other replica.
            command_id: Id of the command.
            outcome: Outcome of the command, or why there is none.
        """
        status = messages.CommandStatus.COMMITTED
        payload = b""
        if isinstance(outcome, commands.CommandOutcome):
            payload = commands.encode_outcome(outcome)
        elif outcome.may_take_effect:
            status = messages.CommandStatus.UNKNOWN
        else:
            status = messages.CommandStatus.NOT_RUN
        leader = self._runner.get_leader()
        self._runner.send(
            peer, messages.ProposeReply(command_id, status, leader, payload)
        )

    def _handle_propose_reply(self, message: messages.ProposeReply) -> None:
        answered = self._waiting.forwarded_commands.pop(message.command_id, [])
        for command in answered:
            if message.status is messages.CommandStatus.COMMITTED:
                outcome = commands.decode_outcome(message.payload)
                self._answer(command, outcome)
                continue
            is_unknown = message.status is messages.CommandStatus.UNKNOWN
            waiting.park_command(self._waiting, command, is_unknown)

    def _submit_read(self, read: waiting.WaitingRead) -> None:
        if self._runner.core.role is records.Role.LEADER:
            number = waiting.add_read(self._waiting, read)
            self._runner.run_step(core_events.ReadRequested(number))
            return
        leader = self._runner.get_leader()
        number = waiting.add_read(self._waiting, read)
        request = messages.ReadIndexRequest(number)
        if not leader or not self._runner.send(leader, request):
            waiting.refuse_read(self._waiting, number)

    def _answer_local_read(
        self,
        reply: gevent.event.AsyncResult,
        answer: ids.LogIndex | events.NotCommitted,
    ) -> None:
        is_refused = isinstance(answer, events.NotCommitted)
        reply.set(answer if is_refused else self._replicated.state)

    def _answer_peer_read(
        self,
        peer: ids.ProcessId,
        nonce: int,
        answer: typing.Any,
    ) -> None:
        confirmed = not isinstance(answer, events.NotCommitted)
        index = answer if confirmed else ids.LogIndex(0)
        leader = self._runner.get_leader()
        self._runner.send(
            peer, messages.ReadIndexReply(nonce, confirmed, index, leader)
        )

    def retry_parked(self, now_ms: int, unready_reason: str) -> None:
        """Resubmits parked commands and reads, and answers expired ones.

        Args:
            now_ms: Current time on the monotonic clock.
            unready_reason: Why no leader is known; empty if one is known.
        """
        reason = unready_reason or "no answer from the leader"
        if not self._runner.core.leader:
            now_ms += max(0, _ANSWER_TIMEOUT_MS - self._leaderless_ms)
        waiting.expire(self._waiting, now_ms, reason)
        if not self._runner.core.leader:
            return
        parked = self._waiting.parked_commands
        self._waiting.parked_commands = []
        if parked:
            self._submit_commands(parked)
        reads = self._waiting.parked_reads
        self._waiting.parked_reads = []
        for read in reads:
            self._submit_read(read)
