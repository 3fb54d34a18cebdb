"""Takes backend servers that fail or are slow beside their peers out of use.

A server is out for a time that doubles with each repeat, and comes back through
a slow start that begins with one request. Only a bounded part of the servers
may be out at once, so that a fault common to all takes none out beyond it.
"""

import statistics

from bambookeel.dispatch import averages
from bambookeel.dispatch import backend_table

_CONSECUTIVE_FAILURES = 3
# Average duration beside the median of all, from so many samples on.
_SLOW_FACTOR = 4.0
_MIN_SLOW_SAMPLES = 20
_FIRST_EJECTION_MS = 1_000
_MAX_EJECTION_MS = 30_000
# At most one server in so many is out.
_SERVERS_PER_EJECTION = 4


def record_result(
    backend: backend_table.Backend, failed: bool, duration_ms: int
) -> None:
    """Takes in how one request ended.

    Args:
        backend: The server.
        failed: Whether the server failed it.
        duration_ms: Its duration.
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
    """Takes outliers out of use, within the bound.

    Args:
        table: The servers.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The servers that are newly out.
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
    ejected: list[backend_table.Backend] = []
    for backend in serving:
        if ejected_count + len(ejected) >= max_ejected:
            break
        if _is_outlier(backend, median_ms):
            _eject(backend, now_ms)
            ejected.append(backend)
    return ejected


def _eject(backend: backend_table.Backend, now_ms: int) -> None:
    ejection_ms = min(_MAX_EJECTION_MS, _FIRST_EJECTION_MS << backend.ejections)
    backend.ejections = min(backend.ejections + 1, 10)
    backend.ejected_until_ms = now_ms + ejection_ms
    # The probe back in: one slot, then more step by step.
    backend.ramp_start_ms = backend.ejected_until_ms
    # One more failure while it is probed takes it out again.
    backend.consecutive_failures = _CONSECUTIVE_FAILURES - 1
    backend.duration = averages.MovingAverage()
