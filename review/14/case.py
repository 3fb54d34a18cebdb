"""Submissions are shown as failed although no run of theirs has failed."""

import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from stand3 import site3

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 8
TRAFFIC_S = 60
SUBMISSIONS_PER_S = 4.0
SUBTASKS = 6
WORK_MS = 2_100
CPU = 7_700
# One executor of eight at a time (a share of .125), down for less than a second.
GAP_S = 1.5
DOWN_S = 0.8


def crash_by_turns(site, until):
    """Crashes a random executor each `GAP_S`."""
    while time.monotonic() < until:
        time.sleep(GAP_S)
        up = [each for each in site.executors if not each.is_down]
        random.choice(up).crash(DOWN_S)


def main():
    site = site3.Site(FOLDER, net=44)
    try:
        return run(site)
    finally:
        site.end()


def run(site):
    site.start()
    answer = site.operate(
        "POST", "/v1/config/put", site3.build_config(max_attempts=4)
    )
    if answer is None or answer[0] != 200 or not site.wait_ready(25):
        site.record.write("the deployment does not come up")
        return 2
    site.add_executors(EXECUTORS)
    time.sleep(2)
    until = time.monotonic() + TRAFFIC_S
    if TROUBLE:
        threading.Thread(
            target=crash_by_turns, args=(site, until), daemon=True
        ).start()
    accepted = []
    while time.monotonic() < until:
        job = site3.new_id()
        body = {
            "spec": "packing plan",
            "phases": [
                {
                    "count": random.randint(1, SUBTASKS),
                    "cpu": CPU,
                    "mem_mb": 4_000,
                    "estimate_ms": WORK_MS,
                }
            ],
        }
        if site.submit(job, body, attempts=1):
            accepted.append(job)
        time.sleep(random.expovariate(SUBMISSIONS_PER_S))
    time.sleep(site3.BOUNDS["finish_s"])
    failed = 0
    for job in accepted:
        _, state = site.send("GET", job)
        if '"failed"' not in state:
            continue
        hows = [end[4] for end in site.ends if end[1].startswith(job)]
        if "failed" in hows:
            continue
        failed += 1
        site.record.write(
            f"result: {job} is shown as failed; its runs ended:"
            f" {hows.count('done')} done, {hows.count('lost')} lost with their"
            f" executor, {hows.count('failed')} failed"
        )
    site.record.write(
        f"result: {failed} of {len(accepted)} accepted submissions are shown as"
        " failed without a failed run"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
