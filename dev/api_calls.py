"""HTTP calls with JSON bodies, for development tools."""

import json
import typing
import urllib.error
import urllib.request


def is_ok(url: str) -> bool:
    """Returns whether a GET request to the URL is answered with status 200."""
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


def call_json(
    url: str,
    method: str,
    key: str,
    document: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 6,
) -> tuple[int, typing.Any]:
    """Sends one HTTP request, with the document as its JSON body if any.

    Returns:
        Status and decoded body of the answer. The status is 0 when there was no
        answer, or a successful one whose body is not JSON.
    """
    data = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Authorization", f"Bearer {key}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, _decode_or_none(error.read())
    except (OSError, ValueError):
        return 0, None


def _decode_or_none(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
