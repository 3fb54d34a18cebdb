"""Metrics and a bounded log line of what the limits of clients have ended."""

from collections.abc import Callable
import functools

import prometheus_client

from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

_REFUSED = prometheus_client.Counter(
    "bambookeel_clients_refused_total",
    "Requests refused because of a limit of clients, by reason.",
    ["reason"],
)
_CLOSED = prometheus_client.Counter(
    "bambookeel_client_connections_closed_total",
    "Connections closed because of a limit of clients, by reason.",
    ["reason"],
)
# Shortest time between two lines, however many clients are refused.
_LOG_PERIOD_MS = 10_000


class _Report:
    """Counts since the last log line."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.logged_ms = -_LOG_PERIOD_MS

    def count(self, what: str) -> None:
        """Counts one refusal, and logs all counts if a line is due."""
        self.counts[what] = self.counts.get(what, 0) + 1
        now_ms = clock.read_now_ms()
        if now_ms - self.logged_ms < _LOG_PERIOD_MS:
            return
        self.logged_ms = now_ms
        logs.log_event("clients_limited", **self.counts)
        self.counts = {}


_report = _Report()


@functools.cache
def _get_refused_child(reason: str) -> prometheus_client.Counter:
    return _REFUSED.labels(reason)


@functools.cache
def _get_closed_child(reason: str) -> prometheus_client.Counter:
    return _CLOSED.labels(reason)


def count_refused(reason: str) -> None:
    """Counts a request that a limit has refused.

    Args:
        reason: The limit.
    """
    _get_refused_child(reason).inc()
    _report.count(f"refused_{reason}")


def count_closed(reason: str) -> None:
    """Counts a connection that a limit has closed.

    Args:
        reason: The limit.
    """
    _get_closed_child(reason).inc()
    _report.count(f"closed_{reason}")


def register_buffered_bytes(read: Callable[[], float]) -> None:
    """Registers the gauge of buffered bytes.

    Args:
        read: Function that returns their number.
    """
    metrics.register_gauge(
        "client_bytes_buffered",
        "Bytes reserved for unfinished requests and answers.",
        read,
    )
