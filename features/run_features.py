"""Runs the features and prints `N passed, N failed, N skipped` at the end.

Each folder below `features/` runs in its own behave process, several of them in
parallel. The folder `uncontrolled`, whose crowds load the machine, runs alone
after all others have ended. Scenarios listed in KNOWN-RED.txt are run and
printed, but their failure does not fail the run. A listed scenario that passes
must be removed from the list.
"""

from concurrent import futures
import dataclasses
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile

_ROOT = pathlib.Path(__file__).parent
_KNOWN_RED = _ROOT.parent / "KNOWN-RED.txt"
_EXCLUDED_FOLDERS = ("steps", "fakes", "__pycache__")
_PARALLEL_FOLDERS = 4
# Runs after all other folders have ended, one scenario at a time.
_LAST_FOLDER = "uncontrolled"
# A folder that takes longer than this counts as failed.
_FOLDER_TIMEOUT_S = 600
# The last folder's crowds stay for 8 s in each of almost thirty scenarios.
_LAST_FOLDER_TIMEOUT_S = 1_200


@dataclasses.dataclass(frozen=True)
class ScenarioResult:
    """The result of one scenario.

    Attributes:
        test: Feature file and scenario name; the folder's name for a failure
            of the whole folder.
        status: `passed`, `failed` or `skipped`.
        error: Failed step with its message, or why the whole folder failed;
            empty for other statuses.
    """

    test: str
    status: str
    error: str


def read_known_red() -> list[str]:
    """Reads the tests listed in KNOWN-RED.txt.

    Returns:
        The values of its `test:` lines.
    """
    if not _KNOWN_RED.exists():
        return []
    text = _KNOWN_RED.read_text(encoding="utf-8")
    return re.findall(r"^test:\s*(.+?)\s*$", text, re.MULTILINE)


def _get_status(scenario: dict) -> tuple[str, str]:
    """Derives a scenario's status from its steps.

    Args:
        scenario: The scenario in behave's JSON format.

    Returns:
        The status, and the failed step with its message; empty if none failed.
    """
    for step in scenario.get("steps", []):
        outcome = step.get("result", {"status": "untested"})
        if outcome["status"] == "passed":
            continue
        message = outcome.get("error_message", outcome["status"])
        if isinstance(message, list):
            message = "\n".join(message)
        return "failed", f"{step['name']}\n{message}"
    if scenario.get("status") == "skipped":
        return "skipped", ""
    return "passed" if scenario.get("status") == "passed" else "failed", ""


def run_folder(folder: str, arguments: list[str]) -> list[ScenarioResult]:
    """Runs the features of one folder.

    Args:
        folder: Name of the folder below `features/`.
        arguments: Additional arguments for behave.

    Returns:
        The results of the folder's scenarios.
    """
    with tempfile.TemporaryDirectory() as scratch:
        output = pathlib.Path(scratch) / "results.json"
        command = [sys.executable, "-m", "behave", "--no-capture"]
        command += ["--format=json", f"--outfile={output}", "--no-summary"]
        command += [str(_ROOT / folder), *arguments]
        environment = dict(os.environ, PYTHONHASHSEED="0")
        try:
            done = subprocess.run(
                command,
                cwd=_ROOT.parent,
                env=environment,
                capture_output=True,
                text=True,
                timeout=(
                    _LAST_FOLDER_TIMEOUT_S
                    if folder == _LAST_FOLDER
                    else _FOLDER_TIMEOUT_S
                ),
                check=False,
            )
        except subprocess.TimeoutExpired:
            return [ScenarioResult(folder, "failed", "timed out")]
        try:
            features = json.loads(output.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            text = done.stdout[-4000:] + done.stderr[-4000:]
            return [ScenarioResult(folder, "failed", text)]
    results = _collect_results(features)
    if done.returncode != 0 and all(r.status != "failed" for r in results):
        text = done.stdout[-4000:] + done.stderr[-4000:]
        results.append(ScenarioResult(folder, "failed", text))
    return results


def _collect_results(features: list[dict]) -> list[ScenarioResult]:
    results = []
    for feature in features:
        path = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            status, error = _get_status(element)
            test = f"{path}: {element['name']}".rstrip()
            results.append(ScenarioResult(test, status, error))
    return results


def main() -> None:
    """Runs all folders, or those named as arguments; exits 1 on a failure."""
    wanted = sys.argv[1:]
    folders = sorted(
        path.name
        for path in _ROOT.iterdir()
        if path.is_dir() and path.name not in _EXCLUDED_FOLDERS
    )
    if wanted:
        folders = [name for name in folders if name in wanted]
    results: list[ScenarioResult] = []
    together = [name for name in folders if name != _LAST_FOLDER]
    with futures.ThreadPoolExecutor(_PARALLEL_FOLDERS) as pool:
        for found in pool.map(lambda name: run_folder(name, []), together):
            results.extend(found)
    if _LAST_FOLDER in folders:
        results.extend(run_folder(_LAST_FOLDER, []))
    sys.exit(_report(results))


def _report(results: list[ScenarioResult]) -> int:
    """Prints failures, known failures and the totals.

    Args:
        results: Results of all scenarios.

    Returns:
        The exit status.
    """
    known = read_known_red()
    passed = failed = skipped = 0
    for result in results:
        if result.test in known:
            print(f"known red: {result.test}: {result.status}")
            if result.status == "passed":
                print("  it passes now: remove it from KNOWN-RED.txt")
            skipped += 1
            continue
        if result.status == "passed":
            passed += 1
            continue
        if result.status == "skipped":
            skipped += 1
            continue
        failed += 1
        print(f"FAILED {result.test}\n{result.error}\n")
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    main()
