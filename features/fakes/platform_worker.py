"""A simulated worker of the users' platform."""

import json
import time

from features.fakes import platform_calls


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
        body = self._build_report(now)
        answer = self._send_report(self._choose_address(), body)
        if self._born != body["born"]:
            # The connection has ended with the worker that sent the report.
            return
        self._receive_answer(answer, now)

    def _build_report(self, now):
        self._sequence_number += 1
        return {
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

    def _choose_address(self):
        if self._address is not None:
            return self._address
        self._last_node += 1
        nodes = self._site.nodes
        return nodes[self._last_node % len(nodes)].control_address

    def _send_report(self, address, body):
        path = f"/v1/instances/{self.name}/heartbeat"
        return platform_calls.request(
            address, "POST", path, body, timeout_s=1.0
        )

    def _receive_answer(self, answer, sent_at):
        self._next_report = time.monotonic() + 0.1
        if answer is None or answer[0] != 200:
            self._address = None
            return
        self._apply_orders(json.loads(answer[2]), sent_at)

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
        for task, run, spec, _saved, *ticket in orders.get("start_tasks", ()):
            if task in self.running or run <= self._highest_runs.get(task, 0):
                continue
            if not self._site.is_allowed(ticket, task, self.name):
                self._site.refused.append((task, run, self.name))
                continue
            self._site.record_start(task, run, self.name)
            ends = time.monotonic() + self._get_run_s(spec)
            self.running[task] = (run, ends)

    def _get_run_s(self, _spec):
        return self._run_s
