"""A ping of another writer, without `machine`, ends a sound executor's run."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # noqa: E402



def play(site, has_trouble):
    job = standins.job_id()
    steps = [{"count": 1, "cpu": 2000, "mem_mb": 256, "estimate_ms": 8000}]
    if not site.submit(job, steps, "ms=8000"):
        raise standins.CannotRunError("the submission was not accepted")
    site.wait(lambda: site.starts, 10, "the subtask runs")
    time.sleep(2)
    holder = site.executors[[e.id for e in site.executors].index(site.starts[0][3])]
    if has_trouble:
        with holder.lock:
            ping = holder.body()
            holder.seq -= 1
        # Of another start, and without one of the fields.
        ping.update(born=ping["born"] + 1000, seq_no=1, running=[], finished=[])
        del ping["machine"]
        path = f"/v1/instances/{holder.id}/heartbeat"
        answer = standins.request(site.nodes[3].control, "POST", path, ping)
        site.record.write(f"ping of another writer for {holder.id}: {ping}")
        site.record.write(f"answer: {answer and answer[:2]}")
    broken = ""
    end = time.monotonic() + 12
    while time.monotonic() < end and not broken:
        runs = []
        for e in site.executors:
            with e.lock:
                if e.up and time.monotonic() < e.lease_until:
                    runs += [(e.id, t, r["run"]) for t, r in e.running.items()]
        if len(runs) > 1:
            broken = f"TWICE: two runs of one subtask at the same time: {runs}"
        time.sleep(0.01)
    site.record.write(f"starts: {site.starts}")
    site.record.write(f"ends: {site.ends}")
    site.record.write(f"state: {site.state(job)}")
    return broken


standins.run_case(pathlib.Path(__file__).resolve().parent, play)
