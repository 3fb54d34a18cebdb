"""Measures the idle cost of each daemon as the number of entries grows.

Starts deployments of three control processes and 3, 6 and 11 entries without
load. Over 10 s, processor time, memory and bytes sent on peer links are
measured from each daemon's metrics.
"""

from collections.abc import Iterator
import pathlib
import re
import statistics
import tempfile
import time
import urllib.request

from bench import lines
from dev import deployment

_ENTRIES = (3, 6, 11)
_BASE_PORT = 27_000
_SETTLE_S = 3.0
_MEASURE_S = 10.0
# Required bounds for one idle control process.
_CORE_PERCENT = 1.5
_MEMORY_MB = 256.0
_KILOBYTES_S = 18.0
_METRIC = re.compile(r"^([a-z_]+?)(?:\{[^}]*\})? ([0-9.e+-]+)$", re.MULTILINE)


def read_metrics(address: str) -> dict[str, float]:
    """Reads a daemon's metrics.

    Args:
        address: The daemon's admin address, as `host:port`.

    Returns:
        Values by metric name, summed over labels.
    """
    url = f"http://{address}/metrics"
    with urllib.request.urlopen(url, timeout=2) as response:
        text = response.read().decode()
    values: dict[str, float] = {}
    for name, value in _METRIC.findall(text):
        values[name] = values.get(name, 0.0) + float(value)
    return values


def _measure_role(
    running: deployment.Deployment, names: list[str]
) -> tuple[float, float, float]:
    """Measures the processes of one role.

    Args:
        running: A running deployment.
        names: Names of the processes of the role.

    Returns:
        Medians over the processes: processor time in percent of a core, memory
        in megabytes, and kilobytes sent per second.
    """
    addresses = [running.get_address(name, "admin") for name in names]
    before = [read_metrics(address) for address in addresses]
    time.sleep(_MEASURE_S)
    after = [read_metrics(address) for address in addresses]

    def compute_rates(name: str) -> list[float]:
        return [
            (new[name] - old[name]) / _MEASURE_S
            for old, new in zip(before, after)
        ]

    cpu = statistics.median(compute_rates("process_cpu_seconds_total")) * 100
    memory = statistics.median(
        m["process_resident_memory_bytes"] for m in after
    )
    sent = statistics.median(compute_rates("bambookeel_link_sent_bytes_total"))
    return cpu, memory / 1e6, sent / 1e3


def measure() -> Iterator[str]:
    """Measures idle deployments of three sizes.

    Yields:
        One line for each size, role and metric, with the required bound.
    """
    for i, entries in enumerate(_ENTRIES):
        shape = deployment.Shape(entries=entries, backends=1)
        with tempfile.TemporaryDirectory() as folder:
            running = deployment.Deployment(
                pathlib.Path(folder), shape, _BASE_PORT + 200 * i
            )
            try:
                running.start()
                time.sleep(_SETTLE_S)
                roles = (
                    ("control", running.control_names),
                    ("entry", running.entry_names),
                )
                for role, names in roles:
                    yield from _render(
                        role, entries, _measure_role(running, names)
                    )
            finally:
                running.stop()


def _render(
    role: str, entries: int, medians: tuple[float, float, float]
) -> Iterator[str]:
    cpu, memory_mb, sent_kb_s = medians
    name = f"idle_{role}"
    yield lines.render_line(
        name, "core_percent", cpu, _CORE_PERCENT, entries=entries
    )
    yield lines.render_line(
        name, "memory_mb", memory_mb, _MEMORY_MB, entries=entries
    )
    yield lines.render_line(
        name, "sent_kb_s", sent_kb_s, _KILOBYTES_S, entries=entries
    )
