"""An HTTP server for daemons, over gevent's WSGI server.

Sets TCP_NODELAY on accepted sockets, since head and body are written apart and
a delayed acknowledgement would cost 40 ms, and bounds the time in which a head
must arrive, so that slow senders hold no connection for long.
"""

from collections.abc import Callable
import socket as plain_socket
import typing

import gevent
import gevent.pool
import gevent.pywsgi

from bambookeel.net import addresses

WsgiApp = Callable[..., typing.Iterable[bytes]]


class Handler(gevent.pywsgi.WSGIHandler):
    """Handles one connection with a bounded time for each request head."""

    head_timeout_s = 5.0

    def read_requestline(self) -> typing.Any:
        """Reads the request line within the head's time.

        Returns:
            The request line, or None when the connection ends.
        """
        with gevent.Timeout(self.server.idle_timeout_s, False):
            return super().read_requestline()
        return None

    def read_request(self, raw_requestline: str) -> typing.Any:
        """Reads the header fields within the head's time.

        Args:
            raw_requestline: The request line.

        Returns:
            Whether a valid head arrived.
        """
        with gevent.Timeout(self.server.head_timeout_s, False):
            return super().read_request(raw_requestline)
        return False

    def log_request(self) -> None:
        """Logs nothing; requests are logged as events."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Builds the WSGI environment with the raw target path.

        Returns:
            The environment; `bambookeel.target` is the undecoded target.
        """
        environ = super().get_environ()
        environ["bambookeel.target"] = self.path
        return environ


class Server(gevent.pywsgi.WSGIServer):
    """A WSGI server with bounds."""

    def __init__(
        self,
        listen: str,
        app: WsgiApp,
        max_connections: int = 1_000,
        head_timeout_ms: int = 5_000,
        idle_timeout_ms: int = 75_000,
    ) -> None:
        super().__init__(
            addresses.parse_address(listen),
            app,
            handler_class=Handler,
            spawn=gevent.pool.Pool(max_connections),
            log=None,
            error_log=None,
        )
        self.head_timeout_s = head_timeout_ms / 1000.0
        self.idle_timeout_s = idle_timeout_ms / 1000.0

    def do_handle(self, *args: typing.Any) -> None:
        """Starts the handler of an accepted connection.

        Args:
            *args: The socket and the peer's address.
        """
        args[0].setsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
        )
        super().do_handle(*args)
