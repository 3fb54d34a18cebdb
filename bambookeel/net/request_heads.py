"""Reads request heads strictly and within a size limit.

pywsgi parses heads with the mail parser of the standard library, which accepts
an end of file as the end of the head, splits lines at a lone carriage return
and drops everything after a malformed line. The reader in this module checks
the lines before that parser and refuses such heads, so that no two programs can
interpret the same head differently.
"""

import re
import typing

from bambookeel.core import outcomes

_BLANKS = (b" ", b"\t")
_TOKEN = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
_TARGET = re.compile(r"^[!-~\x80-\xff]+$")
# Methods that request a tunnel or an echo of the request.
_REFUSED_METHODS = ("CONNECT", "TRACE")
_VERSIONS = ("HTTP/1.0", "HTTP/1.1")


class HeadError(ValueError):
    """A request head is refused.

    Attributes:
        refusal: Outcome that is sent to the caller.
    """

    def __init__(self, reason: outcomes.Reason, detail: str) -> None:
        super().__init__(detail)
        self.refusal = outcomes.NotRun(reason, detail)


def _build_error(detail: str) -> HeadError:
    return HeadError(outcomes.Reason.REQUEST_MALFORMED, detail)


class HeadReader:
    """Passes the lines of one head to the parser, after checking them."""

    def __init__(self, stream: typing.Any, max_bytes: int) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._remaining_bytes = max_bytes

    def readline(self, _size: int = -1) -> bytes:
        """Reads one line.

        Returns:
            The line, including its line break.

        Raises:
            HeadError: If the head is too large, truncated or ambiguous.
        """
        line: bytes = self._stream.readline(self._remaining_bytes + 1)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadError(
                outcomes.Reason.HEAD_TOO_LARGE,
                f"the head exceeds {self._max_bytes} bytes",
            )
        if not line.endswith(b"\n"):
            raise _build_error("the head ended too early")
        if line[:1] in _BLANKS:
            raise _build_error("a header field is folded over two lines")
        text = line.rstrip(b"\r\n")
        if b"\r" in text or b"\0" in text:
            raise _build_error(
                "the head holds a lone line break or a zero byte"
            )
        return line


def check_request_line(method: str, target: str, version: str) -> None:
    """Checks the parts of a request line.

    Args:
        method: HTTP method.
        target: Undecoded request target.
        version: Protocol version, such as `HTTP/1.1`.

    Raises:
        HeadError: If one of the parts is refused.
    """
    if version not in _VERSIONS:
        raise _build_error(f"protocol {version!r} is not one of {_VERSIONS}")
    if not _TOKEN.match(method) or method in _REFUSED_METHODS:
        raise _build_error(f"method {method!r} is not taken")
    if not _TARGET.match(target):
        raise _build_error("the target holds control characters")


def check_field_names(fields: tuple[tuple[str, str], ...]) -> None:
    """Checks the names of header fields.

    Args:
        fields: Names and values.

    Raises:
        HeadError: If a name is not an HTTP token.
    """
    for name, _ in fields:
        if not _TOKEN.match(name):
            raise _build_error(f"{name!r} is no name of a header field")
