"""HTTP client of the command line for the operators' API.

If a control process does not answer or has no leader, the next address is
tried. A change keeps its command id over all attempts, so that it takes effect
only once.
"""

from collections.abc import Iterator
import dataclasses
import http.client
import json
import secrets
import time
import typing
import urllib.parse

from returns import result

_TIMEOUT_S = 8.0
# Longer than the 5 s after which an idle watch sends a line.
_WATCH_TIMEOUT_S = 15.0
_RETRY_PAUSE_S = 0.3
NO_ANSWER = 0
# What a failed call or an answer that is not JSON raises.
_FAILURES = (OSError, http.client.HTTPException, ValueError, RecursionError)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the API.

    Attributes:
        status: HTTP status code; `NO_ANSWER` if there was no answer.
        document: The decoded body.
        address: The address that answered or was tried last.
    """

    status: int
    document: dict[str, typing.Any]
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Addresses and key with which the API is called.

    Attributes:
        addresses: Addresses of control processes, each `ip:port`.
        key: The operator's key.
        tries: How often all addresses are tried.
    """

    addresses: tuple[str, ...]
    key: str
    tries: int = 6


def _send_once(
    address: str,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> Answer:
    """Sends one request to one address.

    Args:
        address: Address of the control process, `ip:port`.
        method: The HTTP method.
        path: The path with its query.
        body: The body; None for a request without a body.
        headers: The headers to send.

    Returns:
        The answer; its status is `NO_ANSWER` if the request failed.
    """
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        document = json.loads(response.read() or b"{}")
        return Answer(response.status, document, address)
    except _FAILURES as error:
        detail = f"{address}: {type(error).__name__}: {error}"
        return Answer(NO_ANSWER, {"detail": detail}, address)
    finally:
        connection.close()


def send_request(
    client: Client,
    method: str,
    path: str,
    document: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Sends a request to one address after another until one answers it.

    All addresses are tried up to `client.tries` times. A change without a
    command id gets a random one.

    Args:
        client: Addresses and key.
        method: The HTTP method.
        path: The path with its query.
        document: The body as plain data; None for a request without a body.
        headers: Headers besides the authorization.

    Returns:
        The first answer with a status other than 503; if there is none, the
        last attempt's answer.
    """
    sent_headers = {"Authorization": f"Bearer {client.key}", **(headers or {})}
    if method != "GET":
        sent_headers.setdefault("X-Command-Id", secrets.token_hex(16))
    body = None if document is None else json.dumps(document).encode("utf-8")
    answer = Answer(NO_ANSWER, {"detail": "no address was given"}, "")
    for round_number in range(client.tries):
        for address in client.addresses:
            answer = _send_once(address, method, path, body, sent_headers)
            if answer.status not in (NO_ANSWER, 503):
                return answer
        if round_number + 1 < client.tries:
            time.sleep(_RETRY_PAUSE_S)
    return answer


def watch(
    client: Client, from_version: int, kind: str
) -> Iterator[result.Result[dict[str, typing.Any], Answer]]:
    """Watches changes; resumes at the next address if the connection breaks.

    Args:
        client: Addresses and key.
        from_version: The version after which changes are wanted.
        kind: The kind to which the watch is limited; empty for all kinds.

    Yields:
        Success with each line that has changes; finally Failure with the
        answer that ended the watch.
    """
    version = from_version
    failures = 0
    while failures < client.tries * len(client.addresses):
        address = client.addresses[failures % len(client.addresses)]
        path = f"/v1/watch?from={version}&kind={urllib.parse.quote(kind)}"
        connection = http.client.HTTPConnection(
            address, timeout=_WATCH_TIMEOUT_S
        )
        try:
            headers = {"Authorization": f"Bearer {client.key}"}
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            if response.status not in (200, 503):
                document = json.loads(response.read() or b"{}")
                yield result.Failure(Answer(response.status, document, address))
                return
            while response.status == 200:
                line = response.readline()
                if not line:
                    break
                document = json.loads(line)
                failures = 0
                version = document["version"]
                if document["changes"]:
                    yield result.Success(document)
        except _FAILURES:
            pass
        finally:
            connection.close()
        failures += 1
        time.sleep(_RETRY_PAUSE_S)
    yield result.Failure(
        Answer(NO_ANSWER, {"detail": "no control process answers"}, "")
    )
