"""Outlier ejection of backend servers that fail or are slower than their peers.

A server is ejected for a time that doubles with each ejection, and returns with
a slow start that begins with one request. Only a bounded fraction of the
servers may be ejected at once, so that a fault common to all servers cannot
eject more.
"""

import statistics

from bambookeel.dispatch import averages
from bambookeel.dispatch import backend_table

_CONSECUTIVE_FAILURES = 3
# A server is slow when its average duration exceeds the median of all servers
# by this factor, once it has the minimum number of samples.
_SLOW_FACTOR = 4.0
_MIN_SLOW_SAMPLES = 20
_FIRST_EJECTION_MS = 1_000
_MAX_EJECTION_MS = 30_000
# At most one server in this many is ejected.
_SERVERS_PER_EJECTION = 4


def record_result(
    backend: backend_table.Backend, failed: bool, duration_ms: int
) -> None:
    """Records the result of one request.

    Args:
        backend: The server that handled the request.
        failed: Whether the request failed because of the server.
        duration_ms: The request's duration in ms.
    """
    if failed:
        backend.consecutive_failures += 1
        return
    backend.consecutive_failures = 0
    averages.add_sample(backend.duration, duration_ms)


def _is_outlier(backend: backend_table.Backend, median_ms: float) -> bool:
    if backend.consecutive_failures >= _CONSECUTIVE_FAILURES:
        return True
    if backend.duration.samples < _MIN_SLOW_SAMPLES or median_ms <= 0:
        return False
    return backend.duration.value_ms > _SLOW_FACTOR * median_ms


def eject_outliers(
    table: backend_table.BackendTable, now_ms: int
) -> list[backend_table.Backend]:
    """Ejects outliers up to the allowed number.

    With at least two servers, one may always be ejected.

    Args:
        table: The service's backend servers.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The newly ejected servers.
    """
    serving = []
    ejected_count = 0
    for backend in table.by_id.values():
        if backend.ejected_until_ms > now_ms:
            ejected_count += 1
        elif backend_table.is_usable(backend, now_ms):
            serving.append(backend)
    max_ejected = (len(serving) + ejected_count) // _SERVERS_PER_EJECTION
    if len(serving) + ejected_count >= 2:
        max_ejected = max(1, max_ejected)
    durations = [
        backend.duration.value_ms
        for backend in serving
        if backend.duration.samples
    ]
    median_ms = statistics.median_low(durations) if durations else 0.0
    newly_ejected: list[backend_table.Backend] = []
    for backend in serving:
        if ejected_count + len(newly_ejected) >= max_ejected:
            break
        if _is_outlier(backend, median_ms):
            _eject(backend, now_ms)
            newly_ejected.append(backend)
    return newly_ejected


def _eject(backend: backend_table.Backend, now_ms: int) -> None:
    ejection_ms = min(_MAX_EJECTION_MS, _FIRST_EJECTION_MS << backend.ejections)
    backend.ejections = min(backend.ejections + 1, 10)
    backend.ejected_until_ms = now_ms + ejection_ms
    # It returns with one slot as a probe, then gets more step by step.
    backend.ramp_start_ms = backend.ejected_until_ms
    # A single failure of the probe ejects it again.
    backend.consecutive_failures = _CONSECUTIVE_FAILURES - 1
    backend.duration = averages.MovingAverage()
