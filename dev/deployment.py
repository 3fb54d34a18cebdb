"""Starts and stops a small deployment on loopback.

Writes settings for control and entry processes into one folder, starts each as
a process of its own and keeps their ids. The launcher, the proof and the soak
run share it.
"""

import dataclasses
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import typing
import urllib.error
import urllib.request

_HOST = "127.0.0.1"
_DATA_CENTRES = ("tamworth", "hinckley", "lichfield")
_STOP_TIMEOUT_S = 20.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size of a deployment.

    Attributes:
        controls: Control processes.
        entries: Entry processes.
        services: Services, each with a pool of the same name.
        backends: Backend servers of each service.
        slots: Slots of each backend server.
        teams: Teams, each with one key.
        upper_limit: Every team's upper limit.
        platform: Whether a fake platform offers workers for each pool.
    """

    controls: int = 3
    entries: int = 3
    services: tuple[str, ...] = ("orders", "labels")
    backends: int = 3
    slots: int = 8
    teams: tuple[str, ...] = ("coach", "school")
    upper_limit: int = 100
    platform: bool = True


@dataclasses.dataclass
class Daemon:
    """One started process.

    Attributes:
        name: Its process id within the deployment.
        command: How it is started.
        log_path: Where its output goes.
        process: The running process.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Starts the process, its output appended to the log."""
        with self.log_path.open("ab") as log:
            # pylint: disable-next=consider-using-with
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the end of the process.

        Returns:
            Its exit status, or None when it still runs.
        """
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None


class Deployment:
    """A deployment on loopback, with a first operator's key."""

    def __init__(
        self, folder: pathlib.Path, shape: Shape, base_port: int
    ) -> None:
        self.folder = folder
        self.shape = shape
        self.operator_key = "bootstrap.development-only"
        self.team_keys: dict[str, str] = {}
        self.daemons: dict[str, Daemon] = {}
        self._next_port = base_port
        self._addresses: dict[str, str] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self.control_names = [f"control-{i}" for i in range(shape.controls)]
        self.entry_names = [f"entry-{i}" for i in range(shape.entries)]
        self._write_settings()
        self._add_backends()
        if shape.platform:
            self._add_platform()

    def get_address(self, name: str, purpose: str) -> str:
        """Gives the address of a process for a purpose.

        Args:
            name: The process.
            purpose: `peer`, `admin`, `http`.

        Returns:
            `ip:port`, always the same.
        """
        key = f"{name}/{purpose}"
        if key not in self._addresses:
            self._addresses[key] = f"{_HOST}:{self._next_port}"
            self._next_port += 1
        return self._addresses[key]

    def get_entry_addresses(self) -> list[str]:
        """Lists the addresses of the entries for callers."""
        return [self.get_address(name, "http") for name in self.entry_names]

    def _describe_peers(self, names: list[str]) -> list[dict[str, str]]:
        return [
            {
                "process_id": name,
                "address": self.get_address(name, "peer"),
                "data_centre": _DATA_CENTRES[i % len(_DATA_CENTRES)],
            }
            for i, name in enumerate(names)
        ]

    def _write_settings(self) -> None:
        control = self._describe_peers(self.control_names)
        entries = self._describe_peers(self.entry_names)
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
                    "control": control,
                    "entries": entries,
                },
                i,
            )
        for i, name in enumerate(self.entry_names):
            self._add_daemon(
                name,
                "bambookeel.daemons.entry",
                {
                    "callers_listen": self.get_address(name, "http"),
                    "control": control,
                    "entries": entries,
                },
                i,
            )

    def _add_daemon(
        self,
        name: str,
        module: str,
        own: dict[str, typing.Any],
        number: int,
    ) -> None:
        settings = {
            "process_id": name,
            "data_centre": _DATA_CENTRES[number % len(_DATA_CENTRES)],
            "admin_listen": self.get_address(name, "admin"),
            "peer_listen": self.get_address(name, "peer"),
            **own,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        command = [sys.executable, "-m", module, f"--settings={path}"]
        log_path = self.folder / f"{name}.log"
        self.daemons[name] = Daemon(name, command, log_path)

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
                ]
                log_path = self.folder / f"{name}.log"
                self.daemons[name] = Daemon(name, command, log_path)

    def _get_platform_address(self) -> str:
        if not self.shape.platform:
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
        self.daemons["platform"] = Daemon("platform", command, log_path)

    def list_backends(self) -> list[str]:
        """Lists the names of the backend servers."""
        return [
            f"{service}-{i}"
            for service in self.shape.services
            for i in range(self.shape.backends)
        ]

    def start(self) -> None:
        """Starts every process and declares teams, keys and services."""
        for daemon in self.daemons.values():
            daemon.start()
        self.wait_until_ready(self.control_names)
        self.declare_resources()
        self.wait_until_ready(self.entry_names)

    def wait_until_ready(self, names: list[str], timeout_s: float = 30) -> None:
        """Waits until processes say that they are ready.

        Args:
            names: The processes.
            timeout_s: Time to wait at most.
        """
        ends_at = time.monotonic() + timeout_s
        for name in names:
            url = f"http://{self.get_address(name, 'admin')}/readyz"
            while not _is_ok(url):
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
        """Calls the operators' API on the first control that commits.

        Returns:
            Status and decoded body of the last try.
        """
        status, answer = 0, None
        for name in self.control_names:
            address = self.get_address(name, "http")
            status, answer = call_json(
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
            spec = {"upper_limit": self.shape.upper_limit}
            self._declare(f"/v1/team/{team}", spec)
            self.team_keys[team] = self.create_key(f"{team}-key", team)
        for service in self.shape.services:
            pool = {"wanted_size": self.shape.backends}
            self._declare(f"/v1/pool/{service}", pool)
            self._declare(f"/v1/service/{service}", {"pool": service})

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
        """Creates a team's key.

        Args:
            key_id: Its name.
            team: The team.

        Returns:
            The secret.
        """
        status, answer = self.call_api(
            "POST", f"/v1/key/{key_id}", {"team": team}
        )
        if status != 200:
            raise RuntimeError(f"creating key {key_id}: {status} {answer}")
        return answer["secret"]

    def stop(self) -> dict[str, int | None]:
        """Stops every process gracefully, backend servers last.

        Returns:
            The exit status of each process.
        """
        codes: dict[str, int | None] = {}
        ordered = [self.entry_names, self.control_names, self.list_backends()]
        if self.shape.platform:
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
        return codes


def _is_ok(url: str) -> bool:
    try:
        with urllib.request.urlopen(url, timeout=1) as answer:
            return answer.status == 200
    except OSError:
        return False


def call_json(
    url: str,
    method: str,
    key: str,
    document: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 6,
) -> tuple[int, typing.Any]:
    """Sends one HTTP request with a JSON body.

    Returns:
        Status and decoded body; status 0 when there was no answer.
    """
    data = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Authorization", f"Bearer {key}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, _decode_or_none(error.read())
    except (OSError, ValueError):
        return 0, None


def _decode_or_none(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError:
        return None
