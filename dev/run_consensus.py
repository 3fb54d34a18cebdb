"""Runs simulated clusters of consensus cores under random faults.

Prints the seed of each run, so that a failed run can be repeated.
"""

import random
import sys
import traceback

from absl import app
from absl import flags

from features.fakes import consensus_chaos
from features.fakes import consensus_cluster

_STEPS = flags.DEFINE_integer("steps", 100_000, "Steps of each run.")
_SEED = flags.DEFINE_integer("seed", 0, "First seed; 0 for random.")
_RUNS = flags.DEFINE_integer("runs", 1, "Runs, with one seed each.")
_SIZES = flags.DEFINE_list("sizes", ["3", "5"], "Cores in each run.")


def _run_simulation(size: int, seed: int) -> bool:
    cluster = consensus_cluster.SimulatedCluster(seed, size)
    chaos = consensus_chaos.Chaos(cluster)
    try:
        chaos.run(_STEPS.value)
    # Any failure must be printed with its seed, which repeats the run.
    except Exception:  # pylint: disable=broad-exception-caught
        traceback.print_exc()
        print(f"run=failed cores={size} seed={seed} steps={cluster.steps}")
        return False
    faults = sum(chaos.counts.values())
    print(
        f"run=passed cores={size} seed={seed} steps={cluster.steps}"
        f" commits={cluster.max_committed} terms={len(cluster.leaders)}"
        f" snapshots={cluster.snapshots_installed} faults={faults}"
        f" lost_disks={chaos.counts.get('lose_disk', 0)}",
        flush=True,
    )
    return True


def run_simulations(_arguments: list[str]) -> None:
    """Runs all simulations and exits with status 1 if any failed."""
    first = _SEED.value or random.SystemRandom().randrange(1, 1 << 31)
    all_passed = True
    for seed in range(first, first + _RUNS.value):
        for size in _SIZES.value:
            all_passed &= _run_simulation(int(size), seed)
    sys.exit(0 if all_passed else 1)


def main() -> None:
    """Parses the flags and runs the simulations."""
    app.run(run_simulations)


if __name__ == "__main__":
    main()
