"""Four crashes of executors end a sound submission as failed."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # noqa: E402

# How long the subtask has run when its executor crashes, and how long that is
# down (`for_s`).
RUN_S = 4.0
DOWN_S = 5.0
CRASHES = 4


def play(site, has_trouble):
    job = standins.job_id()
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": 12000}]
    if not site.submit(job, steps, "ms=12000"):
        raise standins.CannotRunError("the submission was not accepted")
    for number in range(CRASHES if has_trouble else 0):
        site.wait(lambda: len(site.starts) > number, 20, "the subtask runs again")
        time.sleep(RUN_S)
        name = site.starts[-1][3]
        holder = [e for e in site.executors if e.id == name][0]
        holder.crash_for(DOWN_S)
    end = time.monotonic() + 40
    while time.monotonic() < end:
        state, reason = site.state(job)
        if state not in ("queued", "active"):
            break
        time.sleep(0.3)
    failed = [e for e in site.ends if e[3] == "failed"]
    site.record.write(f"state: {state} ({reason}); ends `failed`: {failed}")
    site.record.write(f"starts: {site.starts}")
    if state in ("failed", "cancelled", "410") and not failed:
        return f"LOST: the submission is {state} ({reason}), and no run has failed"
    return ""


standins.run_case(pathlib.Path(__file__).resolve().parent, play, executors=8)
