"""Simulates pools between which a provider moves instances."""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from features.fakes import jobs_crashes
from features.fakes import jobs_simulation
from features.fakes import jobs_worker

POOLS = ("s0", "s1", "s2")
SPARE = "spare"
_MOVE_MS = 1_500
_ANSWER_MS = 50
_LIST_MS = 100
_CALL_TIMEOUT_MS = 1_500
# Share of the orders that get no answer, before or after they are carried out,
# and of those that are refused, in random runs.
_LOST_RATE = 0.1
_REFUSED_RATE = 0.05


class PoolsSimulation(jobs_crashes.CrashingSimulation):
    """Simulation of several pools and a spare one, each with its instances."""

    pools = POOLS

    def __init__(self, seed, members, spare, faults=False, memory_mb=64_000):
        self._moving = {}
        self._answers = []
        self._list_due = None
        self._moves = 0
        # Whether the provider carries out nothing and gives no answer.
        self.is_provider_silent = False
        # Listed capacity as a multiple of that which the workers report.
        self.listed_factor = 1
        super().__init__(seed, workers=0, faults=faults)
        counts = [(pool, members) for pool in self.pools]
        for pool, count in (*counts, (SPARE, spare)):
            for i in range(count):
                name = f"{pool}w{i}"
                labels = ("a" if i % 2 else "b", f"r{i % 3}")
                self.add_worker(name, pool, labels=labels)
                worker = self.workers[name]
                worker.instance = f"m-{name}"
                worker.capacity = specs.Resources(16_000, memory_mb, 0)
        self.put_document(self.build_document(2))
        self.start_leader()

    def build_document(self, version=1, max_attempts=3):
        """Builds a configuration with a queue for each pool."""
        return configuration.Document(
            version,
            tuple(
                configuration.Queue(
                    f"q-{pool}",
                    jobs_simulation.HOST,
                    f"/{pool}/",
                    pool,
                    3_000,
                    3_600.0,
                    1.6,
                    0,
                    max_attempts,
                )
                for pool in self.pools
            ),
            tuple(
                configuration.Service(pool, True, pool == SPARE)
                for pool in (*self.pools, SPARE)
            ),
            (configuration.Team("coach", ("key-coach",), 2.0),),
            b"{}",
        )

    def submit_to(self, pool, job, spec):
        """Submits a job to a pool, again until there is an answer."""
        self.specs[job] = spec
        path = f"/{pool}/{job}"
        call = calls.SubmitJob(
            jobs_simulation.HOST, path, "key-coach", job, spec
        )
        while True:
            answer = self.call(call)
            if answer is not None:
                return answer

    def list_workers(self, pool):
        """Lists the workers of a pool that are up."""
        return [
            worker
            for worker in self.workers.values()
            if worker.service == pool and worker.is_up
        ]

    def start_leader(self):
        """Starts a new leader, to which earlier answers do not come."""
        self._answers = []
        super().start_leader()

    def step(self):
        """Runs one time step, also of the provider."""
        super().step()
        scheduler = self.scheduler
        for answer in [a for a in self._answers if a[0] <= self.now_ms]:
            self._answers.remove(answer)
            scheduler.handle_order_outcome(*answer[1:], self.read_now())
        for order in scheduler.take_orders():
            self._carry_out(order)
        for name, (until_ms, pool, worker) in list(self._moving.items()):
            if self.now_ms < until_ms:
                continue
            del self._moving[name]
            self._moves += 1
            moved = f"{name.removeprefix('m-')}x{self._moves}"
            self.workers[moved] = jobs_worker.SimWorker(
                moved,
                pool,
                worker.capacity,
                worker.labels,
                jobs_simulation.WALL_START_MS + self.now_ms,
                instance=name,
                data_centre=worker.data_centre,
            )
        if scheduler.begin_list_if_due(self.now_ms):
            self._list_due = (self.now_ms, scheduler)
        if self._list_due and self.now_ms - self._list_due[0] >= _LIST_MS:
            asked_ms, asker = self._list_due
            self._list_due = None
            if asker is scheduler:
                scheduler.handle_instance_list(self._list(), asked_ms)
        self.commit()

    def _list(self):
        listed = [
            (w.instance, w.service, instances.InstancePhase.UP, w)
            for w in self.workers.values()
        ]
        listed += [
            (name, pool, instances.InstancePhase.MOVING, worker)
            for name, (_, pool, worker) in self._moving.items()
        ]
        return tuple(
            instances.Instance(
                name,
                pool,
                phase,
                w.data_centre,
                "",
                specs.Resources(
                    w.capacity.cpu_milli * self.listed_factor,
                    w.capacity.memory_mb * self.listed_factor,
                    0,
                ),
                w.labels,
            )
            for name, pool, phase, w in listed
        )

    def _carry_out(self, order):
        outcome = instances.OrderOutcome.DONE
        is_carried_out = True
        if self.is_provider_silent:
            outcome = instances.OrderOutcome.UNKNOWN
            is_carried_out = False
        elif self.faults:
            chance = self.random.random()
            if chance < _LOST_RATE:
                outcome = instances.OrderOutcome.UNKNOWN
                is_carried_out = chance < _LOST_RATE / 2
            elif chance < _LOST_RATE + _REFUSED_RATE:
                outcome = instances.OrderOutcome.OVERLOADED
                is_carried_out = False
        worker = next(
            (w for w in self.workers.values() if w.instance == order.instance),
            None,
        )
        is_able = worker is not None and worker.is_up
        if is_carried_out and not is_able:
            if outcome is instances.OrderOutcome.DONE:
                outcome = instances.OrderOutcome.BUSY
        elif is_carried_out and worker.service != order.pool:
            self.crash(worker)
            del self.workers[worker.name]
            self.crash_at_ms.pop(worker.name, None)
            until_ms = self.now_ms + _MOVE_MS
            self._moving[order.instance] = (until_ms, order.pool, worker)
        delay_ms = _ANSWER_MS
        if outcome is instances.OrderOutcome.UNKNOWN:
            delay_ms = _CALL_TIMEOUT_MS
        self._answers.append((self.now_ms + delay_ms, order, outcome))


