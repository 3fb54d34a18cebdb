"""Commands and reads of this replica that have not been answered.

This module does no I/O and reads no clock. A command waits until its entry is
applied, until the leader replies, or until a leader is known. It records
whether it may already take effect, so that a refusal never says that a command
was not run if it may have been.
"""

from collections.abc import Callable
import dataclasses
import typing

from bambookeel.control import events
from bambookeel.core import ids
from bambookeel.state import commands

AnswerCommand = Callable[[commands.CommandOutcome | events.NotCommitted], None]
# Takes the index that the state must have reached, or why there is none.
AnswerRead = Callable[[ids.LogIndex | events.NotCommitted], None]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCommand:
    """A command that has no outcome yet.

    Attributes:
        command: The command.
        answer: Callback that takes the outcome.
        deadline_ms: When the wait ends, on the monotonic clock.
        is_local: Whether it is from this process; only these are forwarded.
        may_take_effect: Whether it may be in a leader's log.
    """

    command: commands.Command
    answer: AnswerCommand
    deadline_ms: int
    is_local: bool
    may_take_effect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRead:
    """A read that has no answer yet.

    Attributes:
        answer: Callback that takes the index.
        deadline_ms: When the wait ends, on the monotonic clock.
        is_local: Whether it is from this process.
    """

    answer: AnswerRead
    deadline_ms: int
    is_local: bool


@dataclasses.dataclass(slots=True)
class WaitingRequests:
    """All commands and reads that are waiting.

    Attributes:
        parked_commands: Commands that wait for a leader to be known.
        parked_reads: Reads that wait for a leader to be known.
        appended_commands: Commands appended to this replica's log in the term
            that it leads, by index.
        forwarded_commands: Commands sent to the leader, by command id.
        sent_reads: Reads sent to the core or the leader, by number.
        confirmed_reads: Local reads, each with the index that must be applied
            before they are answered.
        last_read_number: Number of the last read.
    """

    parked_commands: list[WaitingCommand] = dataclasses.field(
        default_factory=list
    )
    parked_reads: list[WaitingRead] = dataclasses.field(default_factory=list)
    appended_commands: dict[int, WaitingCommand] = dataclasses.field(
        default_factory=dict
    )
    forwarded_commands: dict[ids.CommandId, list[WaitingCommand]] = (
        dataclasses.field(default_factory=dict)
    )
    sent_reads: dict[int, WaitingRead] = dataclasses.field(default_factory=dict)
    confirmed_reads: list[tuple[int, WaitingRead]] = dataclasses.field(
        default_factory=list
    )
    last_read_number: int = 0


def park_command(
    waiting: WaitingRequests, command: WaitingCommand, may_take_effect: bool
) -> None:
    """Parks a local command, and refuses one that another replica forwarded.

    Args:
        waiting: Updated in place.
        command: The command.
        may_take_effect: Whether the last attempt may have reached a log.
    """
    if may_take_effect and not command.may_take_effect:
        command = dataclasses.replace(command, may_take_effect=True)
    if command.is_local:
        waiting.parked_commands.append(command)
        return
    # The process that forwarded the command sends it to the next leader.
    detail = "this replica does not lead"
    command.answer(events.NotCommitted(command.may_take_effect, detail))


def park_all(waiting: WaitingRequests, has_stopped_leading: bool) -> None:
    """Parks all commands and reads that wait for an answer of a former leader.

    Args:
        waiting: Updated in place.
        has_stopped_leading: Whether this replica was that leader, so that the
            commands in its own log are parked too.
    """
    if has_stopped_leading:
        appended_commands = list(waiting.appended_commands.values())
        waiting.appended_commands.clear()
        for command in appended_commands:
            park_command(waiting, command, True)
    forwarded_commands = list(waiting.forwarded_commands.values())
    waiting.forwarded_commands.clear()
    for same_id in forwarded_commands:
        for command in same_id:
            park_command(waiting, command, True)
    for number in list(waiting.sent_reads):
        refuse_read(waiting, number)


