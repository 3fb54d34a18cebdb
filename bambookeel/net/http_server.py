"""The HTTP server of the daemons, based on gevent's WSGI server.

The server sets TCP_NODELAY on accepted sockets, since a large body is written
separately from its head and a delayed acknowledgement would cost 40 ms. It
limits the number of connections. It shuts down in two steps: it stops
listening, and then finishes the requests in flight.
"""

from collections.abc import Callable
import socket as plain_socket
import time
import typing

import gevent.pool
import gevent.pywsgi

from bambookeel.net import addresses
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
    ) -> None:
        super().__init__(
            addresses.parse_address(listen),
            app,
            handler_class=http_handler.Handler,
            spawn=gevent.pool.Pool(max_connections),
            log=None,
            error_log=None,
        )
        self.head_timeout_s = head_timeout_ms / 1000.0
        self.idle_timeout_s = idle_timeout_ms / 1000.0
        self.max_header_bytes = max_header_bytes
        self.is_draining = False
        # Handlers that wait for a request on an idle connection.
        self.idle_handlers: set[http_handler.Handler] = set()

    def do_handle(self, *args: typing.Any) -> None:
        """Starts the handler of an accepted connection.

        Args:
            *args: The accepted socket and the peer's address.
        """
        sock = args[0]
        tcp = plain_socket.IPPROTO_TCP
        sock.setsockopt(tcp, plain_socket.TCP_NODELAY, 1)
        sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, plain_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        sock.setsockopt(tcp, plain_socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        # Limits the wait for a request, and for a caller that does not read the
        # answer.
        sock.settimeout(self.idle_timeout_s)
        super().do_handle(*args)

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
