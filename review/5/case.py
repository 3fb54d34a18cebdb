"""Submissions that were assigned to dark executors are missing in `pending`."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

# The pool is one rack.
EXECUTORS = 4
DARK_S = 7.5
SUBMISSIONS = 6
VISIBLE_S = 3.0
ASK_AFTER_S = VISIBLE_S + 2.0 + 0.5


def case(record, has_trouble, resources):
    nodes = standins.Nodes(record)
    resources.append(nodes)
    nodes.start_all()
    standins.put_until_acked(
        nodes, record, "/v1/config/put", standins.build_config()
    )
    begun = set()
    executors = []
    for i in range(EXECUTORS):
        executor = standins.Executor(f"i-{i}", f"m-{i}", nodes, record)
        executor.on_start = lambda e, task, run: begun.add(
            task.partition(".")[0]
        )
        executor.start()
        executors.append(executor)
    time.sleep(3.0)
    client = standins.Client(nodes, record)
    if has_trouble:
        for executor in executors:
            executor.crash("goes dark")
    dark_since = time.monotonic()
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 2000}
    accepted = []
    for i in range(SUBMISSIONS):
        job = f"{i:016x}"
        client.submit(job, {"spec": "an order", "phases": [step]})
        accepted.append((job, time.monotonic()))
    time.sleep(max(0.0, accepted[-1][1] + ASK_AFTER_S - time.monotonic()))
    is_broken = False
    for node in range(3):
        asked = time.monotonic()
        answer = client.send("GET", node=node)
        waiting = [
            job
            for job, at in accepted
            if job not in begun and at < asked - VISIBLE_S - 2.0
        ]
        if answer is None or answer[0] != 200:
            continue
        pending = answer[1]["pending"]
        record.write(
            f"{len(waiting)} have not begun; node {node} shows {pending}"
        )
        if 2 * pending < len(waiting):
            is_broken = True
    if has_trouble:
        time.sleep(max(0.0, dark_since + DARK_S - time.monotonic()))
        for executor in executors:
            executor.start()
    standins.wait_until(
        lambda: len(begun) == SUBMISSIONS, 30, "all submissions have begun"
    )
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).resolve().parent, case))
