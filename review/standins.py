"""Stand-ins for the users' platform: executors, provider, clients and links.

They follow the users' protocol pages and use the standard library only. The
nodes are started with the command of the deploy file.
"""

import http.client
import http.server
import json
import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "orders.example"
KEY = "key-of-the-team"
SERVICE = "pack"
HEARTBEAT_S = 0.2
PING_TIMEOUT_S = 1.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunnableError(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Writes one line with the time since the start in seconds."""
        with self._lock:
            seconds = time.monotonic() - self._start
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()


def free_port(ip):
    """Returns a free TCP port of an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Sends a request; returns status and decoded body, or None."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        fields = {"Content-Type": "application/json", **(headers or {})}
        connection.request(method, path, data, fields)
        answer = connection.getresponse()
        raw = answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
    try:
        return answer.status, json.loads(raw) if raw else {}
    except ValueError:
        return answer.status, {}


class Nodes:
    """Nodes with disks, as processes with the command of the deploy file."""

    def __init__(self, record, provider="", count=3):
        self._record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = 1 + os.getpid() % 250
        self._ips = [f"127.77.{net}.{i + 1}" for i in range(count)]
        self._front, self._ready, self._control, self._peer = (
            free_port(self._ips[0]) for _ in range(4)
        )
        self._provider = provider
        self._bounds = {
            "contact_ms": 3000,
            "ack_timeout_ms": 4000,
            "catch_up_s": 4,
            "drain_ms": 2000,
            "grace_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "downgrade_slack_ms": 250,
            "max_skew_ms": 5000,
            "recovery_s": 12,
            "hold_max_ms": 6000,
            "stop_timeout_ms": 400,
            "gang_timeout_ms": 3000,
            "cancel_ms": 3000,
            "visible_ms": 3000,
            "early_ms": 250,
            "finish_s": 14,
            "status_s": 120,
            "checkpoint_s": 0.5,
            "restore_ms": 600,
            "notice_ms": 4500,
            "migrate_s": 1.5,
            "maintenance_s": 2,
            "fencing_enforced": False,
            "lease_ms": 3000,
            "thaw_ms": 300,
            "rate_window_ms": 100,
            "impact_ms": 4000,
        }
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split()
        self._command = [
            sys.executable if w == "python3" else w for w in command
        ]
        self.processes = [None] * count
        self._starts = [0] * count

    @property
    def fronts(self):
        """Addresses for clients."""
        return [f"{ip}:{self._front}" for ip in self._ips]

    @property
    def controls(self):
        """Addresses for executors and operators."""
        return [f"{ip}:{self._control}" for ip in self._ips]

    def start(self, i):
        """Starts one node."""
        ip = self._ips[i]
        home = self.folder / f"node-{i}"
        (home / "data").mkdir(parents=True, exist_ok=True)
        settings = {
            "node_name": f"node-{i}",
            "role": "node",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": ip,
            "zone": "north",
            "region": "land",
            "zones": {"north": "land"},
            "bind_addrs": {
                "frontend": self.fronts[i],
                "ready": f"{ip}:{self._ready}",
                "control_plane": self.controls[i],
            },
            "port_range": [self._peer, self._peer],
            "seed_nodes": self.controls[:3],
            "bootstrap": self._starts[i] == 0,
            "loss_counts": True,
            "data_dir": str(home / "data"),
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1500,
            "fault_tolerance": {"machines": 1, "zones": 0, "region_count": 0},
            "bounds": self._bounds,
            "config_mode": "highest",
            "control_mode": "heartbeat",
            "advisor": "",
            "cloud_api": {
                "address": self._provider,
                "rate_per_s": 64.0,
                "duties": [],
                "duty_per_s": 64.0,
            },
        }
        self._starts[i] += 1
        path = home / "settings.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BAMBOOKEEL_CONFIG": str(path),
        }
        with open(home / "log", "ab") as log:
            self.processes[i] = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def start_all(self):
        """Starts all nodes and waits until they report that they are ready."""
        for i in range(len(self._ips)):
            self.start(i)
        wait_until(self._are_ready, 40, "the nodes are ready")
        self._record.write(f"{len(self._ips)} nodes are ready")

    def _are_ready(self):
        for i, ip in enumerate(self._ips):
            if self.processes[i].poll() is not None:
                log = (self.folder / f"node-{i}" / "log").read_text()[-800:]
                raise NotRunnableError(f"node {i} has ended: {log}")
            answer = call(f"{ip}:{self._ready}", "GET", "/v1/readyz")
            if answer is None or answer[0] != 200:
                return False
        return True

    def stop(self):
        """Kills all nodes."""
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def wait_until(condition, limit_s, what):
    """Waits for a condition; the case cannot run if it does not come."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise NotRunnableError(f"waited {limit_s} s in vain until {what}")


def build_config(version=1, **route):
    """Builds a config with one queue, one service and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-orders",
                "host": HOST,
                "path_prefix": "/orders/",
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 3600,
                "priority": 0,
                "service": SERVICE,
                "max_attempts": 3,
                "slack_factor": 1.6,
                "public": False,
                **route,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/healthz",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": True,
                "standby": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "t1",
                "api_keys": [KEY],
                "priority": 1,
                "weight": 28,
                "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
            }
        ],
    }


