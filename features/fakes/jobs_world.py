"""Workers, callers and leaders around the pure scheduler, in simulated time.

Workers hold leases, run, end, crash, come back, and report late or in vain;
leaders change, with and without their last batch. The world checks the promises
of jobs from what its workers do, not from what the book says.
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
# A response that takes longer is dropped by the worker.
RESPONSE_MS = 1_000
WALL_START_MS = 1_700_000_000_000
HOST = "jobs.example"


class World:  # pylint: disable=too-many-public-methods
    """Everything, with the checks."""

    settings = jobs_bounds.SETTINGS

    def __init__(self, seed, workers=4, cap_milli=0, faults=True):
        self.random = random.Random(seed)
        self.now_ms = 1_000_000
        # How far the leader's time of day is ahead.
        self.wall_ahead_ms = 0
        self.faults = faults
        self.duration_ms = None
        self.fail_share = 0.0
        self.term = 0
        self.workers = {}
        self.noted = set()
        self.advisor = None
        self.done = set()
        self.starts = []
        self.carried = []
        self.broken = []
        self.cap_milli = cap_milli
        self.specs = {}
        self.deliveries = []
        self.complete = set()
        self.differing = None
        book = job_book.Book()
        self.committed = book_snapshot.encode_book(book)
        self.start_leader()
        self.put_document(self.build_document())
        for i in range(workers):
            self.add_worker(f"w{i}", "pack")

    def build_document(self, version=1, max_attempts=3):
        """Builds the configuration of one queue and two teams."""
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
                # Nothing here ever needs advice.
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
        """Gives the time on both clocks."""
        wall_ms = WALL_START_MS + self.now_ms + self.wall_ahead_ms
        return job_scheduler.Now(self.now_ms, wall_ms)

    def start_leader(self):
        """Lets a new leader start from what is committed."""
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
                    f"m-{w.name}", w.service, instances.InstancePhase.UP, "dc"
                )
                for w in self.workers.values()
            ),
            self.now_ms,
        )

    def commit(self):
        """Commits the batch, or loses it together with the leader."""
        batch = self.scheduler.take_batch()
        self.scheduler.take_log_events()
        if batch:
            if self.faults and self.random.random() < 0.004:
                self.start_leader()
                return False
            self.committed = book_snapshot.encode_book(self.scheduler.book)
            self.check_snapshot()
        return True

    def check_snapshot(self):
        """Checks now and then that a snapshot is the whole book."""
        if self.random.random() < 0.01:
            again = book_snapshot.decode_book(self.committed)
            encoded = book_snapshot.encode_book(again)
            if encoded != self.committed:
                self.broken.append("a restored book differs")
                self.differing = (self.committed, encoded)

    def call(self, call):
        """Makes one call and gives its answer; None when it was lost."""
        answer = self.scheduler.handle(call, self.read_now())
        self.scheduler.plan(self.read_now())
        if not self.commit():
            return None
        return answer()

    def put_document(self, document):
        """Puts a configuration in force."""
        return self.call(calls.PutDocument(document))

    def submit(self, job, spec, key="key-coach"):
        """Hands a job in until it is answered."""
        self.specs[job] = spec
        while True:
            answer = self.call(
                calls.SubmitJob(HOST, f"/o/{job}", key, job, spec)
            )
            if answer is not None:
                return answer

    def ask(self, job, key="key-coach"):
        """Asks for a job's state."""
        return self.call(calls.AskJob(HOST, f"/o/{job}", key, job))

    def cancel(self, job, key="key-coach"):
        """Cancels a job."""
        return self.call(calls.CancelJob(HOST, f"/o/{job}", key, job))

    # --- Time ---

    def advance(self, ms):
        """Lets time pass."""
        for _ in range(ms // STEP_MS):
            self.now_ms += STEP_MS
            self.step()

    def step(self):
        """Lets one step of time pass everywhere."""
        if self.faults:
            self.strike()
        for worker in self.workers.values():
            if worker.is_up:
                self.run_worker(worker)
        late = [d for d in self.deliveries if d[0] <= self.now_ms]
        self.deliveries = [d for d in self.deliveries if d[0] > self.now_ms]
        for _, report in late:
            self.call(report)
        if self.advisor is not None:
            self.advisor.step()
        self.scheduler.tick(self.read_now())
        self.scheduler.plan(self.read_now())
        self.commit()

    def strike(self):
        """Lets one of the troubles happen."""
        chance = self.random.random()
        worker = self.random.choice(list(self.workers.values()))
        if chance < 0.001:
            self.start_leader()
        elif chance < 0.003:
            self.crash(worker)
        elif chance < 0.005 and not worker.is_up:
            self.restart(worker)
        elif chance < 0.008:
            worker.is_cut = not worker.is_cut

    def crash(self, worker):
        """Ends a worker."""
        worker.is_up = False
        worker.running = {}

    def restart(self, worker):
        """Starts a worker again under its id."""
        self.workers[worker.name] = jobs_worker.SimWorker(
            worker.name,
            worker.service,
            worker.capacity,
            worker.labels,
            WALL_START_MS + self.now_ms,
        )

    def calm(self):
        """Ends all troubles."""
        self.faults = False
        self.fail_share = 0.0
        for worker in list(self.workers.values()):
            worker.is_cut = False
            if not worker.is_up:
                self.restart(worker)

    # --- Workers ---

    def run_worker(self, worker):
        """Lets a worker run, end and report."""
        if self.now_ms >= worker.lease_ms:
            for run in list(worker.running.values()):
                self.end_run(worker, run, specs.RunEnd.LAPSED)
            # Ends that were listed before the lease ran out count no more.
            worker.lapsed_end = worker.last_end
        for run in list(worker.running.values()):
            if run.task not in worker.running:
                continue
            if run.gang is not None:
                self.run_gang(run)
                continue
            if self.now_ms >= run.ends_ms and not worker.hangs:
                self.end_run(worker, run, run.how)
        if self.now_ms >= worker.due_ms:
            self.report(worker)

    def run_gang(self, run):
        """Lets the members of a gang wait, end and break together."""
        members = [
            (worker, other)
            for worker in self.workers.values()
            if worker.is_up
            for other in worker.running.values()
            if other.gang == run.gang
        ]
        step = self.specs[run.task.job].steps[run.task.step]
        if len(members) < step.count:
            begun_ms = min(other.ends_ms for _, other in members)
            if run.gang in self.complete:
                for worker, other in members:
                    self.end_run(worker, other, specs.RunEnd.BROKEN)
            elif self.now_ms >= begun_ms + 3_000:
                for worker, other in members:
                    self.end_run(worker, other, specs.RunEnd.ALONE)
            return
        self.complete.add(run.gang)
        if self.now_ms < max(other.ends_ms for _, other in members):
            return
        for worker, other in members:
            self.end_run(worker, other, run.how)

    def end_run(self, worker, run, how):
        """Ends a run."""
        del worker.running[run.task]
        worker.last_end += 1
        worker.finished.append(
            calls.ListedEnd(worker.last_end, run.task, run.run, how, run.saved)
        )
        key = run.task
        worker.highest[key] = max(worker.highest.get(key, 0), run.run)
        if how is specs.RunEnd.DONE:
            self.done.add((run.task, worker.name, worker.born, worker.last_end))
        worker.due_ms = min(worker.due_ms, self.now_ms + 50)

    def report(self, worker):
        """Sends a report, which may be lost, late, or answered in vain."""
        sent_ms = self.now_ms
        report = worker.make_report(self.now_ms)
        worker.due_ms = self.now_ms + RESPONSE_MS
        if worker.is_cut:
            return
        if self.faults:
            chance = self.random.random()
            if chance < 0.02:
                return
            if chance < 0.04:
                delay_ms = self.random.randrange(100, 4_000)
                self.deliveries.append((self.now_ms + delay_ms, report))
                return
            if chance < 0.05:
                delay_ms = self.random.randrange(100, 4_000)
                self.deliveries.append((self.now_ms + delay_ms, report))
        answer = self.call(report)
        if self.faults and self.random.random() < 0.02:
            return
        if isinstance(answer, calls.WorkerOrders):
            self.obey(worker, answer, sent_ms)

    def obey(self, worker, orders, sent_ms):
        """Carries orders out as a worker does."""
        if orders.fencing_token < worker.fence:
            return
        worker.fence = orders.fencing_token
        worker.due_ms = self.now_ms + orders.report_in_ms
        if orders.acknowledged:
            for end in worker.finished:
                if end.number <= orders.acknowledged:
                    if end.number <= worker.lapsed_end:
                        continue
                    if end.how is specs.RunEnd.DONE:
                        self.noted.add(end.task)
            worker.finished = [
                end
                for end in worker.finished
                if end.number > orders.acknowledged
            ]
        if orders.lease_ms:
            worker.lease_ms = max(
                worker.lease_ms, sent_ms + orders.lease_ms * 1.02
            )
        for task, run in orders.stops:
            found = worker.running.get(task)
            highest = worker.highest.get(task, 0)
            worker.highest[task] = max(highest, run)
            if found is not None and found.run == run:
                self.end_run(worker, found, specs.RunEnd.STOPPED)
        for task, _, percent in orders.paces:
            worker.paces[task] = percent
        for order in orders.starts:
            self.start(worker, order)

    def start(self, worker, order):
        """Starts a run and checks that it may start."""
        task = order.task
        if task in worker.running:
            return
        if order.run <= worker.highest.get(task, 0):
            return
        step = self.specs[task.job].steps[task.step]
        job = self.scheduler.book.jobs[task.job]
        if self.advisor is not None and job.queue == "orders":
            life = specs.WorkerIncarnation(worker.name, worker.born)
            if not self.advisor.accepts(order.ticket, task[:3], life):
                worker.refuse(order)
                return
        jobs_checks.check_start(self, worker, order, step)
        length_ms = self.duration_ms or self.random.randrange(200, 2_000)
        how = specs.RunEnd.DONE
        if worker.fails or self.random.random() < self.fail_share:
            how = specs.RunEnd.FAILED
        self.starts.append((self.now_ms, task, order.run, worker.name))
        if step.is_standing:
            length_ms = 10**9
        worker.running[task] = jobs_worker.Run(
            task,
            order.run,
            self.now_ms + length_ms,
            how,
            order.saved,
            self.now_ms,
            (task.job, task.occurrence, task.step, order.run)
            if step.is_gang
            else None,
            order.saved,
            step.checkpoints,
        )
