"""A route that gets another name loses the submissions of its place."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

EXECUTORS = 4
CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.4
JOB = "5c0e7a21d94b36f8"
FIRST = f"{JOB}.0.0.0"
SECOND = f"{JOB}.0.1.0"


def case(record, has_trouble, resources):
    nodes = standins.Nodes(record)
    resources.append(nodes)
    nodes.start_all()
    standins.put_until_acked(
        nodes, record, "/v1/config/put", standins.build_config(1)
    )
    starts = {}
    for i in range(EXECUTORS):
        executor = standins.Executor(
            f"i-{i}", f"m-{i}", nodes, record, {FIRST: 18.0, SECOND: 2.0}
        )
        executor.on_start = lambda e, task, run: starts.setdefault(
            task, time.monotonic()
        )
        executor.start()
    time.sleep(3.0)
    client = standins.Client(nodes, record)
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 18000}
    later = {**step, "estimate_ms": 2000, "depends_on": [0]}
    client.submit(JOB, {"spec": "an order", "phases": [step, later]})
    standins.wait_until(lambda: FIRST in starts, 10, "the submission has begun")
    # The same route at the same place; only its name differs with the trouble.
    name = "r-orders-new" if has_trouble else "r-orders"
    config = standins.build_config(2, name=name)
    standins.put_until_acked(nodes, record, "/v1/config/put", config)
    time.sleep(max(CONFIG_APPLY_S, VISIBLE_S) + 0.5)
    is_broken = False
    for node in range(3):
        answer = client.send("GET", JOB, node=node)
        if answer is not None and answer[0] == 410:
            record.write(f"LOST: node {node} answers 410, nobody has cancelled")
            is_broken = True
    answer = client.send("DELETE", JOB, node=0)
    if answer is None or not (answer[0] == 410 or answer[0] // 100 == 2):
        raise standins.NotRunnableError("the cancelling was not acknowledged")
    cancelled = time.monotonic()
    time.sleep(18.0)
    late = starts.get(SECOND, cancelled) - cancelled
    if late > CANCEL_S:
        record.write(
            f"UNASKED: a subtask started {late:.3f} s after the cancelling was"
            f" acknowledged; cancel_ms is {CANCEL_S * 1000:.0f}"
        )
        is_broken = True
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).resolve().parent, case))
