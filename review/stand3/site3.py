"""A small deployment for the scripts of this review.

Starts the project's nodes with the command of the deploy file, as separate
processes on loopback addresses and the real clock, and provides small stand-ins
for the executors, the clients, the operator and the platform. Only the standard
library is used.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "jobs.example"
PREFIX = "/orders/"
KEY = "key-of-the-tenant"
SERVICE = "pack"
# Sizes of the machines and bounds as in the settings that the pages show.
MEMORY_MB = 300
BOUNDS = {
    "hold_max_ms": 6000,
    "stop_timeout_ms": 400,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "grace_s": 6,
    "catch_up_s": 4,
    "contact_ms": 3000,
    "config_apply_ms": 2000,
    "lease_ms": 3000,
    "notice_ms": 4500,
    "impact_ms": 4000,
    "restore_ms": 600,
    "maintenance_s": 2,
    "remote_factor": 3,
}
# A response to a ping is obeyed if it arrives within a second and is at most
# 4 MiB.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
RESPONSE_S = 1.0
FRONT, READY, CONTROL, PEERS, LAST_PEER = 0, 1, 2, 10, 19


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(
            pathlib.Path(folder) / "record.txt", "w", encoding="utf-8"
        )
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text):
        """Writes one line with the time since the start."""
        with self._lock:
            at = time.monotonic() - self._start
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def find_base_port(net):
    """Finds ports that are free on the addresses of a site.

    Sites that run side by side need different addresses, as a node also listens
    on a port of the project's own settings.
    """
    for _ in range(200):
        base = random.randrange(20_000, 30_000, 20)
        try:
            for offset in (FRONT, READY, CONTROL, PEERS):
                for number in range(1, 5):
                    with socket.socket() as trial:
                        trial.bind((f"127.{net}.{number}", base + offset))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Node:
    """One node, run as a process with the command of the deploy file."""

    def __init__(self, site, number, has_disk):
        self.site = site
        self.number = number
        self.ip = f"127.{site.net}.{number + 1}"
        self.folder = site.folder / f"node-{number}"
        self.folder.mkdir()
        self.has_disk = has_disk
        self.process = None
        self.starts = 0
        self.deaths = []
        self.restart_at = 0.0
        self.peak_mb = 0.0

    def build_settings(self):
        """Builds the settings as the platform's template renders them."""
        base = self.site.base
        return {
            "node_name": f"edge-north-{self.number + 1}",
            "role": "node",
            "machine_class": "edge",
            "serves": ["edge", "control"],
            "ip": self.ip,
            "zone": "north",
            "region": "r1",
            "zones": {"north": "r1"},
            "bind_addrs": {
                "frontend": f"{self.ip}:{base + FRONT}",
                "ready": f"{self.ip}:{base + READY}",
                "control_plane": f"{self.ip}:{base + CONTROL}",
            },
            "port_range": [base + PEERS, base + LAST_PEER],
            "seed_nodes": [
                f"127.{self.site.net}.{i + 1}:{base + CONTROL}"
                for i in range(3)
            ],
            "bootstrap": self.starts == 0,
            "loss_counts": self.has_disk,
            "limits": {
                "cpu_quota": 0.839,
                "cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 128,
            },
            "data_dir": str(self.folder / "data") if self.has_disk else "",
            "heartbeat_ms": 1500,
            "fault_tolerance": {
                "machines": 1,
                "zones": 0,
                "region_count": 0,
            },
            "bounds": BOUNDS,
            "control_mode": "heartbeat",
            "advisor": "",
            "cloud_api": {"address": self.site.provider_address},
        }

    def start(self):
        """Starts the process."""
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.build_settings()), encoding="utf-8")
        self.starts += 1
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAMBOOKEEL_CONFIG"] = str(path)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.site.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.site.record.write(
            f"platform: start {self.starts} of node {self.number}"
        )

    def is_running(self):
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def get_address(self, offset):
        """Returns the host and port of one of its sockets."""
        return self.ip, self.site.base + offset

    def read_private_mb(self):
        """Reads the memory that the process alone uses, without files."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text(
                encoding="ascii"
            )
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_log(self):
        """Returns what its processes have printed."""
        return (self.folder / "log").read_text(
            encoding="utf-8", errors="replace"
        )

    def kill(self):
        """Kills the process."""
        if self.is_running():
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Executor(threading.Thread):
    """An executor: pings, carries out orders, and enforces its capacity.

    `cut` is a function that returns whether its pings and their responses are
    lost at present.
    """

    def __init__(self, site, name, cpu=64_000, mem_mb=262_144):
        super().__init__(daemon=True)
        self.site = site
        self.name = name
        self.machine = f"m-{name}"
        self.service = SERVICE
        self.cpu, self.mem_mb = cpu, mem_mb
        self.lock = threading.RLock()
        self.is_down = False
        self.loses_responses = False
        self.is_cut = False
        self.ended = False
        self.oversized = 0
        self.longest_response = 0
        self._begin_life()

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = {}
        self.finished = []
        self.end_number = 0
        self.highest = {}
        self.fence = 0
        self.lease_until = 0.0
        self.next_ping = 0.0
        self.next_node = random.randrange(3)
        self.address = None

    def crash(self, down_s):
        """Crashes: everything that runs is lost; a new life starts later."""
        with self.lock:
            for task, run in self.running.items():
                self.site.note_end(task, run[0], self.name, "lost")
            self.running = {}
            self.is_down = True
            self.site.record.write(f"executor {self.name}: crash")
        threading.Timer(down_s, self._come_back).start()

    def _come_back(self):
        with self.lock:
            self._begin_life()
            self.is_down = False
            self.site.record.write(
                f"executor {self.name}: back, born {self.born}"
            )

    def run(self):
        while not self.ended:
            time.sleep(0.005)
            with self.lock:
                if self.is_down:
                    continue
                self._advance(time.monotonic())
                if time.monotonic() < self.next_ping:
                    continue
                body, born = self._build_ping(), self.born
            sent = time.monotonic()
            answer = self._send(body)
            with self.lock:
                if self.is_down or self.born != born:
                    continue
                self._receive(answer, sent)

    def _advance(self, now):
        for task, (run, ends, _) in list(self.running.items()):
            if now >= self.lease_until:
                self._end(task, run, "lapsed")
            elif now >= ends:
                self._end(task, run, self.site.how_ends(task))

    def _end(self, task, run, how):
        self.running.pop(task, None)
        self.end_number += 1
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.finished.append([self.end_number, task, run, how, ""])
        self.site.note_end(task, run, self.name, how)
        self.next_ping = min(self.next_ping, time.monotonic() + 0.05)

    def _build_ping(self):
        self.sequence += 1
        now = time.monotonic()
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.name}",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": int(now * 1000),
            "seq_no": self.sequence,
            "born": self.born,
            "machine": self.machine,
            "running": [
                [task, run, "", self._get_percent(ends, total, now), 0]
                for task, (run, ends, total) in self.running.items()
            ],
            "finished": self.finished[:500],
        }

    @staticmethod
    def _get_percent(ends, total, now):
        if total == float("inf"):
            return 100
        return int(max(0, min(99, 100 - 100 * (ends - now) / total)))

    def _send(self, body):
        if self.is_cut:
            time.sleep(RESPONSE_S)
            return None
        address = self.address
        if address is None:
            nodes = self.site.nodes
            self.next_node = (self.next_node + 1) % len(nodes)
            address = nodes[self.next_node].get_address(CONTROL)
        path = f"/v1/instances/{self.name}/heartbeat"
        sent = time.monotonic()
        answer = call(address, "POST", path, body, {}, RESPONSE_S)
        if self.is_cut or self.loses_responses:
            return None
        if answer is None or time.monotonic() - sent > RESPONSE_S:
            return None
        return answer

    def _receive(self, answer, sent):
        now = time.monotonic()
        if answer is not None and answer[0] // 100 == 2:
            size = len(answer[1])
            self.longest_response = max(size, self.longest_response)
            if size > MAX_RESPONSE_BYTES:
                self.oversized += 1
                self.site.record.write(
                    f"executor {self.name}: a response of {size} bytes is"
                    " above 4 MiB and is no acknowledgement"
                )
                answer = None
        if answer is None or answer[0] // 100 != 2:
            self.address = None
            self.next_ping = now + 0.05
            return
        orders = json.loads(answer[1])
        if orders.get("fencing_token", 0) < self.fence:
            self.next_ping = now + 0.05
            return
        self.fence = orders.get("fencing_token", 0)
        if orders.get("heartbeat_addr"):
            host, _, port = orders["heartbeat_addr"].rpartition(":")
            self.address = host, int(port)
        acked = orders.get("acked_seq", 0)
        if acked:
            self.site.note_acked(
                [end for end in self.finished if end[0] <= acked]
            )
        self.finished = [end for end in self.finished if end[0] > acked]
        self.next_ping = now + orders.get("retry_after_ms", 200) / 1000
        if "hold_ms" not in orders:
            return
        hold_s = min(orders["hold_ms"], BOUNDS["hold_max_ms"]) / 1000
        self.lease_until = max(self.lease_until, sent + hold_s)
        for task, run in orders.get("stop_tasks", ()):
            if task in self.running and self.running[task][0] == run:
                self._end(task, run, "stopped")
            self.highest[task] = max(run, self.highest.get(task, 0))
        for row in orders.get("start_tasks", ()):
            self._start_run(*row[:4])

    def _start_run(self, task, run, spec, _saved):
        if task in self.running or run <= self.highest.get(task, 0):
            return
        needs = self.site.get_needs(task)
        used_cpu = sum(self.site.get_needs(t)[0] for t in self.running)
        used_mem = sum(self.site.get_needs(t)[1] for t in self.running)
        if used_cpu + needs[0] > self.cpu or used_mem + needs[1] > self.mem_mb:
            self._end(task, run, "refused")
            return
        run_s = self.site.get_run_s(task)
        self.running[task] = (run, time.monotonic() + run_s, run_s)
        self.site.note_start(task, run, self.name, spec)


def call(address, method, path, body, headers, timeout_s):
    """Makes one call; returns status, body and headers, or None."""
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        data = None
        if body is not None:
            data = body if isinstance(body, bytes) else json.dumps(body).encode()
        head = {"Content-Type": "application/json", **headers}
        connection.request(method, path, data, head)
        answer = connection.getresponse()
        return answer.status, answer.read(), dict(answer.getheaders())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Site:
    """The nodes and stand-ins, with what they have seen."""

    def __init__(self, case_folder, net, nodes=4, has_provider=False):
        self.record = Record(case_folder)
        self.net = f"{net}.{random.randrange(1, 250)}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        self.command = deploy["roles"]["node"]["run"].split()
        self.base = find_base_port(self.net)
        self.provider_address = ""
        self.nodes = [Node(self, i, i < 3) for i in range(nodes)]
        self.executors = []
        self.lock = threading.Lock()
        # Task name prefix (job id) to what its subtasks need and last.
        self.jobs = {}
        self.starts = []
        self.ends = []
        self.acked = []
        self._stop = threading.Event()

    # --- What the executors know ---

    def _find_step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    def get_needs(self, task):
        """Returns processor and memory of a subtask."""
        step = self._find_step(task)
        return step.get("cpu", 0), step.get("mem_mb", 0)

    def get_run_s(self, task):
        """Returns how long a subtask works."""
        step = self._find_step(task)
        if step.get("long_running"):
            return float("inf")
        return step["estimate_ms"] / 1000

    def how_ends(self, _task):
        """Returns how a subtask ends that worked to its end."""
        return "done"

    def note_start(self, task, run, name, _spec):
        """Notes that an executor has begun a subtask."""
        with self.lock:
            self.starts.append((time.monotonic(), task, run, name))
        if len(self.starts) <= 400:
            self.record.write(f"executor {name}: starts {task} run {run}")

    def note_end(self, task, run, name, how):
        """Notes that a run has ended."""
        with self.lock:
            self.ends.append((time.monotonic(), task, run, name, how))
        if len(self.ends) <= 400:
            self.record.write(f"executor {name}: {task} run {run} ends {how}")

    def note_acked(self, ends):
        """Notes that ends were taken note of."""
        with self.lock:
            self.acked += [tuple(end[1:4]) for end in ends]

    # --- Platform ---

    def start(self):
        """Starts all nodes and waits until each is ready."""
        for node in self.nodes:
            node.start()

    def wait_ready(self, timeout_s=20.0, nodes=None):
        """Waits until nodes report that they are ready."""
        ends = time.monotonic() + timeout_s
        for node in nodes if nodes is not None else self.nodes:
            while time.monotonic() < ends:
                answer = call(
                    node.get_address(READY), "GET", "/v1/readyz", None, {}, 1
                )
                if answer is not None and answer[0] == 200:
                    break
                time.sleep(0.05)
            else:
                return False
        return True

    def add_executors(self, count, **options):
        """Starts executors."""
        for i in range(count):
            executor = Executor(self, f"90{len(self.executors):02d}", **options)
            self.executors.append(executor)
            executor.start()

    def find_leader(self):
        """Finds the node that, by the logs, began to schedule last."""
        found = None
        for node in self.nodes:
            if not node.is_running():
                continue
            log = node.read_log()
            if "event=scheduling " in log:
                text = log.rpartition("event=scheduling term=")[2]
                term = int(text.split()[0])
                if found is None or term > found[0]:
                    found = (term, node)
        return found[1] if found else None

    def enforce_memory(self, restart_s=0.5):
        """Kills each process that uses more than its machine's memory.

        It is started again after a short delay, as the pages say. Only memory
        that no file backs is counted.
        """
        threading.Thread(
            target=self._enforce_memory, args=(restart_s,), daemon=True
        ).start()

    def _enforce_memory(self, restart_s):
        while not self._stop.wait(0.05):
            for node in self.nodes:
                if not node.is_running():
                    if node.restart_at and time.monotonic() > node.restart_at:
                        node.restart_at = 0.0
                        node.start()
                    continue
                used_mb = node.read_private_mb()
                node.peak_mb = max(node.peak_mb, used_mb)
                if used_mb <= MEMORY_MB:
                    continue
                node.kill()
                node.deaths.append(time.monotonic())
                node.restart_at = time.monotonic() + restart_s
                self.record.write(
                    f"platform: node {node.number} uses {used_mb:.0f} MB of"
                    f" {MEMORY_MB} MB and is killed"
                )

    # --- Operator ---

    def operate(self, method, path, body, timeout_s=4.0, attempts=60):
        """Makes a call of the operator, at any node, until it is answered."""
        address = None
        for attempt in range(attempts):
            if address is None:
                node = self.nodes[attempt % len(self.nodes)]
                address = node.get_address(CONTROL)
            answer = call(address, method, path, body, {}, timeout_s)
            if answer is None or answer[0] // 100 not in (2, 3):
                text = answer[1][:80] if answer else ""
                self.record.write(
                    f"operator: {method} {path} at {address}:"
                    f" {answer[0] if answer else None} {text}"
                )
            address = None
            if answer is not None and answer[0] == 307:
                place = answer[2]["Location"].removeprefix("http://")
                host, _, port = place.partition("/")[0].partition(":")
                address = host, int(port)
                continue
            if answer is not None and answer[0] < 500:
                return answer
            time.sleep(min(0.5, 0.1 * (attempt + 1)))
        return None

    # --- Clients ---

    def send(self, method, job="", body=None, number=None, deadline_ms=3000,
             prefix=PREFIX, key=KEY):
        """Makes one attempt of a client; returns the status and the body."""
        if number is None:
            number = random.randrange(len(self.nodes))
        address = self.nodes[number].get_address(FRONT)
        headers = {
            "Host": HOST,
            "Key": key,
            "Deadline-Ms": str(deadline_ms),
        }
        answer = call(
            address, method, prefix + job, body, headers, deadline_ms / 1000
        )
        status = answer[0] if answer else None
        text = answer[1][:200].decode(errors="replace") if answer else ""
        self.record.write(
            f"client: {method} {job or 'queue'} at node {number}: {status} {text}"
        )
        return status, text

    def submit(self, job, body, attempts=12):
        """Hands a submission in, with retries; returns whether it is stored."""
        self.jobs[job] = body["phases"]
        for attempt in range(attempts):
            status, _ = self.send("POST", job, body)
            if status is not None and status // 100 == 2:
                return True
            time.sleep(0.2 * (attempt + 1))
        return False

    def end(self):
        """Ends all processes and removes the temporary folder."""
        self._stop.set()
        for executor in self.executors:
            executor.ended = True
        for node in self.nodes:
            node.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for node in self.nodes:
                shutil.copy(node.folder / "log", f"{keep}.{node.number}.log")
        shutil.rmtree(self.folder, ignore_errors=True)


def build_config(version=1, max_attempts=3, routes=0, cap_cpu=0):
    """Builds a config with one queue, and further ones that nobody uses."""
    def build_route(name, prefix):
        return {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 3600,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": max_attempts,
            "slack_factor": 1.6,
            "public": False,
        }

    more = [
        build_route(
            f"r-{random.randrange(16**7):07x}",
            f"/{random.randrange(16**6):06x}/{i}/",
        )
        for i in range(routes)
    ]
    return {
        "version": version,
        "routes": [build_route("r-orders", PREFIX), *more],
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
                "cap": {"cpu": cap_cpu, "mem_mb": 0, "gpu": 0},
            }
        ],
    }


def new_id():
    """Chooses the id of a submission."""
    return f"{random.getrandbits(64):016x}"
