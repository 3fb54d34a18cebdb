"""Client of HTTP services with JSON bodies; opens a connection per call."""

from collections.abc import Callable
import socket as plain_socket
import string
import struct
import typing
import urllib.parse

import gevent
import geventhttpclient
from geventhttpclient import response as http_response
import msgspec

from bambookeel.core import json_input
from bambookeel.net import addresses
from bambookeel.runtime import logs

# The services are a few hops away; a connection that takes longer than this
# means that the service is not reachable.
_CONNECT_TIMEOUT_S = 0.7
# Time limit of a call, as a multiple of the wait for each part of its answer.
_MAX_CALL_PARTS = 4
# Limit of an answer; a larger one counts as none.
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
_PART_BYTES = 65_536
# Other characters cannot be part of a request line.
_PATH_CHARS = string.ascii_letters + string.digits + string.punctuation
_JSON = {"Content-Type": "application/json"}
# Makes the kernel discard unsent bytes when a socket is closed, so that a call
# that was abandoned cannot arrive later.
_DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)


def _set_discard_on_close(sock: typing.Any) -> None:
    sock.setsockopt(
        plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, _DISCARD_ON_CLOSE
    )


def _read_body(answer: typing.Any) -> bytes:
    """Reads the body of an answer.

    Args:
        answer: Response whose head has been received.

    Returns:
        The whole body.

    Raises:
        ValueError: If the body is too large.
        OSError: If the connection ends before the body.
    """
    body = bytearray()
    while part := answer.read(_PART_BYTES):
        body += part
        if len(body) > _MAX_ANSWER_BYTES:
            raise ValueError("the answer is too large")
    return bytes(body)


class _WithheldError(ConnectionError):
    """The caller no longer permits the call to be sent."""


_Record = typing.TypeVar("_Record")


def read_entries(
    entries: tuple[msgspec.Raw, ...], entry_type: type[_Record]
) -> list[_Record]:
    """Reads the entries of a list, and logs that some cannot be read.

    Args:
        entries: Undecoded entries.
        entry_type: Type of an entry.

    Returns:
        The readable entries.
    """
    found, fault = json_input.read_entries(entries, entry_type)
    if fault:
        unread = len(entries) - len(found)
        logs.log_event("entries_malformed", count=unread, error=fault)
    return found


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
        path = urllib.parse.quote(path, safe=_PATH_CHARS)
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
            with gevent.Timeout(_MAX_CALL_PARTS * self._answer_timeout_s):
                answer = client.request(
                    method, path, body, {**_JSON, **(headers or {})}
                )
                return answer.status_code, _read_body(answer)
        except _WithheldError:
            logs.log_event("call_withheld", path=path)
            return None
        except (
            OSError,
            ValueError,
            gevent.Timeout,
            http_response.HTTPParseError,
        ) as error:
            logs.log_event("service_silent", path=path, error=repr(error))
            return None
        finally:
            client.close()

    def fetch(
        self,
        method: str,
        path: str,
        record_type: type[_Record],
        document: object = None,
        blanks_entries: bool = False,
    ) -> _Record | None:
        """Makes one call whose answer is a record with status 200.

        Args:
            method: HTTP method.
            path: Path with query.
            record_type: Type of the record.
            document: Body, which is encoded as JSON; None for no body.
            blanks_entries: Whether list entries of the answer that are nested
                too deeply become null, instead of invalidating it.

        Returns:
            The record; None if no readable answer with status 200 was received.
        """
        answer = self.call(method, path, document)
        if answer is None or answer[0] != 200:
            return None
        record = json_input.decode(answer[1], record_type)
        if isinstance(record, str) and blanks_entries:
            shallow = json_input.blank_deep_entries(answer[1])
            record = json_input.decode(shallow, record_type)
        if isinstance(record, str):
            logs.log_event("answer_malformed", path=path, error=record)
            return None
        return record