def add_forwarded_command(
    waiting: WaitingRequests, command: WaitingCommand
) -> None:
    """Adds a command that was sent to the leader.

    Args:
        waiting: Updated in place.
        command: The command.
    """
    command_id = command.command.command_id
    waiting.forwarded_commands.setdefault(command_id, []).append(command)


def add_read(waiting: WaitingRequests, read: WaitingRead) -> int:
    """Adds a read that is sent to the core or the leader.

    Args:
        waiting: Updated in place.
        read: The read.

    Returns:
        The number assigned to the read.
    """
    waiting.last_read_number += 1
    waiting.sent_reads[waiting.last_read_number] = read
    return waiting.last_read_number


def confirm_read(
    waiting: WaitingRequests, number: int, index: ids.LogIndex
) -> None:
    """Handles the confirmation of a read.

    Args:
        waiting: Updated in place.
        number: Number of the read; an unknown one is ignored.
        index: The index that the state must have reached.
    """
    read = waiting.sent_reads.pop(number, None)
    if read is None:
        return
    if read.is_local:
        waiting.confirmed_reads.append((index, read))
        return
    read.answer(index)


def refuse_read(waiting: WaitingRequests, number: int) -> None:
    """Parks a refused local read, and refuses another replica's read.

    Args:
        waiting: Updated in place.
        number: Number of the read; an unknown one is ignored.
    """
    read = waiting.sent_reads.pop(number, None)
    if read is None:
        return
    if read.is_local:
        waiting.parked_reads.append(read)
        return
    read.answer(events.NotCommitted(False, "this replica does not lead"))


def answer_applied_reads(waiting: WaitingRequests, applied_index: int) -> None:
    """Answers the confirmed reads whose index has been applied.

    Args:
        waiting: Updated in place.
        applied_index: The last applied index.
    """
    remaining = []
    for index, read in waiting.confirmed_reads:
        if index > applied_index:
            remaining.append((index, read))
            continue
        read.answer(ids.LogIndex(index))
    waiting.confirmed_reads = remaining


def _is_expired(item: typing.Any, now_ms: int) -> bool:
    return now_ms >= item.deadline_ms


def expire(waiting: WaitingRequests, now_ms: int, reason: str) -> None:
    """Answers commands and reads whose deadline has passed as not committed.

    Args:
        waiting: Updated in place.
        now_ms: Time to compare the deadlines with.
        reason: Why there was no answer.
    """
    expired: list[tuple[WaitingCommand, bool]] = []
    for index, command in list(waiting.appended_commands.items()):
        if _is_expired(command, now_ms):
            expired.append((waiting.appended_commands.pop(index), True))
    for command_id, forwarded_commands in list(
        waiting.forwarded_commands.items()
    ):
        expired += [
            (c, True) for c in forwarded_commands if _is_expired(c, now_ms)
        ]
        remaining = [
            c for c in forwarded_commands if not _is_expired(c, now_ms)
        ]
        waiting.forwarded_commands[command_id] = remaining
        if not remaining:
            del waiting.forwarded_commands[command_id]
    parked = waiting.parked_commands
    expired += [(c, False) for c in parked if _is_expired(c, now_ms)]
    waiting.parked_commands = [c for c in parked if not _is_expired(c, now_ms)]
    for command, was_sent in expired:
        may_take_effect = command.may_take_effect or was_sent
        command.answer(events.NotCommitted(may_take_effect, reason))
    _expire_reads(waiting, now_ms, reason)


def _expire_reads(waiting: WaitingRequests, now_ms: int, reason: str) -> None:
    expired = [
        read for read in waiting.parked_reads if _is_expired(read, now_ms)
    ]
    waiting.parked_reads = [
        read for read in waiting.parked_reads if not _is_expired(read, now_ms)
    ]
    for number, read in list(waiting.sent_reads.items()):
        if _is_expired(read, now_ms):
            expired.append(waiting.sent_reads.pop(number))
    expired += [
        read for _, read in waiting.confirmed_reads if _is_expired(read, now_ms)
    ]
    waiting.confirmed_reads = [
        pair
        for pair in waiting.confirmed_reads
        if not _is_expired(pair[1], now_ms)
    ]
    for read in expired:
        read.answer(events.NotCommitted(False, reason))
