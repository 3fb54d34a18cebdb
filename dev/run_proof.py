"""`make proof`: runs the fault matrix on deployments of separate processes.

Runs each cell on a new deployment, prints a line for each promise and at the
end `N passed, N failed, N skipped`. The folder of a failed cell, with settings
and logs, is kept.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
import collections  # noqa: E402
import pathlib  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402

from dev import audit  # noqa: E402
from dev import proof_cells  # noqa: E402
from dev import proof_evidence  # noqa: E402
from dev import proof_run  # noqa: E402

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the load.")
_ONLY = flags.DEFINE_string("only", "", "Run cells whose name contains this.")
_PROMISES = flags.DEFINE_list("promises", [], "Check only these promises.")
_LONG_MINUTES = flags.DEFINE_integer(
    "long_minutes", 0, "Minutes for repeating all cells with further seeds."
)
_BASE_PORT = flags.DEFINE_integer("base_port", 18_000, "First port.")
_FOLDER = flags.DEFINE_string("folder", "run-output", "Settings and logs.")


def run_cell(
    cell: proof_cells.Cell, folder: pathlib.Path, seed: int
) -> list[proof_evidence.Result]:
    """Runs one cell and prints the results of its checks.

    Args:
        cell: The cell to run.
        folder: Folder for settings and logs; removed when all checks pass.
        seed: Seed of the load.

    Returns:
        The result of each check; a single failure if the run itself failed.
    """
    run = proof_run.ProofRun(folder, seed, _BASE_PORT.value)
    cell_fields = f"fault={cell.fault!r} role={cell.role!r} step={cell.step!r}"
    run.evidence.expects_recovery = cell.expects_recovery
    try:
        run.run(cell.inject)
    except Exception as error:  # pylint: disable=broad-exception-caught
        print(f"cell {cell_fields} result=failed error={error!r}", flush=True)
        return [proof_evidence.Result.FAILED]
    results = []
    for promise, check, applies in proof_evidence.CHECKS:
        if _PROMISES.value and promise not in _PROMISES.value:
            continue
        if not applies(run.evidence):
            continue
        violations = check(run.evidence)
        result = proof_evidence.Result.PASSED
        if violations:
            result = proof_evidence.Result.FAILED
        results.append(result)
        line = f"promise={promise} {cell_fields} result={result.value}"
        if violations:
            line += f" seed={seed} folder={folder} found={violations}"
        print(line, flush=True)
    _print_counts(run, cell_fields)
    if all(result is proof_evidence.Result.PASSED for result in results):
        shutil.rmtree(folder)
    return results


def _print_counts(run: proof_run.ProofRun, cell_fields: str) -> None:
    """Prints the counts of a cell's requests.

    Args:
        run: The finished run of the cell.
        cell_fields: Fault, role and step of the cell as key=value pairs.
    """
    evidence = run.evidence
    counts = audit.audit_calls(
        evidence.records, evidence.runs, frozenset(evidence.killed_ms)
    )
    took_ms = audit.find_recovery_ms(
        evidence.records, evidence.measured_team, evidence.fault_ms
    )
    unknown = collections.Counter(
        record.reason
        for record in evidence.records
        if record.outcome is audit.CallOutcome.UNKNOWN
    )
    print(f"unknown {cell_fields} by_reason={dict(unknown)}", flush=True)
    print(
        f"counts {cell_fields} recovery_ms={took_ms} {counts.render()}",
        flush=True,
    )


def run_matrix(_arguments: list[str]) -> None:
    """Runs the cells; exits with status 1 if a check fails or none passes."""
    cells = [
        cell
        for cell in proof_cells.list_cells()
        if _ONLY.value in cell.get_name()
    ]
    folder = pathlib.Path(_FOLDER.value) / time.strftime("proof-%Y%m%d-%H%M%S")
    ends_at = time.monotonic() + _LONG_MINUTES.value * 60
    seed = _SEED.value
    results: list[proof_evidence.Result] = []
    while True:
        for i, cell in enumerate(cells):
            results.extend(run_cell(cell, folder / f"{seed}-{i}", seed))
        seed += 1
        if time.monotonic() >= ends_at:
            break
    passed = results.count(proof_evidence.Result.PASSED)
    failed = results.count(proof_evidence.Result.FAILED)
    print(f"{passed} passed, {failed} failed, 0 skipped")
    sys.exit(1 if failed or not passed else 0)


def main() -> None:
    """Parses the flags and runs the matrix."""
    app.run(run_matrix)


if __name__ == "__main__":
    main()
