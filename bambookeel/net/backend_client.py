"""Sends one request to a backend server, once, over one connection.

The client of geventhttpclient resends a request if a kept-alive connection
turns out to be closed, which could run the work twice. This module writes a
request to a socket at most once. The result is `NotRun` if no byte was written
or the backend server answered that it did not run the request, `Unknown` after
any later failure, or the stream of the answer to the request.
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
# A backend server that answers 503 with the value `not-run` in this field has
# not run the request.
_OUTCOME_HEADER = "x-outcome"
_NOT_RUN = "not-run"
_SERVICE_UNAVAILABLE = 503
# Bodies up to this size are written in one call with the head.
_MAX_JOINED_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request in the form that is sent to a backend server.

    Attributes:
        request_id: Sent as X-Request-Id, which the answer should echo.
        method: HTTP method.
        target: Path and query.
        headers: Header fields, without the hop-by-hop fields.
        body: The complete body.
        idempotent: Whether the request may run twice.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool


def render_head(
    request: BackendRequest,
    endpoint: connection_pool.Endpoint,
    remaining_ms: int,
) -> bytes:
    """Renders the head of a request.

    Args:
        request: The request.
        endpoint: The backend server. X-Backend-Incarnation lets one that has
            restarted refuse a request for an earlier incarnation.
        remaining_ms: Time until the request's deadline, for X-Deadline-Ms.

    Returns:
        The head, including the empty line at its end.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {endpoint.address}",
        f"X-Request-Id: {request.request_id}",
        f"Content-Length: {len(request.body)}",
        f"X-Deadline-Ms: {remaining_ms}",
        f"X-Backend-Incarnation: {endpoint.incarnation}",
    ]
    for name, value in request.headers:
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


@dataclasses.dataclass(frozen=True, slots=True)
class _SendFailure:
    """A failed send.

    Attributes:
        sent_bytes: Number of bytes that the socket had accepted.
        error: Why the rest could not be sent.
    """

    sent_bytes: int
    error: OSError


def _send_parts(
    sock: typing.Any, parts: list[bytes], deadline_ms: int
) -> _SendFailure | None:
    """Writes bytes to a socket and counts those that it accepts.

    Args:
        sock: The socket.
        parts: The bytes to send, in order.
        deadline_ms: Latest time for writing, in ms on this process's clock.

    Returns:
        The failure, or None if the socket accepted all bytes.
    """
    sent_bytes = 0
    try:
        for part in parts:
            view = memoryview(part)
            while view:
                remaining_ms = deadline_ms - clock.read_now_ms()
                if remaining_ms <= 0:
                    raise TimeoutError("the deadline passed while sending")
                sock.settimeout(remaining_ms / 1000.0)
                count = sock.send(view)
                sent_bytes += count
                view = view[count:]
    except OSError as error:
        return _SendFailure(sent_bytes, error)
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
        deadline_ms: Latest time for the head of the answer, in ms on this
            process's clock.
        max_answer_bytes: Size limit of the answer's body.

    Returns:
        The stream of the answer; `NotRun` if no byte was written to the socket
        or the backend server did not run the request; otherwise `Unknown`.
    """
    remaining_ms = max(1, deadline_ms - clock.read_now_ms())
    head = render_head(request, connection.endpoint, remaining_ms)
    parts = [head, request.body]
    if len(request.body) <= _MAX_JOINED_BYTES:
        parts = [head + request.body]
    failure = _send_parts(connection.sock, parts, deadline_ms)
    if failure is not None and failure.sent_bytes == 0:
        return outcomes.NotRun(
            outcomes.Reason.CONNECT_FAILED,
            f"nothing could be sent: {failure.error}",
        )
    stream = answer_stream.AnswerStream(
        connection.sock, request.method, max_answer_bytes
    )
    # A backend server may answer before it has received the complete body, so
    # an answer is read after a failed send as well.
    fault = stream.read_head(deadline_ms)
    if fault is not None:
        return fault
    return _check_answer(stream, request)


def _check_answer(
    stream: answer_stream.AnswerStream, request: BackendRequest
) -> answer_stream.AnswerStream | outcomes.NotRun | outcomes.Unknown:
    """Checks that an answer belongs to its request.

    Args:
        stream: The answer, whose head has been read.
        request: The request that was sent on the connection.

    Returns:
        The stream; `Unknown` if the answer belongs to another request; `NotRun`
        if the backend server did not run the request.
    """
    head = stream.head
    echoed = head.get_field(REQUEST_ID_HEADER)
    if echoed is None:
        # This is safe, since a connection carries one request at a time.
        metrics.ANSWERS_WITHOUT_ECHO.inc()
    elif echoed != request.request_id:
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_MISMATCH,
            f"the answer belongs to request {echoed!r}",
        )
    outcome = head.get_field(_OUTCOME_HEADER)
    if head.status == _SERVICE_UNAVAILABLE and outcome == _NOT_RUN:
        return outcomes.NotRun(
            outcomes.Reason.BACKEND_REFUSED,
            "the backend server refused the request before running it",
        )
    return stream


def finish_sending(connection: connection_pool.Connection) -> None:
    """Closes the sending side of a connection whose caller has gone.

    The backend server can see from it that the answer is no longer wanted.

    Args:
        connection: The connection on which the request was sent.
    """
    try:
        connection.sock.shutdown(plain_socket.SHUT_WR)
    except OSError:
        pass
