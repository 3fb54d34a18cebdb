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

from features.fakes import platform_advisor
from features.fakes import platform_calls
from features.fakes import platform_document
from features.fakes import platform_worker

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_FRONT, _READY, _CONTROL, PEER = range(4)
# Maximum wait for an expected condition; it normally takes far less.
WAIT_S = 60.0
# Time in seconds for which a new or wiped machine counts as lost after its
# start.
CATCH_UP_S = 4


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

    @property
    def control_address(self):
        """Host and port for workers and operators."""
        return self.get_address(_CONTROL)

    def build_settings(self):
        """Builds the content of its settings file."""
        base = self._site.base_port
        return {
            "node_name": f"node-{self.number}",
            "ip": self.ip,
            "zone": "north",
            "zones": {"north": "r1", "south east": "r1"},
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


class Site:
    """The nodes and workers of a site, and a record of all runs."""

    node_class = Node
    worker_class = platform_worker.FakeWorker

    def __init__(self, folder, base_port, net, nodes=4, workers=3):
        self.folder = pathlib.Path(folder)
        self.base_port = base_port
        # Third byte of the loopback addresses: 127.0.<net>.<number>.
        self.net = net
        self.nodes = []
        for i in range(nodes):
            self.nodes.append(self.node_class(self, i, has_disk=i < 3))
        self.workers = [
            self.worker_class(self, str(9000 + i)) for i in range(workers)
        ]
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
            answer = platform_calls.request(
                node.get_address(_READY), "GET", "/v1/readyz"
            )
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
        return platform_calls.request(address, method, path, body, headers)

    def call_control(self, number, method, path, body=None):
        """Sends a request to a node as workers and operators do."""
        address = self.nodes[number].get_address(_CONTROL)
        return platform_calls.request(address, method, path, body)

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
