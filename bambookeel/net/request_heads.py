"""Reads request heads strictly and within a bound.

pywsgi parses heads with the library's mail parser, which takes an end of file
for the end of the head, splits lines at a lone carriage return and drops what
follows a broken line. This reader stands before it and refuses such heads, so
that no two readers of one head can differ.
"""

import re
import typing

from bambookeel.core import outcomes

_BLANKS = (b" ", b"\t")
_NAME = re.compile(r"^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
_TARGET = re.compile(r"^[!-~\x80-\xff]+$")
# Methods that ask for a tunnel or an echo of the request.
_REFUSED_METHODS = ("CONNECT", "TRACE")
_VERSIONS = ("HTTP/1.0", "HTTP/1.1")


class HeadError(ValueError):
    """A request head that is refused.

    Attributes:
        refusal: What the caller is told.
    """

    def __init__(self, reason: outcomes.Reason, detail: str) -> None:
        super().__init__(detail)
        self.refusal = outcomes.NotRun(reason, detail)


def _refuse(detail: str) -> HeadError:
    return HeadError(outcomes.Reason.REQUEST_MALFORMED, detail)


class HeadReader:
    """Gives the lines of one head to the parser."""

    def __init__(self, stream: typing.Any, max_bytes: int) -> None:
        self._stream = stream
        self._max_bytes = max_bytes
        self._left = max_bytes

    def readline(self, _size: int = -1) -> bytes:
        """Reads one line.

        Returns:
            The line with its end.

        Raises:
            HeadError: If the head is too large, cut or ambiguous.
        """
        line: bytes = self._stream.readline(self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise HeadError(
                outcomes.Reason.HEAD_TOO_LARGE,
                f"the head exceeds {self._max_bytes} bytes",
            )
        if not line.endswith(b"\n"):
            raise _refuse("the head ended too early")
        if line[:1] in _BLANKS:
            raise _refuse("a header field is folded over two lines")
        text = line.rstrip(b"\r\n")
        if b"\r" in text or b"\0" in text:
            raise _refuse("the head holds a lone line break or a zero byte")
        return line


def check_request_line(method: str, target: str, version: str) -> None:
    """Checks the parts of a request line.

    Args:
        method: The method.
        target: The target as it came.
        version: The protocol version.

    Raises:
        HeadError: If one of them is refused.
    """
    if version not in _VERSIONS:
        raise _refuse(f"protocol {version!r} is not one of {_VERSIONS}")
    if not _NAME.match(method) or method in _REFUSED_METHODS:
        raise _refuse(f"method {method!r} is not taken")
    if not _TARGET.match(target):
        raise _refuse("the target holds control characters")


def check_names(fields: tuple[tuple[str, str], ...]) -> None:
    """Checks the names of header fields.

    Args:
        fields: The fields.

    Raises:
        HeadError: If a name is no token.
    """
    for name, _ in fields:
        if not _NAME.match(name):
            raise _refuse(f"{name!r} is no name of a header field")