def put_until_acked(nodes, record, path, body):
    """Sends an order of the operator to one node after the other."""
    for attempt in range(60):
        address = nodes.controls[attempt % len(nodes.controls)]
        answer = call(address, "POST", path, body, timeout_s=1.0)
        record.write(f"operator: {path} -> {answer}")
        if answer is not None and answer[0] == 200:
            return
        time.sleep(0.25)
    raise NotRunnableError(f"{path} was not acknowledged")


class Client:
    """A client with the key of a tenant."""

    def __init__(self, nodes, record):
        self._nodes = nodes
        self._record = record

    def send(self, method, job="", body=None, node=0):
        """Sends one request about a submission; returns status and body."""
        headers = {"Host": HOST, "Key": KEY, "Deadline-Ms": "3000"}
        answer = call(
            self._nodes.fronts[node],
            method,
            f"/orders/{job}",
            body,
            headers,
            3.2,
        )
        self._record.write(f"client: {method} {job} at node {node} -> {answer}")
        return answer

    def submit(self, job, body):
        """Submits until the submission is accepted."""
        for attempt in range(20):
            answer = self.send(
                "POST", job, body, attempt % len(self._nodes.fronts)
            )
            if answer is not None and answer[0] == 200:
                return
            time.sleep(1.0)
        raise NotRunnableError(f"{job} was not accepted")


class Link:
    """The network path of one executor to each control address.

    While it is cut, bytes to the nodes are held, and arrive once the cut has
    healed, also if their sender has ended meanwhile.
    """

    def __init__(self, targets):
        self._open = threading.Event()
        self._open.set()
        self._addresses = {}
        self._closed = False
        for target in targets:
            server = socket.create_server(("127.0.0.1", 0))
            port = server.getsockname()[1]
            self._addresses[target] = f"127.0.0.1:{port}"
            threading.Thread(
                target=self._accept, args=(server, target), daemon=True
            ).start()

    def get_address(self, target):
        """Returns the address through which a target is reached."""
        return self._addresses[target]

    def cut(self):
        """Holds all bytes to the nodes from now on."""
        self._open.clear()

    def heal(self):
        """Delivers the held bytes, and later ones at once."""
        self._open.set()

    def _accept(self, server, target):
        while True:
            sock, _ = server.accept()
            threading.Thread(
                target=self._forward, args=(sock, target), daemon=True
            ).start()

    def _forward(self, sock, target):
        host, _, port = target.rpartition(":")
        try:
            data = sock.recv(65536)
            if not data:
                return
            self._open.wait()
            peer = socket.create_connection((host, int(port)), 2.0)
        except OSError:
            sock.close()
            return
        threading.Thread(
            target=_copy, args=(peer, sock, None), daemon=True
        ).start()
        try:
            peer.sendall(data)
        except OSError:
            return
        _copy(sock, peer, self._open)


def _copy(source, destination, gate):
    try:
        while data := source.recv(65536):
            if gate is not None:
                gate.wait()
            destination.sendall(data)
        destination.shutdown(socket.SHUT_WR)
    except OSError:
        pass


# Guards the state of all executors, since the members of a gang end together.
_EXECUTORS_LOCK = threading.RLock()


class Gang:
    """One run of a gang, whose members work only all at the same time."""

    def __init__(self, count, work_s, timeout_s=3.0):
        self.count = count
        self.work_s = work_s
        self.timeout_s = timeout_s
        self.members = {}  # Task -> executor and time of its start.
        self.begun = None

    def join(self, task, executor):
        """Adds a member; the work begins with the last one."""
        self.members[task] = (executor, time.monotonic())
        if len(self.members) == self.count:
            self.begun = time.monotonic()

    def step(self, now):
        """Returns how the present members end now, by task."""
        if self.begun is not None and now - self.begun >= self.work_s:
            return dict.fromkeys(self.members, "done")
        late = self.begun is None and [
            task
            for task, (_, since) in self.members.items()
            if now - since >= self.timeout_s
        ]
        return dict.fromkeys(late or (), "alone")


class Life:
    """One life of an executor: its runs, ends and counts."""

    def __init__(self, born):
        self.born = born
        self.sequence = 0
        self.running = {}  # Task -> [run, saved, begun, work at begin].
        self.finished = []
        self.last_end = 0
        self.ended_runs = {}
        self.fence = 0
        self.lease_until = 0.0
        self.is_over = False


