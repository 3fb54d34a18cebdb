"""Answers with JSON bodies, for WSGI applications."""

import dataclasses
import http.client
import math
import typing

import msgspec

from bambookeel.core import outcomes
from bambookeel.net import bodies
from bambookeel.runtime import logs

# Status, body, and milliseconds after which to come back, 0 for none.
Response = tuple[int, bytes, int]
Environ = dict[str, typing.Any]

_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Redirect:
    """Sends a caller to another process, with the same method and body.

    Attributes:
        address: The other process.
        path: The path there.
    """

    address: str
    path: str


class JsonApp:
    """A WSGI application whose subclasses answer requests with JSON."""

    def __call__(
        self, environ: Environ, start_response: typing.Any
    ) -> list[bytes]:
        """Answers one request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable for the head.

        Returns:
            The body.
        """
        answer = self.respond(environ)
        if isinstance(answer, Redirect):
            return _redirect(start_response, answer)
        return _send(start_response, answer)

    def respond(self, environ: Environ) -> Response | Redirect:
        """Decides on the answer to one request.

        Args:
            environ: WSGI environment.

        Returns:
            The answer.
        """
        raise NotImplementedError


def _send(start_response: typing.Any, response: Response) -> list[bytes]:
    """Sends a response.

    Args:
        start_response: WSGI callable for the head.
        response: The response.

    Returns:
        The body, as WSGI takes it.
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
    """Sends a caller to another process.

    Args:
        start_response: WSGI callable for the head.
        target: Where to.

    Returns:
        The empty body, as WSGI takes it.
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
    """Builds a response that names what is wrong.

    Args:
        status: Its status.
        message: What is wrong.
        retry_ms: When to come back; 0 where it would not help.

    Returns:
        The response.
    """
    return status, msgspec.json.encode({"error": message}), retry_ms


def read_body(
    environ: Environ, max_bytes: int, timeout_ms: int
) -> bytes | Response:
    """Reads a request's body.

    Args:
        environ: WSGI environment.
        max_bytes: Largest body.
        timeout_ms: Time for the whole body.

    Returns:
        The body, or the refusal.
    """
    body = bodies.read_body(environ, max_bytes, timeout_ms)
    if isinstance(body, bytes):
        return body
    is_large = body.reason is outcomes.Reason.BODY_TOO_LARGE
    return build_error(413 if is_large else 400, body.detail)
