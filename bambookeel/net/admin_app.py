"""Health and metrics of a daemon over HTTP.

`/healthz` answers 200 while the process is running, `/readyz` answers 200 while
the load balancer may send requests to it, and `/metrics` returns the metrics.
"""

from collections.abc import Callable
import typing

from bambookeel.runtime import metrics


class AdminApp:
    """The WSGI application of a daemon's admin address.

    `find_unready_reason` returns why the process is not ready; empty if it is.
    """

    def __init__(self, find_unready_reason: Callable[[], str]) -> None:
        self._find_unready_reason = find_unready_reason

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Answers one HTTP request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable that starts the response.

        Returns:
            The body as WSGI expects it.
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
