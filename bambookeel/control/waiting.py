"""Who waits for a command or a read of this replica.

Plain bookkeeping without sockets or clocks. A command waits for its entry to be
applied, for the leader's reply, or for a leader to be known; it keeps whether
it may already take effect, so that a refusal never claims too much.
"""

from collections.abc import Callable
import dataclasses
import typing

from bambookeel.control import events
from bambookeel.core import ids
from bambookeel.state import commands

AnswerCommand = Callable[[commands.CommandOutcome | events.NotCommitted], None]
# Gets the index that the state must have reached, or why there is none.
AnswerRead = Callable[[ids.LogIndex | events.NotCommitted], None]


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCommand:
    """A command without an outcome yet.

    Attributes:
        command: The command.
        answer: Takes the outcome.
        deadline_ms: When to give up.
        is_local: Whether it came from this process; others are not forwarded.
        may_take_effect: Whether it has been handed to a leader's log.
    """

    command: commands.Command
    answer: AnswerCommand
    deadline_ms: int
    is_local: bool
    may_take_effect: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingRead:
    """A read without an answer yet.

    Attributes:
        answer: Takes the index.
        deadline_ms: When to give up.
        is_local: Whether it came from this process.
    """

    answer: AnswerRead
    deadline_ms: int
    is_local: bool


@dataclasses.dataclass(slots=True)
class Waiting:
    """All who wait.

    Attributes:
        parked_commands: Commands that wait for a leader.
        parked_reads: Reads that wait for a leader.
        appended: Commands in the own log by index, of the term led now.
        forwarded: Commands sent to the leader, by command id.
        asked: Reads sent to the core or the leader, by number.
        applying: Local reads that wait for an index to be applied.
        last_number: Number of the last read.
    """

    parked_commands: list[WaitingCommand] = dataclasses.field(
        default_factory=list
    )
    parked_reads: list[WaitingRead] = dataclasses.field(default_factory=list)
    appended: dict[int, WaitingCommand] = dataclasses.field(
        default_factory=dict
    )
    forwarded: dict[ids.CommandId, list[WaitingCommand]] = dataclasses.field(
        default_factory=dict
    )
    asked: dict[int, WaitingRead] = dataclasses.field(default_factory=dict)
    applying: list[tuple[int, WaitingRead]] = dataclasses.field(
        default_factory=list
    )
    last_number: int = 0


def park_command(
    waiting: Waiting, command: WaitingCommand, may_take_effect: bool
) -> None:
    """Lets a command wait for the next leader.

    Args:
        waiting: All who wait.
        command: The command.
        may_take_effect: Whether this try may have reached a log.
    """
    if may_take_effect and not command.may_take_effect:
        command = dataclasses.replace(command, may_take_effect=True)
    if command.is_local:
        waiting.parked_commands.append(command)
        return
    # The process that forwarded it tries again with the next leader.
    detail = "this replica does not lead"
    command.answer(events.NotCommitted(command.may_take_effect, detail))


def park_all(waiting: Waiting, was_appended: bool) -> None:
    """Lets everybody wait for the next leader after a change of leader.

    Args:
        waiting: All who wait.
        was_appended: Whether this replica itself has stopped leading.
    """
    if was_appended:
        appended = list(waiting.appended.values())
        waiting.appended.clear()
        for command in appended:
            park_command(waiting, command, True)
    forwarded = list(waiting.forwarded.values())
    waiting.forwarded.clear()
    for commands_of_id in forwarded:
        for command in commands_of_id:
            park_command(waiting, command, True)
    for number in list(waiting.asked):
        refuse_read(waiting, number)


def add_forwarded(waiting: Waiting, command: WaitingCommand) -> None:
    """Notes a command that was sent to the leader.

    Args:
        waiting: All who wait.
        command: The command.
    """
    command_id = command.command.command_id
    waiting.forwarded.setdefault(command_id, []).append(command)


def add_read(waiting: Waiting, read: WaitingRead) -> int:
    """Notes a read that is sent to the core or the leader.

    Args:
        waiting: All who wait.
        read: The read.

    Returns:
        Its number.
    """
    waiting.last_number += 1
    waiting.asked[waiting.last_number] = read
    return waiting.last_number


def confirm_read(waiting: Waiting, number: int, index: ids.LogIndex) -> None:
    """Takes the index that answers a read.

    Args:
        waiting: All who wait.
        number: The read's number.
        index: The index.
    """
    read = waiting.asked.pop(number, None)
    if read is None:
        return
    if read.is_local:
        waiting.applying.append((index, read))
        return
    read.answer(index)


def refuse_read(waiting: Waiting, number: int) -> None:
    """Lets a refused read wait for the next leader.

    Args:
        waiting: All who wait.
        number: The read's number.
    """
    read = waiting.asked.pop(number, None)
    if read is None:
        return
    if read.is_local:
        waiting.parked_reads.append(read)
        return
    read.answer(events.NotCommitted(False, "this replica does not lead"))


def answer_applied_reads(waiting: Waiting, applied_index: int) -> None:
    """Answers the reads whose index has been applied.

    Args:
        waiting: All who wait.
        applied_index: Last applied index.
    """
    remaining = []
    for index, read in waiting.applying:
        if index > applied_index:
            remaining.append((index, read))
            continue
        read.answer(ids.LogIndex(index))
    waiting.applying = remaining


def _is_over(item: typing.Any, now_ms: int) -> bool:
    return now_ms >= item.deadline_ms


def expire(waiting: Waiting, now_ms: int, reason: str) -> None:
    """Gives up those whose time is over.

    Args:
        waiting: All who wait.
        now_ms: The time.
        reason: Why there was no answer.
    """
    late: list[tuple[WaitingCommand, bool]] = []
    for index, command in list(waiting.appended.items()):
        if _is_over(command, now_ms):
            late.append((waiting.appended.pop(index), True))
    for command_id, forwarded in list(waiting.forwarded.items()):
        late += [(c, True) for c in forwarded if _is_over(c, now_ms)]
        remaining = [c for c in forwarded if not _is_over(c, now_ms)]
        waiting.forwarded[command_id] = remaining
        if not remaining:
            del waiting.forwarded[command_id]
    parked = waiting.parked_commands
    late += [(c, False) for c in parked if _is_over(c, now_ms)]
    waiting.parked_commands = [c for c in parked if not _is_over(c, now_ms)]
    for command, was_sent in late:
        may_take_effect = command.may_take_effect or was_sent
        command.answer(events.NotCommitted(may_take_effect, reason))
    _expire_reads(waiting, now_ms, reason)


def _expire_reads(waiting: Waiting, now_ms: int, reason: str) -> None:
    late = [read for read in waiting.parked_reads if _is_over(read, now_ms)]
    waiting.parked_reads = [
        read for read in waiting.parked_reads if not _is_over(read, now_ms)
    ]
    for number, read in list(waiting.asked.items()):
        if _is_over(read, now_ms):
            late.append(waiting.asked.pop(number))
    late += [read for _, read in waiting.applying if _is_over(read, now_ms)]
    waiting.applying = [
        pair for pair in waiting.applying if not _is_over(pair[1], now_ms)
    ]
    for read in late:
        read.answer(events.NotCommitted(False, reason))
