"""Simulates workers, callers and leaders around the scheduler, and the time.

Workers hold leases, run tasks, crash and restart; reports are delayed or lost;
leaders change, with or without losing their last batch. Guarantees for jobs are
checked by what the workers do, not by what the job book says.
"""

import random

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from features.fakes import jobs_bounds
from features.fakes import jobs_checks
from features.fakes import jobs_worker

STEP_MS = 25
# Time after which a worker stops waiting for a response and reports again.
RESPONSE_TIMEOUT_MS = 1_000
WALL_START_MS = 1_700_000_000_000
HOST = "jobs.example"


class JobsSimulation:  # pylint: disable=too-many-public-methods
    """State of a simulation, with the guarantees that were violated."""

    settings = jobs_bounds.SETTINGS

    def __init__(self, seed, workers=4, cap_milli=0, faults=True):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        # Amount by which the leader's wall clock is ahead.
        self.wall_ahead_ms = 0
        self.faults = faults
        self.run_duration_ms = None
        self.failure_rate = 0.0
        self.term = 0
        self.workers = {}
        self.acknowledged_tasks = set()
        self.advisor = None
        self.done_runs = set()
        self.starts = []
        self.start_checkpoints = []
        self.violations = []
        self.cap_milli = cap_milli
        self.specs = {}
        self.in_flight = []
        self.complete_gangs = set()
        # Gangs of which members waited in vain for the others.
        self.alone_gangs = set()
        # Data centres whose evacuation has been acknowledged.
        self.evacuated = set()
        self.snapshot_difference = None
        book = job_book.Book()
        self.committed = book_snapshot.encode_book(book)
        self.start_leader()
        self.put_document(self.build_document())
        for i in range(workers):
            self.add_worker(f"w{i}", "pack")

    def build_document(self, version=1, max_attempts=3):
        """Builds a configuration of two queues and two teams."""
        cap = specs.Resources(self.cap_milli, 0, 0)
        return configuration.Document(
            version,
            (
                configuration.Queue(
                    "orders",
                    HOST,
                    "/o/",
                    "pack",
                    3_000,
                    3_600.0,
                    1.6,
                    0,
                    max_attempts,
                    ticket_ms=self.advisor.valid_ms if self.advisor else 0,
                ),
                # Its steps never need the advisor's approval.
                configuration.Queue(
                    "free",
                    HOST,
                    "/free/",
                    "pack",
                    3_000,
                    3_600.0,
                    1.6,
                    0,
                    max_attempts,
                ),
            ),
            (configuration.Service("pack"),),
            (
                configuration.Team("coach", ("key-coach",), 2.0, cap),
                configuration.Team("school", ("key-school",), 1.0, cap),
            ),
            b"{}",
        )

    def add_worker(self, name, service, cpu_milli=16_000, labels=("a", "r1")):
        """Adds a worker."""
        self.workers[name] = jobs_worker.SimWorker(
            name,
            service,
            specs.Resources(cpu_milli, 64_000, 0),
            labels,
            WALL_START_MS + self.now_ms,
        )

    # --- Leaders ---

    def read_now(self):
        """Returns the time on both of the leader's clocks."""
        wall_ms = WALL_START_MS + self.now_ms + self.wall_ahead_ms
        return job_scheduler.Now(self.now_ms, wall_ms)

    def start_leader(self):
        """Starts a new leader from the committed state."""
        self.term += 1
        if self.advisor is not None:
            self.advisor.discard_questions()
        book = book_snapshot.decode_book(self.committed)
        self.scheduler = job_scheduler.Scheduler(
            book, self.settings, self.term, self.read_now()
        )
        self.scheduler.handle_instance_list(
            tuple(
                instances.Instance(
                    f"m-{w.name}",
                    w.service,
                    instances.InstancePhase.UP,
                    w.data_centre,
                )
                for w in self.workers.values()
            ),
            self.now_ms,
        )

    def commit(self):
        """Commits the batch; returns False if it was lost with the leader."""
        batch = self.scheduler.take_batch()
        self.scheduler.take_log_events()
        if batch:
            if self.faults and self.random.random() < 0.004:
                self.start_leader()
                return False
            self.committed = book_snapshot.encode_book(self.scheduler.book)
            jobs_checks.check_batch(self, batch)
        return True

    def call(self, call):
        """Makes a call and returns its answer; None if the leader was lost."""
        answer = self.scheduler.handle(call, self.read_now())
        self.scheduler.plan(self.read_now())
        if not self.commit():
            return None
        return answer()

    def put_document(self, document):
        """Puts a configuration in force."""
        return self.call(calls.PutDocument(document))

    def submit(self, job, spec, key="key-coach"):
        """Submits a job, again until there is an answer."""
        self.specs[job] = spec
        while True:
            answer = self.call(
                calls.SubmitJob(HOST, f"/o/{job}", key, job, spec)
            )
            if answer is not None:
                return answer

    def ask(self, job, key="key-coach"):
        """Requests the state of a job."""
        return self.call(calls.AskJob(HOST, f"/o/{job}", key, job))

    def cancel(self, job, key="key-coach"):
        """Cancels a job."""
        return self.call(calls.CancelJob(HOST, f"/o/{job}", key, job))

    # --- Time ---

    def advance(self, ms):
        """Runs the simulation for some time."""
        for _ in range(ms // STEP_MS):
            self.now_ms += STEP_MS
            self.step()

    def step(self):
        """Runs one time step of the workers, the advisor and the leader."""
        if self.faults:
            self.inject_fault()
        for worker in self.workers.values():
            if worker.is_up:
                self.run_worker(worker)
        due = [d for d in self.in_flight if d[0] <= self.now_ms]
        self.in_flight = [d for d in self.in_flight if d[0] > self.now_ms]
        for _, report in due:
            self.call(report)
        if self.advisor is not None:
            self.advisor.step()
        self.scheduler.tick(self.read_now())
        self.scheduler.plan(self.read_now())
        self.commit()

    def inject_fault(self):
        """Injects no fault or a random one: crash, cut link, new leader."""
        chance = self.random.random()
        worker = self.random.choice(list(self.workers.values()))
        if chance < 0.001:
            self.start_leader()
        elif chance < 0.003:
            self.crash(worker)
        elif chance < 0.005 and not worker.is_up:
            self.restart(worker)
        elif chance < 0.008:
            worker.is_cut_off = not worker.is_cut_off

    def crash(self, worker):
        """Stops a worker and all its runs."""
        worker.is_up = False
        worker.running = {}

    def restart(self, worker):
        """Starts a new incarnation of a worker under the same id."""
        self.workers[worker.name] = jobs_worker.SimWorker(
            worker.name,
            worker.service,
            worker.capacity,
            worker.labels,
            WALL_START_MS + self.now_ms,
            data_centre=worker.data_centre,
        )

    def stop_faults(self):
        """Stops injecting faults, reconnects and restarts all workers."""
        self.faults = False
        self.failure_rate = 0.0
        for worker in list(self.workers.values()):
            worker.is_cut_off = False
            if not worker.is_up:
                self.restart(worker)

    # --- Workers ---

    def run_worker(self, worker):
        """Runs one time step of a worker: ends runs and reports."""
        if self.now_ms >= worker.lease_until_ms:
            for run in list(worker.running.values()):
                self.end_run(worker, run, specs.RunEnd.LAPSED)
            # Ends reported before the lease expired no longer count.
            worker.last_lapsed_end = worker.last_end
        for run in list(worker.running.values()):
            if run.task not in worker.running:
                continue
            if run.gang is not None:
                self.run_gang(run)
                continue
            hangs = worker.stalls_runs or run.task in worker.frozen_percents
            if self.now_ms >= run.ends_ms and not hangs:
                self.end_run(worker, run, run.how)
        if self.now_ms >= worker.next_report_ms:
            self.send_report(worker)

    def run_gang(self, run):
        """Runs one time step of a gang, whose members wait and end together."""
        members = [
            (worker, other)
            for worker in self.workers.values()
            if worker.is_up
            for other in worker.running.values()
            if other.gang == run.gang
        ]
        step = self.specs[run.task.job].steps[run.task.step]
        if len(members) < step.count:
            first_end_ms = min(other.ends_ms for _, other in members)
            if run.gang in self.complete_gangs:
                for worker, other in members:
                    self.end_run(worker, other, specs.RunEnd.BROKEN)
            elif self.now_ms >= first_end_ms + 3_000:
                self.alone_gangs.add(run.gang)
                for worker, other in members:
                    self.end_run(worker, other, specs.RunEnd.ALONE)
            return
        self.complete_gangs.add(run.gang)
        if self.now_ms < max(other.ends_ms for _, other in members):
            return
        for worker, other in members:
            self.end_run(worker, other, run.how)

    def end_run(self, worker, run, how):
        """Ends a run."""
        del worker.running[run.task]
        worker.last_end += 1
        worker.unacknowledged_ends.append(
            calls.ListedEnd(worker.last_end, run.task, run.run, how, run.saved)
        )
        task = run.task
        worker.last_runs[task] = max(worker.last_runs.get(task, 0), run.run)
        if how is specs.RunEnd.DONE:
            self.done_runs.add(
                (run.task, worker.name, worker.born_wall_ms, worker.last_end)
            )
        worker.next_report_ms = min(worker.next_report_ms, self.now_ms + 50)

    def send_report(self, worker):
        """Sends a report; it may be lost or delayed, or its answer lost."""
        sent_ms = self.now_ms
        report = worker.make_report(self.now_ms)
        worker.next_report_ms = self.now_ms + RESPONSE_TIMEOUT_MS
        if worker.is_cut_off:
            return
        if self.faults:
            chance = self.random.random()
            if chance < 0.02:
                return
            if chance < 0.04:
                delay_ms = self.random.randrange(100, 4_000)
                self.in_flight.append((self.now_ms + delay_ms, report))
                return
            if chance < 0.05:
                delay_ms = self.random.randrange(100, 4_000)
                self.in_flight.append((self.now_ms + delay_ms, report))
        answer = self.call(report)
        if self.faults and self.random.random() < 0.02:
            return
        if isinstance(answer, calls.WorkerOrders):
            self.apply_orders(worker, answer, sent_ms)

    def apply_orders(self, worker, orders, sent_ms):
        """Applies orders as a worker does."""
        if orders.fencing_token < worker.fencing_token:
            return
        worker.fencing_token = orders.fencing_token
        worker.next_report_ms = self.now_ms + orders.report_in_ms
        if orders.acknowledged:
            for end in worker.unacknowledged_ends:
                if end.number <= orders.acknowledged:
                    if end.number <= worker.last_lapsed_end:
                        continue
                    if end.how is specs.RunEnd.DONE:
                        self.acknowledged_tasks.add(end.task)
            worker.unacknowledged_ends = [
                end
                for end in worker.unacknowledged_ends
                if end.number > orders.acknowledged
            ]
        if orders.lease_ms:
            worker.lease_until_ms = max(
                worker.lease_until_ms, sent_ms + orders.lease_ms * 1.02
            )
        for task, run in orders.stops:
            found = worker.running.get(task)
            highest = worker.last_runs.get(task, 0)
            worker.last_runs[task] = max(highest, run)
            if found is not None and found.run == run:
                self.end_run(worker, found, specs.RunEnd.STOPPED)
        for task, _, percent in orders.paces:
            worker.paces[task] = percent
        for order in orders.starts:
            self.start_run(worker, order)

    def start_run(self, worker, order):
        """Starts a run and checks the guarantees for it."""
        task = order.task
        last_run = worker.last_runs.get(task, 0)
        if task in worker.running or order.run <= last_run:
            return
        step = self.specs[task.job].steps[task.step]
        job = self.scheduler.book.jobs[task.job]
        if self.advisor is not None and job.queue == "orders":
            receiver = specs.WorkerIncarnation(worker.name, worker.born_wall_ms)
            if not self.advisor.accepts(order.ticket, task[:3], receiver):
                worker.refuse_run(order)
                return
        jobs_checks.check_start(self, worker, order, step)
        duration_ms = self.run_duration_ms or self.random.randrange(200, 2_000)
        how = specs.RunEnd.DONE
        if worker.fails_runs or self.random.random() < self.failure_rate:
            how = specs.RunEnd.FAILED
        self.starts.append((self.now_ms, task, order.run, worker.name))
        if step.is_standing:
            duration_ms = 10**9
        worker.running[task] = jobs_worker.Run(
            task,
            order.run,
            self.now_ms + duration_ms,
            how,
            order.saved,
            self.now_ms,
            (task.job, task.occurrence, task.step, order.run)
            if step.is_gang
            else None,
            order.saved,
            step.checkpoints,
        )
