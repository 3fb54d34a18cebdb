"""Pool of kept-alive connections to backend servers.

A connection is used by one request at a time. It is reused only if it is open
with nothing to read and its last answer is recent. For requests that must not
run twice the time limit is shorter, so that they are seldom sent over a
connection that has gone silent. Connections to an earlier incarnation of a
backend server are closed when a later incarnation is known.
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
# How long a connection may have been idle when an idempotent request reuses it.
_MAX_IDLE_MS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A backend server as given in the grant of a slot.

    Attributes:
        address: `ip:port`.
        incarnation: Incarnation of the backend server.
        allowance: Number of connections that this process may have to it.
    """

    address: str
    incarnation: ids.Incarnation
    allowance: int


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """A connection that is used by one request or kept idle.

    Attributes:
        sock: The socket.
        endpoint: The backend server that it is connected to.
        last_confirmed_ms: When it was opened or last given back, usually after
            a complete answer, in ms on this process's clock.
    """

    sock: typing.Any
    endpoint: Endpoint
    last_confirmed_ms: int


@dataclasses.dataclass(slots=True)
class _BackendConnections:
    """The connections to one address.

    Attributes:
        incarnation: The latest known incarnation.
        busy: Number of connections in use, including those being opened.
        idle: Connections kept for reuse, the most recently used last.
        freed: Set when a connection is no longer in use.
    """

    incarnation: ids.Incarnation
    busy: int = 0
    idle: deque[Connection] = dataclasses.field(default_factory=deque)
    freed: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )


class ConnectionPool:
    """All connections of this process to backend servers.

    After `reuse_within_ms` without use, a connection is not used for requests
    that must not run twice.
    """

    def __init__(self, reuse_within_ms: int) -> None:
        self._reuse_within_ms = reuse_within_ms
        self._backends: dict[str, _BackendConnections] = {}

    def take(
        self, endpoint: Endpoint, idempotent: bool, until_ms: int
    ) -> Connection | outcomes.NotRun:
        """Returns a connection for one request, an idle or a new one.

        Args:
            endpoint: The backend server.
            idempotent: Whether the request may be resent if it is lost.
            until_ms: Latest time to wait for a connection, in ms on this
                process's clock.

        Returns:
            The connection, or `NotRun` if there is none in time.
        """
        backend = self._get_connections(endpoint)
        if endpoint.incarnation < backend.incarnation:
            return _describe_restart(endpoint)
        max_idle_ms = _MAX_IDLE_MS if idempotent else self._reuse_within_ms
        connection = _take_idle(backend, max_idle_ms)
        if connection is not None:
            backend.busy += 1
            connection.endpoint = endpoint
            return connection
        while backend.busy >= max(1, endpoint.allowance):
            backend.freed.clear()
            remaining_ms = until_ms - clock.read_now_ms()
            if remaining_ms <= 0 or not backend.freed.wait(remaining_ms / 1e3):
                return outcomes.NotRun(
                    outcomes.Reason.OVERLOADED,
                    f"all {endpoint.allowance} connections to"
                    f" {endpoint.address} are in use",
                )
        backend.busy += 1
        opened = _open_connection(endpoint, until_ms)
        if isinstance(opened, outcomes.NotRun):
            self._end_use(backend)
            return opened
        # A later incarnation may have become known while this task waited.
        if endpoint.incarnation < backend.incarnation:
            self.discard(opened)
            return _describe_restart(endpoint)
        return opened

    def _get_connections(self, endpoint: Endpoint) -> _BackendConnections:
        backend = self._backends.get(endpoint.address)
        if backend is None:
            backend = _BackendConnections(endpoint.incarnation)
            self._backends[endpoint.address] = backend
        if endpoint.incarnation > backend.incarnation:
            backend.incarnation = endpoint.incarnation
            _close_all(backend)
        return backend

    def _end_use(self, backend: _BackendConnections) -> None:
        backend.busy -= 1
        backend.freed.set()

    def give_back(self, connection: Connection) -> None:
        """Returns a connection to the pool, unused or after a complete answer.

        Args:
            connection: A connection from `take` that can be reused.
        """
        endpoint = connection.endpoint
        backend = self._backends[endpoint.address]
        self._end_use(backend)
        connection.last_confirmed_ms = clock.read_now_ms()
        if endpoint.incarnation < backend.incarnation:
            connection.sock.close()
            return
        backend.idle.append(connection)
        # The allowance may be smaller than in earlier grants, even smaller than
        # the number of connections in use.
        allowed = max(1, endpoint.allowance) - backend.busy
        while backend.idle and len(backend.idle) > allowed:
            backend.idle.popleft().sock.close()

    def discard(self, connection: Connection) -> None:
        """Closes a connection that must not be reused.

        Args:
            connection: A connection from `take`.
        """
        self._end_use(self._backends[connection.endpoint.address])
        connection.sock.close()

    def close_idle(self) -> None:
        """Closes the connections that have been idle for too long."""
        oldest_ms = clock.read_now_ms() - _MAX_IDLE_MS
        for address, backend in list(self._backends.items()):
            while (
                backend.idle and backend.idle[0].last_confirmed_ms < oldest_ms
            ):
                backend.idle.popleft().sock.close()
            if not backend.idle and not backend.busy:
                del self._backends[address]

    def count_connections(self) -> int:
        """Counts all connections.

        Returns:
            The number of connections in use, being opened or idle.
        """
        return sum(b.busy + len(b.idle) for b in self._backends.values())


def _close_all(backend: _BackendConnections) -> None:
    while backend.idle:
        backend.idle.popleft().sock.close()


def _take_idle(
    backend: _BackendConnections, max_idle_ms: int
) -> Connection | None:
    """Removes the most recently used connection that can be reused.

    Args:
        backend: The connections to the backend server.
        max_idle_ms: How long the connection may have been idle.

    Returns:
        The connection, or None if none can be reused.
    """
    oldest_ms = clock.read_now_ms() - max_idle_ms
    while backend.idle:
        if backend.idle[-1].last_confirmed_ms < oldest_ms:
            return None
        connection = backend.idle.pop()
        if is_reusable(connection.sock):
            return connection
        connection.sock.close()
    return None


def _open_connection(
    endpoint: Endpoint, until_ms: int
) -> Connection | outcomes.NotRun:
    """Opens a connection.

    Args:
        endpoint: The backend server.
        until_ms: Latest time for the connection, in ms on this process's clock.

    Returns:
        The connection, or `NotRun` if it cannot be opened in time.
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
    """Disables Nagle's algorithm and lets the kernel detect dead connections.

    Args:
        sock: A connected socket.
    """
    tcp = plain_socket.IPPROTO_TCP
    sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, plain_socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)


def is_reusable(sock: typing.Any) -> bool:
    """Checks whether a connection is open with nothing to read.

    Args:
        sock: Socket of an idle connection.

    Returns:
        False if the peer has closed it or sent unexpected bytes.
    """
    raw = sock._sock  # pylint: disable=protected-access
    try:
        raw.recv(1, plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def _describe_restart(endpoint: Endpoint) -> outcomes.NotRun:
    return _describe_failure(endpoint, "it has restarted since")


def _describe_failure(endpoint: Endpoint, detail: str) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.Reason.CONNECT_FAILED,
        f"cannot connect to {endpoint.address}: {detail}",
    )
