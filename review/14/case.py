"""A submission of many small subtasks with a long spec stops an executor."""

import os
import pathlib
import random
import string
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from stand3 import site3

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SUBTASKS = 1_200
# The pages allow a spec of up to 4,000 bytes.
SPEC_BYTES = 4_000 if TROUBLE else 400
WATCH_S = 45


def main():
    site = site3.Site(FOLDER, net=44)
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
    site.add_executors(2)
    time.sleep(2)
    first = site3.new_id()
    beside = {
        "spec": "beside",
        "phases": [{"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 2000}]
    }
    if not site.submit(first, beside):
        return 2
    time.sleep(4)
    if site.send("GET", first)[1] != '{"state":"completed"}':
        return 2
    job = site3.new_id()
    spec = "".join(
        random.choice(string.ascii_letters) for _ in range(SPEC_BYTES)
    )
    body = {
        "spec": spec,
        "phases": [
            {"count": SUBTASKS, "cpu": 40, "mem_mb": 64, "estimate_ms": 1000}
        ],
    }
    if not site.submit(job, body):
        return 2
    # The traffic has ended. From `finish_s` on, no submission may have nothing
    # running for 3 s while its turn has come and there is room for it.
    ends = time.monotonic()
    last_run = ends + site3.BOUNDS["finish_s"]
    idle_s = 0.0
    state = ""
    asked = 0.0
    while time.monotonic() < ends + WATCH_S:
        time.sleep(0.02)
        now = time.monotonic()
        if now >= asked + 1:
            asked = now
            _, state = site.send("GET", job)
            if "completed" in state:
                break
        if any(
            task.startswith(job)
            for executor in site.executors
            for task in list(executor.running)
        ):
            last_run = max(last_run, now)
        idle_s = max(idle_s, now - last_run)
    begun = len({s[1] for s in site.starts if s[1].startswith(job)})
    done = len({e[1] for e in site.ends if e[1].startswith(job) and e[4] == "done"})
    oversized = sum(executor.oversized for executor in site.executors)
    longest = max(executor.longest_response for executor in site.executors)
    site.record.write(
        f"result: nothing of the submission ran for {idle_s:.1f} s, from"
        f" {site3.BOUNDS['finish_s']} s after the traffic on; {begun} of {SUBTASKS} subtasks begun, {done} done, state"
        f" {state}; largest response to a ping {longest} bytes, {oversized}"
        " above 4 MiB"
    )
    if "completed" in state:
        return 0
    return 1 if idle_s > 3 else 2


if __name__ == "__main__":
    sys.exit(main())
