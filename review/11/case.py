"""Routes that were removed fill the memory of every machine with a disk."""

import json
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

# pylint: disable=wrong-import-position
from stand3 import site3

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A config of about 262,000 bytes.
ROUTES = 1_080
CHANGES = 700
# From the start of the script on, which may take 120 s.
CHANGING_ENDS_S = 82
WATCH_ENDS_S = 106
WATCH_S = 40


def main():
    site = site3.Site(FOLDER, net=41)
    try:
        return run(site)
    finally:
        site.end()


def run(site):
    started = time.monotonic()
    site.start()
    first = site3.build_config(routes=ROUTES)
    if not site.operate("POST", "/v1/config/put", first):
        site.record.write("the first config is not accepted")
        return 2
    if not put(site, first) or not site.wait_ready(25):
        site.record.write("the deployment does not come up")
        return 2
    site.add_executors(2)
    time.sleep(1)
    site.enforce_memory()
    job = site3.new_id()
    step = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}
    if not site.submit(job, {"spec": "order", "phases": [step]}):
        return 2
    newest = 1
    for version in range(2, CHANGES + 2):
        if time.monotonic() > started + CHANGING_ENDS_S:
            break
        if count_killed(site, 1) >= 2:
            break
        if TROUBLE:
            config = site3.build_config(version, routes=ROUTES)
        else:
            config = {**first, "version": version}
            for route in config["routes"]:
                route["timeout_ms"] = 3000 + version % 2
        if put(site, config):
            newest = version
        if version % 10 == 0:
            used = ", ".join(f"{n.read_private_mb():.0f}" for n in site.nodes)
            site.record.write(
                f"operator: version {newest} is acknowledged; memory in MB:"
                f" {used}"
            )
    # The operator reads the config back, and the client asks for its work.
    has_config = has_state = False
    asked = time.monotonic()
    ends = min(asked + WATCH_S, started + WATCH_ENDS_S)
    while time.monotonic() < ends and not (has_config and has_state):
        for node in site.nodes:
            answer = site3.call(
                node.get_address(site3.CONTROL), "GET", "/v1/config/get", None,
                {}, 1,
            )
            if answer is not None and answer[0] == 200:
                has_config |= json.loads(answer[1])["version"] >= newest
        has_state |= site.send("GET", job)[0] == 200
        time.sleep(0.2)
    took_s = time.monotonic() - asked
    deaths = [len(node.deaths) for node in site.nodes]
    site.record.write(
        f"result: {newest - 1} changes of {ROUTES} routes acknowledged; kills"
        f" for memory by node {deaths}; peaks in MB"
        f" {[round(node.peak_mb) for node in site.nodes]}; the newest config"
        f" {'came' if has_config else 'did not come'} in {took_s:.1f} s, the"
        f" submission's state {'came' if has_state else 'did not come'}"
    )
    if not has_config or not has_state or count_killed(site, 3) >= 2:
        return 1
    return 0


def count_killed(site, times):
    """Counts the machines with a disk that were killed so often."""
    return sum(len(node.deaths) >= times for node in site.nodes[:3])


def put(site, config):
    """Makes a change and returns whether it was acknowledged."""
    address = getattr(site, "leader_address", None)
    if address is not None:
        answer = site3.call(
            address, "POST", "/v1/config/put", config, {}, 2.0
        )
        if answer is not None and answer[0] == 200:
            return True
    answer = site.operate(
        "POST", "/v1/config/put", config, timeout_s=2.0, attempts=4
    )
    leader = site.find_leader()
    if leader is not None:
        site.leader_address = leader.get_address(site3.CONTROL)
    return answer is not None and answer[0] == 200


if __name__ == "__main__":
    sys.exit(main())
