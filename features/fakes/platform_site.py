"""A simulated site of the users' platform, with nodes as processes.

Each node runs `platform/start.py` at its own loopback address. The simulated
workers, callers, operator and advisor use the platform's protocol over real
sockets.
"""

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import time

import geventhttpclient
from geventhttpclient import response as http_response

from features.fakes import platform_advisor
from features.fakes import platform_document

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_FRONT, _READY, _CONTROL, PEER = range(4)
# Maximum wait for an expected condition; it normally takes far less.
WAIT_S = 60.0
# Time in seconds for which a new or wiped machine counts as lost after its
# start.
CATCH_UP_S = 4


def request(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Sends a request; returns status, headers and body, or None on failure."""
    host, port = address
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=timeout_s, network_timeout=timeout_s
    )
    data = body if isinstance(body, bytes) else b""
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    try:
        answer = client.request(method, path, data, headers or {})
        return answer.status_code, dict(answer.headers), bytes(answer.read())
    except (OSError, http_response.HTTPParseError):
        return None
    finally:
        client.close()


class Node:
    """A node that runs as a process."""

    def __init__(self, site, number, has_disk):
        self.number = number
        self.ip = f"127.0.{site.net}.{number + 1}"
        self._site = site
        self.folder = site.folder / f"node-{number}"
        self.folder.mkdir()
        self._has_disk = has_disk
        self._starts = 0
        self.process = None
        self.command = ("platform/start.py",)
        self.environment = {}

    def get_address(self, kind):
        """Returns the host and port of one of its sockets."""
        return self.ip, self._site.base_port + kind

    def build_settings(self):
        """Builds the content of its settings file."""
        base = self._site.base_port
        return {
            "node_name": f"node-{self.number}",
            "ip": self.ip,
            "zone": "north",
            "bind_addrs": {
                "frontend": f"{self.ip}:{base + _FRONT}",
                "ready": f"{self.ip}:{base + _READY}",
                "control_plane": f"{self.ip}:{base + _CONTROL}",
            },
            "port_range": [base + PEER, base + 9],
            "seed_nodes": [
                f"127.0.{self._site.net}.{i + 1}:{base + _CONTROL}"
                for i in range(3)
            ],
            "bootstrap": self._starts == 0,
            "data_dir": str(self.folder / "data") if self._has_disk else None,
            "fault_tolerance": {"machines": 1},
            "bounds": {
                "hold_max_ms": 6000,
                "status_s": 120,
                "grace_s": 6,
                "catch_up_s": CATCH_UP_S,
            },
            "cloud_api": {"address": ""},
            "advisor": self._site.advisor_address,
        }

    def write_settings(self):
        """Writes its settings file."""
        text = json.dumps(self.build_settings())
        (self.folder / "settings.json").write_text(text, encoding="utf-8")

    def start(self):
        """Starts the process, with its output appended to the log file."""
        self.write_settings()
        self._starts += 1
        with open(self.folder / "log", "ab") as log:
            # pylint: disable-next=consider-using-with
            self.process = subprocess.Popen(
                [sys.executable, *self.command],
                cwd=_ROOT,
                env={
                    **os.environ,
                    "BAMBOOKEEL_CONFIG": str(self.folder / "settings.json"),
                    **self.environment,
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def read_log(self):
        """Returns its whole log, from all its starts."""
        return (self.folder / "log").read_text(encoding="utf-8")

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def has_ended(self):
        """Returns whether the process has ended."""
        return self.process.poll() is not None

    def wipe(self):
        """Deletes its data folder; the process must not be running."""
        shutil.rmtree(self.folder / "data")

    def mark_as_joining(self):
        """Makes its first start one that joins a running site."""
        self._starts = 1

    def end(self):
        """Kills the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class FakeWorker:
    """A simulated worker that sends heartbeats, one call at a time."""

    def __init__(self, site, name, run_s=0.15):
        self._site = site
        self.name = name
        self._run_s = run_s
        self._born = int(time.time() * 1000)
        self._sequence_number = 0
        self._last_node = 0
        self.running = {}
        self._finished = []
        self._last_end_number = 0
        self._address = None
        self._lease_until = 0.0
        self._next_report = 0.0
        self._fencing_token = 0
        self._highest_runs = {}

    def step(self):
        """Ends runs that are done or without a lease, and reports when due."""
        now = time.monotonic()
        if now >= self._lease_until:
            self._lose_ends()
        for task, (run, ends) in list(self.running.items()):
            if now >= ends:
                self._end(task, run, "done")
            elif now >= self._lease_until:
                self._end(task, run, "lapsed")
        if now >= self._next_report:
            self._report(now)

    def holds(self, task):
        """Returns whether a task runs here under a valid lease."""
        return task in self.running and time.monotonic() < self._lease_until

    def restart(self):
        """Simulates a crash and a restart with the same id and no runs."""
        self._lose_ends()
        self._born = max(self._born + 1, int(time.time() * 1000))
        self._sequence_number = 0
        self.running = {}
        self._finished = []
        self._last_end_number = 0
        self._lease_until = 0.0
        self._fencing_token = 0
        self._highest_runs = {}

    def _lose_ends(self):
        """Notes unacknowledged ends, whose tasks may run again."""
        for _, task, run, _, _ in self._finished:
            self._site.lost_ends.add((task, run))

    def _end(self, task, run, how):
        del self.running[task]
        self._last_end_number += 1
        self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
        self._finished.append([self._last_end_number, task, run, how, ""])
        self._site.ends.append((task, run, how))
        self._next_report = min(self._next_report, time.monotonic() + 0.05)

    def _report(self, now):
        self._sequence_number += 1
        body = {
            "service": "pack",
            "address": f"127.0.0.1:{self.name}",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": int(now * 1000),
            "seq_no": self._sequence_number,
            "born": self._born,
            "machine": f"m-{self.name}",
            "running": [
                [t, r, "", 100, 0] for t, (r, _) in self.running.items()
            ],
            "finished": self._finished,
        }
        address = self._address
        if address is None:
            self._last_node += 1
            nodes = self._site.nodes
            address = nodes[self._last_node % len(nodes)].get_address(_CONTROL)
        path = f"/v1/instances/{self.name}/heartbeat"
        answer = request(address, "POST", path, body, timeout_s=1.0)
        if self._born != body["born"]:
            # The connection has ended with the worker that sent the report.
            return
        self._next_report = time.monotonic() + 0.1
        if answer is None or answer[0] != 200:
            self._address = None
            return
        self._apply_orders(json.loads(answer[2]), now)

    def _apply_orders(self, orders, sent_at):
        if orders.get("fencing_token", 0) < self._fencing_token:
            return
        self._fencing_token = orders.get("fencing_token", 0)
        if "heartbeat_addr" in orders:
            host, _, port = orders["heartbeat_addr"].rpartition(":")
            self._address = (host, int(port))
        self._finished = [
            end for end in self._finished if end[0] > orders.get("acked_seq", 0)
        ]
        if "hold_ms" not in orders:
            return
        self._lease_until = max(
            self._lease_until, sent_at + orders["hold_ms"] / 1000.0
        )
        for task, run in orders.get("stop_tasks", ()):
            if task in self.running and self.running[task][0] == run:
                self._end(task, run, "stopped")
        for task, run, _spec, _saved, *ticket in orders.get("start_tasks", ()):
            if task in self.running or run <= self._highest_runs.get(task, 0):
                continue
            if not self._site.is_allowed(ticket, task, self.name):
                self._site.refused.append((task, run, self.name))
                continue
            self._site.record_start(task, run, self.name)
            self.running[task] = (run, time.monotonic() + self._run_s)


class Site:
    """The nodes and workers of a site, and a record of all runs."""

    node_class = Node

    def __init__(self, folder, base_port, net, nodes=4, workers=3):
        self.folder = pathlib.Path(folder)
        self.base_port = base_port
        # Third byte of the loopback addresses: 127.0.<net>.<number>.
        self.net = net
        self.nodes = []
        for i in range(nodes):
            self.nodes.append(self.node_class(self, i, has_disk=i < 3))
        self.workers = [FakeWorker(self, str(9000 + i)) for i in range(workers)]
        self.starts = []
        self.ends = []
        self.lost_ends = set()
        self.violations = []
        self.refused = []
        self.advisor = None
        self.advisor_address = ""

    def use_advisor(self, approved):
        """Adds an advisor that approves workers; call it before `start`."""
        address = f"127.0.{self.net}.200", self.base_port
        self.advisor = platform_advisor.FakeAdvisor(address, approved)
        self.advisor_address = f"{address[0]}:{address[1]}"

    def is_allowed(self, ticket, task, worker):
        """Returns whether a start with this ticket, or none, is allowed."""
        if self.advisor is None:
            return not ticket
        return len(ticket) == 1 and self.advisor.accepts(
            ticket[0], task, worker
        )

    def start(self):
        """Starts all nodes."""
        for node in self.nodes:
            node.start()

    def record_start(self, task, run, worker):
        """Records a start and checks that the task does not run elsewhere."""
        for other in self.workers:
            if other.holds(task):
                self.violations.append(
                    f"{task} runs on {other.name} and {worker}"
                )
        done = {end[:2] for end in self.ends if end[2] == "done"}
        if any(end[0] == task for end in done - self.lost_ends):
            self.violations.append(f"{task} starts again after its end")
        self.starts.append((task, run, worker, time.monotonic()))

    def add_node(self):
        """Starts a further node with an empty disk at a new address."""
        node = self.node_class(self, len(self.nodes), has_disk=True)
        node.mark_as_joining()
        self.nodes.append(node)
        node.start()
        return node

    def wait_until(self, condition, description):
        """Runs the workers until a condition holds."""
        ends = time.monotonic() + WAIT_S
        while time.monotonic() < ends:
            for worker in self.workers:
                worker.step()
            if condition():
                return
            time.sleep(0.01)
        logs = "\n".join(node.read_log()[-3000:] for node in self.nodes)
        raise AssertionError(f"timed out waiting until {description}\n{logs}")

    def are_ready(self):
        """Returns whether all running nodes report that they are ready."""
        for node in self.nodes:
            if node.process.poll() is not None:
                continue
            answer = request(node.get_address(_READY), "GET", "/v1/readyz")
            if answer is None or answer[0] != 200:
                return False
        return True

    def call_front(
        self, number, method, path, body=None, key=platform_document.KEY
    ):
        """Sends a request to a node as a caller does."""
        headers = {
            "Host": platform_document.HOST,
            "Key": key,
            "Deadline-Ms": "3000",
        }
        address = self.nodes[number].get_address(_FRONT)
        return request(address, method, path, body, headers)

    def call_control(self, number, method, path, body=None):
        """Sends a request to a node as workers and operators do."""
        address = self.nodes[number].get_address(_CONTROL)
        return request(address, method, path, body)

    def find_leader(self):
        """Finds the running node that, by the logs, led last."""
        found = None
        for node in self.nodes:
            if node.process.poll() is not None:
                continue
            log = node.read_log()
            if "event=scheduling" in log:
                term = int(
                    log.rpartition("event=scheduling term=")[2].split()[0]
                )
                if found is None or term > found[0]:
                    found = (term, node)
        return found[1] if found else None

    def end(self):
        """Kills all processes and closes the advisor."""
        for node in self.nodes:
            node.end()
        if self.advisor is not None:
            self.advisor.close()


TERMINATE = signal.SIGTERM
KILL = signal.SIGKILL
HANG_UP = signal.SIGHUP
