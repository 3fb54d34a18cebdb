"""Handles the waiting calls of one turn, and refuses those that fail.

An error in one call must not end the turn of the others: it would repeat with
each attempt, and the process would end, like those of the next leaders.
"""

from collections.abc import Callable
import dataclasses

from bambookeel.core import faults
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.runtime import logs

Reply = Callable[[calls.Answer], None]
WaitingCall = tuple[calls.Call, Reply]
# Answer, function that sends it, and the steady-clock time in milliseconds of
# the call.
PendingAnswer = tuple[job_scheduler.DeferredAnswer, Reply, int]

# Maximum size of what one call decides; nodes take messages of up to 16 MiB,
# with the other decisions of the turn.
_MAX_DECISION_BYTES = 12 * 1024 * 1024
# Limit of an error in a log line.
_MAX_CHARS = 200


# What the calls of one turn may cost: rows of reports and tasks of jobs, of
# which each takes some ten microseconds, beside the calls themselves. Texts
# count as rows of 100 bytes, which bounds the size of the log entry.
_MAX_COST = 5_000
_ROW_BYTES = 100


def _measure_cost(call: calls.Call) -> int:
    """Measures what handling a call costs, by what it lists.

    Args:
        call: The call.

    Returns:
        Number of its rows or tasks, at least 1.
    """
    text_bytes = 0
    rows = 1
    match call:
        case calls.WorkerReport():
            rows += len(call.running) + len(call.ends)
            text_bytes = sum(len(run.saved) for run in call.running)
            text_bytes += sum(len(end.saved) for end in call.ends)
        case calls.SubmitJob() if call.spec is not None:
            rows += call.spec.count_tasks()
            text_bytes = call.spec.measure_texts()
        case calls.PutDocument():
            text_bytes = len(call.document.original)
    return rows + text_bytes // _ROW_BYTES


def split_calls(
    waiting: list[WaitingCall], most: int
) -> tuple[list[WaitingCall], list[WaitingCall]]:
    """Splits the waiting calls into those of the next turn and the others.

    Args:
        waiting: Calls in the order of their arrival.
        most: Maximum number of calls of a turn.

    Returns:
        The calls of the next turn, of which there is at least one if any waits,
        and the others.
    """
    cost = 0
    for i, (call, _) in enumerate(waiting[:most]):
        cost += _measure_cost(call)
        if cost > _MAX_COST and i:
            return waiting[:i], waiting[i:]
    return waiting[:most], waiting[most:]


@dataclasses.dataclass(slots=True)
class Turn:
    """Result of the calls of one turn.

    Attributes:
        waiting: Answers to send once the decisions are committed.
        decided: Each handled call, and the part of the batch that it decided.
        is_broken: Whether a call failed after it had decided something. The
            book must then be rebuilt before the handled calls are repeated.
    """

    waiting: list[PendingAnswer] = dataclasses.field(default_factory=list)
    decided: list[tuple[WaitingCall, slice]] = dataclasses.field(
        default_factory=list
    )
    is_broken: bool = False

    def list_handled(self) -> list[WaitingCall]:
        """Lists the calls that have not failed."""
        return [waiting_call for waiting_call, _ in self.decided]


def _refuse(waiting_call: WaitingCall, error: Exception) -> None:
    """Refuses a call that has failed.

    Args:
        waiting_call: The call.
        error: Error that it raised.
    """
    call, reply = waiting_call
    logs.log_event(
        "call_failed", call=type(call).__name__, error=repr(error)[:_MAX_CHARS]
    )
    reply(calls.BadRequest("the call cannot be handled"))


def handle_calls(
    scheduler: job_scheduler.Scheduler,
    accepted: list[WaitingCall],
    now: job_scheduler.Now,
) -> Turn:
    """Handles calls in their order; those that fail are refused.

    Args:
        scheduler: Scheduler of the current term.
        accepted: Calls to handle.
        now: Current time.

    Returns:
        The handled calls with their answers. If the turn is broken, the calls
        after the failed one count as handled.
    """
    turn = Turn()
    for i, waiting_call in enumerate(accepted):
        call, reply = waiting_call
        begin = len(scheduler.term.batch)
        try:
            answer = scheduler.handle(call, now)
        except faults.InvariantError:
            raise
        except Exception as error:  # pylint: disable=broad-exception-caught
            _refuse(waiting_call, error)
            if len(scheduler.term.batch) == begin:
                continue
            turn.is_broken = True
            turn.decided += [(each, slice(0)) for each in accepted[i + 1 :]]
            return turn
        part = slice(begin, len(scheduler.term.batch))
        turn.decided.append((waiting_call, part))
        turn.waiting.append((answer, reply, now.steady_ms))
    return turn


def encode_batch(
    batch: tuple[commands.Command, ...], turn: Turn
) -> bytes | None:
    """Encodes a batch; refuses the calls whose decisions cannot be encoded.

    Args:
        batch: Decisions of the turn.
        turn: Calls of the turn; is broken if the batch cannot be encoded.

    Returns:
        The payload of a log entry; None if the turn is broken.

    Raises:
        OverflowError: If a decision without a call cannot be encoded.
    """
    error = None
    payload = None
    try:
        payload = commands.encode_batch(batch)
        if len(payload) <= _MAX_DECISION_BYTES:
            return payload
    except (OverflowError, TypeError, ValueError) as batch_error:
        error = batch_error
    handled = turn.decided
    turn.decided = []
    for waiting_call, part in handled:
        try:
            _check_size(commands.encode_batch(batch[part]))
            turn.decided.append((waiting_call, part))
        except (OverflowError, TypeError, ValueError) as part_error:
            _refuse(waiting_call, part_error)
            turn.is_broken = True
    if turn.is_broken:
        return None
    if error is not None:
        raise error
    return payload


def _check_size(payload: bytes) -> None:
    if len(payload) > _MAX_DECISION_BYTES:
        raise OverflowError(
            f"{len(payload)} bytes; at most {_MAX_DECISION_BYTES} are stored"
        )


def send_answer(pending: PendingAnswer) -> None:
    """Sends an answer; the outcome is unknown if it cannot be built.

    Args:
        pending: Answer whose call has taken effect.
    """
    answer, reply, _ = pending
    try:
        reply(answer())
    except faults.InvariantError:
        raise
    except Exception as error:  # pylint: disable=broad-exception-caught
        logs.log_event("answer_failed", error=repr(error)[:_MAX_CHARS])
        reply(calls.NotLeading("", True))
