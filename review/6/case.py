"""A late ping makes a new leader start a subtask that is running."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
# pylint: disable=wrong-import-position
from stand_ins_2 import deployment  # noqa: E402

WORKERS = 7
MEMBERS = 2
MEMBER_CPU = 20_000
# How long the crashed worker stays down after the gang's other member has
# begun, and how long after its return the late ping arrives.
DOWN_S = 0.4
RELEASE_S = 0.3
DURATION_S = 9.0
# Most that a ping may be late before the case gives up.
MAX_LATE_S = 8.0
# The pings after the late one come this much later than it.
BEHIND_S = 2.0
WATCH_S = 20.0


class Path:
    """The path of one worker's pings, which holds some of them up."""

    def __init__(self):
        # The ping before the start; later ones up to the start pass.
        self.is_first_held = False
        self.has_started = False
        self.released_at = None
        # Set when the first ping may arrive.
        self.may_arrive = threading.Event()

    def hold_up(self, body):
        """Returns a function that waits until a ping may go on, or 0."""
        if not self.is_first_held:
            self.is_first_held = True
            return self._wait_for_leader
        if self.has_started:
            return self._wait_behind
        return 0.0

    def _wait_for_leader(self):
        self.may_arrive.wait(MAX_LATE_S)
        self.released_at = time.monotonic()

    def _wait_behind(self):
        until = time.monotonic() + MAX_LATE_S
        while time.monotonic() < until:
            at = self.released_at
            if at is not None and time.monotonic() >= at + BEHIND_S:
                return
            time.sleep(0.01)


def _start_again(node):
    node.process.wait()
    time.sleep(0.5)
    node.start()


def case(folder, started, has_trouble):
    """Returns what was broken; empty if no two runs were at work."""
    site = deployment.Deployment(folder)
    started.append(site)
    for i in range(WORKERS):
        site.add_worker(f"i-{i}", ["a", f"r1-{i // 4}"])
    target = site.workers["i-0"]
    other = site.workers["i-1"]
    # Only these two are up until the gang has been assigned.
    site.start(deployment.build_document())
    target.start()
    other.start()
    time.sleep(1.5)
    site.wait(lambda: target.pinging_since is None, 5, "between two pings")
    path = Path()
    if has_trouble:
        target.delay_ping = path.hold_up
    job = site.submit(
        {
            "spec": "pack it",
            "phases": [
                {
                    "count": MEMBERS, "cpu": MEMBER_CPU, "mem_mb": 1024,
                    "estimate_ms": 9000, "gang": True, "anti_affinity": 1,
                }
            ],
        },
        durations_s=DURATION_S,
    )
    if has_trouble:
        other.crash()
    for worker in site.workers.values():
        if not worker.life:
            worker.start()
    site.wait(lambda: target.runs, 10, "started")
    path.has_started = True
    task = next(iter(target.runs))
    if has_trouble:
        leader = site.find_leader()
        if leader is None or other.runs or len(site.starts) > 1:
            raise deployment.CannotRun("another order of events")
        site.record.add(f"{leader.name} gets SIGTERM")
        leader.process.send_signal(signal.SIGTERM)
        threading.Thread(
            target=_start_again, args=(leader,), daemon=True
        ).start()
        time.sleep(DOWN_S)
        other.start()
        time.sleep(RELEASE_S)
        path.may_arrive.set()
    until = time.monotonic() + WATCH_S
    doubled_s = 0.0
    last = time.monotonic()
    while time.monotonic() < until:
        holders = [
            f"{worker.name} run {worker.runs[task].number}"
            for worker in site.workers.values()
            if worker.is_up and task in dict(worker.runs)
        ]
        now = time.monotonic()
        if len(holders) > 1:
            if not doubled_s:
                site.record.add(f"{task} is at work on {holders}")
            doubled_s += now - last
        last = now
        if any(end[2] == task and end[4] == "done" for end in site.ends):
            break
        time.sleep(0.01)
    site.record.add(f"two runs at the same time for {doubled_s:.2f} s")
    if doubled_s:
        return f"TWICE: two runs of {task} at the same time for {doubled_s:.2f} s"
    return ""


if __name__ == "__main__":
    sys.exit(deployment.run_case(case, __file__))
