"""Measures whether entries stay ready while control changes its leader.

Freezes and kills the control leader of a small deployment alternately, and then
freezes all control processes, while every entry is polled for its readiness. A
change of leader must make no entry unready. Without control, every entry must
become unready within its freshness lease.
"""

import pathlib
import signal
import tempfile
import threading
import time
import urllib.error
import urllib.request

from bambookeel.core import settings
from bench import lines
from dev import deployment

_BASE_PORT = 22_700
_ROUNDS = 4
_POLL_S = 0.03
_SETTLE_S = 3.0
_FREEZE_S = 4.0


class _Watcher:
    """Polls the readiness of one entry in a thread."""

    def __init__(self, url):
        self._url = url
        self._stopping = False
        self.ready_polls = 0
        self.unready_at_s = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._stopping:
            try:
                with urllib.request.urlopen(self._url, timeout=2):
                    self.ready_polls += 1
            except OSError:
                self.unready_at_s.append(time.monotonic())
            time.sleep(_POLL_S)

    def stop(self):
        """Stops polling and waits for the thread."""
        self._stopping = True
        self._thread.join()


def _lose_leader(running, kill):
    """Kills or freezes the leader until another commits, then restores it."""
    _, status = running.call_api("GET", "/v1/status?stale=1")
    leader = running.daemons[status["leader"]]
    leader.send_signal(signal.SIGKILL if kill else signal.SIGSTOP)
    give_up_at_s = time.monotonic() + 30
    while time.monotonic() < give_up_at_s:
        code, _ = running.call_api("PUT", "/v1/team/coach", {"upper_limit": 90})
        if code == 200:
            break
    time.sleep(_SETTLE_S)
    if kill:
        leader.wait(10)
        leader.start()
    else:
        leader.send_signal(signal.SIGCONT)
    time.sleep(_SETTLE_S)


def _signal_control(running, signal_number):
    for name in running.control_names:
        running.daemons[name].send_signal(signal_number)


def _measure_readiness(running):
    """Runs leader losses and a freeze of control.

    Returns:
        Unready polls during the leader losses, all polls that found an entry
        ready, and the longest time in ms from the freeze until an entry's first
        unready poll.
    """
    watchers = [
        _Watcher(f"http://{running.get_address(name, 'admin')}/readyz")
        for name in running.entry_names
    ]
    try:
        for number in range(_ROUNDS):
            _lose_leader(running, number % 2 == 1)
        unready = sum(len(watcher.unready_at_s) for watcher in watchers)
        frozen_at_s = time.monotonic()
        _signal_control(running, signal.SIGSTOP)
        time.sleep(_FREEZE_S)
        _signal_control(running, signal.SIGCONT)
    finally:
        for watcher in watchers:
            watcher.stop()
    unready_after_ms = []
    for watcher in watchers:
        after = [at_s for at_s in watcher.unready_at_s if at_s > frozen_at_s]
        first_s = after[0] - frozen_at_s if after else float("inf")
        unready_after_ms.append(first_s * 1000.0)
    return unready, sum(w.ready_polls for w in watchers), max(unready_after_ms)


def measure():
    """Measures the readiness of the entries of one deployment.

    Returns:
        Result lines with the unready polls and the time to unreadiness.
    """
    with tempfile.TemporaryDirectory() as folder:
        shape = deployment.Shape(services=("orders",), backends=1)
        running = deployment.Deployment(pathlib.Path(folder), shape, _BASE_PORT)
        try:
            running.start()
            unready, polls, unready_after_ms = _measure_readiness(running)
        finally:
            running.stop()
    freshness_ms = settings.LeaseTimings().freshness_ms
    return [
        lines.render_line(
            "freshness",
            "unready_in_leader_losses",
            unready,
            bound=0,
            losses=_ROUNDS,
            polls=polls,
        ),
        lines.render_line(
            "freshness",
            "cut_to_refusal_max_ms",
            unready_after_ms,
            # The last successful poll may have been sent just before the lease
            # ended, so the first unready one may come this much later.
            bound=freshness_ms + 2 * _POLL_S * 1000.0,
            entries=shape.entries,
        ),
    ]
