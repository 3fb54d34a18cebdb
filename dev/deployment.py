"""Starts and stops a small deployment on the loopback interface.

Writes the settings of the control and entry processes into one folder and
starts each as a separate process. `make run`, `make proof`, `make soak` and the
benchmarks use it.
"""

import dataclasses
import hashlib
import json
import pathlib
import shutil
import signal
import sys
import time
import typing

from dev import api_calls
from dev import audit
from dev import daemons
from dev import load
from dev import relay

_HOST = "127.0.0.1"
_DATA_CENTRES = ("tamworth", "hinckley", "lichfield")
_STOP_TIMEOUT_S = 20.0
_DEFAULT_LIMIT = 100


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size and options of a deployment.

    Attributes:
        controls: Number of control processes.
        entries: Number of entry processes.
        services: Names of the services, each with a pool of the same name.
        backends: Number of backend servers of each service.
        slots: Slots of each backend server.
        teams: Names of the teams, each with one key.
        upper_limits: Pairs of team and limit, for teams without the default.
        use_relays: Whether peer links and backend connections pass relays.
        delay_ms: One-way delay of the relays.
        deadline_ms: Deadline of requests to every service.
        has_platform: Whether a fake platform provides workers for each pool.
    """

    controls: int = 3
    entries: int = 3
    services: tuple[str, ...] = ("orders", "labels")
    backends: int = 3
    slots: int = 8
    teams: tuple[str, ...] = ("coach", "school")
    upper_limits: tuple[tuple[str, int], ...] = ()
    use_relays: bool = False
    delay_ms: float = 0.0
    deadline_ms: int = 30_000
    has_platform: bool = False


class Deployment:
    """A deployment on loopback, with the key of its first operator."""

    def __init__(
        self, folder: pathlib.Path, shape: Shape, base_port: int
    ) -> None:
        self.folder = folder
        self.shape = shape
        self.operator_key = "bootstrap.development-only"
        self.team_keys: dict[str, str] = {}
        # Keys are the dialling process and the process dialled.
        self.peer_relays: dict[tuple[str, str], relay.Relay] = {}
        self.backend_relays: dict[str, relay.Relay] = {}
        self.daemons: dict[str, daemons.Daemon] = {}
        self._next_port = base_port
        self._addresses: dict[str, str] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self.control_names = [f"control-{i}" for i in range(shape.controls)]
        self.entry_names = [f"entry-{i}" for i in range(shape.entries)]
        self._write_settings()
        self._add_backends()
        if shape.has_platform:
            self._add_platform()

    def get_address(self, name: str, purpose: str) -> str:
        """Returns the address of a process for a purpose.

        Args:
            name: Name of the process.
            purpose: `peer`, `admin`, `http` or `relay`.

        Returns:
            `ip:port`, whose port is allocated on the first call.
        """
        key = f"{name}/{purpose}"
        if key not in self._addresses:
            self._addresses[key] = f"{_HOST}:{self._next_port}"
            self._next_port += 1
        return self._addresses[key]

    def get_entry_addresses(self) -> list[str]:
        """Returns the addresses at which the entries accept callers."""
        return [self.get_address(name, "http") for name in self.entry_names]

    def get_endpoints(self) -> list[load.Endpoint]:
        """Returns names and addresses of the entries for a load generator."""
        return [
            load.Endpoint(
                name,
                self.get_address(name, "http"),
                self.get_address(name, "admin"),
            )
            for name in self.entry_names
        ]

    def _get_peer_address(self, dialler: str, name: str) -> str:
        """Returns the address at which one process dials another.

        Args:
            dialler: Name of the process that dials.
            name: Name of the process that it dials.

        Returns:
            The address of the peer, or of the relay in front of it.
        """
        target = self.get_address(name, "peer")
        # Of two processes, the one with the smaller id dials.
        if not self.shape.use_relays or dialler >= name:
            return target
        pair = (dialler, name)
        if pair not in self.peer_relays:
            listen = self.get_address(f"{dialler}-{name}", "relay")
            self.peer_relays[pair] = relay.Relay(
                listen, target, self.shape.delay_ms
            )
        return self.peer_relays[pair].listen

    def _describe_peers(
        self, dialler: str, names: list[str]
    ) -> list[dict[str, str]]:
        return [
            {
                "process_id": name,
                "address": self._get_peer_address(dialler, name),
                "data_centre": _DATA_CENTRES[i % len(_DATA_CENTRES)],
            }
            for i, name in enumerate(names)
        ]

    def _write_settings(self) -> None:
        digest = hashlib.sha256(self.operator_key.encode()).hexdigest()
        for i, name in enumerate(self.control_names):
            self._add_daemon(
                name,
                "bambookeel.daemons.control",
                {
                    "api_listen": self.get_address(name, "http"),
                    "data_folder": str(self.folder / f"{name}.data"),
                    "bootstrap_key_sha256": digest,
                    "platform_address": self._get_platform_address(),
                },
                i,
            )
        for i, name in enumerate(self.entry_names):
            self._add_daemon(
                name,
                "bambookeel.daemons.entry",
                {
                    "callers_listen": self.get_address(name, "http"),
                },
                i,
            )

    def _add_daemon(
        self,
        name: str,
        module: str,
        process_settings: dict[str, typing.Any],
        index: int,
    ) -> None:
        settings = {
            "control": self._describe_peers(name, self.control_names),
            "entries": self._describe_peers(name, self.entry_names),
            "process_id": name,
            "data_centre": _DATA_CENTRES[index % len(_DATA_CENTRES)],
            "admin_listen": self.get_address(name, "admin"),
            "peer_listen": self.get_address(name, "peer"),
            **process_settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        command = [sys.executable, "-m", module, f"--settings={path}"]
        log_path = self.folder / f"{name}.log"
        self.daemons[name] = daemons.Daemon(name, command, log_path)

    def _add_backends(self) -> None:
        entries = ",".join(self.get_entry_addresses())
        for service in self.shape.services:
            for i in range(self.shape.backends):
                name = f"{service}-{i}"
                command = [
                    sys.executable,
                    "-m",
                    "dev.fake_backend",
                    f"--service={service}",
                    f"--backend_id={name}",
                    f"--listen={self.get_address(name, 'http')}",
                    f"--entries={entries}",
                    f"--slots={self.shape.slots}",
                    f"--runs_file={self.get_runs_path(name)}",
                ]
                if self.shape.use_relays:
                    command.append(f"--advertise={self._add_relay(name)}")
                log_path = self.folder / f"{name}.log"
                self.daemons[name] = daemons.Daemon(name, command, log_path)

    def _add_relay(self, backend: str) -> str:
        listen = self.get_address(backend, "relay")
        target = self.get_address(backend, "http")
        self.backend_relays[backend] = relay.Relay(
            listen, target, self.shape.delay_ms
        )
        return listen

    def remove_data(self, name: str) -> None:
        """Removes the data folder of a control process."""
        shutil.rmtree(self.folder / f"{name}.data", ignore_errors=True)

    def get_runs_path(self, backend: str) -> pathlib.Path:
        """Returns the file in which a backend server records its runs."""
        return self.folder / f"{backend}.runs"

    def read_runs(self) -> list[audit.Run]:
        """Reads the runs that all backend servers recorded."""
        return [
            run
            for name in self.list_backends()
            for run in audit.read_runs(self.get_runs_path(name))
        ]

    def _get_platform_address(self) -> str:
        if not self.shape.has_platform:
            return ""
        return self.get_address("platform", "http")

    def _add_platform(self) -> None:
        pools = ",".join(
            f"{service}:{self.shape.backends}"
            for service in self.shape.services
        )
        command = [
            sys.executable,
            "-m",
            "dev.fake_platform",
            f"--listen={self._get_platform_address()}",
            f"--pools={pools}",
        ]
        log_path = self.folder / "platform.log"
        self.daemons["platform"] = daemons.Daemon("platform", command, log_path)

    def list_backends(self) -> list[str]:
        """Returns the names of the backend servers."""
        return [
            f"{service}-{i}"
            for service in self.shape.services
            for i in range(self.shape.backends)
        ]

    def start(self) -> None:
        """Starts every process and declares teams, keys and services."""
        for link_relay in self.list_relays():
            link_relay.start()
        for daemon in self.daemons.values():
            daemon.start()
        self.wait_until_ready(self.control_names)
        self.declare_resources()
        self.wait_until_ready(self.entry_names)

    def list_relays(self) -> list[relay.Relay]:
        """Returns the relays of peer links and backend servers."""
        return [*self.peer_relays.values(), *self.backend_relays.values()]

    def find_peer_relays(self, name: str) -> list[relay.Relay]:
        """Finds the relays on the peer links of one process.

        Args:
            name: Name of the process.

        Returns:
            The relays of the links that it dials and of those that it accepts.
        """
        return [r for pair, r in self.peer_relays.items() if name in pair]

    def wait_until_ready(self, names: list[str], timeout_s: float = 30) -> None:
        """Waits until the readiness checks of processes succeed.

        Args:
            names: Names of the processes.
            timeout_s: Longest time to wait for all of them.
        """
        ends_at = time.monotonic() + timeout_s
        for name in names:
            url = f"http://{self.get_address(name, 'admin')}/readyz"
            while not api_calls.is_ok(url):
                if time.monotonic() > ends_at:
                    raise TimeoutError(f"{name} is not ready")
                time.sleep(0.05)

    def call_api(
        self,
        method: str,
        path: str,
        document: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, typing.Any]:
        """Calls the operators' API on one control process after the other.

        Ends with the first one that gives an answer other than 503.

        Returns:
            Status, 0 without an answer, and decoded body of the last attempt.
        """
        status, answer = 0, None
        for name in self.control_names:
            address = self.get_address(name, "http")
            status, answer = api_calls.call_json(
                f"http://{address}{path}",
                method,
                self.operator_key,
                document,
                headers,
            )
            if status not in (0, 503):
                break
        return status, answer

    def declare_resources(self) -> None:
        """Declares the teams with their keys, the pools and the services."""
        for team in self.shape.teams:
            limit = dict(self.shape.upper_limits).get(team, _DEFAULT_LIMIT)
            spec = {"upper_limit": limit}
            self._declare(f"/v1/team/{team}", spec)
            self.team_keys[team] = self.create_key(f"{team}-key", team)
        for service in self.shape.services:
            pool = {"wanted_size": self.shape.backends}
            self._declare(f"/v1/pool/{service}", pool)
            spec = {"pool": service, "deadline_ms": self.shape.deadline_ms}
            self._declare(f"/v1/service/{service}", spec)

    def _declare(self, path: str, spec: dict[str, typing.Any]) -> None:
        ends_at = time.monotonic() + 20
        while True:
            status, answer = self.call_api("PUT", path, spec)
            if status == 200:
                return
            if time.monotonic() > ends_at:
                raise RuntimeError(f"PUT {path}: {status} {answer}")
            time.sleep(0.1)

    def create_key(self, key_id: str, team: str) -> str:
        """Creates a key for a team.

        Args:
            key_id: Name of the key.
            team: Name of the team.

        Returns:
            The secret that requests send.
        """
        status, answer = self.call_api(
            "POST", f"/v1/key/{key_id}", {"team": team}
        )
        if status != 200:
            raise RuntimeError(f"creating key {key_id}: {status} {answer}")
        return answer["secret"]

    def stop(self) -> dict[str, int | None]:
        """Stops entries, control processes, backend servers, then the platform.

        Each is stopped gracefully, and killed if it does not end in time.

        Returns:
            The exit status of each process; None for one that was killed.
        """
        codes: dict[str, int | None] = {}
        ordered = [self.entry_names, self.control_names, self.list_backends()]
        if self.shape.has_platform:
            ordered.append(["platform"])
        for names in ordered:
            for name in names:
                self.daemons[name].send_signal(signal.SIGCONT)
                self.daemons[name].send_signal(signal.SIGTERM)
            for name in names:
                codes[name] = self.daemons[name].wait(_STOP_TIMEOUT_S)
                if codes[name] is None:
                    self.daemons[name].send_signal(signal.SIGKILL)
                    self.daemons[name].wait(_STOP_TIMEOUT_S)
        for link_relay in self.list_relays():
            link_relay.stop()
        return codes
