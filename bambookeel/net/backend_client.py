"""Sends one request to a backend server, once, over one connection.

geventhttpclient's own client sends a request again when a kept connection turns
out to be closed, which could run work twice. This module hands a request to a
socket at most once and the result tells whether any byte was: `NotRun` when
none was or the backend server said so, `Unknown` for any failure after that,
or the stream of an answer that belongs to the request.
"""

import dataclasses
import socket as plain_socket
import typing

from bambookeel.core import outcomes
from bambookeel.net import answer_stream
from bambookeel.net import connection_pool
from bambookeel.runtime import clock
from bambookeel.runtime import metrics

REQUEST_ID_HEADER = "x-request-id"
# A backend server that answers 503 with this field says "not run".
_OUTCOME_HEADER = "x-outcome"
_NOT_RUN = "not-run"
_SERVICE_UNAVAILABLE = 503
# Bodies up to this size travel in one segment train with their head.
_JOIN_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it goes to a backend server.

    Attributes:
        request_id: Sent as X-Request-Id; the answer should echo it.
        method: HTTP method.
        target: Path and query.
        headers: Header fields, already without hop-by-hop ones.
        body: The whole body.
        idempotent: Whether it may run twice.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool


def render_head(
    request: BackendRequest, address: str, remaining_ms: int
) -> bytes:
    """Renders the request head.

    Args:
        request: The request.
        address: The backend server's address, for Host.
        remaining_ms: Time until the request's deadline.

    Returns:
        The head with its empty line.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {address}",
        f"X-Request-Id: {request.request_id}",
        f"Content-Length: {len(request.body)}",
        f"X-Deadline-Ms: {remaining_ms}",
    ]
    for name, value in request.headers:
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class _SendFailure:
    """A failed send.

    Attributes:
        handed_over: Bytes that the socket had taken.
        error: What went wrong.
    """

    handed_over: int
    error: OSError


def _send_parts(
    sock: typing.Any, parts: list[bytes], deadline_ms: int
) -> _SendFailure | None:
    """Hands bytes to a socket and counts them.

    Args:
        sock: The socket.
        parts: What to send.
        deadline_ms: Until when.

    Returns:
        The failure, or None when all was handed over.
    """
    handed_over = 0
    try:
        for part in parts:
            view = memoryview(part)
            while view:
                remaining_ms = deadline_ms - clock.read_now_ms()
                if remaining_ms <= 0:
                    raise TimeoutError("the deadline passed while sending")
                sock.settimeout(remaining_ms / 1000.0)
                count = sock.send(view)
                handed_over += count
                view = view[count:]
    except OSError as error:
        return _SendFailure(handed_over, error)
    return None


def send_request(
    connection: connection_pool.Connection,
    request: BackendRequest,
    deadline_ms: int,
    max_answer_bytes: int,
) -> answer_stream.AnswerStream | outcomes.NotRun | outcomes.Unknown:
    """Sends a request once and reads the head of its answer.

    Args:
        connection: A connection that no other request uses.
        request: The request.
        deadline_ms: Until when the answer's head may arrive.
        max_answer_bytes: Largest answer to take.

    Returns:
        The answer's stream, or `NotRun` when no byte was handed to the socket
        or the backend server said so, or `Unknown`.
    """
    remaining_ms = max(1, deadline_ms - clock.read_now_ms())
    head = render_head(request, connection.endpoint.address, remaining_ms)
    parts = [head, request.body]
    if len(request.body) <= _JOIN_BYTES:
        parts = [head + request.body]
    failure = _send_parts(connection.sock, parts, deadline_ms)
    if failure is not None and failure.handed_over == 0:
        return outcomes.NotRun(
            outcomes.Reason.CONNECT_FAILED,
            f"nothing could be sent: {failure.error}",
        )
    stream = answer_stream.AnswerStream(
        connection.sock, request.method, max_answer_bytes
    )
    # A backend server may answer before it has taken the whole body, so the
    # answer is looked for after a failed send as well.
    fault = stream.read_head(deadline_ms)
    if fault is not None:
        return fault
    return _check_answer(stream, request)


def _check_answer(
    stream: answer_stream.AnswerStream, request: BackendRequest
) -> answer_stream.AnswerStream | outcomes.NotRun | outcomes.Unknown:
    """Checks that an answer belongs to its request.

    Args:
        stream: The answer, its head read.
        request: The request.

    Returns:
        The stream, or what the answer really is.
    """
    head = stream.head
    echoed = head.get_field(REQUEST_ID_HEADER)
    if echoed is None:
        # Acceptable since a connection carries one request at a time.
        metrics.ANSWERS_WITHOUT_ECHO.inc()
    elif echoed != request.request_id:
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_MISMATCH,
            f"the answer belongs to request {echoed!r}",
        )
    said = head.get_field(_OUTCOME_HEADER)
    if head.status == _SERVICE_UNAVAILABLE and said == _NOT_RUN:
        return outcomes.NotRun(
            outcomes.Reason.BACKEND_REFUSED,
            "the backend server refused the request before running it",
        )
    return stream


def finish_sending(connection: connection_pool.Connection) -> None:
    """Tells the backend server that nobody waits for the answer.

    Args:
        connection: The connection that carries the request.
    """
    try:
        connection.sock.shutdown(plain_socket.SHUT_WR)
    except OSError:
        pass
