"""Calls to services that take and give JSON, one connection a call."""

from collections.abc import Callable
import socket as plain_socket
import struct
import typing

import geventhttpclient
from geventhttpclient import response as http_response
import msgspec

from bambookeel.net import addresses
from bambookeel.runtime import logs

# The services are few hops away; one that takes longer is not reachable.
_CONNECT_S = 0.7
_JSON = {"Content-Type": "application/json"}
# A closed connection drops what it still holds, so that a call that was given
# up cannot arrive later.
_DROP_ON_CLOSE = struct.pack("ii", 1, 0)


def _drop_on_close(sock: typing.Any) -> None:
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _DROP_ON_CLOSE
    )


class _WithheldError(ConnectionError):
    """A call that may not be sent any more."""


class JsonClient:
    """Calls one service."""

    def __init__(self, address: str, answer_s: float) -> None:
        """Takes the address and the longest wait for an answer."""
        self._host, self._port = addresses.parse_address(address)
        self._answer_s = answer_s

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
            document: Sent as JSON; None for no body.
            headers: More headers.
            may_send: Asked once the connection stands, which may take long or
                outlast a time in which the machine was suspended.

        Returns:
            Status and body; None when there was no whole answer.
        """
        body = b"" if document is None else msgspec.json.encode(document)
        client = geventhttpclient.HTTPClient(
            self._host,
            self._port,
            connection_timeout=_CONNECT_S,
            network_timeout=self._answer_s,
        )
        pool: typing.Any = client._connection_pool  # pylint: disable=protected-access

        def check_connection(sock: typing.Any) -> None:
            _drop_on_close(sock)
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
