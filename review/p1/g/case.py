"""A few scheduled submissions put all control processes into a crash loop."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # noqa: E402

SUBMISSIONS = 14
RETRIES = 4
# Every ten minutes, for ten weeks.
OCCURRENCES = 10_000
INTERVAL_MS = 600_000
MEMORY_MB = 300
RESTART_S = 1.0


def read_memory_mb(node):
    """Returns the resident memory of a node's process; 0 if it has ended."""
    try:
        status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    except OSError:
        return 0
    for line in status.splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0


def watch_memory(site, kills):
    """Does what the platform does: a process over `memory_mb` is killed."""
    due = {}
    while not site.ended:
        for node in site.nodes:
            if node in due:
                if time.monotonic() >= due[node] and not site.ended:
                    del due[node]
                    node.start()
                    site.record.write(f"{node.ip} starts again")
                continue
            used_mb = read_memory_mb(node)
            if used_mb > MEMORY_MB:
                node.kill()
                kills[node.number].append(site.record.now())
                due[node] = time.monotonic() + RESTART_S
                site.record.write(f"{node.ip} uses {used_mb:.0f} MB and is killed")
        time.sleep(0.05)


def play(site, has_trouble):
    kills = {node.number: [] for node in site.nodes}
    threading.Thread(target=watch_memory, args=(site, kills), daemon=True).start()
    ordinary = standins.job_id()
    steps = [{"count": 6, "cpu": 500, "mem_mb": 256, "estimate_ms": 500,
              "long_running": True}]
    if not site.submit(ordinary, steps, "ms=last"):
        raise standins.CannotRunError("the lasting submission was not accepted")
    accepted = [ordinary]
    for _ in range(SUBMISSIONS):
        name = standins.job_id()
        steps = [{"count": 8, "cpu": 500, "mem_mb": 100, "estimate_ms": 800}]
        for _ in range(1 + RETRIES):
            answer = site.call("POST", name, {
                "spec": "ms=800", "phases": steps,
                "repeat_count": OCCURRENCES if has_trouble else 10,
                "start_at_ms": int(time.time() * 1000) + 3_600_000,
                "interval_ms": INTERVAL_MS})
            site.record.write(f"POST {name}: {answer and answer[:2]}")
            if answer and answer[0] == 200:
                accepted.append(name)
                break
            time.sleep(1.5)
        time.sleep(0.5)
    site.record.write(f"end of the traffic; accepted: {accepted}")
    time.sleep(standins.BOUNDS["finish_s"])
    states = {}
    for name in accepted:
        answer = site.call("GET", name)
        states[name] = answer and (answer[0], answer[1].get("state"))
        site.record.write(f"GET {name}: {states[name]}")
    time.sleep(5)
    site.record.write(f"kills: {kills}")
    looping = [n for n, at in kills.items() if len(at) >= 3]
    unknown = [n for n, s in states.items() if s is None or s[0] != 200]
    if len(looping) * 2 >= site.disks:
        text = ("Fault: with no disturbance, memory over the limit has ended the"
                f" processes of nodes {looping} three times or more each")
        if unknown:
            text += f"; LOST: {len(unknown)} of {len(states)} accepted submissions get no answer"
        return text
    return ""


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
