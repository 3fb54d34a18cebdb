"""`make soak`: injects random faults into a small deployment for some minutes.

Faults are drawn from a seed, one or two at a time, and healed before the next
ones. At the end the promises are checked over the whole run, and the seed is
printed. After a failure the folder with settings, logs and the merged timeline
is kept.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
from collections.abc import Callable  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402

from bambookeel.tools import timeline_page  # noqa: E402
from dev import audit  # noqa: E402
from dev import proof_evidence  # noqa: E402
from dev import proof_run  # noqa: E402

_SEED = flags.DEFINE_integer("seed", 1, "Seed of the faults and the load.")
_MINUTES = flags.DEFINE_float("minutes", 1.0, "Length of the run.")
_BASE_PORT = flags.DEFINE_integer("base_port", 18_000, "First port.")
_FOLDER = flags.DEFINE_string("folder", "run-output", "Settings and logs.")

FaultStep = Callable[[proof_run.ProofRun, str], None]


def _kill(run: proof_run.ProofRun, name: str) -> None:
    run.kill(name)


def _wipe(run: proof_run.ProofRun, name: str) -> None:
    run.kill(name)
    run.deployment.remove_data(name)


def _restart(run: proof_run.ProofRun, name: str) -> None:
    run.start(name)


def _heal(run: proof_run.ProofRun, name: str) -> None:
    run.heal(name)


def _do_nothing(_run: proof_run.ProofRun, _name: str) -> None:
    pass


# Name of the fault, and the functions that begin and end it.
_PROCESS_FAULTS: tuple[tuple[str, FaultStep, FaultStep], ...] = (
    ("kill", _kill, _restart),
    ("freeze", proof_run.ProofRun.freeze, proof_run.ProofRun.wake),
    ("cut", proof_run.ProofRun.cut, _heal),
    ("cut outgoing", proof_run.ProofRun.cut_outgoing, _heal),
    ("silence", proof_run.ProofRun.silence, _do_nothing),
    ("stop", proof_run.ProofRun.stop_gracefully, _restart),
)
_BACKEND_FAULTS: tuple[tuple[str, FaultStep, FaultStep], ...] = (
    ("kill", _kill, _restart),
    ("freeze", proof_run.ProofRun.freeze, proof_run.ProofRun.wake),
    ("silence", proof_run.ProofRun.silence_backend, _do_nothing),
    ("stop", proof_run.ProofRun.stop_gracefully, _restart),
)


def _draw_fault(
    run: proof_run.ProofRun, generator: random.Random
) -> tuple[str, str, FaultStep, FaultStep]:
    """Draws a fault and the process that it hits.

    Args:
        run: The run, whose processes are drawn from.
        generator: Source of the random numbers.

    Returns:
        Name of the fault, name of the process, and the functions that begin and
        end the fault.
    """
    running = run.deployment
    name = generator.choice(
        running.entry_names + running.control_names + running.list_backends()
    )
    faults = _PROCESS_FAULTS
    if name in running.list_backends():
        faults = _BACKEND_FAULTS
    elif name in running.control_names and generator.random() < 0.1:
        return "wipe", name, _wipe, _restart
    fault, begin_fault, end_fault = generator.choice(faults)
    return fault, name, begin_fault, end_fault


def inject_faults(run: proof_run.ProofRun) -> None:
    """Injects faults for the minutes that `--minutes` gives.

    Args:
        run: The run to inject them into.
    """
    generator = random.Random(_SEED.value)
    started_s = time.monotonic()
    while time.monotonic() - started_s < _MINUTES.value * 60:
        drawn_faults = [_draw_fault(run, generator)]
        second_fault = _draw_fault(run, generator)
        if generator.random() < 0.3 and second_fault[1] != drawn_faults[0][1]:
            drawn_faults.append(second_fault)
        at_s = time.monotonic() - started_s
        for fault, name, begin_fault, _ in drawn_faults:
            print(f"at_s={at_s:.1f} fault={fault!r} of={name}", flush=True)
            begin_fault(run, name)
        run.pause(generator.uniform(0.2, 6.0))
        for _, name, _, end_fault in drawn_faults:
            end_fault(run, name)
        run.pause(generator.uniform(1.0, 5.0))


def run_soak(_arguments: list[str]) -> None:
    """Runs the soak and exits with status 1 if a promise was broken."""
    folder = pathlib.Path(_FOLDER.value) / time.strftime("soak-%Y%m%d-%H%M%S")
    run = proof_run.ProofRun(folder, _SEED.value, _BASE_PORT.value)
    run.evidence.expects_recovery = False
    run.run(inject_faults)
    evidence = run.evidence
    passed = failed = 0
    for promise, check, applies in proof_evidence.CHECKS:
        if not applies(evidence):
            continue
        violations = check(evidence)
        passed += not violations
        failed += bool(violations)
        result = "failed" if violations else "passed"
        print(f"promise={promise} result={result} found={violations}")
    counts = audit.audit_calls(
        evidence.records, evidence.runs, frozenset(evidence.killed_ms)
    )
    print(f"soak seed={_SEED.value} minutes={_MINUTES.value} {counts.render()}")
    if failed:
        page = timeline_page.render_page(evidence.events)
        (folder / "timeline.html").write_text(page, encoding="utf-8")
        print(f"kept={folder}")
    else:
        shutil.rmtree(folder)
    print(f"{passed} passed, {failed} failed, 0 skipped")
    sys.exit(1 if failed else 0)


def main() -> None:
    """Parses the flags and runs the soak."""
    app.run(run_soak)


if __name__ == "__main__":
    main()
