"""Measures the request path's added latency, throughput and processor time.

One run compares four paths to the same backend server: straight, through a bare
pass-through proxy built from the same libraries, through the entry that
dispatches the service, and through an entry whose dispatcher is another
process. Every server is a separate process; callers keep their connections. The
paths are measured alternately in several short rounds, so that other load on
the machine affects all of them.
"""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import gevent
import gevent.socket

from bambookeel.net import addresses
from bench import lines
from dev import deployment

_BASE_PORT = int(os.environ.get("BENCH_BASE_PORT", "27500"))
_PASS_PORT_OFFSET = 90
_CALLERS = 16
_ROUNDS = 5
_ROUND_S = 1.0
_WARM_UP_S = 1.0
_CPU_ROUND_S = 4.0
# Targets: added p50 and throughput relative to the pass-through, and a p50 well
# below the delay of a delayed TCP acknowledgement.
_MAX_ADDED_RATIO = 2.0
_MIN_THROUGHPUT_RATIO = 0.5
_MAX_SINGLE_MS = 20.0


def _send_for(address: str, data: bytes, seconds: float) -> list[float]:
    """Sends requests one after the other on one connection.

    Args:
        address: Address of the server.
        data: Bytes of one request.
        seconds: Duration.

    Returns:
        The latency of each request in ms.
    """
    sock = gevent.socket.create_connection(addresses.parse_address(address))
    latencies_ms = []
    ends_at = time.monotonic() + seconds
    started = time.monotonic()
    with contextlib.closing(sock):
        while started < ends_at:
            sock.sendall(data)
            _read_answer(sock)
            ended = time.monotonic()
            latencies_ms.append((ended - started) * 1000.0)
            started = ended
    return latencies_ms


def _read_answer(sock: gevent.socket.socket) -> None:
    received = b""
    while b"\r\n\r\n" not in received:
        received += _receive(sock)
    head, _, body = received.partition(b"\r\n\r\n")
    if not head.startswith(b"HTTP/1.1 200"):
        raise ValueError(f"unexpected answer: {received!r}")
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    while len(body) < length:
        body += _receive(sock)


def _receive(sock: gevent.socket.socket) -> bytes:
    data = sock.recv(65_536)
    if not data:
        raise ConnectionError("the server closed the connection")
    return data


def _measure_round(
    address: str, data: bytes, callers: int, seconds: float
) -> list[float]:
    tasks = [
        gevent.spawn(_send_for, address, data, seconds) for _ in range(callers)
    ]
    gevent.joinall(tasks, raise_error=True)
    return [each for task in tasks for each in task.value]


def _measure_all(
    targets: dict[str, str], data: bytes, callers: int
) -> dict[str, list[list[float]]]:
    """Measures all targets alternately.

    Args:
        targets: Addresses by name.
        data: Bytes of one request.
        callers: Number of concurrent callers.

    Returns:
        The latencies in ms of each round, by target.
    """
    rounds: dict[str, list[list[float]]] = {name: [] for name in targets}
    for address in targets.values():
        _measure_round(address, data, callers, _WARM_UP_S)
    for _ in range(_ROUNDS):
        for name, address in targets.items():
            latencies_ms = _measure_round(address, data, callers, _ROUND_S)
            rounds[name].append(latencies_ms)
    return rounds


