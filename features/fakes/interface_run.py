"""Runs the random check of the job interface on the scheduler and its log.

A seed gives a list of actions, each with a number from which its details are
drawn, so that a finding can be replayed with fewer of them.
"""

import collections
import dataclasses
import random

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from features.fakes import interface_jobs
from features.fakes import interface_oracle
from features.fakes import interface_provider
from features.fakes import interface_site
from features.fakes import jobs_simulation
from features.fakes import jobs_worker

_WORKERS = 8
# Time that the disturbances last, and after them until all jobs have ended.
SPAN_MS = 12_000
_FAILURE_RATES = (0.0, 0.0, 0.03)
# Members of gangs fail more often, so that some fail together.
_GANG_FAILURES = 5
KINDS = collections.OrderedDict(
    submit=10,
    configure=5,
    ask=6,
    repeat=3,
    count=3,
    cancel=2,
    other_team=2,
    crash=2,
    series=1,
    rack=1,
    cut=2,
    grey=1,
    lose_orders=2,
    noise=2,
    leader=2,
    lose_batch=1,
    snapshot=1,
    hunt=2,
    wave=2,
    ask_wave=2,
    provider=2,
)
# Drawn by themselves beside all others, so that these stay as they are.
IDENTITY_KINDS = collections.OrderedDict(identity=5, other_queue=2, ask=3)
_IDENTITY_ACTIONS = 16


@dataclasses.dataclass(frozen=True)
class Action:
    """Something that happens at a time; `number` gives its details."""

    at_ms: int
    kind: str
    number: int


def draw_actions(seed, kinds=None, span_ms=SPAN_MS):
    """Draws the actions of a seed.

    Args:
        seed: Seed of the simulation.
        kinds: Weight of each kind of action; None for all kinds.
        span_ms: Time over which the actions are spread.
    """
    actions = _draw(random.Random(seed), kinds or KINDS, 60, span_ms)
    if kinds is None:
        source = random.Random(f"identity {seed}")
        actions += _draw(source, IDENTITY_KINDS, _IDENTITY_ACTIONS, span_ms)
    return sorted(actions, key=lambda action: action.at_ms)


def _draw(source, kinds, count, span_ms):
    names = source.choices(list(kinds), list(kinds.values()), k=count)
    times = sorted(source.randrange(span_ms) for _ in names)
    return [
        Action(at_ms, name, source.randrange(2**31))
        for at_ms, name in zip(times, names)
    ]


@dataclasses.dataclass
class Hunt:
    """Ends a worker before an order, and another one soon after the start.

    Attributes:
        is_armed: Whether the next worker with an order to start a run is lost.
        job: Job of that run, until one of its runs has started.
        delay_ms: Time from that start to the crash of its worker.
    """

    is_armed: bool = False
    job: str = ""
    delay_ms: int = 0

    def loses(self, orders):
        """Returns whether a worker is lost with its orders."""
        if not (self.is_armed and orders.starts):
            return False
        self.is_armed = False
        self.job = orders.starts[0].task.job
        return True

    def hits(self, job):
        """Returns whether the worker of a run that starts is to crash."""
        is_hit = job == self.job
        if is_hit:
            self.job = ""
        return is_hit


