"""Base class of WSGI applications that answer with JSON."""

import dataclasses
import http.client
import math
import typing

import msgspec

from bambookeel.core import outcomes
from bambookeel.net import bodies
from bambookeel.runtime import logs

# Status, body, and time in ms after which the caller may retry, 0 to send no
# Retry-After.
Response = tuple[int, bytes, int]
Environ = dict[str, typing.Any]

_MS_PER_S = 1_000
# Part of a caller's deadline that is reserved for sending the response.
REPLY_TIME_MS = 150
_MIN_DEADLINE_MS = 2 * REPLY_TIME_MS
_DEFAULT_DEADLINE_MS = 3_000
_MAX_DEADLINE_MS = 30_000
_REFUSED_STATUS = {
    outcomes.Reason.BODY_TOO_LARGE: 413,
    outcomes.Reason.OVERLOADED: 503,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Redirect:
    """Redirects a caller to another process, with the same method and body.

    Attributes:
        address: Address of the other process, `ip:port`.
        path: Path of the request to that process.
    """

    address: str
    path: str


class JsonApp:
    """Base class of WSGI applications that answer requests with JSON."""

    def __call__(
        self, environ: Environ, start_response: typing.Any
    ) -> list[bytes]:
        """Answers one request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable that starts the response.

        Returns:
            The body as WSGI expects it.
        """
        answer = self.respond(environ)
        if isinstance(answer, Redirect):
            return _redirect(start_response, answer)
        return _send(start_response, answer)

    def respond(self, environ: Environ) -> Response | Redirect:
        """Returns the answer to one request; implemented by subclasses.

        Args:
            environ: WSGI environment.

        Returns:
            The response, or the redirect to another process.
        """
        raise NotImplementedError


def _send(start_response: typing.Any, response: Response) -> list[bytes]:
    """Sends a response.

    Args:
        start_response: WSGI callable that starts the response.
        response: Status, body and retry time.

    Returns:
        The body as WSGI expects it.
    """
    status, body, retry_ms = response
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    if retry_ms:
        retry_s = max(1, math.ceil(retry_ms / _MS_PER_S))
        headers.append(("Retry-After", str(retry_s)))
    start_response(_render_status(status), headers)
    return [body]


def _redirect(start_response: typing.Any, target: Redirect) -> list[bytes]:
    """Sends a redirect to another process.

    Args:
        start_response: WSGI callable that starts the response.
        target: The process and path to redirect to.

    Returns:
        The empty body as WSGI expects it.
    """
    location = f"http://{target.address}{target.path}"
    logs.log_event("redirected", location=location)
    start_response(
        _render_status(http.client.TEMPORARY_REDIRECT),
        [("Location", location), ("Content-Length", "0")],
    )
    return []


def _render_status(status: int) -> str:
    return f"{int(status)} {http.client.responses.get(status, 'Status')}"


def build_error(status: int, message: str, retry_ms: int = 0) -> Response:
    """Builds an error response.

    Args:
        status: HTTP status code.
        message: What is wrong, for the caller.
        retry_ms: Time in ms after which a retry may succeed; 0 if a retry does
            not help.

    Returns:
        The response, whose body has the message as its `error`.
    """
    return status, msgspec.json.encode({"error": message}), retry_ms


def read_body(
    environ: Environ, max_bytes: int, timeout_ms: int, pool: str = ""
) -> bytes | Response:
    """Reads a request's body.

    Args:
        environ: WSGI environment.
        max_bytes: Size limit of the body.
        timeout_ms: Time limit for receiving the complete body.
        pool: Pool in which a large body is reserved, as in `bodies.read_body`.

    Returns:
        The body, or the error response.
    """
    body = bodies.read_body(environ, max_bytes, timeout_ms, pool)
    if isinstance(body, bytes):
        return body
    status = _REFUSED_STATUS.get(body.reason, 400)
    return build_error(status, body.detail, body.retry_after_ms)


def parse_deadline_ms(text: str) -> int:
    """Parses the time for which a caller waits for its response.

    Args:
        text: Value of the caller's header field; may be anything.

    Returns:
        Time in milliseconds within fixed bounds; a default if the text is no
        number.
    """
    try:
        deadline_ms = int(text)
    except ValueError:
        return _DEFAULT_DEADLINE_MS
    return max(_MIN_DEADLINE_MS, min(deadline_ms, _MAX_DEADLINE_MS))
