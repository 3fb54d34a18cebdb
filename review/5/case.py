"""A delayed ping of an ended life makes a machine in upkeep count as back."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins  # noqa: E402

MACHINES = 8
# The wave names four of the eight machines.
WAVE = 4
CAP = 1
# The cut begins this long before the wave is requested, and heals this long
# after the upkeep of the machine behind it has begun: about 2 s in all.
CUT_BEFORE_WAVE_S = 1.0
HEAL_AFTER_UPKEEP_S = 0.4


def case(record, has_trouble, resources):
    provider = standins.Provider(record)
    nodes = standins.Nodes(record, provider.address)
    resources.append(nodes)
    nodes.start_all()
    standins.put_until_acked(
        nodes, record, "/v1/config/put", standins.build_config()
    )
    executors = []
    for i in range(MACHINES):
        machine = f"m-{i}"
        executor = standins.Executor(f"i-{i}", machine, nodes, record)
        provider.add(machine, executor)
        executor.start()
        executors.append(executor)
    # The leader has read the list of machines and heard all executors.
    time.sleep(10.0)
    cut_off = executors[0]

    def heal_soon(machine):
        if machine == cut_off.machine:
            threading.Timer(HEAL_AFTER_UPKEEP_S, heal).start()

    def heal():
        record.write(f"the cut of {cut_off.machine} heals")
        cut_off.link.heal()

    if has_trouble:
        provider.on_upkeep = heal_soon
        record.write(f"{cut_off.machine} is cut off")
        cut_off.link.cut()
        time.sleep(0.3)
        cut_off.crash("crashes behind the cut")
        time.sleep(0.3)
        cut_off.start()
        time.sleep(CUT_BEFORE_WAVE_S - 0.6)
    wave = {
        "rollout_wave": 1,
        "machines": list(provider.machines)[:WAVE],
        "duration_s": 60,
        "cap": CAP,
    }
    standins.put_until_acked(nodes, record, "/v1/wave-start", wave)
    standins.wait_until(
        lambda: len(provider.done) == WAVE, 45, "all upkeeps have begun"
    )
    over = [row for row in provider.begun if len(row[2]) >= CAP]
    for _, machine, down in over:
        record.write(
            f"LIMIT: {machine} began while {down} were down, cap {CAP}"
        )
    return standins.BROKEN if over else standins.HELD


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).resolve().parent, case))
