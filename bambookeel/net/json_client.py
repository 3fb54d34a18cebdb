"""Client of HTTP services with JSON bodies; opens a connection per call."""

from collections.abc import Callable
import socket as plain_socket
import struct
import typing

import geventhttpclient
from geventhttpclient import response as http_response
import msgspec

from bambookeel.net import addresses
from bambookeel.runtime import logs

# The services are a few hops away; a connection that takes longer than this
# means that the service is not reachable.
_CONNECT_TIMEOUT_S = 0.7
_JSON = {"Content-Type": "application/json"}
# Makes the kernel discard unsent bytes when a socket is closed, so that a call
# that was abandoned cannot arrive later.
_DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)


def _set_discard_on_close(sock: typing.Any) -> None:
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _DISCARD_ON_CLOSE
    )


class _WithheldError(ConnectionError):
    """The caller no longer permits the call to be sent."""


class JsonClient:
    """A client of one service."""

    def __init__(self, address: str, answer_timeout_s: float) -> None:
        """Creates a client that waits `answer_timeout_s` for each answer."""
        self._host, self._port = addresses.parse_address(address)
        self._answer_timeout_s = answer_timeout_s

    def call(
        self,
        method: str,
        path: str,
        document: object = None,
        headers: dict[str, str] | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes] | None:
        """Makes one call.

        Args:
            method: HTTP method.
            path: Path with query.
            document: Body, which is encoded as JSON; None for no body.
            headers: Additional header fields.
            may_send: Called once the connection is open; the call is not sent
                if it returns False. Connecting may take long, also because the
                machine was suspended meanwhile.

        Returns:
            Status and body; None if no complete answer was received.
        """
        body = b"" if document is None else msgspec.json.encode(document)
        client = geventhttpclient.HTTPClient(
            self._host,
            self._port,
            connection_timeout=_CONNECT_TIMEOUT_S,
            network_timeout=self._answer_timeout_s,
        )
        pool: typing.Any = client._connection_pool  # pylint: disable=protected-access

        def check_connection(sock: typing.Any) -> None:
            _set_discard_on_close(sock)
            if not may_send():
                raise _WithheldError(path)

        pool.after_connect = check_connection
        try:
            answer = client.request(
                method, path, body, {**_JSON, **(headers or {})}
            )
            return answer.status_code, bytes(answer.read())
        except _WithheldError:
            logs.log_event("call_withheld", path=path)
            return None
        except (OSError, http_response.HTTPParseError) as error:
            logs.log_event("service_silent", path=path, error=repr(error))
            return None
        finally:
            client.close()
