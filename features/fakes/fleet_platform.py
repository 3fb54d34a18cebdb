"""A fake of the platform: workers that drain, reboot, run tasks and fail.

The caller passes the time, so that the fake works in a simulated run as well as
in a process of its own. It records what would do harm on a real platform: a
reboot or a new pool of a worker on which work still runs, and an attempt that
is started twice.
"""

import collections
import dataclasses


@dataclasses.dataclass
class FakeWorker:
    name: str
    data_centre: str
    rack: str
    pool: str
    incarnation: int = 1
    phase: str = "serving"
    healthy: bool = True
    running: int = 3
    phase_ends_ms: int = 0
    sequence: int = 0
    reported_ms: int = 0
    lease_until_ms: int = 10_000
    is_silent: bool = False
    reports_drained_early: bool = False
    hangs_in_reboot: bool = False
    reboots: int = 0
    reports_serving_early: bool = False
    fails_all_tasks: bool = False
    tasks: dict = dataclasses.field(default_factory=dict)

    def count_running(self):
        return self.running + sum(
            task["phase"] == "running" for task in self.tasks.values()
        )


class FakePlatform:
    """Workers by name; `violations` lists what must not have happened."""

    def __init__(self, drain_ms=2_000, boot_ms=3_000):
        self.workers = {}
        self.drain_ms = drain_ms
        self.boot_ms = boot_ms
        self.now_ms = 0
        self.violations = []
        self.task_duration_ms = 4_000
        self.starts = collections.Counter()
        self.successes = collections.Counter()
        self.failures_by_worker = collections.Counter()
        self.usage_factor = {}

    def add_worker(self, name, data_centre, rack, pool):
        worker = FakeWorker(name, data_centre, rack, pool)
        self.workers[name] = worker
        return worker

    def step(self, now_ms):
        """Advances to a time and ends the drains, reboots and tasks due."""
        self.now_ms = now_ms
        for worker in self.workers.values():
            self._end_tasks(worker)
            if worker.phase == "draining" and now_ms >= worker.phase_ends_ms:
                worker.running = 0
                if not worker.count_running():
                    worker.phase = "drained"
            if worker.phase == "rebooting" and now_ms >= worker.phase_ends_ms:
                if worker.hangs_in_reboot:
                    continue
                self._start_incarnation(worker)
            if now_ms >= worker.lease_until_ms:
                # A worker stops all work when its lease has expired.
                worker.running = 0
                self._drop_tasks(worker)
            if not worker.is_silent and worker.phase != "down":
                worker.reported_ms = now_ms

    def _start_incarnation(self, worker):
        worker.incarnation += 1
        worker.phase = "serving"
        worker.running = 0
        self._drop_tasks(worker)

    def apply_order(self, order):
        """Carries out one order, unless outdated or for an old incarnation."""
        worker = self.workers.get(order["worker"])
        if worker is None or worker.phase == "down":
            return
        if order["incarnation"] != worker.incarnation:
            return
        if order["sequence"] < worker.sequence:
            return
        worker.sequence = order["sequence"]
        if order["task_id"]:
            self._apply_task_order(worker, order)
            return
        if order["kind"] == "drain" and worker.phase == "serving":
            worker.phase = "draining"
            worker.phase_ends_ms = self.now_ms + self.drain_ms
        elif order["kind"] == "resume":
            if worker.phase in ("draining", "drained"):
                worker.phase = "serving"
                worker.running += 1
        elif order["kind"] == "reboot" and worker.phase == "drained":
            self._check_empty(worker, "rebooted")
            worker.phase = "rebooting"
            worker.phase_ends_ms = self.now_ms + self.boot_ms
            worker.reboots += 1
        elif order["kind"] == "assign":
            if worker.pool != order["pool"]:
                self._check_empty(worker, "assigned")
            worker.pool = order["pool"]
            if worker.phase == "drained":
                worker.phase = "serving"

    def _apply_task_order(self, worker, order):
        task_id = order["task_id"]
        known = worker.tasks.get(task_id)
        if order["kind"] == "start":
            can_start = worker.phase == "serving" and known is None
            if can_start and self.now_ms < worker.lease_until_ms:
                self._start_task(worker, task_id, order)
        elif order["kind"] in ("stop", "checkpoint"):
            if known is None:
                # An attempt that was stopped before its start never starts.
                worker.tasks[task_id] = {
                    "phase": "stopped",
                    "cores_used": 0,
                    "memory_used_mb": 0,
                }
            elif known["phase"] == "running":
                known["phase"] = "stopped"
        elif order["kind"] == "forget" and known is not None:
            if known["phase"] != "running":
                del worker.tasks[task_id]

    def _start_task(self, worker, task_id, order):
        self.starts[task_id] += 1
        if self.starts[task_id] > 1:
            self.violations.append(f"{task_id} started twice")
        name = task_id.rpartition(".")[0]
        for other in self.workers.values():
            for other_id, task in other.tasks.items():
                is_same = other_id.rpartition(".")[0] == name
                if is_same and task["phase"] == "running":
                    self.violations.append(f"{name} runs twice at once")
        factor = self.usage_factor.get(name.rpartition(".")[0], 1.0)
        worker.tasks[task_id] = {
            "phase": "running",
            "ends_ms": self.now_ms + self.task_duration_ms,
            "cores_used": int(order["cores"] * factor) or 1,
            "memory_used_mb": int(order["memory_mb"] * factor) or 1,
        }

    def _end_tasks(self, worker):
        for task_id, task in worker.tasks.items():
            if task["phase"] != "running":
                continue
            is_bad = worker.fails_all_tasks or task_id.startswith("bad-")
            # These crash their workers instead.
            is_bad = is_bad and not task_id.startswith("bad-crash-")
            if is_bad:
                task["phase"] = "failed"
                self.failures_by_worker[worker.name] += 1
            elif self.now_ms >= task["ends_ms"]:
                task["phase"] = "succeeded"
                name = task_id.rpartition(".")[0]
                self.successes[name] += 1

    def _check_empty(self, worker, verb):
        if worker.count_running():
            self.violations.append(f"{worker.name} {verb} with work on it")

    def renew_leases(self, names, lease_ms):
        for name in names:
            worker = self.workers.get(name)
            if worker is not None and not worker.is_silent:
                worker.lease_until_ms = self.now_ms + lease_ms

    def fail(self, name):
        worker = self.workers[name]
        worker.phase = "down"
        worker.running = 0
        self._drop_tasks(worker)

    def _drop_tasks(self, worker):
        """Drops a worker's tasks, including results not yet forgotten."""
        for task_id, task in worker.tasks.items():
            if task["phase"] == "succeeded":
                self.successes[task_id.rpartition(".")[0]] -= 1
        worker.tasks = {}

    def repair(self, name):
        """Starts a failed worker again, with a new incarnation."""
        worker = self.workers[name]
        worker.is_silent = False
        if worker.phase == "down":
            self._start_incarnation(worker)

    def restart(self, name):
        """Restarts a worker without an order."""
        worker = self.workers[name]
        if worker.phase in ("serving", "draining", "drained"):
            self._start_incarnation(worker)

    def report(self):
        """Returns the latest report of every worker."""
        reports = []
        for worker in self.workers.values():
            phase = worker.phase
            if worker.reports_drained_early and phase == "draining":
                phase = "drained"
            if worker.reports_serving_early and phase == "rebooting":
                phase = "serving"
            reports.append(
                {
                    "name": worker.name,
                    "incarnation": worker.incarnation,
                    "phase": phase,
                    "healthy": worker.healthy,
                    "pool": worker.pool,
                    "running": worker.count_running(),
                    "tasks": [
                        {
                            "task_id": task_id,
                            "phase": task["phase"],
                            "cores_used": task["cores_used"],
                            "memory_used_mb": task["memory_used_mb"],
                        }
                        for task_id, task in worker.tasks.items()
                    ],
                    "age_ms": self.now_ms - worker.reported_ms,
                    "data_centre": worker.data_centre,
                    "rack": worker.rack,
                    "sequence": worker.sequence,
                }
            )
        return reports
