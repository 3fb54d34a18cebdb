"""Takes fixes back one by one and counts the seeds until each is found.

The job interface is checked on a temporary worktree of the present commit.
Where later commits have changed the lines of a fix, an edit undoes it instead.
"""

import dataclasses
import pathlib
import subprocess
import sys
import tempfile

from absl import app
from absl import flags

_RUNS = flags.DEFINE_integer("runs", 300, "Most seeds for each fix.")
_ONLY = flags.DEFINE_string("only", "", "Name of the only fix to take back.")
_ROOT = pathlib.Path(__file__).parent.parent
# Prints the first seed with a finding that the unchanged code does not have.
_SEARCH = """
import sys
sys.path.insert(0, ".")
from features.fakes import interface_check
for seed in range(int(sys.argv[1])):
    try:
        found = interface_check.run_seed(seed).findings
    except Exception as error:  # pylint: disable=broad-exception-caught
        found = [("ERROR", "", repr(error))]
    print(seed, *(found[0] if found else ()), sep="|", flush=True)
"""


@dataclasses.dataclass(frozen=True)
class Fix:
    """A fix that is taken back.

    Attributes:
        name: What it mended.
        commit: Commit that is reverted; empty if an edit is made instead.
        edits: File, text and the text that replaces it.
    """

    name: str
    commit: str = ""
    edits: tuple[tuple[str, str, str], ...] = ()


_JOBS = "bambookeel/jobs"
_FIXES = (
    Fix(
        "review/2",
        edits=(
            (
                f"{_JOBS}/crash_evidence.py",
                "ONLY_JOB_STARTED = 7",
                "ONLY_JOB_STARTED = 8",
            ),
            (
                f"{_JOBS}/crash_evidence.py",
                "    UNCONFIRMED = 2",
                "    UNCONFIRMED = 4",
            ),
        ),
    ),
    Fix("review/3", "065a29c"),
    Fix(
        "review/4",
        edits=(
            (
                f"{_JOBS}/book.py",
                "if job.queue in queues or job.team in teams",
                "if job.queue == job.team == ''",
            ),
        ),
    ),
    Fix(
        "review/5",
        edits=(
            (
                f"{_JOBS}/book.py",
                "        job.has_had_run = True\n",
                "        job.has_had_run = True\n"
                "        self.activate_job(job)\n",
            ),
        ),
    ),
    Fix("long tasks", "d939953"),
    Fix("late report ends an upkeep", "204d869"),
    Fix(
        "name of a removed queue",
        edits=(
            (
                "bambookeel/configuration/renames.py",
                "queues[name] = queue.name",
                "pass",
            ),
        ),
    ),
    Fix(
        "name of a removed team",
        edits=(
            (
                "bambookeel/configuration/renames.py",
                "teams[name] = team.name",
                "pass",
            ),
        ),
    ),
    # Guards that were never missing.
    Fix(
        "tasks that may be interrupted",
        edits=(
            (
                f"{_JOBS}/availability.py",
                "        if unavailable > max(1, step.spec.max_missing):",
                "        if unavailable > 10_000:",
            ),
        ),
    ),
    Fix(
        "caps",
        edits=((f"{_JOBS}/caps.py", "count * need > cap", "0 > 10**12"),),
    ),
    Fix(
        "labels",
        edits=(
            (
                f"{_JOBS}/placing.py",
                "if spec.label and spec.label not in",
                "if not spec.label and spec.label in",
            ),
        ),
    ),
    Fix(
        "leases",
        edits=(
            (
                f"{_JOBS}/workers.py",
                "return _compute_latest_end(report_ms, lease_ms)",
                "return report_ms + lease_ms // 2",
            ),
        ),
    ),
    Fix(
        "steps that depend",
        edits=(
            (
                f"{_JOBS}/book.py",
                "and step.unfinished_dependencies == 0",
                "and step.unfinished_dependencies >= 0",
            ),
        ),
    ),
)


def _run(folder: str, *command: str, stdin: bytes = b"") -> bytes:
    done = subprocess.run(
        command, cwd=folder, input=stdin, capture_output=True, check=True
    )
    return done.stdout


def _take_back(folder: str, fix: Fix) -> None:
    if fix.commit:
        patch = _run(
            folder,
            *("git", "diff", fix.commit, f"{fix.commit}^"),
            *("--", "bambookeel"),
        )
        _run(folder, "git", "apply", "--3way", "-", stdin=patch)
    for name, text, replacement in fix.edits:
        path = pathlib.Path(folder) / name
        content = path.read_text(encoding="utf-8")
        if text not in content:
            raise app.UsageError(f"{name} has no {text!r} any more")
        path.write_text(content.replace(text, replacement), encoding="utf-8")


def _list_findings(folder: str, runs: int) -> list[str]:
    output = _run(folder, sys.executable, "-c", _SEARCH, str(runs))
    return output.decode().splitlines()


def main(argv: list[str]) -> None:
    """Takes each fix back and prints the first seed that finds it.

    Args:
        argv: Unused arguments.
    """
    del argv
    known: set[str] = set()
    for fix in (Fix("none"), *_FIXES):
        if _ONLY.value not in ("", fix.name) and fix.name != "none":
            continue
        with tempfile.TemporaryDirectory() as scratch:
            folder = f"{scratch}/tree"
            _run(str(_ROOT), "git", "worktree", "add", "--detach", folder)
            try:
                _take_back(folder, fix)
                lines = _list_findings(folder, _RUNS.value)
            finally:
                _run(str(_ROOT), "git", "worktree", "remove", "--force", folder)
        if fix.name == "none":
            known = {line.split("|")[0] for line in lines if line.count("|")}
            print(f"none: {len(known)} of {len(lines)} seeds have findings")
            continue
        found = [
            line
            for line in lines
            if line.count("|") and line.split("|")[0] not in known
        ]
        first = found[0] if found else "not found"
        print(
            f"{fix.name}: {len(found)} of {len(lines)} seeds; {first}",
            flush=True,
        )


if __name__ == "__main__":
    app.run(main)