class Executor:
    """An executor on one machine, which may crash and start again."""

    def __init__(self, name, machine, nodes, record, work_s=None):
        self.name = name
        self.machine = machine
        self.link = Link(nodes.controls)
        self._port = 9000 + int(name.rpartition("-")[2])
        self._nodes = nodes
        self._record = record
        self._work_s = work_s or {}
        self._lock = _EXECUTORS_LOCK
        self.find_gang = lambda task, run: None
        self.life = None
        self._last_born = 0
        # Whether the executor crashes while an order is on its way to it.
        self.misses_order = lambda executor, task, run: False
        self.on_start = lambda executor, task, run: None
        self.on_end = lambda executor, task, run, how: None

    def start(self):
        """Starts a new life, which knows nothing of earlier ones."""
        with self._lock:
            self._last_born = max(int(time.time() * 1000), self._last_born + 1)
            life = Life(self._last_born)
            self.life = life
        self._record.write(
            f"{self.name} on {self.machine} starts, born {life.born}"
        )
        threading.Thread(target=self._run, args=(life,), daemon=True).start()

    def crash(self, why="crashes"):
        """Ends the present life without a word; all its runs are gone."""
        with self._lock:
            life = self.life
            if life is None:
                return
            life.is_over = True
            self.life = None
            tasks = ", ".join(life.running) or "nothing"
        self._record.write(
            f"{self.name} on {self.machine} {why}; it ran {tasks}"
        )

    def lists(self, task):
        """Returns since when a task runs here, or None."""
        with self._lock:
            if self.life is None or task not in self.life.running:
                return None
            return self.life.running[task][2]

    def _run(self, life):
        position = int(self.name.rpartition("-")[2])
        target = self._nodes.controls[position % len(self._nodes.controls)]
        while not life.is_over:
            begun = time.monotonic()
            answer = self._ping(life, target)
            pause = HEARTBEAT_S
            if life.is_over:
                return
            if answer is None or answer[0] != 200:
                position += 1
                target = self._nodes.controls[
                    position % len(self._nodes.controls)
                ]
            elif time.monotonic() - begun <= PING_TIMEOUT_S:
                self._apply(life, answer[1], begun)
                pause = answer[1].get("retry_after_ms", 200) / 1000
                target = answer[1].get("heartbeat_addr", target)
            end = time.monotonic() + pause
            count = len(life.finished)
            while not life.is_over and time.monotonic() < end:
                self._work(life)
                if len(life.finished) > count:
                    time.sleep(0.05)
                    break
                time.sleep(0.01)

    def build_ping(self, life):
        """Builds the body of a ping."""
        with self._lock:
            now = time.monotonic()
            running = [
                [task, row[0], row[1], self._percent(task, row, now), 0]
                for task, row in life.running.items()
            ]
            return {
                "service": SERVICE,
                "address": f"127.0.0.1:{self._port}",
                "zone": "north",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
                "labels": ["a", f"r-{self.machine}"],
                "clock_ms": int(now * 1000),
                "seq_no": life.sequence,
                "born": life.born,
                "machine": self.machine,
                "running": running,
                "finished": list(life.finished),
            }

    def _ping(self, life, target):
        with self._lock:
            self._work(life)
            life.sequence += 1
            body = self.build_ping(life)
        path = f"/v1/instances/{self.name}/heartbeat"
        return call(
            self.link.get_address(target),
            "POST",
            path,
            body,
            None,
            PING_TIMEOUT_S,
        )

    def _percent(self, task, row, now):
        total = self._work_s.get(task)
        gang = self.find_gang(task, row[0])
        if gang is not None:
            done = 0 if gang.begun is None else now - gang.begun
            return min(99, int(100 * done / gang.work_s))
        if total is None:
            return 100
        return min(99, int(100 * (row[3] + now - row[2]) / total))

    def _work(self, life):
        with self._lock:
            now = time.monotonic()
            for task, row in list(life.running.items()):
                if task not in life.running:
                    continue
                gang = self.find_gang(task, row[0])
                if gang is not None and now < life.lease_until:
                    self.end_members(task, row[0], gang.step(now))
                    continue
                total = self._work_s.get(task)
                done = row[3] + now - row[2]
                if total is not None:
                    row[1] = f"{int(done * 2) / 2:.1f}"
                if now >= life.lease_until:
                    self._end(life, task, "lapsed")
                elif total is not None and done >= total:
                    self._end(life, task, "done")

    def end_members(self, task, run, ends):
        """Ends members of a gang; the other members then end `broken`."""
        with self._lock:
            if not ends:
                return
            gang = self.find_gang(task, run)
            if "done" not in ends.values():
                ends = {**dict.fromkeys(gang.members, "broken"), **ends}
            for member, how in ends.items():
                executor, _ = gang.members.pop(member)
                life = executor.life
                if life is not None and life.running.get(member, [0])[0] == run:
                    executor._end(life, member, how)

    def _end(self, life, task, how):
        run, saved, _, _ = life.running.pop(task)
        life.ended_runs[task] = max(run, life.ended_runs.get(task, 0))
        life.last_end += 1
        life.finished.append([life.last_end, task, run, how, saved])
        self._record.write(f"{self.name} ends {task} run {run}: {how}")
        self.on_end(self, task, run, how)

    def _apply(self, life, orders, sent):
        with self._lock:
            for task, run, *_ in orders.get("start_tasks", ()):
                if self.misses_order(self, task, run):
                    self.crash("crashes, as an order is on its way to it")
                    return
            if life.is_over or orders.get("fencing_token", 0) < life.fence:
                return
            life.fence = orders.get("fencing_token", 0)
            acked = orders.get("acked_seq", 0)
            life.finished = [e for e in life.finished if e[0] > acked]
            if "hold_ms" in orders:
                hold_s = min(orders["hold_ms"], 6000) / 1000
                life.lease_until = max(life.lease_until, sent + hold_s)
            for task, run in orders.get("stop_tasks", ()):
                if task in life.running and life.running[task][0] == run:
                    self._end(life, task, "stopped")
            if "hold_ms" not in orders:
                return
            for task, run, _spec, saved, *_ in orders.get("start_tasks", ()):
                if task in life.running or run <= life.ended_runs.get(task, 0):
                    continue
                begin = float(saved) if saved else 0.0
                life.running[task] = [run, saved, time.monotonic(), begin]
                self._record.write(f"{self.name} starts {task} run {run}")
                gang = self.find_gang(task, run)
                if gang is not None:
                    gang.join(task, self)
                self.on_start(self, task, run)


