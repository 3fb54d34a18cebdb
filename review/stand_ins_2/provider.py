"""Stand-in of the provider of machines, which also checks its orders."""

import http.server
import json
import socketserver
import threading
import time

from stand_ins_2 import deployment

NOTICE_S = deployment.BOUNDS["notice_ms"] / 1000
MAINTENANCE_S = deployment.BOUNDS["maintenance_s"]


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Does nothing: clients reset their connections after each call."""


class Provider:
    """Lists machines and takes them down for upkeep, as of a call's arrival.

    Follows when each lasting subtask was at work, and checks with each upkeep
    how many subtasks of the same step are away.
    """

    def __init__(self):
        self.address = ""
        self.breaks = []
        self.orders = []
        self._site = None
        self._lock = threading.Lock()
        self._states = {}
        self._waves = {}
        self._done = set()
        self._lives = {}
        # Time at which a subtask was last at work; absent before the first.
        self._at_work = {}
        # Subtasks that an order has ended and that aren't at work again.
        self._ended_by_order = set()

    def open(self, site):
        """Opens its socket on a free port."""
        self._site = site
        provider = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Handles one connection."""

            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                """Does nothing."""

            def _answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                """Answers a reading of the list."""
                self._answer(200, provider.list_machines())

            def do_POST(self):
                """Carries out an order."""
                size = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(size))
                holder = self.headers.get("Lease-Holder")
                token = self.headers.get("Fencing-Token")
                self._answer(
                    *provider.carry_out(self.path, body, holder, token)
                )

        server = _Server((site.get_ip(90), 0), Handler)
        self.address = "%s:%d" % server.server_address
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self._follow, daemon=True).start()

    def note_wave(self, wave, machines):
        """Notes which machines a wave covers."""
        self._waves[wave] = set(machines)

    def list_machines(self):
        """Builds the list of machines."""
        with self._lock:
            return {
                "machines": [
                    {
                        "machine": worker.machine,
                        "pool": worker.service,
                        "state": self._states.get(
                            worker.machine, "up" if worker.is_up else "down"
                        ),
                        "zone": "north",
                        "labels": worker.labels,
                        "capacity": worker.capacity,
                        "id": worker.name,
                    }
                    for worker in self._list_newest()
                ]
            }

    def _list_newest(self):
        newest = {}
        for worker in self._site.workers.values():
            newest[worker.machine] = worker
        return list(newest.values())

    def carry_out(self, path, body, holder, token):
        """Carries out an upkeep; returns status and body."""
        with self._lock:
            self._site.record.add(f"order {path} {body} by {holder} {token}")
            if path != "/v1/machine-upkeep":
                return 400, {}
            machine, wave = body["machine"], body["rollout_wave"]
            found = [w for w in self._list_newest() if w.machine == machine]
            if not found:
                return 400, {}
            if machine not in self._waves.get(wave, ()):
                return 409, {"reason": "wave"}
            if (machine, wave) in self._done:
                return 200, {}
            worker = found[0]
            if machine in self._states or not worker.is_up:
                return 409, {"reason": "busy"}
            self._check(worker)
            self._done.add((machine, wave))
            self._states[machine] = "upkeep"
            self.orders.append((time.monotonic(), machine))
            with worker.lock:
                self._ended_by_order.update(worker.runs)
                worker.crash()
            threading.Thread(
                target=self._bring_back, args=(worker,), daemon=True
            ).start()
            return 200, {}

    def _bring_back(self, worker):
        time.sleep(MAINTENANCE_S)
        with self._lock:
            life = self._lives.get(worker.machine, 0) + 1
            self._lives[worker.machine] = life
            later = self._site.add_worker(
                f"{worker.machine}-{life}", worker.labels,
                machine=worker.machine, service=worker.service,
            )
            later.address = worker.address
            del self._states[worker.machine]
        later.start()

    def _list_at_work(self):
        found = set()
        for worker in list(self._site.workers.values()):
            with worker.lock:
                if not worker.is_up:
                    continue
                for task, run in worker.runs.items():
                    if run.duration_s is None and run.percent(0.4) == 100:
                        found.add(task)
        return found

    def _follow(self):
        while True:
            found = self._list_at_work()
            now = time.monotonic()
            with self._lock:
                for task in found:
                    self._at_work[task] = now
                self._ended_by_order -= found
            time.sleep(0.02)

    def _check(self, worker):
        now = time.monotonic()
        with worker.lock:
            ended = [
                task
                for task, run in worker.runs.items()
                if run.duration_s is None and run.percent(0.4) == 100
            ]
        for task in ended:
            phase = self._site.find_phase(task)
            allowed = phase.get("miss_allowed", 0)
            if not allowed:
                continue
            step = task.rpartition(".")[0]
            away = []
            for other, at in self._at_work.items():
                if other == task or other.rpartition(".")[0] != step:
                    continue
                if other in self._ended_by_order or now - at >= NOTICE_S:
                    away.append(f"{other} for {now - at:.2f} s")
            text = f"upkeep of {worker.machine} ends {task}; away: {away}"
            self._site.record.add(text)
            if len(away) >= allowed:
                self.breaks.append(f"AVAIL: {text}, {allowed} allowed")
