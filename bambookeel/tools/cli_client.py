"""HTTP client of the command line for the operators' API.

Tries the control addresses in turn when one does not answer or has no leader. A
change keeps its command id over all tries, so that it takes effect once.
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
# A watch sends a line at least every 5 s.
_WATCH_TIMEOUT_S = 15.0
_RETRY_PAUSE_S = 0.3
NO_ANSWER = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer of the API.

    Attributes:
        status: HTTP status; `NO_ANSWER` when nobody answered.
        document: The decoded body.
        address: Who answered, or was tried last.
    """

    status: int
    document: dict[str, typing.Any]
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Client:
    """Where the API is and who asks.

    Attributes:
        addresses: Control addresses, `ip:port`.
        key: The operator's key.
        tries: Rounds over all addresses.
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
        address: The control process.
        method: The HTTP method.
        path: The path with its query.
        body: The body, if any.
        headers: Further headers.

    Returns:
        The answer.
    """
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        document = json.loads(response.read() or b"{}")
        return Answer(response.status, document, address)
    except (OSError, http.client.HTTPException, ValueError) as error:
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
    """Sends a request until a control process answers it.

    Args:
        client: Who asks.
        method: The HTTP method.
        path: The path with its query.
        document: The body, if any.
        headers: Further headers; a change gets a command id.

    Returns:
        The first answer that is not "try another", or the last one.
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
    """Watches changes, resuming at another address when one breaks off.

    Args:
        client: Who asks.
        from_version: The version that the operator has.
        kind: The only kind to show; empty for all.

    Yields:
        Each line with changes; at last the answer that ended the watch.
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
        except (OSError, http.client.HTTPException, ValueError):
            pass
        finally:
            connection.close()
        failures += 1
        time.sleep(_RETRY_PAUSE_S)
    yield result.Failure(
        Answer(NO_ANSWER, {"detail": "no control process answers"}, "")
    )
