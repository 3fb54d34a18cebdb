"""Measures memory and time of the forecasts of demand at the large size.

91 queues take turns, each of a pool of its own. The bound is a hundredth of a
turn of the scheduler, 25 ms, for what each admission and each check of pools
adds; a new leader learns from the jobs of two minutes once.
"""

import time
import tracemalloc

from bambookeel.jobs import demand_forecast
from bench import lines

_QUEUES = 91
_BEGIN_MS = 1_700_000_000_000
_SPAN_MS = 120_000
_PERIOD_MS = 26_000
_TURN_MS = 5_000
_INTERVAL_MS = 100
_WORK = 100_000_000.0
_BOUND_MS = 0.25


def _list_arrivals():
    arrivals = []
    for number in range(_QUEUES):
        offset_ms = number * _PERIOD_MS // _QUEUES
        for begin_ms in range(offset_ms, _SPAN_MS, _PERIOD_MS):
            for at_ms in range(begin_ms, begin_ms + _TURN_MS, _INTERVAL_MS):
                arrivals.append((_BEGIN_MS + at_ms, f"q{number}"))
    return sorted(arrivals)


def _learn(arrivals):
    forecaster = demand_forecast.DemandForecaster()
    for at_ms, queue in arrivals:
        forecaster.add(queue, _WORK, at_ms)
    return forecaster


def measure():
    """Measures an arrival, a check of all queues, learning anew, and memory.

    Yields:
        Result lines.
    """
    arrivals = _list_arrivals()
    begin_s = time.process_time()
    forecaster = _learn(arrivals)
    took_ms = (time.process_time() - begin_s) * 1_000
    yield lines.render_line(
        "forecast",
        "ms_an_arrival",
        took_ms / len(arrivals),
        _BOUND_MS,
        queues=_QUEUES,
        arrivals=len(arrivals),
        forecasts=len(forecaster.list_awaited()),
    )
    checks = 1_000
    now_ms = _BEGIN_MS + _SPAN_MS
    begin_s = time.process_time()
    for _ in range(checks):
        forecaster.advance(now_ms)
        for queue in forecaster.list_awaited():
            forecaster.compute_expected_milli(queue, now_ms, 1_600)
            forecaster.compute_quiet_ms(queue, now_ms)
    took_ms = (time.process_time() - begin_s) * 1_000
    yield lines.render_line(
        "forecast",
        "ms_a_check",
        took_ms / checks,
        _BOUND_MS,
        queues=_QUEUES,
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    forecaster = _learn(arrivals)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield lines.render_line(
        "forecast",
        "kb_a_queue",
        (after - before) / 1_000 / _QUEUES,
        20.0,
        queues=_QUEUES,
        forecasts=len(forecaster.list_awaited()),
    )
