"""Reads the answer to one request part by part.

Bytes are read from the backend server only when the next part is requested, so
that a slow caller slows down the backend server instead of filling the memory
of this process. The result is `Unknown` if a part arrives too late, or if the
answer is truncated, too large or longer than declared. Only a complete answer
ends with an empty part.
"""

import typing

from bambookeel.core import outcomes
from bambookeel.net import answer_parser
from bambookeel.runtime import clock

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
# A deadline with this value sets no time limit: reading goes on until the
# connection ends.
NO_DEADLINE_MS = 0


class AnswerStream:
    """The answer to the only request in flight on a connection."""

    def __init__(
        self, sock: typing.Any, method: str, max_answer_bytes: int
    ) -> None:
        self._sock = sock
        self._parser = answer_parser.AnswerParser(method)
        self._max_answer_bytes = max_answer_bytes
        self._body_bytes = 0

    @property
    def head(self) -> answer_parser.AnswerHead:
        """The head; available after `read_head` has returned None."""
        head = self._parser.head
        if head is None:
            raise ValueError("the head of the answer has not been read yet")
        return head

    def read_head(self, deadline_ms: int) -> outcomes.Unknown | None:
        """Reads until the head of the final answer is complete.

        Args:
            deadline_ms: Latest time for the head, in ms on this process's
                clock.

        Returns:
            None, or why no valid head was received.
        """
        head_bytes = 0
        while self._parser.head is None:
            received = self._receive(deadline_ms)
            if isinstance(received, outcomes.Unknown):
                return received
            head_bytes += received
            if self._parser.head is None and head_bytes > _MAX_HEAD_BYTES:
                return outcomes.Unknown(
                    outcomes.Reason.ANSWER_TOO_LARGE,
                    f"the answer's head exceeds {_MAX_HEAD_BYTES} bytes",
                )
        if not self._parser.declares_end():
            return outcomes.Unknown(
                outcomes.Reason.ANSWER_CUT,
                "the answer does not declare where it ends",
            )
        declared = self.get_declared_bytes() or 0
        if declared > self._max_answer_bytes and not self.has_ended():
            return self._describe_too_large()
        return None

    def get_declared_bytes(self) -> int | None:
        """Returns the length of the body that the head declares.

        Returns:
            The length in bytes, or None for a chunked body.
        """
        declared = self.head.get_field("content-length")
        if declared is None or not declared.isdigit():
            return None
        return int(declared)

    def read_part(self, deadline_ms: int) -> bytes | outcomes.Unknown:
        """Reads the next part of the body.

        Args:
            deadline_ms: Latest time for the part, in ms on this process's
                clock, or `NO_DEADLINE_MS`.

        Returns:
            The bytes, empty once the answer is complete; or `Unknown`.
        """
        while True:
            if self._parser.has_excess:
                return outcomes.Unknown(
                    outcomes.Reason.ANSWER_MISMATCH,
                    "the answer goes on past its declared end",
                )
            part = self._parser.take_body()
            self._body_bytes += len(part)
            if self._body_bytes > self._max_answer_bytes:
                return self._describe_too_large()
            if part or self._parser.has_ended():
                return part
            received = self._receive(deadline_ms)
            if isinstance(received, outcomes.Unknown):
                return received

    def has_ended(self) -> bool:
        """Checks whether the declared end of the answer has been received.

        Returns:
            True if nothing is left to read, whether or not the answer is valid.
        """
        return self._parser.has_ended()

    def is_complete(self) -> bool:
        """Checks whether a valid answer has been received completely.

        Returns:
            False also if bytes were received after the declared end.
        """
        return self._parser.has_ended() and not self._parser.has_excess

    def may_keep_connection(self) -> bool:
        """Checks whether the connection may be used for another request.

        Returns:
            True if the answer is complete and the peer keeps the connection
            open.
        """
        return self.is_complete() and not self._parser.should_close()

    def _receive(self, deadline_ms: int) -> int | outcomes.Unknown:
        """Receives bytes and parses them.

        Args:
            deadline_ms: Latest time for the next bytes, in ms on this process's
                clock, or `NO_DEADLINE_MS`.

        Returns:
            The number of bytes, or why none were received.
        """
        timeout_s = None
        if deadline_ms != NO_DEADLINE_MS:
            remaining_ms = deadline_ms - clock.read_now_ms()
            if remaining_ms <= 0:
                return _describe_timeout()
            timeout_s = remaining_ms / 1000.0
        try:
            self._sock.settimeout(timeout_s)
            data = self._sock.recv(_READ_BYTES)
            self._parser.parse_bytes(data)
        except TimeoutError as error:
            # A time-out with an errno comes from the kernel, which has detected
            # that the connection is dead.
            if error.errno is None:
                return _describe_timeout()
            return _describe_loss(error)
        except OSError as error:
            return _describe_loss(error)
        except answer_parser.HTTPParseError as error:
            return outcomes.Unknown(
                outcomes.Reason.ANSWER_CUT, f"the answer is broken: {error}"
            )
        if data or self._parser.has_ended():
            return len(data)
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_CUT, "the answer ended too early"
        )

    def _describe_too_large(self) -> outcomes.Unknown:
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_TOO_LARGE,
            f"the answer exceeds {self._max_answer_bytes} bytes",
        )


def _describe_timeout() -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.ANSWER_TIMEOUT,
        "the answer did not arrive before the deadline",
    )


def _describe_loss(error: OSError) -> outcomes.Unknown:
    return outcomes.Unknown(
        outcomes.Reason.CONNECTION_LOST, f"the connection ended: {error}"
    )
