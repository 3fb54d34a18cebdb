"""Runs worlds of consensus cores through random faults, for as long as wanted.

Prints the seed of each run, so that a failure can be run again.
"""

import random
import sys
import traceback

from absl import app
from absl import flags

from features.fakes import consensus_chaos
from features.fakes import consensus_cluster

_STEPS = flags.DEFINE_integer("steps", 100_000, "Steps of each run.")
_SEED = flags.DEFINE_integer("seed", 0, "First seed; 0 draws one.")
_RUNS = flags.DEFINE_integer("runs", 1, "Runs, each with the next seed.")
_SIZES = flags.DEFINE_list("sizes", ["3", "5"], "Cores in each run.")


def _run_one(size: int, seed: int) -> bool:
    world = consensus_cluster.SimulatedCluster(seed, size)
    chaos = consensus_chaos.Chaos(world)
    try:
        chaos.run(_STEPS.value)
    # Whatever broke, the seed is what helps.
    except Exception:  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        print(f"run=failed cores={size} seed={seed} steps={world.steps}")
        return False
    faults = sum(chaos.counts.values())
    print(
        f"run=passed cores={size} seed={seed} steps={world.steps}"
        f" commits={world.max_committed} terms={len(world.leaders)}"
        f" snapshots={world.snapshots_installed} faults={faults}"
        f" lost_disks={chaos.counts.get('lose_disk', 0)}",
        flush=True,
    )
    return True


def run_worlds(_arguments: list[str]) -> None:
    """Runs the worlds and exits 1 if any failed."""
    first = _SEED.value or random.SystemRandom().randrange(1, 1 << 31)
    passed = True
    for seed in range(first, first + _RUNS.value):
        for size in _SIZES.value:
            passed &= _run_one(int(size), seed)
    sys.exit(0 if passed else 1)


def main() -> None:
    """Starts the runs."""
    app.run(run_worlds)


if __name__ == "__main__":
    main()
