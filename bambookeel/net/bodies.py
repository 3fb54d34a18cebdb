"""Reads request bodies within limits of size and time."""

import typing

import gevent

from bambookeel.core import outcomes

_PART_BYTES = 65_536


def read_body(
    environ: dict[str, typing.Any], max_bytes: int, timeout_ms: int
) -> bytes | outcomes.NotRun:
    """Reads a request's body.

    Args:
        environ: WSGI environment.
        max_bytes: Size limit of the body.
        timeout_ms: Time limit for receiving the complete body.

    Returns:
        The body, or the refusal. A body whose declared length exceeds the limit
        is not read at all.
    """
    declared = environ.get("CONTENT_LENGTH", "")
    if declared and int(declared) > max_bytes:
        return _refuse_size(max_bytes)
    if declared in ("", "0") and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    timeout = gevent.Timeout(timeout_ms / 1000.0)
    try:
        with timeout:
            return _read_parts(environ["wsgi.input"], max_bytes)
    except gevent.Timeout as caught:
        if caught is not timeout:
            raise
        return outcomes.NotRun(
            outcomes.Reason.CALLER_TOO_SLOW,
            f"the body did not arrive within {timeout_ms} ms",
        )
    except (OSError, ValueError) as error:
        return outcomes.NotRun(
            outcomes.Reason.REQUEST_MALFORMED, f"the body is broken: {error}"
        )


def _read_parts(stream: typing.Any, max_bytes: int) -> bytes | outcomes.NotRun:
    parts: list[bytes] = []
    total = 0
    while True:
        # Reads at most one byte more than the limit allows, so that it never
        # waits for the rest of a body that is too large.
        part = stream.read(min(_PART_BYTES, max_bytes + 1 - total))
        if not part:
            return b"".join(parts)
        total += len(part)
        if total > max_bytes:
            return _refuse_size(max_bytes)
        parts.append(part)


def _refuse_size(max_bytes: int) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )
