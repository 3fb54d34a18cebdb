"""Answers of backend servers, as they are passed on to callers.

A short answer is read completely before its first byte is sent to the caller. A
long or open-ended one is streamed: each part is read only after the part before
it has been written to the caller. If the backend server's answer is cut, the
caller's connection is aborted, so that the caller never takes the answer for a
complete one.
"""

from collections.abc import Callable
import dataclasses
import errno
import typing

import gevent

from bambookeel.core import outcomes
from bambookeel.entry import caller_watch
from bambookeel.entry import slot_use
from bambookeel.net import answer_stream
from bambookeel.runtime import clock

# Each part of an answer with a declared length must arrive within this time.
_MAX_PART_WAIT_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class PassedAnswer:
    """An answer for the caller.

    Attributes:
        status: Status code.
        reason: Reason phrase.
        headers: Header fields, without hop-by-hop ones.
        body: The whole body, or the part of it that has been read so far.
        rest: The part that is still to be read; None for a whole answer.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    rest: "AnswerRest | None" = None


class CutAnswerError(ConnectionResetError):
    """The answer was cut; aborts the connection of its caller."""


@dataclasses.dataclass(slots=True)
class AnswerCallbacks:
    """Callbacks for the end of a streamed answer.

    Attributes:
        count_outcome: Called once with the outcome.
        keep_answer: Called with the whole body, with the failure, or with None
            for a body that is too large; None without an Idempotency-Key.
        max_kept_bytes: Size of the largest body to buffer for `keep_answer`.
    """

    count_outcome: Callable[[outcomes.Outcome], None]
    keep_answer: Callable[[bytes | outcomes.Unknown | None], None] | None
    max_kept_bytes: int


class AnswerRest:
    """The part of an answer that is still to be read and streamed."""

    def __init__(
        self,
        stream: answer_stream.AnswerStream,
        use: slot_use.SlotUse,
        caller: caller_watch.Caller,
        first_part: bytes,
        callbacks: AnswerCallbacks,
    ) -> None:
        self._stream = stream
        self._use = use
        self._caller = caller
        self._callbacks = callbacks
        self._buffered_parts = [first_part]
        self._received_bytes = len(first_part)
        self._ended = False

    def read_parts(self) -> typing.Iterator[bytes]:
        """Reads the answer part by part, as the caller accepts them.

        Yields:
            Bytes of the body.

        Raises:
            CutAnswerError: If the answer ends before it is complete.
        """
        while True:
            part = self._stream.read_part(self._get_part_deadline_ms())
            match part:
                case outcomes.Unknown():
                    self._finish_cut(part)
                    raise CutAnswerError(errno.ECONNRESET, part.detail)
                case b"":
                    self._finish_whole()
                    return
                case _:
                    self._buffer_part(part)
                    yield part

    def _get_part_deadline_ms(self) -> int:
        if self._stream.get_declared_bytes() is None:
            return answer_stream.NO_DEADLINE_MS
        return clock.read_now_ms() + _MAX_PART_WAIT_MS

    def _buffer_part(self, part: bytes) -> None:
        self._received_bytes += len(part)
        if self._callbacks.keep_answer is None:
            return
        if self._received_bytes > self._callbacks.max_kept_bytes:
            self._buffered_parts.clear()
            return
        self._buffered_parts.append(part)

    def _finish_whole(self) -> None:
        self._ended = True
        self._use.end_answered(self._stream)
        if self._callbacks.keep_answer is not None:
            fits = self._received_bytes <= self._callbacks.max_kept_bytes
            self._callbacks.keep_answer(
                b"".join(self._buffered_parts) if fits else None
            )
        status = self._stream.head.status
        self._callbacks.count_outcome(outcomes.Answered(status))

    def _finish_cut(self, cut: outcomes.Unknown) -> None:
        self._ended = True
        if self._callbacks.keep_answer is not None:
            self._callbacks.keep_answer(cut)
        if self._caller.is_disconnected and self._callbacks.keep_answer is None:
            self._use.end_cancelled(slot_use.is_closed_by_peer(cut))
            self._callbacks.count_outcome(outcomes.Cancelled(True))
            return
        self._use.end_unknown()
        self._callbacks.count_outcome(cut)

    def close(self) -> None:
        """Ends an unfinished answer whose caller no longer reads it."""
        if self._ended:
            return
        self._caller.is_disconnected = True
        if self._callbacks.keep_answer is not None:
            # Repeats with the same key will ask for the whole answer.
            gevent.spawn(self._read_for_repeats)
            return
        self._ended = True
        self._use.drain(self._stream)
        self._callbacks.count_outcome(outcomes.Cancelled(True))

    def _read_for_repeats(self) -> None:
        try:
            for _ in self.read_parts():
                continue
        except CutAnswerError:
            pass
