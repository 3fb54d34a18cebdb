"""Runs all benchmarks, or those named on the command line.

Each module of this folder called `bench_<name>` has a function `measure()` that
returns result lines, such as
`bench=<name> <metric>=<value> bound=<value> ratio=<value>`.
"""

import importlib
import pathlib
import sys


def main() -> None:
    """Runs the benchmarks and prints their result lines."""
    wanted = sys.argv[1:]
    for path in sorted(pathlib.Path(__file__).parent.glob("bench_*.py")):
        name = path.stem.removeprefix("bench_")
        if wanted and name not in wanted:
            continue
        module = importlib.import_module(f"bench.{path.stem}")
        for line in module.measure():
            print(line, flush=True)


if __name__ == "__main__":
    main()
