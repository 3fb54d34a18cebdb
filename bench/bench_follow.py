"""Measures the time from an acknowledged change until every entry applies it.

Starts a small deployment on loopback, sends bursts of 50 concurrent changes
through the operators' API, and polls the control leader until every entry has
applied all of them. The bound is 4 s from the acknowledgement. A withdrawn key
must be refused by every entry within 3 s.
"""

import pathlib
import tempfile
import threading
import time

from bench import lines
from dev import api_calls
from dev import deployment

_BASE_PORT = 22_600
_BURSTS = 6
_BURST_CHANGES = 50
_SENDERS = 10
_BOUND_MS = 4_000.0
_WITHDRAWN_BOUND_MS = 3_000.0
_TIMEOUT_S = 20.0


def _send_burst(running, limit):
    """Sends one burst and returns the highest acknowledged version."""
    versions = []
    pending = list(range(_BURST_CHANGES))

    def send_changes():
        while pending:
            i = pending.pop()
            status, answer = running.call_api(
                "PUT",
                f"/v1/team/burst-{i}",
                {"upper_limit": limit},
            )
            assert status == 200, answer
            versions.append(answer["version"])

    senders = [threading.Thread(target=send_changes) for _ in range(_SENDERS)]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    assert len(versions) == _BURST_CHANGES
    return max(versions)


def _wait_until_applied(running, version):
    """Waits until every entry has applied a version; returns the ms."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < _TIMEOUT_S:
        _, answer = running.call_api("GET", "/v1/status")
        rows = answer["entries"]
        if rows and all(row["applied_version"] >= version for row in rows):
            break
        time.sleep(0.02)
    return (time.monotonic() - started_s) * 1000.0


def _measure_bursts(running):
    times_ms = []
    for number in range(_BURSTS):
        version = _send_burst(running, number)
        times_ms.append(_wait_until_applied(running, version))
    return times_ms


def _wait_for_status(running, key, expected):
    """Waits until every entry answers with a status; returns the ms."""
    started_s = time.monotonic()
    for address in running.get_entry_addresses():
        url = f"http://{address}/services/orders/work"
        status = 0
        while status != expected and time.monotonic() - started_s < _TIMEOUT_S:
            status, _ = api_calls.call_json(url, "POST", key, {})
    return (time.monotonic() - started_s) * 1000.0


def _measure_withdrawals(running):
    """Withdraws keys in use; returns the ms until every entry refuses each."""
    times_ms = []
    for number in range(_BURSTS):
        key_id = f"withdrawn-{number}"
        secret = running.create_key(key_id, "coach")
        _wait_for_status(running, secret, 200)
        status, answer = running.call_api(
            "PUT", f"/v1/key/{key_id}", {"withdrawn": True}
        )
        assert status == 200, answer
        times_ms.append(_wait_for_status(running, secret, 401))
    return times_ms


def measure():
    """Measures bursts of changes and withdrawals of keys on one deployment.

    Returns:
        Result lines with the longest times.
    """
    with tempfile.TemporaryDirectory() as folder:
        shape = deployment.Shape(services=("orders",), backends=1)
        running = deployment.Deployment(pathlib.Path(folder), shape, _BASE_PORT)
        try:
            running.start()
            applied_ms = _measure_bursts(running)
            refused_ms = _measure_withdrawals(running)
        finally:
            running.stop()
    return [
        lines.render_line(
            "follow",
            "acknowledged_to_reported_max_ms",
            max(applied_ms),
            bound=_BOUND_MS,
            burst=_BURST_CHANGES,
            bursts=_BURSTS,
            entries=shape.entries,
        ),
        lines.render_line(
            "follow",
            "withdrawn_to_refused_max_ms",
            max(refused_ms),
            bound=_WITHDRAWN_BOUND_MS,
            withdrawals=_BURSTS,
            entries=shape.entries,
        ),
    ]
