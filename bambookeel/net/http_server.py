"""The HTTP server of the daemons, based on gevent's WSGI server.

The server sets TCP_NODELAY on accepted sockets, since a large body is written
separately from its head and a delayed acknowledgement would cost 40 ms. It
limits the number of connections: it stops accepting at the limit or, with a
port of a `ClientGuard`, closes idle and slow connections. It shuts down in two
steps: it stops listening, and then finishes the requests in flight.
"""

from collections.abc import Callable
import socket as plain_socket
import time
import typing

import gevent.pool
import gevent.pywsgi

from bambookeel.core import client_limits
from bambookeel.net import addresses
from bambookeel.net import client_guard
from bambookeel.net import http_handler

WsgiApp = Callable[..., typing.Iterable[bytes]]

_KEEPALIVE_IDLE_S = 10
_USER_TIMEOUT_MS = 30_000


class Server(gevent.pywsgi.WSGIServer):
    """A WSGI server that limits connections, heads and idle time."""

    def __init__(
        self,
        listen: str,
        app: WsgiApp,
        max_connections: int = 1_000,
        head_timeout_ms: int = 5_000,
        idle_timeout_ms: int = 75_000,
        max_header_bytes: int = 16_384,
        port: client_guard.Port | None = None,
        read_limits: Callable[[], client_limits.ClientLimits] | None = None,
    ) -> None:
        super().__init__(
            addresses.parse_address(listen),
            app,
            handler_class=http_handler.Handler,
            spawn=gevent.pool.Pool(None if port else max_connections),
            log=None,
            error_log=None,
        )
        self.head_timeout_s = head_timeout_ms / 1000.0
        self.idle_timeout_s = idle_timeout_ms / 1000.0
        self.max_header_bytes = max_header_bytes
        self.port = port
        if port is not None:
            self.max_accept = client_guard.MAX_ACCEPT
        # Returns the limits in force; None if those of the arguments hold.
        self._read_limits = read_limits
        self._limits: client_limits.ClientLimits | None = None
        self.is_draining = False
        # Handlers that wait for a request on an idle connection.
        self.idle_handlers: set[http_handler.Handler] = set()

    def do_handle(self, *args: typing.Any) -> None:
        """Starts the handler of an accepted connection.

        Args:
            *args: The accepted socket and the peer's address.
        """
        self.apply_limits()
        sock = args[0]
        tcp = plain_socket.IPPROTO_TCP
        sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
        sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        # Limits the wait for a request, and for a caller that does not read the
        # answer.
        sock.settimeout(self.idle_timeout_s)
        if self.port is None:
            super().do_handle(*args)
            return
        # Counted before its task starts, since many may be accepted at a time.
        client = self.port.open(sock, args[1][0])
        if client is None:
            sock.close()
            return
        super().do_handle(*args, client)

    def handle(
        self,
        sock: typing.Any,
        address: typing.Any,
        client: client_guard.Client | None = None,
    ) -> None:
        """Serves one connection.

        Args:
            sock: The accepted socket.
            address: Address of the peer.
            client: The connection, if clients are bounded.
        """
        if self.port is None or client is None:
            super().handle(sock, address)
            return
        handler = http_handler.Handler(sock, address, self)
        handler.client = client
        try:
            handler.handle()
        finally:
            self.port.end(client)

    def apply_limits(self) -> None:
        """Applies the limits in force to new connections and requests."""
        if self._read_limits is None:
            return
        limits = self._read_limits()
        if limits is self._limits:
            return
        self._limits = limits
        self.head_timeout_s = limits.header_timeout_ms / 1000.0
        self.idle_timeout_s = limits.idle_timeout_ms / 1000.0
        self.max_header_bytes = limits.max_header_bytes

    def count_connections(self) -> int:
        """Counts open connections.

        Returns:
            The number of connections, with and without a request in flight.
        """
        return len(self.pool)

    def stop_listening(self) -> None:
        """Accepts the connections in the backlog and closes the listener."""
        if self.closed:
            return
        while not self.pool.full():
            accepted = self.do_read()
            if accepted is None:
                break
            self.do_handle(*accepted)
        self.close()

    def finish(self, timeout_ms: int) -> bool:
        """Waits for the requests in flight and closes idle connections.

        Args:
            timeout_ms: How long to wait at most.

        Returns:
            Whether all connections have ended.
        """
        self.is_draining = True
        deadline_s = time.monotonic() + timeout_ms / 1000.0
        while self.pool and time.monotonic() < deadline_s:
            for handler in list(self.idle_handlers):
                _close_idle(handler)
            self.pool.join(timeout=0.1)
        return not self.pool


def _close_idle(handler: http_handler.Handler) -> None:
    """Ends a handler that waits for a request on an idle connection.

    Args:
        handler: The handler, which then reads the end of the stream.
    """
    try:
        handler.socket.shutdown(plain_socket.SHUT_RD)
    except (OSError, AttributeError):
        pass
