"""Requests to backend servers over HTTP, one attempt each.

geventhttpclient's own client sends a request again when a kept connection turns
out to be closed, which could run work twice. This module therefore keeps the
connections itself and uses only that library's response parser: a request is
handed to a socket at most once, and the result tells whether any byte was.
"""

import dataclasses
import socket as plain_socket
import typing

import gevent
import gevent.socket
from geventhttpclient import response as http_response

from bambookeel.core import outcomes
from bambookeel.net import addresses
from bambookeel.runtime import clock

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    )
)
REQUEST_ID_HEADER = "x-request-id"
_READ_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequest:
    """A request as it goes to a backend server.

    Attributes:
        request_id: Sent as X-Request-Id; the answer must echo it.
        method: HTTP method.
        target: Path and query.
        headers: The caller's header fields, hop-by-hop ones included.
        body: The whole body.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnswer:
    """A whole answer.

    Attributes:
        status: Status code.
        reason: Status phrase.
        headers: Header fields without hop-by-hop ones.
        body: The body.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


def _render_head(request: BackendRequest, address: str) -> bytes:
    """Renders the request head.

    Args:
        request: The request.
        address: The backend server's address, for Host.

    Returns:
        The head with its empty line.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"host: {address}",
        f"{REQUEST_ID_HEADER}: {request.request_id}",
        f"content-length: {len(request.body)}",
    ]
    for name, value in request.headers:
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered == REQUEST_ID_HEADER:
            continue
        lines.append(f"{lowered}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class BackendClient:
    """Connections to backend servers, kept for reuse."""

    def __init__(self, max_answer_bytes: int, reuse_within_ms: int) -> None:
        self._max_answer_bytes = max_answer_bytes
        self._reuse_within_ms = reuse_within_ms
        self._idle: dict[str, list[tuple[int, typing.Any]]] = {}

    def send(
        self, address: str, request: BackendRequest, timeout_ms: int
    ) -> BackendAnswer | outcomes.NotRun | outcomes.Unknown:
        """Sends a request once and reads its whole answer.

        Args:
            address: The backend server, `ip:port`.
            request: The request.
            timeout_ms: Time until the request's deadline.

        Returns:
            The answer, or `NotRun` when no byte was handed to a socket, or
            `Unknown`.
        """
        timeout = gevent.Timeout(timeout_ms / 1000.0)
        sent = False
        sock = None
        try:
            with timeout:
                sock = self._take(address, timeout_ms)
                sent = True
                sock.sendall(_render_head(request, address) + request.body)
                answer = self._read_answer(sock, request)
        except gevent.Timeout as caught:
            self._discard(sock)
            if caught is not timeout:
                raise
            return _describe_timeout(sent, address)
        except (OSError, http_response.HTTPParseError) as error:
            self._discard(sock)
            return _describe_failure(sent, address, error)
        except gevent.GreenletExit:
            self._discard(sock)
            raise
        if isinstance(answer, outcomes.Unknown):
            self._discard(sock)
            return answer
        body_answer, keep = answer
        if keep:
            self._keep(address, sock)
        else:
            self._discard(sock)
        return body_answer

    def _take(self, address: str, timeout_ms: int) -> typing.Any:
        """Takes a recently proved connection, or opens a new one.

        Args:
            address: The backend server.
            timeout_ms: Time to connect.

        Returns:
            A connected socket.
        """
        idle = self._idle.get(address, [])
        now_ms = clock.read_now_ms()
        while idle:
            proved_at_ms, sock = idle.pop()
            if now_ms - proved_at_ms <= self._reuse_within_ms:
                if _is_quiet(sock):
                    return sock
            sock.close()
        sock = gevent.socket.create_connection(
            addresses.parse_address(address), timeout=timeout_ms / 1000.0
        )
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        sock.setsockopt(
            plain_socket.IPPROTO_TCP,
            plain_socket.TCP_USER_TIMEOUT,
            min(timeout_ms, 2**31 - 1),
        )
        sock.settimeout(None)
        return sock

    def _read_answer(
        self, sock: typing.Any, request: BackendRequest
    ) -> tuple[BackendAnswer, bool] | outcomes.Unknown:
        """Reads the answer to a request that has been sent.

        Args:
            sock: The connection.
            request: The request.

        Returns:
            The answer and whether the connection may be kept, or `Unknown`.
        """
        parsed = http_response.HTTPSocketResponse(
            sock, block_size=_READ_BYTES, method=request.method
        )
        echoed = parsed.get(REQUEST_ID_HEADER, "")
        if echoed != request.request_id:
            return outcomes.Unknown(
                outcomes.Reason.ANSWER_MISMATCH,
                f"the answer belongs to request {echoed!r}",
            )
        body = bytearray()
        while True:
            data = parsed.read(_READ_BYTES)
            if not data:
                break
            body += data
            if len(body) > self._max_answer_bytes:
                return outcomes.Unknown(
                    outcomes.Reason.ANSWER_TOO_LARGE,
                    f"the answer exceeds {self._max_answer_bytes} bytes",
                )
        if not parsed.message_complete:
            return outcomes.Unknown(
                outcomes.Reason.ANSWER_CUT, "the answer ended too early"
            )
        headers = tuple(
            (name, value)
            for name, value in parsed.items()
            if name.lower() not in _HOP_BY_HOP
        )
        answer = BackendAnswer(
            parsed.status_code,
            parsed.status_message or "",
            headers,
            bytes(body),
        )
        return answer, not parsed.should_close()

    def _keep(self, address: str, sock: typing.Any) -> None:
        idle = self._idle.setdefault(address, [])
        idle.append((clock.read_now_ms(), sock))

    def _discard(self, sock: typing.Any) -> None:
        if sock is not None:
            sock.close()

    def forget(self, address: str) -> None:
        """Closes the kept connections to a backend server.

        Args:
            address: The backend server.
        """
        for _, sock in self._idle.pop(address, []):
            sock.close()


def _is_quiet(sock: typing.Any) -> bool:
    """Tells whether an idle connection is open with nothing to read.

    Args:
        sock: The connection.

    Returns:
        False when the peer has closed it or sent unasked bytes.
    """
    raw = sock._sock  # pylint: disable=protected-access
    try:
        raw.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _describe_timeout(
    sent: bool, address: str
) -> outcomes.NotRun | outcomes.Unknown:
    if sent:
        return outcomes.Unknown(
            outcomes.Reason.ANSWER_TIMEOUT,
            "the answer did not arrive before the deadline",
        )
    return outcomes.NotRun(
        outcomes.Reason.CONNECT_FAILED, f"connecting to {address} timed out"
    )


def _describe_failure(
    sent: bool, address: str, error: Exception
) -> outcomes.NotRun | outcomes.Unknown:
    if sent:
        return outcomes.Unknown(
            outcomes.Reason.CONNECTION_LOST,
            f"the connection to {address} ended: {error}",
        )
    return outcomes.NotRun(
        outcomes.Reason.CONNECT_FAILED, f"cannot connect to {address}: {error}"
    )
