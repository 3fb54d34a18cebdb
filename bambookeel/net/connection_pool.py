"""Connections to backend servers, kept for reuse within bounds.

One request uses a connection at a time. A connection is only used again while
it is quiet and recently proved; for requests that must not run twice "recently"
is short, so that one that went silent is seldom met. Connections to an earlier
incarnation of a backend server are closed when a later one is seen.
"""

from collections import deque
import dataclasses
import socket as plain_socket
import typing

import gevent.event
import gevent.socket

from bambookeel.core import ids
from bambookeel.core import outcomes
from bambookeel.net import addresses
from bambookeel.runtime import clock

_KEEPALIVE_IDLE_S = 5
_KEEPALIVE_INTERVAL_S = 2
_KEEPALIVE_PROBES = 3
_USER_TIMEOUT_MS = 10_000
# How long a connection may be idle before an idempotent request uses it.
_MAX_IDLE_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as a grant names it.

    Attributes:
        address: `ip:port`.
        incarnation: Its life.
        allowance: Connections that this process may hold to it.
    """

    address: str
    incarnation: ids.Incarnation
    allowance: int


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One connection, owned by one request or kept idle.

    Attributes:
        sock: The socket.
        endpoint: Where it leads.
        proved_at_ms: When an answer last came over it.
    """

    sock: typing.Any
    endpoint: Endpoint
    proved_at_ms: int


@dataclasses.dataclass(slots=True)
class _Backend:
    """The connections to one address.

    Attributes:
        incarnation: The latest life seen.
        busy: Connections in use, those being opened included.
        idle: Connections kept, the most recently used last.
        freed: Set when one of the connections in use ends.
    """

    incarnation: ids.Incarnation
    busy: int = 0
    idle: deque[Connection] = dataclasses.field(default_factory=deque)
    freed: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )


class ConnectionPool:
    """All connections of this process to backend servers."""

    def __init__(self, reuse_within_ms: int) -> None:
        self._reuse_within_ms = reuse_within_ms
        self._backends: dict[str, _Backend] = {}

    def take(
        self, endpoint: Endpoint, idempotent: bool, until_ms: int
    ) -> Connection | outcomes.NotRun:
        """Takes a proved connection, or opens a new one.

        Args:
            endpoint: The backend server.
            idempotent: Whether a request that is lost may be sent again.
            until_ms: Until when to wait.

        Returns:
            A connection for one request, or `NotRun`.
        """
        backend = self._get_backend(endpoint)
        if endpoint.incarnation < backend.incarnation:
            return _describe_failure(endpoint, "it has restarted since")
        max_idle_ms = _MAX_IDLE_MS if idempotent else self._reuse_within_ms
        kept = _take_idle(backend, max_idle_ms)
        if kept is not None:
            backend.busy += 1
            kept.endpoint = endpoint
            return kept
        while backend.busy >= max(1, endpoint.allowance):
            backend.freed.clear()
            remaining_ms = until_ms - clock.read_now_ms()
            if remaining_ms <= 0 or not backend.freed.wait(remaining_ms / 1e3):
                return outcomes.NotRun(
                    outcomes.Reason.OVERLOADED,
                    f"all {endpoint.allowance} connections to {endpoint.address}"
                    " are in use",
                )
        backend.busy += 1
        opened = _open_connection(endpoint, until_ms)
        if isinstance(opened, outcomes.NotRun):
            self._end_use(backend)
        return opened

    def _get_backend(self, endpoint: Endpoint) -> _Backend:
        backend = self._backends.get(endpoint.address)
        if backend is None:
            backend = _Backend(endpoint.incarnation)
            self._backends[endpoint.address] = backend
        if endpoint.incarnation > backend.incarnation:
            backend.incarnation = endpoint.incarnation
            _close_all(backend)
        return backend

    def _end_use(self, backend: _Backend) -> None:
        backend.busy -= 1
        backend.freed.set()

    def give_back(self, connection: Connection) -> None:
        """Keeps a connection whose answer was whole.

        Args:
            connection: The connection.
        """
        endpoint = connection.endpoint
        backend = self._backends[endpoint.address]
        self._end_use(backend)
        connection.proved_at_ms = clock.read_now_ms()
        if endpoint.incarnation < backend.incarnation:
            connection.sock.close()
            return
        backend.idle.append(connection)
        # A later grant may allow fewer connections than are in use.
        allowed = max(1, endpoint.allowance) - backend.busy
        while backend.idle and len(backend.idle) > allowed:
            backend.idle.popleft().sock.close()

    def discard(self, connection: Connection) -> None:
        """Closes a connection that may not be used again.

        Args:
            connection: The connection.
        """
        self._end_use(self._backends[connection.endpoint.address])
        connection.sock.close()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
        oldest_ms = clock.read_now_ms() - _MAX_IDLE_MS
        for address, backend in list(self._backends.items()):
            while backend.idle and backend.idle[0].proved_at_ms < oldest_ms:
                backend.idle.popleft().sock.close()
            if not backend.idle and not backend.busy:
                del self._backends[address]

    def count_connections(self) -> int:
        """Counts connections.

        Returns:
            Those in use and those kept.
        """
        return sum(b.busy + len(b.idle) for b in self._backends.values())


def _close_all(backend: _Backend) -> None:
    while backend.idle:
        backend.idle.popleft().sock.close()


def _take_idle(backend: _Backend, max_idle_ms: int) -> Connection | None:
    """Takes the most recently proved quiet connection.

    Args:
        backend: The backend server's connections.
        max_idle_ms: How long it may have been idle.

    Returns:
        The connection, or None.
    """
    oldest_ms = clock.read_now_ms() - max_idle_ms
    while backend.idle:
        if backend.idle[-1].proved_at_ms < oldest_ms:
            return None
        connection = backend.idle.pop()
        if is_quiet(connection.sock):
            return connection
        connection.sock.close()
    return None


def _open_connection(
    endpoint: Endpoint, until_ms: int
) -> Connection | outcomes.NotRun:
    """Opens a connection.

    Args:
        endpoint: The backend server.
        until_ms: Until when.

    Returns:
        The connection, or `NotRun`.
    """
    remaining_ms = until_ms - clock.read_now_ms()
    if remaining_ms <= 0:
        return _describe_failure(endpoint, "no time is left")
    try:
        sock = gevent.socket.create_connection(
            addresses.parse_address(endpoint.address), remaining_ms / 1000.0
        )
    except (OSError, ValueError) as error:
        return _describe_failure(endpoint, str(error))
    _set_options(sock)
    return Connection(sock, endpoint, clock.read_now_ms())


def _set_options(sock: typing.Any) -> None:
    """Sets the options by which a dead connection is noticed.

    Args:
        sock: The socket.
    """
    tcp = plain_socket.IPPROTO_TCP
    sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def is_quiet(sock: typing.Any) -> bool:
    """Tells whether a connection is open with nothing to read.

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


def _describe_failure(endpoint: Endpoint, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.CONNECT_FAILED,
        f"cannot connect to {endpoint.address}: {detail}",
    )
