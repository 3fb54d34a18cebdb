"""Takes backend servers that fail or are slow beside their peers out of use.

A server is out for a time that doubles with each repeat, and comes back through
a slow start that begins with one request. Only a bounded part of the servers
may be out at once, so that a fault common to all takes none out beyond it.
"""

import statistics

from bambookeel.dispatch import averages
from bambookeel.dispatch import backend_table

_FAILURES_IN_ROW = 3
# Average duration beside the median of all, from so many samples on.
_SLOW_FACTOR = 4.0
_SLOW_SAMPLES = 20
_FIRST_OUT_MS = 1_000
_MAX_OUT_MS = 30_000
# At most one server in so many is out.
_SERVERS_FOR_ONE_OUT = 4


def note_result(
    backend: backend_table.Backend, failed: bool, duration_ms: int
) -> None:
    """Takes in how one request ended.

    Args:
        backend: The server.
        failed: Whether the server failed it.
        duration_ms: Its duration.
    """
    if failed:
        backend.failures_in_row += 1
        return
    backend.failures_in_row = 0
    averages.add_sample(backend.duration, duration_ms)


def _is_outlier(backend: backend_table.Backend, median_ms: float) -> bool:
    if backend.failures_in_row >= _FAILURES_IN_ROW:
        return True
    if backend.duration.samples < _SLOW_SAMPLES or median_ms <= 0:
        return False
    return backend.duration.value_ms > _SLOW_FACTOR * median_ms


def eject_outliers(
    table: backend_table.BackendTable, now_ms: int
) -> list[backend_table.Backend]:
    """Takes outliers out of use, within the bound.

    Args:
        table: The servers.
        now_ms: The time.

    Returns:
        The servers that are newly out.
    """
    serving = []
    out = 0
    for backend in table.by_id.values():
        if backend.ejected_until_ms > now_ms:
            out += 1
        elif backend_table.is_usable(backend, now_ms):
            serving.append(backend)
    may_be_out = (len(serving) + out) // _SERVERS_FOR_ONE_OUT
    if len(serving) + out >= 2:
        may_be_out = max(1, may_be_out)
    durations = [
        backend.duration.value_ms
        for backend in serving
        if backend.duration.samples
    ]
    median_ms = statistics.median_low(durations) if durations else 0.0
    ejected: list[backend_table.Backend] = []
    for backend in serving:
        if out + len(ejected) >= may_be_out:
            break
        if _is_outlier(backend, median_ms):
            _eject(backend, now_ms)
            ejected.append(backend)
    return ejected


def _eject(backend: backend_table.Backend, now_ms: int) -> None:
    out_ms = min(_MAX_OUT_MS, _FIRST_OUT_MS << backend.ejections)
    backend.ejections = min(backend.ejections + 1, 10)
    backend.ejected_until_ms = now_ms + out_ms
    # The probe back in: one slot, then more step by step.
    backend.ramp_from_ms = backend.ejected_until_ms
    # One more failure while it is probed takes it out again.
    backend.failures_in_row = _FAILURES_IN_ROW - 1
    backend.duration = averages.Average()
