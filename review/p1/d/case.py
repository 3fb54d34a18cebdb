"""One large submission stops its service for good."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # noqa: E402

# Subtasks of a twentieth of a core each; 57.5 cores in all.
COUNT = 1_150
# The pages allow 4,000 bytes.
SPEC_BYTES = 3_950


def play(site, has_trouble):
    lasting = standins.job_id()
    steps = [{"count": 6, "cpu": 500, "mem_mb": 256, "estimate_ms": 500,
              "long_running": True}]
    if not site.submit(lasting, steps, "ms=last"):
        raise standins.CannotRunError("the lasting submission was not accepted")
    site.wait(lambda: len(site.starts) >= 6, 10, "the lasting subtasks run")
    large = standins.job_id()
    spec = "ms=1000 pad=".ljust(SPEC_BYTES if has_trouble else 20, "x")
    steps = [{"count": COUNT, "cpu": 50, "mem_mb": 64, "estimate_ms": 1000}]
    if not site.submit(large, steps, spec):
        raise standins.CannotRunError("the large submission was not accepted")
    time.sleep(3)
    small = standins.job_id()
    steps = [{"count": 4, "cpu": 500, "mem_mb": 64, "estimate_ms": 1000}]
    if not site.submit(small, steps, "ms=1000"):
        raise standins.CannotRunError("the small submission was not accepted")
    site.record.write("end of the traffic")
    time.sleep(standins.BOUNDS["finish_s"])
    # What runs is looked at for 3 s.
    idle = {large: True, small: True}
    end = time.monotonic() + 3.2
    most_used = 0
    while time.monotonic() < end:
        running = [t for e in site.executors for t in list(e.running)]
        for name in idle:
            idle[name] &= not any(t.startswith(name) for t in running)
        most_used = max(most_used, len(running))
        time.sleep(0.02)
    broken = []
    for name in idle:
        state, _ = site.state(name)
        starts = sum(s[1].startswith(name) for s in site.starts)
        site.record.write(f"{name}: {state}, {starts} starts")
        if state != "completed" and idle[name]:
            broken.append(f"LOST: {name} is {state} with {starts} starts, and for 3 s"
                          f" nothing of it runs beside {most_used} running subtasks")
    lapsed = [e for e in site.ends if e[3] == "lapsed"]
    site.record.write(f"lapsed: {lapsed}")
    site.record.write(f"answers to heartbeats above 4 MiB: {len(standins.LARGE)},"
                      f" such as {standins.LARGE[:1]} bytes")
    return "; ".join(broken)


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
