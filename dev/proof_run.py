"""One run of a small deployment under load while faults are injected.

Starts a deployment behind relays, generates load and changes of configuration,
injects the faults, and collects the evidence for the checks.
"""

import pathlib
import signal
import typing

import gevent

from bambookeel.runtime import clock
from bambookeel.tools import log_lines
from dev import audit
from dev import deployment
from dev import load
from dev import proof_evidence
from dev import relay

MEASURED_TEAM = "school"
LIMITED_TEAM = "coach"
WITHDRAWN_TEAM = "rambling"
WRONG_KEY_TEAM = "no-key"
UPPER_LIMIT = 3
SHAPE = deployment.Shape(
    teams=(MEASURED_TEAM, LIMITED_TEAM, WITHDRAWN_TEAM),
    upper_limits=((LIMITED_TEAM, UPPER_LIMIT),),
    use_relays=True,
    delay_ms=0.5,
    deadline_ms=5_000,
)
_WARM_UP_S = 2.0
_LOAD_AFTER_FAULT_S = 4.5
_OPERATOR_PERIOD_S = 0.5
_WITHDRAW_AFTER_S = 0.3
_JOIN_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 20.0
_SERVED_TIMEOUT_S = 20.0
# Requests per second and kind of request of each team. The limited team's rate
# and duration need more than its upper limit.
_ARRIVALS = (
    (120.0, load.RequestTemplate(MEASURED_TEAM, 5)),
    (60.0, load.RequestTemplate(LIMITED_TEAM, 80)),
    (20.0, load.RequestTemplate(WITHDRAWN_TEAM, 5)),
    (5.0, load.RequestTemplate(WRONG_KEY_TEAM, 5)),
)


