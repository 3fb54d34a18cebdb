"""A wide submission with a limit per executor stops the whole deployment."""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from stand3 import site3

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 6
STANDING = 6
SUBTASKS = 10_000
CPU = 36
# At most so many subtasks of the step on one executor; all of them have room.
PER_EXECUTOR = 1_700
TRAFFIC_S = 6
WATCH_S = 20
# A client's deadline and the retries of the site's clients.
ATTEMPTS = 5
# The rule asks for a new run of a subtask that lasts 6 s after its last one,
# and counts it as lost work after 3 s more.
LONGEST_GAP_S = 9.0


class Watch(threading.Thread):
    """Measures how long each standing subtask had no run."""

    def __init__(self, site, job):
        super().__init__(daemon=True)
        self.site = site
        self.gaps = {f"{job}.0.0.{index}": 0.0 for index in range(STANDING)}
        self.ended = False

    def run(self):
        last = {task: time.monotonic() for task in self.gaps}
        while not self.ended:
            time.sleep(0.05)
            now = time.monotonic()
            at_work = {
                task
                for executor in self.site.executors
                for task in list(executor.running)
            }
            for task in self.gaps:
                if task in at_work:
                    last[task] = now
                self.gaps[task] = max(self.gaps[task], now - last[task])


def main():
    site = site3.Site(FOLDER, net=43)
    try:
        return run(site)
    finally:
        site.end()


def run(site):
    site.start()
    answer = site.operate("POST", "/v1/config/put", site3.build_config())
    if answer is None or answer[0] != 200 or not site.wait_ready(25):
        site.record.write("the deployment does not come up")
        return 2
    site.add_executors(EXECUTORS)
    time.sleep(2)
    standing = site3.new_id()
    feed = {
        "count": STANDING,
        "cpu": 1_000,
        "mem_mb": 512,
        "estimate_ms": 500,
        "long_running": True,
    }
    if not site.submit(standing, {"spec": "feed", "phases": [feed]}):
        return 2
    time.sleep(4)
    if sum(len(each.running) for each in site.executors) != STANDING:
        site.record.write("the standing subtasks are not at work")
        return 2
    watch = Watch(site, standing)
    watch.start()
    wide = site3.new_id()
    step = {"count": SUBTASKS, "cpu": CPU, "mem_mb": 16, "estimate_ms": 1000}
    if TROUBLE:
        step["anti_affinity"] = PER_EXECUTOR
    accepted = [standing]
    body = {"spec": "wide", "phases": [step]}
    if site.submit(wide, body, attempts=ATTEMPTS):
        accepted.append(wide)
    ends = time.monotonic() + TRAFFIC_S
    while time.monotonic() < ends:
        small = site3.new_id()
        order = {
            "count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 500
        }
        if site.submit(small, {"spec": "order", "phases": [order]}, attempts=1):
            accepted.append(small)
        time.sleep(0.5)
    time.sleep(site3.BOUNDS["finish_s"])
    unanswered = 0
    asked = time.monotonic()
    for job in accepted:
        if time.monotonic() > asked + WATCH_S:
            break
        unanswered += not any(
            site.send("GET", job, number=attempt % len(site.nodes))[0] == 200
            for attempt in range(ATTEMPTS)
        )
    watch.ended = True
    watch.join()
    begun = len({s[1] for s in site.starts if s[1].startswith(wide)})
    logs = "".join(node.read_log() for node in site.nodes)
    longest = max(watch.gaps.values())
    site.record.write(
        f"result: longest time without a run of a standing subtask"
        f" {longest:.1f} s (broken above {LONGEST_GAP_S:.0f} s); of"
        f" {len(accepted)} accepted submissions {unanswered} got no answer in"
        f" {ATTEMPTS} attempts; {begun} of {SUBTASKS} wide subtasks begun;"
        f" {logs.count('event=scheduling ')} terms of a leader"
    )
    if longest > LONGEST_GAP_S or unanswered:
        return 1
    return 0 if wide in accepted else 2


if __name__ == "__main__":
    sys.exit(main())
