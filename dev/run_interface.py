"""Checks the job interface by hand with many seeds, or shows one seed.

`python -m dev.run_interface --first=1000 --runs=2000` prints each finding, the
rate and the share of the seeds that reached each shape and event. With
`--seed=N`, the finding of that seed is shrunk to few actions and its trace is
printed. The same seed always gives the same trace.
"""

import collections
import time

from absl import app
from absl import flags

from features.fakes import interface_check
from features.fakes import interface_run

_FIRST = flags.DEFINE_integer("first", 0, "First seed.")
_RUNS = flags.DEFINE_integer("runs", 100, "Number of seeds.")
_SEED = flags.DEFINE_integer("seed", -1, "Seed to show; -1 for none.")
_MAX_LINES = 80


def _show(seed: int) -> int:
    """Shrinks the first finding of a seed and prints its trace.

    Args:
        seed: The seed.

    Returns:
        The exit status.
    """
    actions = interface_run.draw_actions(seed)
    findings = interface_check.run(seed, actions).findings
    if not findings:
        print(f"seed {seed}: no rule broken")
        return 0
    rule = findings[0][0]
    fewer = interface_check.shrink(seed, actions, rule)
    outcome = interface_check.run(seed, fewer)
    print(f"seed {seed}: {len(fewer)} of {len(actions)} actions are left")
    for line in interface_check.format_trace(outcome, rule)[-_MAX_LINES:]:
        print(line)
    return 1


def _run_all(first: int, runs: int) -> int:
    """Runs seeds and prints findings, the rate and what they reached.

    Args:
        first: First seed.
        runs: Number of seeds.

    Returns:
        The exit status.
    """
    started = time.monotonic()
    reached: collections.Counter[str] = collections.Counter()
    broken = 0
    for seed in range(first, first + runs):
        outcome = interface_check.run_seed(seed)
        reached.update(set(outcome.reached))
        broken += bool(outcome.findings)
        for rule, job, text in outcome.findings:
            print(f"seed {seed}: {rule}, job {job}: {text}", flush=True)
    rate = runs / (time.monotonic() - started)
    print(f"seeds={runs} broken={broken} seeds_per_s={rate:.1f}")
    for name, count in sorted(reached.items()):
        print(f"reached={name!r} share={count / runs:.2f}")
    return 1 if broken else 0


def main(argv: list[str]) -> int:
    """Runs the check.

    Args:
        argv: Unused arguments.

    Returns:
        The exit status.
    """
    del argv
    if _SEED.value >= 0:
        return _show(_SEED.value)
    return _run_all(_FIRST.value, _RUNS.value)


if __name__ == "__main__":
    app.run(main)
