"""One failed run of a gang uses up all attempts of its submission."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

EXECUTORS = 20
# Executors that fail what they run, and for how long.
GREY = 2
GREY_S = 5.5
MEMBERS = 12
MAX_ATTEMPTS = 2
WORK_S = 2.0
FAILS_AFTER_S = 0.5
JOB = "5c0e7a21d94b36f8"


def case(record, has_trouble, resources):
    nodes = standins.Nodes(record)
    resources.append(nodes)
    nodes.start_all()
    standins.put_until_acked(
        nodes,
        record,
        "/v1/config/put",
        standins.build_config(max_attempts=MAX_ATTEMPTS),
    )
    gangs = {}
    ends = []

    def find_gang(task, run):
        return gangs.setdefault(run, standins.Gang(MEMBERS, WORK_S))

    for i in range(EXECUTORS):
        executor = standins.Executor(f"i-{i}", f"m-{i}", nodes, record)
        executor.find_gang = find_gang
        executor.on_end = lambda e, task, run, how: ends.append((run, how))
        executor.start()
    time.sleep(3.0)
    client = standins.Client(nodes, record)
    step = {
        "count": MEMBERS,
        "cpu": 1000,
        "mem_mb": 100,
        "estimate_ms": 2000,
        "gang": True,
        "anti_affinity": 1,
    }
    client.submit(JOB, {"spec": "an order", "phases": [step]})
    if has_trouble:
        standins.wait_until(
            lambda: any(g.begun for g in gangs.values()), 10, "the gang works"
        )
        time.sleep(FAILS_AFTER_S)
        run, gang = next((r, g) for r, g in gangs.items() if g.begun)
        task, _ = next(iter(gang.members.items()))
        grey = dict.fromkeys(list(gang.members)[:GREY], "failed")
        names = [gang.members[member][0].name for member in grey]
        record.write(f"{names} turn grey: what they run fails")
        gang.members[task][0].end_members(task, run, grey)
        grey_until = time.monotonic() + GREY_S
    state = ""
    end = time.monotonic() + 40
    while state not in ("completed", "failed", "cancelled"):
        if time.monotonic() > end:
            raise standins.NotRunnableError(f"the submission is still {state}")
        time.sleep(0.5)
        answer = client.send("GET", JOB, node=1)
        if answer is not None and answer[0] == 200:
            state = answer[1]["state"]
        if has_trouble and time.monotonic() < grey_until:
            for run, gang in gangs.items():
                again = {
                    member: "failed"
                    for member, (executor, _) in gang.members.items()
                    if executor.name in names
                }
                if again and gang.begun:
                    member = next(iter(again))
                    gang.members[member][0].end_members(member, run, again)
    failed_runs = {run for run, how in ends if how == "failed"}
    record.write(
        f"shown as {state}; runs of the gang that failed: {failed_runs}"
    )
    if state == "completed":
        return standins.HELD
    return standins.BROKEN if len(failed_runs) < MAX_ATTEMPTS else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).resolve().parent, case))
