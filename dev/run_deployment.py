"""`make run`: starts a small deployment and sends requests through it.

Prints a line of progress every second and at the end one line of counts as
key=value pairs. Exits with status 1 if a request was lost, doubled, crossed or
ran although it was refused as "not run", or if a process did not stop with
status 0. With `--keep` the deployment stays up until Ctrl-C, which stops it
gracefully.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import gevent  # noqa: E402

from dev import audit  # noqa: E402
from dev import deployment  # noqa: E402
from dev import load  # noqa: E402

_KEEP = flags.DEFINE_bool("keep", False, "Keep the deployment up.")
_REQUESTS = flags.DEFINE_integer("requests", 600, "Requests to send.")
_CALLERS = flags.DEFINE_integer("callers", 4, "Callers of each team.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the load.")
_BASE_PORT = flags.DEFINE_integer("base_port", 18_000, "First port.")
_FOLDER = flags.DEFINE_string("folder", "run-output", "Settings and logs.")
_SERVED_TIMEOUT_S = 20
_WORK_MS = 20


def _print_progress(sender: load.LoadGenerator) -> None:
    while True:
        gevent.sleep(1)
        outcomes = [record.outcome for record in sender.records]
        counts = " ".join(
            f"{kind.value}={outcomes.count(kind)}" for kind in audit.CallOutcome
        )
        print(f"progress sent={len(outcomes)} {counts}", flush=True)


def wait_until_served(
    sender: load.LoadGenerator, teams: tuple[str, ...]
) -> None:
    """Waits until requests of every team are answered.

    Args:
        sender: The load generator; the records of these requests are removed.
        teams: Names of the teams.
    """
    ends_at = time.monotonic() + _SERVED_TIMEOUT_S
    while time.monotonic() < ends_at:
        outcomes = {
            sender.send_one(load.RequestTemplate(team)).outcome
            for team in teams
            for _ in range(4)
        }
        if outcomes == {audit.CallOutcome.ANSWERED}:
            break
        gevent.sleep(0.2)
    sender.records.clear()


def _print_addresses(running: deployment.Deployment) -> None:
    for name in running.entry_names:
        print(f"entry={running.get_address(name, 'http')}")
    for name in running.control_names:
        print(f"control={running.get_address(name, 'http')}")
    team, key = next(iter(running.team_keys.items()))
    entry = running.get_entry_addresses()[0]
    service = running.shape.services[0]
    print(f"A request of team {team}:")
    print(
        f"  curl -H 'Authorization: Bearer {key}' -d 'body'"
        f" http://{entry}/services/{service}/work"
    )
    print(f"The operator's key: {running.operator_key}", flush=True)


def run_deployment(_arguments: list[str]) -> None:
    """Starts the deployment, sends the requests and stops the deployment."""
    folder = pathlib.Path(_FOLDER.value) / time.strftime("%Y%m%d-%H%M%S")
    running = deployment.Deployment(
        folder, deployment.Shape(has_platform=True), _BASE_PORT.value
    )
    call_audit = None
    try:
        running.start()
        call_audit = _send_requests(running)
        print(call_audit.render(), flush=True)
        if _KEEP.value:
            _print_addresses(running)
            while True:
                gevent.sleep(1)
    except KeyboardInterrupt:
        print("stopping", flush=True)
    finally:
        codes = running.stop()
    failed = {name: code for name, code in codes.items() if code != 0}
    if failed:
        print(f"exit statuses: {failed}", file=sys.stderr)
    if failed or call_audit is None or not call_audit.has_no_violations():
        sys.exit(1)


def _send_requests(running: deployment.Deployment) -> audit.Audit:
    """Sends the requests and audits them.

    Args:
        running: The deployment, which must be started.

    Returns:
        The counts over all requests.
    """
    teams = running.shape.teams
    sender = load.LoadGenerator(
        running.get_endpoints(),
        running.shape.services,
        running.team_keys,
        _SEED.value,
    )
    wait_until_served(sender, teams)
    progress = gevent.spawn(_print_progress, sender)
    callers = [
        gevent.spawn(
            sender.run_callers,
            _CALLERS.value,
            load.RequestTemplate(team, _WORK_MS),
            lambda: len(sender.records) < _REQUESTS.value,
        )
        for team in teams
    ]
    gevent.joinall(callers)
    progress.kill()
    return audit.audit_calls(sender.records, running.read_runs())


def main() -> None:
    """Parses the flags and runs the deployment."""
    app.run(run_deployment)


if __name__ == "__main__":
    main()
