"""Whether healthy entries refuse while control changes its leader.

Freezes and kills the leader of a small deployment in turn while every entry is
asked whether it is ready, then freezes all of control: no entry may become
unready by a change of leader, and every entry must within its freshness lease.
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
_CUT_S = 4.0


class _Watcher:
    """Asks one entry again and again whether it is ready."""

    def __init__(self, url):
        self._url = url
        self._stopping = False
        self.polls = 0
        self.unready_at_s = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._stopping:
            try:
                with urllib.request.urlopen(self._url, timeout=2):
                    self.polls += 1
            except OSError:
                self.unready_at_s.append(time.monotonic())
            time.sleep(_POLL_S)

    def stop(self):
        """Ends the thread."""
        self._stopping = True
        self._thread.join()


def _lose_leader(running, kills):
    """Loses the leader, waits for the next commit, brings it back."""
    _, status = running.call_api("GET", "/v1/status?stale=1")
    lost = running.daemons[status["leader"]]
    lost.send_signal(signal.SIGKILL if kills else signal.SIGSTOP)
    ends_s = time.monotonic() + 30
    while time.monotonic() < ends_s:
        code, _ = running.call_api("PUT", "/v1/team/coach", {"upper_limit": 90})
        if code == 200:
            break
    time.sleep(_SETTLE_S)
    if kills:
        lost.wait(10)
        lost.start()
    else:
        lost.send_signal(signal.SIGCONT)
    time.sleep(_SETTLE_S)


def _signal_control(running, number):
    for name in running.control_names:
        running.daemons[name].send_signal(number)


def _measure_running(running):
    """Gives unready answers in changes of leader, and ms to refusal."""
    watchers = [
        _Watcher(f"http://{running.get_address(name, 'admin')}/readyz")
        for name in running.entry_names
    ]
    try:
        for number in range(_ROUNDS):
            _lose_leader(running, number % 2 == 1)
        unready = sum(len(watcher.unready_at_s) for watcher in watchers)
        cut_at_s = time.monotonic()
        _signal_control(running, signal.SIGSTOP)
        time.sleep(_CUT_S)
        _signal_control(running, signal.SIGCONT)
    finally:
        for watcher in watchers:
            watcher.stop()
    refused_ms = []
    for watcher in watchers:
        after = [at_s for at_s in watcher.unready_at_s if at_s > cut_at_s]
        first_s = after[0] - cut_at_s if after else float("inf")
        refused_ms.append(first_s * 1000.0)
    return unready, sum(w.polls for w in watchers), max(refused_ms)


def measure():
    """Measures one deployment.

    Returns:
        Result lines.
    """
    with tempfile.TemporaryDirectory() as folder:
        shape = deployment.Shape(services=("orders",), backends=1)
        running = deployment.Deployment(pathlib.Path(folder), shape, _BASE_PORT)
        try:
            running.start()
            unready, polls, refused_ms = _measure_running(running)
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
            refused_ms,
            # A poll may come just before the lease ends.
            bound=freshness_ms + 2 * _POLL_S * 1000.0,
            entries=shape.entries,
        ),
    ]
