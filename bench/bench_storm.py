"""Measures the scheduler's processor time in a storm of crashes.

Jobs arrive faster than the fleet can run them, and a fifth of them have a task
that crashes each worker that starts it. Most are of one service. The leader
handles the reports of all workers and plans once in each turn of 25 ms; only
its own work is measured. The bound of a plan is the length of a turn.
"""

import time

from bambookeel.configuration import document as configuration
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import specs
from bench import lines
from features.fakes import jobs_pools
from features.fakes import jobs_simulation
from features.fakes import jobs_starvation

_POOLS = ("s0", "s1", "s2", "s3")
_SPARE_SHARE = 0.1
# Share of the jobs that are of the first service.
_MAIN_SHARE = 0.7
_DEADLY_SHARE = 0.2
_JOBS_PER_WORKER = 10
_ARRIVALS_MS = 4_000
_SPAN_MS = 10_000
_CAPACITY = specs.Resources(64_000, 262_144, 0)
_DOWN_MS = 5_000
# A job may take this long and is still admitted.
_OBJECTIVE_MS = 60_000.0


class StormSimulation(jobs_pools.PoolsSimulation):
    """Simulation of a storm, in which a leader's turn takes 25 ms.

    Attributes:
        plan_ms: Processor time of each plan.
        report_ms: Processor time of each report, with the answer.
        tick_ms: Processor time of each tick.
        call_ms: Processor time of each call of a caller.
    """

    pools = _POOLS

    def __init__(self, seed, workers):
        self.plan_ms = []
        self.report_ms = []
        self.tick_ms = []
        self.call_ms = []
        self._answers_due = []
        spare = int(workers * _SPARE_SHARE)
        members = (workers - spare) // len(_POOLS)
        super().__init__(seed, members, spare)
        self.down_ms = _DOWN_MS
        for worker in self.workers.values():
            worker.capacity = _CAPACITY

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
                    _OBJECTIVE_MS,
                    1.6,
                    0,
                    max_attempts,
                )
                for pool in _POOLS
            ),
            tuple(
                configuration.Service(pool, True, pool == jobs_pools.SPARE)
                for pool in (*_POOLS, jobs_pools.SPARE)
            ),
            (configuration.Team("coach", ("key-coach",), 2.0),),
            b"{}",
        )

    def start_leader(self):
        """Starts a new leader and measures its processor time."""
        if self.term:
            self.committed = book_snapshot.encode_book(self.scheduler.book)
        super().start_leader()
        scheduler = self.scheduler
        scheduler.tick = _measure(scheduler.tick, self.tick_ms)
        scheduler.plan = _measure(scheduler.plan, self.plan_ms)

    def send_report(self, worker):
        """Sends a report, which is answered at the end of the turn."""
        report = worker.make_report(self.now_ms)
        worker.next_report_ms = (
            self.now_ms + jobs_simulation.RESPONSE_TIMEOUT_MS
        )
        handle = _measure(self.scheduler.handle, self.report_ms)
        answer = _measure(handle(report, self.read_now()), self.report_ms)
        self._answers_due.append((worker, answer, self.now_ms))

    def call(self, call):
        """Makes a call of a caller and returns its answer."""
        handle = _measure(self.scheduler.handle, self.call_ms)
        answer = handle(call, self.read_now())
        self.commit()
        return answer()

    def commit(self):
        """Commits the batch and answers the reports of the turn."""
        self.scheduler.take_batch()
        self.events += self.scheduler.take_log_events()
        due = self._answers_due
        self._answers_due = []
        for worker, answer, sent_ms in due:
            orders = answer()
            if isinstance(orders, calls.WorkerOrders):
                self.apply_orders(worker, orders, sent_ms)
        return True

    def run(self, jobs, span_ms):
        """Submits jobs for some seconds and runs the simulation.

        Args:
            jobs: Number of jobs.
            span_ms: Simulated time.

        Yields:
            Nothing, after each turn.
        """
        source = self.random
        arrivals_ms = sorted(
            source.randrange(_ARRIVALS_MS) for _ in range(jobs)
        )
        begun_ms = self.now_ms
        while self.now_ms < begun_ms + span_ms:
            while arrivals_ms and self.now_ms - begun_ms >= arrivals_ms[0]:
                del arrivals_ms[0]
                self._submit_next()
            self.advance(jobs_simulation.STEP_MS)
            yield

    def _submit_next(self):
        source = self.random
        job = f"{len(self.specs):016x}"
        spec = jobs_starvation.make_spec(source)
        pool = _POOLS[0]
        if source.random() >= _MAIN_SHARE:
            pool = source.choice(_POOLS[1:])
        self.submit_to(pool, job, spec)
        if source.random() < _DEADLY_SHARE:
            step = source.randrange(len(spec.steps))
            index = source.randrange(spec.steps[step].count)
            self.deadly.add(specs.TaskRef(job, 0, step, index))


def _measure(function, took_ms):
    def run(*arguments):
        started_s = time.process_time()
        result = function(*arguments)
        took_ms.append((time.process_time() - started_s) * 1_000)
        return result

    return run


def measure():
    """Measures a storm on fleets of several sizes.

    Yields:
        Result lines.
    """
    for workers in (40, 180, 300):
        storm = StormSimulation(1, workers)
        parts = {
            "plans": storm.plan_ms,
            "reports": storm.report_ms,
            "ticks": storm.tick_ms,
            "calls": storm.call_ms,
        }
        for times in parts.values():
            times.clear()
        ready = 0
        silent = 0
        suspects = 0
        for _ in storm.run(workers * _JOBS_PER_WORKER, _SPAN_MS):
            book = storm.scheduler.book
            ready = max(ready, sum(map(len, book.ready.values())))
            silent = max(silent, len(book.crashes.silent_workers))
            suspects = max(suspects, len(book.crashes.suspects))
        size = {"workers": workers}
        plans = storm.plan_ms
        yield lines.render_line(
            "storm",
            "mean_ms_a_plan",
            sum(plans) / len(plans),
            float(jobs_simulation.STEP_MS),
            **size,
            worst_ms=f"{max(plans):.4g}",
            plans=len(plans),
            ready_steps=ready,
            silent_workers=silent,
            suspects=suspects,
            crashes=len(storm.crashes),
        )
        # A report is measured in two parts.
        reports = len(storm.report_ms) // 2
        yield lines.render_line(
            "storm",
            "mean_ms_a_report",
            sum(storm.report_ms) / reports,
            **size,
            worst_ms=f"{max(storm.report_ms):.4g}",
            reports=reports,
        )
        shares = {part: sum(times) / _SPAN_MS for part, times in parts.items()}
        yield lines.render_line(
            "storm",
            "processor_s_a_s",
            sum(shares.values()),
            **size,
            **{part: f"{share:.4g}" for part, share in shares.items()},
        )