def make_spec(source, is_standing):
    """Builds a random job whose tasks need little time but much memory."""
    steps = []
    for i in range(1 if is_standing else source.randrange(1, 4)):
        is_gang = not is_standing and source.random() < 0.2
        step = specs.StepSpec(
            count=source.randrange(1, 6),
            needs=specs.Resources(
                source.randrange(200, 1_500), source.randrange(4_000, 48_000), 0
            ),
            estimate_ms=source.randrange(200, 2_000),
            after=(i - 1,) if i else (),
            max_per_instance=1 if is_standing else source.choice([0, 0, 2]),
            is_gang=is_gang,
            is_standing=is_standing,
        )
        if not (is_standing or is_gang) and source.random() < 0.3:
            step = msgspec.structs.replace(step, label="a")
        steps.append(step)
    return specs.JobSpec("body", tuple(steps))


def simulate(seed):
    """Runs a random simulation and returns the violated guarantees.

    Args:
        seed: Seed of the simulation.

    Returns:
        The violations; among them jobs with tasks that never run, although
        spare instances could hold them.
    """
    simulation = PoolsSimulation(seed, members=3, spare=20, faults=True)
    source = simulation.random
    jobs = {}
    for number in range(30):
        job = f"{number:016x}"
        pool = source.choice(POOLS)
        spec = make_spec(source, is_standing=number in (2, 5))
        answer = simulation.submit_to(pool, job, spec)
        if isinstance(answer, calls.Done):
            jobs[job] = spec
        simulation.advance(1_000)
    simulation.stop_faults()
    simulation.advance(60_000)
    for job, spec in jobs.items():
        record = simulation.scheduler.book.jobs[job]
        expected = specs.JobState.COMPLETED
        if spec.steps[0].is_standing:
            expected = specs.JobState.ACTIVE
            running = sum(
                task.job == job
                for worker in simulation.workers.values()
                for task in worker.running
            )
            if running != spec.steps[0].count:
                simulation.violations.append(
                    f"{job} runs {running} of {spec.steps[0].count} tasks"
                )
        if record.state is not expected:
            simulation.violations.append(f"{job} is {record.state}")
    return simulation.violations