class Provider:
    """The provider's API for machines, with upkeep of `maintenance_s`."""

    def __init__(self, record, maintenance_s=2.0):
        self._record = record
        self._maintenance_s = maintenance_s
        self.machines = {}  # Name -> executor.
        self.states = {}
        self.done = {}
        self.begun = []  # Time, machine, other machines that are down.
        self.on_upkeep = lambda machine: None
        self._lock = threading.RLock()
        provider = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):  # noqa: N802
                self._answer(200, provider.list_machines())

            def do_POST(self):  # noqa: N802
                size = int(self.headers.get("Content-Length", 0))
                body = json.loads(self.rfile.read(size))
                self._answer(*provider.handle(self.path, body))

            def _answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, request, client_address):
                """Ignores a caller that has closed its connection."""

        self._server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def add(self, machine, executor):
        """Adds a machine that is up."""
        self.machines[machine] = executor
        self.states[machine] = "up"

    def list_machines(self):
        """Returns the list of all machines."""
        with self._lock:
            rows = [
                {
                    "machine": name,
                    "pool": SERVICE,
                    "state": self.states[name],
                    "zone": "north",
                    "labels": ["a", f"r-{name}"],
                    "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
                    "id": executor.name,
                }
                for name, executor in self.machines.items()
            ]
        return {"machines": rows, "next_token": ""}

    def handle(self, path, body):
        """Carries out an order; returns status and body."""
        machine = body.get("machine")
        with self._lock:
            if path != "/v1/machine-upkeep" or machine not in self.machines:
                return 400, {}
            if machine in self.done:
                self._record.write(f"provider: upkeep of {machine} again")
                return 200, {}
            if self.states[machine] != "up":
                return 409, {"reason": "busy"}
            down = [n for n, s in self.states.items() if s == "upkeep"]
            self.states[machine] = "upkeep"
            self.done[machine] = time.monotonic()
            self.begun.append((time.monotonic(), machine, down))
            self._record.write(
                f"provider: upkeep of {machine} begins; down for theirs: {down}"
            )
            self.machines[machine].crash("is ended by the upkeep")
        threading.Timer(
            self._maintenance_s, self._bring_back, (machine,)
        ).start()
        self.on_upkeep(machine)
        return 200, {}

    def _bring_back(self, machine):
        with self._lock:
            self.states[machine] = "up"
        self._record.write(f"provider: {machine} is up again")
        self.machines[machine].start()


def run_case(folder, case):
    """Runs a case and ends all its processes; returns the exit code."""
    folder = pathlib.Path(folder)
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")
    resources = []
    try:
        code = case(record, has_trouble, resources)
    except NotRunnableError as error:
        record.write(f"not runnable: {error}")
        code = NOT_RUN
    finally:
        for nodes in resources:
            nodes.stop()
    record.write(
        {HELD: "the rule held", BROKEN: "the rule is broken"}.get(
            code, "not run"
        )
    )
    print({HELD: "held", BROKEN: "broken"}.get(code, "not run"))
    return code
