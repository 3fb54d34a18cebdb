"""Runs a simulated storm of deadly jobs and prints what became of the jobs."""

import dataclasses
import time

from absl import app
from absl import flags

from features.fakes import jobs_storm
from features.fakes import jobs_storm_bound

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the simulation.")
_WORKERS = flags.DEFINE_integer("workers", 18, "Number of workers.")
_SHARE = flags.DEFINE_float("share", 0.3, "Share of the deadly jobs.")
_LOAD = flags.DEFINE_float("load", 3.0, "Work as a multiple of the capacity.")
# A run that is at work for this long has not crashed its worker by starting.
_PROOF_S = 0.5


def run_storm(_arguments: list[str]) -> None:
    """Runs the storm and prints its result."""
    started_s = time.process_time()
    result = jobs_storm.simulate(
        _SEED.value, _WORKERS.value, _SHARE.value, _LOAD.value
    )
    took_s = time.process_time() - started_s
    bound = jobs_storm_bound.compute_bound(
        _SEED.value, _WORKERS.value, _SHARE.value, _LOAD.value, _PROOF_S
    )
    fields = {
        "seed": _SEED.value,
        "workers": _WORKERS.value,
        "share": _SHARE.value,
        **dataclasses.asdict(result),
        "starved": len(result.starved),
        "bound": bound.served / max(1, bound.sound),
        "took_s": took_s,
    }
    print(
        "storm",
        *(
            f"{name}={value:.3g}"
            if isinstance(value, float)
            else f"{name}={value}"
            for name, value in fields.items()
        ),
    )
    for violation in result.starved[:5]:
        print(" ", violation)


def main() -> None:
    """Parses the flags and runs the storm."""
    app.run(run_storm)


if __name__ == "__main__":
    main()
