"""Reads request bodies within limits of size, time and memory."""

import typing

import gevent

from bambookeel.core import outcomes
from bambookeel.net import byte_pools
from bambookeel.net import client_guard
from bambookeel.runtime import client_metrics

_PART_BYTES = 65_536
# A chunked body is read in smaller parts, since each of its chunks, which may
# have one byte, is an object of its own until the part is complete.
_CHUNKED_PART_BYTES = 4_096
_RETRY_MS = 1_000


def read_body(
    environ: dict[str, typing.Any],
    max_bytes: int,
    timeout_ms: int,
    pool: str = "",
) -> bytes | outcomes.NotRun:
    """Reads a request's body.

    Args:
        environ: WSGI environment.
        max_bytes: Size limit of the body.
        timeout_ms: Time limit for receiving the complete body.
        pool: Pool in which a large body, or without a body the answer, is
            reserved; empty for that of the port, and for no answer. Not used
            on servers without bounds for their clients.

    Returns:
        The body, or the refusal. A body whose declared length exceeds the limit
        is not read at all.
    """
    declared = environ.get("CONTENT_LENGTH", "")
    client: client_guard.Client | None = environ.get("bambookeel.client")
    if declared in ("", "0") and "HTTP_TRANSFER_ENCODING" not in environ:
        if client is None or not pool:
            return b""
        # The answer may be as large as the largest body.
        held = client.reserve(pool, max_bytes)
        client.mark_served()
        return b"" if held is not None else _refuse_room()
    size = int(declared or 0)
    if client is not None and 0 < size <= max_bytes and client.take_ready(size):
        body: bytes = environ["wsgi.input"].read(size)
        return body
    reader = _Reader(environ, max_bytes, timeout_ms, pool)
    if client is None:
        return _receive(reader, size, timeout_ms)
    client.begin(client_guard.Phase.RECEIVING)
    client.is_refused = True
    outcome = _receive(reader, size, timeout_ms)
    if isinstance(outcome, bytes):
        client.is_refused = False
        client.mark_served()
    elif outcome.reason is outcomes.Reason.BODY_TOO_LARGE:
        client_metrics.count_refused("body_too_large")
    return outcome


def _receive(
    reader: "_Reader", declared: int, timeout_ms: int
) -> bytes | outcomes.NotRun:
    """Reserves the bytes of a body, where clients are bounded, and reads it.

    Args:
        reader: Reader of the body.
        declared: Size of the body; 0 if the client did not tell it.
        timeout_ms: Time limit for receiving the complete body.

    Returns:
        The body, or the refusal.
    """
    if declared > reader.max_bytes:
        return _refuse_size(reader.max_bytes)
    if not reader.reserve(declared):
        return _refuse_room()
    timeout = gevent.Timeout(timeout_ms / 1000.0)
    try:
        with timeout:
            return reader.read()
    except gevent.Timeout as caught:
        if caught is not timeout:
            raise
        return outcomes.NotRun(
            outcomes.Reason.CALLER_TOO_SLOW,
            f"the body did not arrive within {timeout_ms} ms",
        )
    except (OSError, ValueError) as error:
        if reader.is_revoked():
            return _refuse_room()
        return outcomes.NotRun(
            outcomes.Reason.REQUEST_MALFORMED, f"the body is broken: {error}"
        )


class _Reader:
    """Reads one body; reserves what it needs where clients are bounded."""

    def __init__(
        self,
        environ: dict[str, typing.Any],
        max_bytes: int,
        timeout_ms: int,
        pool: str,
    ) -> None:
        self._environ = environ
        self._stream = environ["wsgi.input"]
        self._client: client_guard.Client | None = environ.get(
            "bambookeel.client"
        )
        self.max_bytes = max_bytes
        self._timeout_ms = timeout_ms
        self._pool = pool
        self._held: byte_pools.Reservation | None = None
        self._part_bytes = _PART_BYTES

    def reserve(self, declared: int) -> bool:
        """Reserves the bytes of a body.

        Args:
            declared: Size of the body; 0 if the client did not tell it.

        Returns:
            Whether there was room in time.
        """
        if self._client is None:
            return True
        if not declared:
            self._part_bytes = _CHUNKED_PART_BYTES
        need = declared or min(client_guard.SMALL_BYTES, self.max_bytes)
        is_small = need <= client_guard.SMALL_BYTES
        pool = "small" if is_small else self._pool or self._client.port.pool
        self._held = self._client.reserve(
            pool,
            need,
            self._environ.get("HTTP_KEY", ""),
            self._timeout_ms if declared else 0,
        )
        return self._held is not None

    def is_revoked(self) -> bool:
        """Returns whether others got the bytes of a body that came slowly."""
        return self._held is not None and self._held.is_revoked

    def read(self) -> bytes | outcomes.NotRun:
        """Reads the body.

        Returns:
            The body, or the refusal.
        """
        parts: list[bytes] = []
        total = 0
        while True:
            if not self._has_room(total):
                return _refuse_room()
            # Reads at most one byte more than the limit allows, so that it
            # never waits for the rest of a body that is too large.
            part = self._stream.read(
                min(self._part_bytes, self.max_bytes + 1 - total)
            )
            if not part:
                return b"".join(parts)
            total += len(part)
            if total > self.max_bytes:
                return _refuse_size(self.max_bytes)
            if self._held is not None:
                self._held.note_progress(total)
                if total > _PART_BYTES:
                    # A fast sender would keep other tasks from running.
                    gevent.sleep(0)
            parts.append(part)

    def _has_room(self, total: int) -> bool:
        """Reserves the largest size for a chunked body that is not small.

        Args:
            total: Bytes that have been read.

        Returns:
            Whether there was room in time.
        """
        small = self._held
        if self._client is None or small is None:
            return True
        if total < min(small.need, self.max_bytes):
            return True
        if "HTTP_TRANSFER_ENCODING" not in self._environ:
            return True
        self._held = self._client.reserve(
            self._pool or self._client.port.pool,
            self.max_bytes,
            self._environ.get("HTTP_KEY", ""),
        )
        self._client.release(small)
        return self._held is not None


def _refuse_room() -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.OVERLOADED,
        "there is no room for the body now",
        _RETRY_MS,
    )


def _refuse_size(max_bytes: int) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.BODY_TOO_LARGE, f"the body exceeds {max_bytes} bytes"
    )
