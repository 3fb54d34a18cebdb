"""Simulates large services: four pools of many workers and a spare one.

All reports of one time step are one batch, whose answers are built once it is
committed.
"""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from features.fakes import jobs_pools
from features.fakes import jobs_simulation
from features.fakes import jobs_watch

SERVICES = ("s0", "s1", "s2", "s3")
TEAMS = ("coach", "school", "club")
# Interval between two checks of what waits.
CHECK_MS = 100
_CAPACITY = specs.Resources(64_000, 262_144, 0)
_UPKEEP_MS = 2_000
_RACK_SIZE = 8


class ScaleSimulation(jobs_pools.PoolsSimulation):
    """Simulation of large pools; reports of one step are one batch."""

    def __init__(self, seed, members, spare, caps=None):
        self._caps = caps or {}
        self._replica = job_book.Book()
        self._replied = []
        self._upkeep_until_ms = {}
        self.lost_order_rate = 0
        self.has_watch = False
        super().__init__(seed, 0, 0)
        self.watch = jobs_watch.Watch(self)
        counts = [(pool, members) for pool in SERVICES]
        for pool, count in (*counts, (jobs_pools.SPARE, spare)):
            for i in range(count):
                name = f"{pool}w{i}"
                labels = ("a", f"{pool}r{i // _RACK_SIZE}")
                self.add_worker(name, pool, labels=labels)
                self.workers[name].instance = f"m-{name}"
                self.workers[name].capacity = _CAPACITY
        self.put_document(self.build_document(3))
        self.start_leader()

    def build_document(self, version=1, max_attempts=3):
        """Builds a configuration with a queue for each service."""
        document = super().build_document(version, max_attempts)
        queue = document.queues[0]
        return msgspec.structs.replace(
            document,
            queues=tuple(
                msgspec.structs.replace(
                    queue,
                    name=f"q-{pool}",
                    path_prefix=f"/{pool}/",
                    service=pool,
                )
                for pool in SERVICES
            ),
            services=tuple(
                configuration.Service(pool, True, pool == jobs_pools.SPARE)
                for pool in (*SERVICES, jobs_pools.SPARE)
            ),
            teams=tuple(
                configuration.Team(
                    team,
                    (f"key-{team}",),
                    1.0,
                    self._caps.get(team, specs.Resources()),
                )
                for team in TEAMS
            ),
        )

    def start_leader(self):
        """Starts a new leader from the committed commands."""
        self._answers = []
        self._replied = []
        self._list_due = None
        self.committed = book_snapshot.encode_book(self._replica)
        self.term += 1
        # Unlike that of small simulations, it has no list of instances yet.
        self.scheduler = job_scheduler.Scheduler(
            book_snapshot.decode_book(self.committed),
            self.settings,
            self.term,
            self.read_now(),
        )

    def commit(self):
        """Commits the batch to the replica."""
        self.events += self.scheduler.take_log_events()
        for command in self.scheduler.take_batch():
            self._replica.apply(command)
        return True

    def list_instances(self):
        """Lists the instances as the provider does; None if it is silent."""
        return self._list()

    def _list(self):
        """Lists the instances, those in upkeep as such."""
        if self.is_provider_silent:
            return None
        listed = super()._list()
        upkeep = instances.InstancePhase.UPKEEP
        return tuple(
            msgspec.structs.replace(entry, phase=upkeep)
            if self._upkeep_until_ms.get(entry.name, 0) > self.now_ms
            else entry
            for entry in listed
        )

    def _carry_out(self, order):
        if self.is_provider_silent or not isinstance(order, instances.Upkeep):
            super()._carry_out(order)
            return
        outcome = instances.OrderOutcome.BUSY
        for worker in list(self.workers.values()):
            if worker.instance != order.instance:
                continue
            until_ms = self._upkeep_until_ms.get(order.instance)
            if until_ms is not None:
                # The upkeep of this wave has been carried out.
                outcome = instances.OrderOutcome.DONE
            elif worker.is_up:
                outcome = instances.OrderOutcome.DONE
                self.crash(worker)
                until_ms = self.now_ms + _UPKEEP_MS
                self._upkeep_until_ms[order.instance] = until_ms
                self.back_at_ms[worker.name] = until_ms
        self._answers.append((self.now_ms + 50, order, outcome))

    def crash_worker(self, worker):
        """Crashes a worker, which is a disturbance."""
        self.watch.note_disturbance()
        super().crash_worker(worker)

    def send_report(self, worker):
        """Sends a report, which is answered at the end of the step."""
        report = worker.make_report(self.now_ms)
        worker.next_report_ms = (
            self.now_ms + jobs_simulation.RESPONSE_TIMEOUT_MS
        )
        if worker.is_cut_off:
            return
        answer = self.scheduler.handle(report, self.read_now())
        self._replied.append((worker, answer, self.now_ms))

    def step(self):
        """Runs one time step; answers reports once their batch is committed."""
        super().step()
        replied, self._replied = self._replied, []
        for worker, answer, sent_ms in replied:
            if self.workers.get(worker.name) is not worker or not worker.is_up:
                continue
            orders = answer()
            if not isinstance(orders, calls.WorkerOrders):
                worker.next_report_ms = self.now_ms + 200
                continue
            if self.random.random() < self.lost_order_rate:
                worker.next_report_ms = self.now_ms + 200
                continue
            self.apply_orders(worker, orders, sent_ms)
        if self.has_watch and self.now_ms % CHECK_MS == 0:
            self.watch.check()

    def submit_as(self, team, pool, job, spec):
        """Submits a job of a team to a pool."""
        self.specs[job] = spec
        call = calls.SubmitJob(
            jobs_simulation.HOST, f"/{pool}/{job}", f"key-{team}", job, spec
        )
        return self.call(call)

    def replace_worker(self, worker, is_renamed):
        """Starts a new life of a worker, under another id if it is renamed."""
        self.crash_at_ms.pop(worker.name, None)
        self.back_at_ms.pop(worker.name, None)
        self.renames = is_renamed
        self.restart(worker)