def _read_cpu_s(pid: int) -> float:
    """Reads the processor time that a process has used.

    Args:
        pid: Id of the process.

    Returns:
        User and system time in seconds.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _measure_cpu_us(pid: int, address: str, data: bytes) -> float:
    """Measures the processor time of one process for a request.

    Args:
        pid: Id of the process.
        address: Address that the requests are sent to.
        data: Bytes of one request.

    Returns:
        Microseconds for one request; other load on the machine has little
        influence.
    """
    before_s = _read_cpu_s(pid)
    latencies_ms = _measure_round(address, data, _CALLERS, _CPU_ROUND_S)
    return (_read_cpu_s(pid) - before_s) * 1e6 / len(latencies_ms)


def _build_request(key: str) -> bytes:
    head_lines = (
        "POST /services/orders/work HTTP/1.1",
        "Host: orders",
        f"Authorization: Bearer {key}",
        "X-Work-Id: bench",
        "Content-Type: application/json",
        "Content-Length: 64",
    )
    return ("\r\n".join(head_lines) + "\r\n\r\n").encode() + b"x" * 64


def _wait_until_served(address: str, data: bytes) -> None:
    ends_at = time.monotonic() + 20
    while True:
        try:
            _send_for(address, data, 0.01)
            return
        except (OSError, ValueError):
            if time.monotonic() > ends_at:
                raise
            time.sleep(0.2)


def measure() -> Iterator[str]:
    """Starts a deployment and measures its request path.

    Yields:
        One line for each result.
    """
    shape = deployment.Shape(
        controls=1,
        entries=2,
        services=("orders",),
        backends=1,
        slots=64,
        teams=("coach",),
        upper_limits=(("coach", 10_000),),
    )
    with tempfile.TemporaryDirectory() as folder:
        running = deployment.Deployment(pathlib.Path(folder), shape, _BASE_PORT)
        backend = running.get_address("orders-0", "http")
        listen = f"127.0.0.1:{_BASE_PORT + _PASS_PORT_OFFSET}"
        command = [sys.executable, "-m", "bench.pass_through", listen, backend]
        with subprocess.Popen(command) as bare:
            try:
                running.start()
                yield from _measure_running(running, backend, listen)
                yield from _measure_cpu(running, bare.pid, listen)
            finally:
                bare.terminate()
                running.stop()


def _measure_running(
    running: deployment.Deployment, backend: str, bare: str
) -> Iterator[str]:
    data = _build_request(running.team_keys["coach"])
    entries = running.get_entry_addresses()
    for address in (backend, bare, *entries):
        _wait_until_served(address, data)
    _, answer = running.call_api("GET", "/v1/dispatcher/orders")
    holder = running.get_address(answer["spec"]["holder"], "http")
    (other,) = set(entries) - {holder}
    targets = {
        "straight": backend,
        "bare": bare,
        "own_dispatcher": holder,
        "other_dispatcher": other,
    }
    single = _measure_all(targets, data, 1)
    yield from _render_latency(single)
    yield from _render_throughput(_measure_all(targets, data, _CALLERS))


def _measure_cpu(
    running: deployment.Deployment, bare_pid: int, bare: str
) -> Iterator[str]:
    data = _build_request(running.team_keys["coach"])
    _, answer = running.call_api("GET", "/v1/dispatcher/orders")
    holder = running.daemons[answer["spec"]["holder"]]
    bare_us = _measure_cpu_us(bare_pid, bare, data)
    yield lines.render_line("path", "bare_cpu_us", bare_us)
    if holder.process is None:
        raise ValueError("the entry is not running")
    address = running.get_address(holder.name, "http")
    entry_us = _measure_cpu_us(holder.process.pid, address, data)
    yield lines.render_line(
        "path",
        "own_dispatcher_cpu_us",
        entry_us,
        bare_us / _MIN_THROUGHPUT_RATIO,
    )


def _get_p50_ms(rounds: list[list[float]]) -> float:
    return statistics.median(
        statistics.median(latencies_ms) for latencies_ms in rounds
    )


def _render_latency(rounds: dict[str, list[list[float]]]) -> Iterator[str]:
    straight_ms = _get_p50_ms(rounds["straight"])
    bare_ms = _get_p50_ms(rounds["bare"]) - straight_ms
    yield lines.render_line("path", "straight_p50_ms", straight_ms)
    yield lines.render_line("path", "bare_added_p50_ms", bare_ms)
    for name in ("own_dispatcher", "other_dispatcher"):
        p50_ms = _get_p50_ms(rounds[name])
        yield lines.render_line(
            "path", f"{name}_single_p50_ms", p50_ms, _MAX_SINGLE_MS
        )
        yield lines.render_line(
            "path",
            f"{name}_added_p50_ms",
            p50_ms - straight_ms,
            _MAX_ADDED_RATIO * bare_ms,
        )


def _render_throughput(rounds: dict[str, list[list[float]]]) -> Iterator[str]:
    rates = {
        name: statistics.median(
            len(latencies_ms) / _ROUND_S for latencies_ms in latencies_by_round
        )
        for name, latencies_by_round in rounds.items()
    }
    yield lines.render_line("path", "straight_requests_s", rates["straight"])
    yield lines.render_line("path", "bare_requests_s", rates["bare"])
    for name in ("own_dispatcher", "other_dispatcher"):
        yield lines.render_line(
            "path",
            f"{name}_requests_s",
            rates[name],
            _MIN_THROUGHPUT_RATIO * rates["bare"],
        )