class InterfaceSimulation(jobs_simulation.JobsSimulation):
    """Simulation whose callers, workers and operators an oracle watches."""

    def __init__(self, seed):
        self.site = interface_site.Site()
        self.oracle = interface_oracle.Oracle(self)
        self.trace = []
        self.reached = collections.Counter()
        self.log = []
        # How the next batch fails: its leader ends before or after the commit.
        self.next_batch = ""
        self.deaf = {}
        self.back_at_ms = {}
        self.healed_at_ms = {}
        self.quiet_at_ms = 0
        # When the disturbances ended.
        self.calm_from_ms = float("inf")
        self.crash_series = []
        self.hunt = Hunt()
        self.provider = interface_provider.Provider(self)
        self._orders = []
        # Tasks of orders that a worker may not have received, by its name.
        self.sent_starts = collections.defaultdict(set)
        super().__init__(seed, workers=0, faults=False)
        for i in range(_WORKERS):
            service = interface_site.SERVICES[i % 2]
            labels = ("ab"[i // 2 % 2], f"r{i % interface_jobs.RACKS}")
            self.add_worker(f"w{i}", service, labels=labels)
        self.start_leader()
        self.failure_rate = self.random.choice(_FAILURE_RATES)

    def note(self, subject, text):
        """Adds a line to the trace."""
        self.trace.append((self.now_ms, subject, text))

    # --- Leaders, the log and snapshots ---

    def build_document(self, version=1, max_attempts=3):
        """Builds the present configuration."""
        self.site.note(self.now_ms)
        return self.site.build_document()

    def _replay(self):
        book = book_snapshot.decode_book(self.committed)
        for payload in self.log:
            for command in commands.decode_batch(payload):
                book.apply(command)
        return book

    def start_leader(self):
        """Starts a leader from the last snapshot and the log after it."""
        self.term += 1
        self.scheduler = job_scheduler.Scheduler(
            self._replay(), self.settings, self.term, self.read_now()
        )
        self.provider.discard_answers()
        self._orders = []
        if self.now_ms >= self.provider.silent_until_ms:
            listed = self.provider.list_instances()
            self.scheduler.handle_instance_list(listed, self.now_ms)

    def commit(self):
        """Appends the batch to the log; False if its answers are lost."""
        batch = self.scheduler.take_batch()
        self.scheduler.take_log_events()
        orders = self.scheduler.take_orders()
        if not batch:
            return True
        failure, self.next_batch = self.next_batch, ""
        if failure != "lost":
            self.log.append(commands.encode_batch(batch))
        if failure:
            self.note("", f"the leader ends; its batch is {failure}")
            self.start_leader()
        else:
            self._orders += orders
        return not failure

    def take_orders(self):
        """Returns the committed orders to the provider and clears them."""
        orders, self._orders = self._orders, []
        return orders

    def take_snapshot(self):
        """Replaces the log by a snapshot of what it leads to."""
        self.committed = book_snapshot.encode_book(self._replay())
        self.log = []

    # --- Time ---

    def inject_fault(self):
        """Injects nothing; faults are actions."""

    def step(self):
        """Runs one time step, with the returns and crashes that are due."""
        if self.now_ms >= self.quiet_at_ms:
            self.faults = False
        for at_ms, name in list(self.crash_series):
            if self.now_ms >= at_ms:
                self.crash_series.remove((at_ms, name))
                self.crash_worker(name, 500)
        for name, at_ms in list(self.back_at_ms.items()):
            if self.now_ms >= at_ms:
                del self.back_at_ms[name]
                self.restart(self.workers[name])
        for name, at_ms in list(self.healed_at_ms.items()):
            if self.now_ms >= at_ms:
                del self.healed_at_ms[name]
                worker = self.workers[name]
                worker.is_cut_off = worker.stalls_runs = False
                worker.fails_runs = False
        super().step()
        self.provider.step()

    def call(self, call):
        """Makes a call; what a worker is told to start may be lost."""
        answer = super().call(call)
        if isinstance(answer, calls.WorkerOrders):
            refs = {order.task for order in answer.starts}
            self.sent_starts[call.life.worker] |= refs
        return answer

    def crash_worker(self, name, down_ms):
        """Crashes a worker, which is back later with the same id."""
        worker = self.workers[name]
        if not worker.is_up:
            return
        self.note("", f"{name} crashes for {down_ms} ms")
        # The leader has not heard of ends that are not acknowledged.
        under = {*worker.running}
        under |= {end.task for end in worker.unacknowledged_ends}
        self.oracle.note_crash(under, self.sent_starts[name])
        self.sent_starts[name] = set()
        for ref in under:
            self.note(ref.job, f"its {ref.position} was on {name}")
        self.crash(worker)
        self.healed_at_ms.pop(name, None)
        self.back_at_ms[name] = self.now_ms + down_ms

    # --- Workers ---

    def apply_orders(self, worker, orders, sent_ms):
        """Applies orders, unless they are lost."""
        if self.hunt.loses(orders):
            self.note("", f"{worker.name} ends before its orders arrive")
            self.crash_worker(worker.name, 800)
            return
        if self.now_ms < self.deaf.get(worker.name, 0):
            worker.next_report_ms = self.now_ms + 200
            return
        if orders.fencing_token >= worker.fencing_token:
            for end in worker.unacknowledged_ends:
                is_noted = end.number <= orders.acknowledged
                if is_noted and end.number > worker.last_lapsed_end:
                    self.oracle.note_acknowledged(end)
        super().apply_orders(worker, orders, sent_ms)
        self.sent_starts[worker.name] = set()

    def start_run(self, worker, order):
        """Starts a run that a worker can start, under the oracle's eyes."""
        ref = order.task
        if ref in worker.running:
            return
        if order.run <= worker.last_runs.get(ref, 0):
            return
        step = None
        if ref.job in self.specs:
            step = self.specs[ref.job].steps[ref.step]
        if step is not None and not self._has_room(worker, step):
            worker.refuse_run(order)
            return
        self.oracle.check_start(worker, order)
        if step is None:
            return
        duration_ms = max(25, step.estimate_ms)
        duration_ms = int(duration_ms * self.random.uniform(0.6, 1.5))
        if step.is_standing:
            duration_ms = 10**9
        rate = self.failure_rate * (_GANG_FAILURES if step.is_gang else 1)
        is_failing = self.random.random() < rate
        how = specs.RunEnd.DONE
        if worker.fails_runs or is_failing:
            how = specs.RunEnd.FAILED
        self.note(ref.job, f"{ref.position} run {order.run} on {worker.name}")
        self.oracle.note_start(ref)
        if self.hunt.hits(ref.job):
            at_ms = self.now_ms + self.hunt.delay_ms
            self.crash_series.append((at_ms, worker.name))
        gang = (*ref[:3], order.run) if step.is_gang else None
        worker.running[ref] = jobs_worker.Run(
            ref,
            order.run,
            self.now_ms + duration_ms,
            how,
            order.saved,
            self.now_ms,
            gang,
            order.saved,
            step.checkpoints,
        )

    def run_gang(self, run):
        """Runs one time step of a gang; if members fail, the others break."""
        members = [
            (worker, other)
            for worker in self.workers.values()
            if worker.is_up
            for other in worker.running.values()
            if other.gang == run.gang
        ]
        count = self.specs[run.task.job].steps[run.task.step].count
        is_over = self.now_ms >= max(other.ends_ms for _, other in members)
        hows = {other.how for _, other in members}
        if not is_over or len(members) < count or len(hows) == 1:
            super().run_gang(run)
            return
        for worker, other in members:
            is_failed = other.how is specs.RunEnd.FAILED
            how = specs.RunEnd.FAILED if is_failed else specs.RunEnd.BROKEN
            self.end_run(worker, other, how)

    def _has_room(self, worker, step):
        used = step.reserved
        for ref in worker.running:
            used += self.specs[ref.job].steps[ref.step].reserved
        return used.fits_in(worker.capacity)

    def end_run(self, worker, run, how):
        """Ends a run."""
        super().end_run(worker, run, how)
        self.oracle.note_end(run.task, run.run, how)
        text = f"{run.task.position} run {run.run} ends {how.value}"
        self.note(run.task.job, text)

    def stop_disturbances(self):
        """Ends all disturbances; workers that are down come back at once."""
        self.note("", "all disturbances end")
        self.calm_from_ms = self.now_ms
        self.next_batch = ""
        self.deaf = {}
        self.crash_series = []
        self.hunt = Hunt()
        self.provider.silent_until_ms = self.provider.slow_until_ms = 0
        self.back_at_ms = {}
        self.healed_at_ms = {}
        for worker in self.workers.values():
            worker.stalls_runs = worker.fails_runs = False
        self.stop_faults()
