"""Health and metrics of a daemon over HTTP.

`/healthz` answers 200 while the process is running, `/readyz` answers 200 while
the load balancer may send requests to it, and `/metrics` returns the metrics.
"""

from collections.abc import Callable
import typing

from bambookeel.runtime import clock
from bambookeel.runtime import metrics

# How long rendered metrics are sent to further clients.
_KEPT_MS = 250


class AdminApp:
    """The WSGI application of a daemon's admin address.

    `find_unready_reason` returns why the process is not ready; empty if it is.
    """

    def __init__(self, find_unready_reason: Callable[[], str]) -> None:
        self._find_unready_reason = find_unready_reason
        self._rendered = b""
        self._rendered_ms = -_KEPT_MS

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
            status, body = "200 OK", self._render(
                "bambookeel.client" in environ
            )
        start_response(
            status,
            [
                ("Content-Type", "text/plain; charset=utf-8"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _render(self, is_bounded: bool) -> bytes:
        """Renders the metrics.

        Args:
            is_bounded: Whether clients are bounded, so that many of them get
                the same copy; rendering takes some milliseconds.

        Returns:
            The metrics in the Prometheus text format.
        """
        now_ms = clock.read_now_ms()
        if not is_bounded or now_ms - self._rendered_ms >= _KEPT_MS:
            self._rendered = metrics.render_metrics()
            self._rendered_ms = now_ms
        return self._rendered
