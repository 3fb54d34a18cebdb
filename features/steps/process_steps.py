"""Steps that run cells of the fault matrix in a separate process.

Only promises without a time limit are checked here, so that the result does not
depend on the speed of the machine; `make proof` checks all of them.
"""

import os
import re
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from dev import audit
from dev import proof_evidence

# Concurrent runs of the tests use different ports.
_BASE_PORT = 10_000 + os.getpid() % 180 * 100
_TIMEOUT_S = 240
_REQUEST_PROMISES = ("team-key", "whole-answer", "not-run-true", "at-most-once")
_STATE_PROMISES = ("upper-limit", "no-revert")


@when('the cell "{name}" of the fault matrix runs with seed {seed:d}')
def run_cell(context, name, seed):
    promises = ",".join(_REQUEST_PROMISES + _STATE_PROMISES)
    with tempfile.TemporaryDirectory() as folder:
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "dev.run_proof",
                f"--seed={seed}",
                f"--only={name}/under load",
                f"--base_port={_BASE_PORT}",
                f"--promises={promises}",
                f"--folder={folder}",
            ],
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    context.output = done.stdout + done.stderr
    context.results = dict(
        re.findall(r"^promise=(\S+) .*?result=(\S+)", done.stdout, re.M)
    )


def _check_promises(context, promises):
    for promise in promises:
        assert context.results.get(promise) == "passed", context.output


@then("no request is lost, doubled, crossed or falsely refused as not run")
def check_requests(context):
    _check_promises(context, _REQUEST_PROMISES)


@then("no team exceeds its upper limit and no configuration is reverted")
def check_limits_and_state(context):
    _check_promises(context, _STATE_PROMISES)


@given(
    "a run without an end, by a team with an upper limit of 1, and two later"
    " kills of its backend server"
)
def record_cut_off_run(context):
    context.evidence = proof_evidence.Evidence(
        limits={"coach": 1}, killed_ms={"b": [150, 500]}
    )
    context.evidence.runs.append(audit.Run("w1", "coach", "", "b", 100, 0))


@when("another run of the team starts after the first kill")
def record_run_after_kill(context):
    context.evidence.runs.append(audit.Run("w2", "coach", "", "c", 200, 300))


@then("the check of upper limits finds no violation")
def check_upper_limits(context):
    assert not proof_evidence.check_limits(context.evidence)
