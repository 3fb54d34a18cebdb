"""Health and metrics of a daemon over HTTP.

`/healthz` tells that the process lives, `/readyz` whether the balancer may send
to it, and `/metrics` gives the metrics.
"""

from collections.abc import Callable
import typing

from bambookeel.runtime import metrics


class AdminApp:
    """The WSGI application of a daemon's admin address."""

    def __init__(self, find_unready_reason: Callable[[], str]) -> None:
        self._find_unready_reason = find_unready_reason

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Answers one HTTP request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable for the head.

        Returns:
            The body.
        """
        path = environ["PATH_INFO"]
        status, body = "404 Not Found", b"no such path\n"
        if path == "/healthz":
            status, body = "200 OK", b"alive\n"
        elif path == "/readyz":
            reason = self._find_unready_reason()
            status = "503 Service Unavailable" if reason else "200 OK"
            body = (reason or "ready").encode() + b"\n"
        elif path == "/metrics":
            status, body = "200 OK", metrics.render_metrics()
        start_response(
            status,
            [
                ("Content-Type", "text/plain; charset=utf-8"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]
