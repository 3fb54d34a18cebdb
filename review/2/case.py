"""A lost order and one crash end a sound submission as failed."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

# One of eight executors is down at a time, for this long.
EXECUTORS = 8
DOWN_S = 1.0
# How long the subtask has run at the second crash, of the work that it takes.
RUNS_FOR_S = 0.5
WORK_S = 2.0
JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"


def case(record, has_trouble, resources):
    nodes = standins.Nodes(record)
    resources.append(nodes)
    nodes.start_all()
    standins.put_until_acked(
        nodes, record, "/v1/config/put", standins.build_config()
    )
    missed = []
    starts = []
    ends = []

    def restart_later(executor):
        threading.Timer(DOWN_S, executor.start).start()

    def misses_order(executor, task, run):
        # The first executor crashes before it gets the order.
        if not has_trouble or missed:
            return False
        missed.append(executor.name)
        restart_later(executor)
        return True

    def crash(executor):
        if executor.lists(TASK) is not None:
            executor.crash()
            restart_later(executor)

    def note_start(executor, task, run):
        # The second one crashes while it runs the subtask.
        starts.append(executor.name)
        if has_trouble and len(starts) == 1:
            threading.Timer(RUNS_FOR_S, crash, (executor,)).start()

    for i in range(EXECUTORS):
        executor = standins.Executor(
            f"i-{i}", f"m-{i}", nodes, record, {TASK: WORK_S}
        )
        executor.misses_order = misses_order
        executor.on_start = note_start
        executor.on_end = lambda e, task, run, how: ends.append(how)
        executor.start()
    time.sleep(2.0)
    client = standins.Client(nodes, record)
    step = {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 2000}
    client.submit(JOB, {"spec": "an order", "phases": [step]})
    state = ""
    end = time.monotonic() + 40
    while state not in ("completed", "failed", "cancelled"):
        if time.monotonic() > end:
            raise standins.NotRunnableError(f"the submission is still {state}")
        time.sleep(0.5)
        answer = client.send("GET", JOB, node=1)
        if answer is not None and answer[0] == 200:
            state = answer[1]["state"]
    record.write(f"shown as {state}; starts: {starts}; listed ends: {ends}")
    if state == "completed":
        return standins.HELD
    if "failed" in ends or len(starts) > 1:
        raise standins.NotRunnableError(
            "the submission may have a cause to fail"
        )
    return standins.BROKEN


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).resolve().parent, case))