class ProofRun:
    """A deployment under load, and the faults that can be injected into it."""

    def __init__(self, folder: pathlib.Path, seed: int, base_port: int) -> None:
        self.deployment = deployment.Deployment(folder, SHAPE, base_port)
        self.evidence = proof_evidence.Evidence(
            limits={LIMITED_TEAM: UPPER_LIMIT}, measured_team=MEASURED_TEAM
        )
        self._seed = seed
        self._is_sending = True
        self._sender: load.LoadGenerator | None = None
        self._change_number = 0

    # --- Faults, and queries for the processes to hit ---

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        daemon = self.deployment.daemons[name]
        daemon.send_signal(signal.SIGKILL)
        daemon.wait(_STOP_TIMEOUT_S)
        if name in self.deployment.backend_relays:
            # Connections to a killed process are refused, so the relay in
            # front of it must refuse them too.
            self.deployment.backend_relays[name].stop()
        kills = self.evidence.killed_ms.setdefault(name, [])
        kills.append(clock.read_wall_ms())
        self.evidence.affected_processes.add(name)

    def start(self, name: str) -> None:
        """Starts a process again."""
        if name in self.deployment.backend_relays:
            self.deployment.backend_relays[name].stop()
            self.deployment.backend_relays[name].start()
        self.deployment.daemons[name].start()

    def freeze(self, name: str) -> None:
        """Freezes a process with SIGSTOP."""
        self.deployment.daemons[name].send_signal(signal.SIGSTOP)
        self.evidence.affected_processes.add(name)

    def wake(self, name: str) -> None:
        """Resumes a frozen process with SIGCONT."""
        self.deployment.daemons[name].send_signal(signal.SIGCONT)

    def stop_gracefully(self, name: str) -> None:
        """Stops a process with SIGTERM and waits for its end."""
        self.evidence.planned_stops = True
        self.evidence.affected_processes.add(name)
        daemon = self.deployment.daemons[name]
        daemon.send_signal(signal.SIGTERM)
        self.evidence.exit_codes[name] = daemon.wait(_STOP_TIMEOUT_S)

    def cut(
        self,
        name: str,
        directions: tuple[relay.Direction, ...] = tuple(relay.Direction),
    ) -> None:
        """Cuts all peer links of a process."""
        self.evidence.affected_processes.add(name)
        for link_relay in self.deployment.find_peer_relays(name):
            link_relay.cut(directions)

    def cut_outgoing(self, name: str) -> None:
        """Holds back what a process sends to its peers."""
        self._cut_one_way(
            name, relay.Direction.TO_TARGET, relay.Direction.FROM_TARGET
        )

    def cut_incoming(self, name: str) -> None:
        """Holds back what a process receives from its peers."""
        self._cut_one_way(
            name, relay.Direction.FROM_TARGET, relay.Direction.TO_TARGET
        )

    def _cut_one_way(
        self,
        name: str,
        direction_if_dialled: relay.Direction,
        direction_if_accepted: relay.Direction,
    ) -> None:
        """Cuts one direction of all peer links of a process.

        Args:
            name: Name of the process.
            direction_if_dialled: Direction to cut on links that it dialled.
            direction_if_accepted: Direction to cut on links that it accepted.
        """
        self.evidence.affected_processes.add(name)
        for pair, link_relay in self.deployment.peer_relays.items():
            if name in pair:
                link_relay.cut(
                    (
                        direction_if_dialled
                        if pair[0] == name
                        else direction_if_accepted,
                    )
                )

    def heal(self, name: str) -> None:
        """Heals all peer links of a process."""
        for link_relay in self.deployment.find_peer_relays(name):
            link_relay.heal()

    def silence(self, name: str) -> None:
        """Silences the present peer connections of a process for good."""
        for link_relay in self.deployment.find_peer_relays(name):
            link_relay.silence_existing()

    def silence_backend(self, name: str) -> None:
        """Silences the present connections to a backend server for good."""
        self.deployment.backend_relays[name].silence_existing()

    def leave(self, name: str) -> None:
        """Makes a backend server announce that it is leaving."""
        self.deployment.daemons[name].send_signal(signal.SIGUSR1)
        self.evidence.leaving_ms[name] = clock.read_wall_ms()

    def pause(self, seconds: float) -> None:
        """Waits while the load continues."""
        gevent.sleep(seconds)

    def find_leader(self) -> str:
        """Finds the control process that became leader last."""
        elected = [
            (event.stamp, event.process)
            for event in self._read_events("control-*.log")
            if event.name == "role" and event.fields["is_leader"] == "true"
        ]
        return max(elected)[1]

    def find_holder(self, service: str) -> str:
        """Finds the holder of a service's dispatch lease."""
        _, answer = self.deployment.call_api("GET", f"/v1/dispatcher/{service}")
        return str(answer["spec"]["holder"])

    def find_entry_without_lease(self) -> str:
        """Finds an entry without a dispatch lease, or else the last entry."""
        holders = [self.find_holder(s) for s in self.deployment.shape.services]
        for name in self.deployment.entry_names:
            if name not in holders:
                return name
        return self.deployment.entry_names[-1]

    def find_follower(self) -> str:
        """Finds a control process that does not lead."""
        leader = self.find_leader()
        return next(n for n in self.deployment.control_names if n != leader)

    # --- The run ---

    def run(self, inject: typing.Callable[["ProofRun"], None]) -> None:
        """Runs the deployment under load with faults, and collects evidence.

        Args:
            inject: Injects the faults while the load continues.
        """
        started = False
        try:
            self.deployment.start()
            started = True
            self._run_under_load(inject)
        finally:
            codes = self.deployment.stop()
            if started and self.evidence.planned_stops:
                self.evidence.exit_codes.update(codes)
            self._read_evidence()

    def _run_under_load(
        self, inject: typing.Callable[["ProofRun"], None]
    ) -> None:
        keys = dict(self.deployment.team_keys)
        keys[WRONG_KEY_TEAM] = keys[MEASURED_TEAM] + "x"
        sender = load.LoadGenerator(
            self.deployment.get_endpoints(),
            self.deployment.shape.services,
            keys,
            self._seed,
        )
        self._sender = sender
        self._wait_until_served(sender)
        tasks = [
            gevent.spawn(
                sender.run_arrivals, rate, template, lambda: self._is_sending
            )
            for rate, template in _ARRIVALS
        ]
        prober = gevent.spawn(sender.probe_forever)
        operator = gevent.spawn(self._change_configuration_repeatedly)
        gevent.sleep(_WARM_UP_S)
        self.evidence.fault_ms = clock.read_wall_ms()
        withdrawer = gevent.spawn_later(
            _WITHDRAW_AFTER_S, self._withdraw_team_key
        )
        inject(self)
        gevent.sleep(_LOAD_AFTER_FAULT_S)
        self._is_sending = False
        gevent.joinall([*tasks, operator, withdrawer], timeout=_JOIN_TIMEOUT_S)
        self.evidence.unfinished = sender.join(_JOIN_TIMEOUT_S)
        prober.kill()

    def _wait_until_served(self, sender: load.LoadGenerator) -> None:
        with gevent.Timeout(_SERVED_TIMEOUT_S):
            while True:
                outcomes = {
                    sender.send_one(load.RequestTemplate(MEASURED_TEAM)).outcome
                    for _ in range(8)
                }
                if outcomes == {audit.CallOutcome.ANSWERED}:
                    break
                gevent.sleep(0.1)
        sender.records.clear()

    def _change_configuration_repeatedly(self) -> None:
        """Changes a configuration periodically until the load ends."""
        version = 0
        while self._is_sending:
            version = self._change_configuration(version)
            gevent.sleep(_OPERATOR_PERIOD_S)

    def _change_configuration(self, version: int) -> int:
        """Makes one change, and sends it again until its outcome is known.

        Args:
            version: The version from the last answer; 0 before the first.

        Returns:
            The version after the change, or the given one if it was refused or
            the load ended.
        """
        self._change_number += 1
        headers = {
            "If-Match": str(version),
            "X-Command-Id": f"proof-{self._seed}-{self._change_number}",
        }
        spec = {"values": {"n": str(self._change_number)}}
        while self._is_sending:
            status, answer = self.deployment.call_api(
                "PUT", "/v1/configuration/proof", spec, headers
            )
            if status == 200:
                at_ms = clock.read_wall_ms()
                change = proof_evidence.AckedChange(answer["version"], at_ms)
                self.evidence.acked.append(change)
                return change.version
            if status not in (0, 503):
                message = f"change {self._change_number} on {version}: {answer}"
                self.evidence.refused_changes.append(message)
                return version
            gevent.sleep(0.1)
        return version

    def _withdraw_team_key(self) -> None:
        path = f"/v1/key/{WITHDRAWN_TEAM}-key"
        headers = {"X-Command-Id": f"withdraw-{self._seed}"}
        while self._is_sending:
            status, _ = self.deployment.call_api("DELETE", path, None, headers)
            if status == 200:
                at_ms = clock.read_wall_ms()
                self.evidence.withdrawn_ms[WITHDRAWN_TEAM] = at_ms
                return
            gevent.sleep(0.1)

    def _read_evidence(self) -> None:
        if self._sender is not None:
            self.evidence.records = self._sender.records
        self.evidence.runs = self.deployment.read_runs()
        self.evidence.events = self._read_events("*.log")

    def _read_events(self, pattern: str) -> list[log_lines.LogEvent]:
        files = []
        for path in sorted(self.deployment.folder.glob(pattern)):
            with path.open(encoding="utf-8", errors="replace") as lines:
                events, _ = log_lines.parse_lines(lines, path.name)
            files.append(events)
        return log_lines.merge_events(files)
