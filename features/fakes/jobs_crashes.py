"""Simulates tasks that crash the workers on which they run."""

import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import specs
from features.fakes import jobs_simulation
from features.fakes import jobs_worker

# Time from the start of a deadly run to the crash.
CRASH_DELAY_MS = 100
# Starts of a task that are allowed after three workers have crashed under it.
_MAX_LATER_STARTS = 2


class CrashingSimulation(jobs_simulation.JobsSimulation):
    """Simulation with tasks that crash each worker that starts them."""

    def __init__(self, seed, workers, racks=1, faults=False):
        self.deadly = set()
        self.crashes = []
        self.starts_after_three = {}
        self.down_ms = 3_000
        self.crash_delay_ms = CRASH_DELAY_MS
        # Whether a worker that restarts has another id.
        self.renames = True
        self.crash_at_ms = {}
        self.back_at_ms = {}
        self.events = []
        # Number of further orders to start runs that are lost since the worker
        # crashes before it receives them.
        self.lost_orders = 0
        # Until then no worker receives orders.
        self.deaf_until_ms = 0
        # Book of a replica that passes over the newest fields of commands.
        self.former_book = None
        super().__init__(seed, workers=0, faults=faults)
        for i in range(workers):
            self.add_worker(f"w{i}", "pack", labels=("a", f"r{i % racks}"))

    def commit(self):
        """Commits the batch and keeps the log events."""
        events = self.scheduler.take_log_events()
        self.events += events
        for command in self.scheduler.term.batch if self.former_book else ():
            self.former_book.apply(drop_new_fields(command))
        return super().commit()

    def get_events(self, name):
        """Returns the fields of all log events of one name."""
        return [fields for event, fields in self.events if event == name]

    def step(self):
        """Runs one time step, with the crashes and returns that are due."""
        for worker, at_ms in list(self.crash_at_ms.items()):
            if self.now_ms >= at_ms:
                del self.crash_at_ms[worker]
                self.crash_worker(self.workers[worker])
        for worker, at_ms in list(self.back_at_ms.items()):
            if self.now_ms >= at_ms:
                del self.back_at_ms[worker]
                self.restart(self.workers[worker])
        super().step()

    def crash_worker(self, worker):
        """Crashes a worker; it is back after `down_ms`."""
        deadly = [task for task in worker.running if task in self.deadly]
        self.crashes.append((self.now_ms, worker.name, tuple(deadly)))
        self.crash(worker)
        self.back_at_ms[worker.name] = self.now_ms + self.down_ms

    def restart(self, worker):
        """Starts a new incarnation, under another id if `renames` is set."""
        if not self.renames:
            super().restart(worker)
            return
        del self.workers[worker.name]
        base, _, number = worker.name.partition("-")
        name = f"{base}-{int(number or 0) + 1}"
        self.workers[name] = jobs_worker.SimWorker(
            name,
            worker.service,
            worker.capacity,
            worker.labels,
            jobs_simulation.WALL_START_MS + self.now_ms,
            instance=worker.instance or f"m-{base}",
        )

    def apply_orders(self, worker, orders, sent_ms):
        """Applies orders, unless they are lost, also with the worker."""
        if self.now_ms < self.deaf_until_ms:
            worker.next_report_ms = self.now_ms + 200
            return
        if orders.starts and self.lost_orders:
            self.lost_orders -= 1
            self.crash_at_ms[worker.name] = self.now_ms
            return
        super().apply_orders(worker, orders, sent_ms)

    def count_crashes(self, task):
        """Counts the workers that a task has crashed."""
        return sum(task in tasks for _, _, tasks in self.crashes)

    def start_run(self, worker, order):
        """Starts a run, which crashes the worker if its task is deadly."""
        before = len(self.starts)
        super().start_run(worker, order)
        if len(self.starts) == before or order.task not in self.deadly:
            return
        if self.count_crashes(order.task) >= 3:
            count = self.starts_after_three.get(order.task, 0) + 1
            self.starts_after_three[order.task] = count
            if count > _MAX_LATER_STARTS:
                self.violations.append(
                    f"{order.task} starts again after three crashes"
                )
        worker.running[order.task].ends_ms = float("inf")
        at_ms = self.now_ms + self.crash_delay_ms
        self.crash_at_ms.setdefault(worker.name, at_ms)


def drop_new_fields(command):
    """Returns a command as the former version decodes it."""
    match command:
        case commands.LoseRuns():
            return msgspec.structs.replace(command, at_wall_ms=0)
        case commands.GiveUpJob():
            return msgspec.structs.replace(command, task=None)
    return command


def simulate(seed, span_ms=30_000):
    """Runs a random simulation with deadly tasks among sound ones.

    Args:
        seed: Seed of the simulation.
        span_ms: Time during which jobs are submitted and leaders change.

    Returns:
        The violated guarantees; among them sound jobs that were given up.
    """
    simulation = CrashingSimulation(seed, workers=8, racks=2)
    source = simulation.random
    simulation.renames = source.random() < 0.7
    simulation.down_ms = source.choice([1_000, 3_000, 6_000])
    simulation.crash_delay_ms = source.choice([25, 100, 400])
    deadly_jobs = set()
    jobs = []
    for number in range(30):
        job = f"{number:016x}"
        kind = source.choice(["plain", "plain", "gang", "standing", "copies"])
        spec = make_spec(source, kind)
        answer = simulation.submit(job, spec)
        if not isinstance(answer, calls.Done):
            continue
        jobs.append(job)
        if source.random() < 0.15:
            index = source.randrange(spec.steps[0].count)
            simulation.deadly.add(specs.TaskRef(job, 0, 0, index))
            deadly_jobs.add(job)
        simulation.advance(span_ms // 30)
        if source.random() < 0.1:
            simulation.start_leader()
    simulation.advance(60_000)
    check_ends(simulation, jobs, deadly_jobs)
    return simulation.violations


def make_spec(source, kind):
    """Builds a job of one step."""
    step = specs.StepSpec(
        count=source.randrange(1, 6),
        needs=specs.Resources(source.randrange(500, 3_000), 100, 0),
        estimate_ms=600,
        is_gang=kind == "gang",
        is_standing=kind == "standing",
        allows_copies=kind == "copies",
        max_per_instance=1 if kind == "standing" else 0,
    )
    return specs.JobSpec("body", (step,))


def check_ends(simulation, jobs, deadly_jobs):
    """Checks that deadly jobs were given up, and only those."""
    for job in jobs:
        state = simulation.ask(job).state
        standing = simulation.specs[job].steps[0].is_standing
        if job in deadly_jobs:
            expected = specs.JobState.FAILED
        elif standing:
            expected = specs.JobState.ACTIVE
        else:
            expected = specs.JobState.COMPLETED
        if state is not expected:
            simulation.violations.append(f"{job} is {state}, not {expected}")
