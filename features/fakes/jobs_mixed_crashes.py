"""Simulates deadly tasks while workers also crash, shrink and miss orders.

Leaders change, workers crash by other causes and are cut off, answers are lost,
and workers refuse what no longer fits. A sound job may then be given up, but
only if two workers have crashed while its task ran there.
"""

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_crashes

_SHRINK_RATE = 0.01
_LOST_ANSWERS = 0.05
_JOBS = 30
_DEADLY_SHARE = 0.12
_NEW_LEADERS = 0.1
_SETTLE_MS = 60_000
# Crashes under a task after which its job may be given up.
_MIN_CRASHES = 2


class MixedSimulation(jobs_crashes.CrashingSimulation):
    """Simulation of deadly tasks among other faults."""

    def __init__(self, seed, workers, racks):
        # Full capacity of each worker that has shrunk, by its first name.
        self.full = {}
        # Tasks that ran on each worker that crashed.
        self.crashed_under = []
        self.is_random = True
        super().__init__(seed, workers, racks, faults=True)

    def crash(self, worker):
        """Stops a worker and notes what ran on it."""
        self.crashed_under.append(tuple(worker.running))
        super().crash(worker)

    def restart(self, worker):
        """Starts a new incarnation; a crash that was due is dropped."""
        self.back_at_ms.pop(worker.name, None)
        self.crash_at_ms.pop(worker.name, None)
        super().restart(worker)

    def step(self):
        """Runs one time step; the capacity of a worker may change."""
        if self.is_random and self.random.random() < _SHRINK_RATE:
            name = self.random.choice(list(self.workers))
            share = self.random.choice([0.3, 0.55, 0.55, 1.0])
            self.set_capacity(self.workers[name], share)
        super().step()

    def set_capacity(self, worker, share):
        """Sets the capacity of a worker to a share of its full one."""
        first_name = worker.name.partition("-")[0]
        full = self.full.setdefault(first_name, worker.capacity)
        worker.capacity = specs.Resources(
            int(full.cpu_milli * share), int(full.memory_mb * share), 0
        )

    def apply_orders(self, worker, orders, sent_ms):
        """Applies orders unless they are lost on their way."""
        if self.is_random and self.random.random() < _LOST_ANSWERS:
            worker.next_report_ms = self.now_ms + 200
            return
        super().apply_orders(worker, orders, sent_ms)

    def start_run(self, worker, order):
        """Starts a run; the worker refuses one that does not fit."""
        task = order.task
        is_new = order.run > worker.last_runs.get(task, 0)
        if is_new and task not in worker.running:
            used = self.specs[task.job].steps[task.step].reserved
            for run in worker.running.values():
                used += self.specs[run.task.job].steps[run.task.step].reserved
            if not used.fits_in(worker.capacity):
                worker.refuse_run(order)
                return
        super().start_run(worker, order)

    def stop_faults(self):
        """Stops all faults but the crashes by deadly tasks."""
        self.is_random = False
        super().stop_faults()
        for worker in self.workers.values():
            self.set_capacity(worker, 1.0)

    def count_crashes_under(self, job, position):
        """Counts the workers that crashed while a task ran there."""
        return sum(
            any((t.job, t.position) == (job, position) for t in tasks)
            for tasks in self.crashed_under
        )


def simulate(seed, span_ms=30_000):
    """Runs a random simulation and returns the violated guarantees.

    Args:
        seed: Seed of the simulation.
        span_ms: Time during which jobs are submitted and faults are injected.
    """
    simulation = MixedSimulation(seed, workers=8, racks=2)
    source = simulation.random
    simulation.renames = source.random() < 0.7
    simulation.down_ms = source.choice([1_000, 3_000, 6_000])
    simulation.crash_delay_ms = source.choice([25, 100, 400])
    deadly_jobs = set()
    jobs = []
    for number in range(_JOBS):
        job = f"{number:016x}"
        kind = source.choice(["plain"] * 3 + ["gang", "standing", "copies"])
        spec = _make_spec(source, kind)
        if not isinstance(simulation.submit(job, spec), calls.Done):
            continue
        jobs.append(job)
        if source.random() < _DEADLY_SHARE:
            step = source.randrange(len(spec.steps))
            index = source.randrange(spec.steps[step].count)
            simulation.deadly.add(specs.TaskRef(job, 0, step, index))
            deadly_jobs.add(job)
        simulation.advance(span_ms // _JOBS)
        if source.random() < _NEW_LEADERS:
            simulation.start_leader()
    simulation.stop_faults()
    simulation.advance(_SETTLE_MS)
    _check_ends(simulation, jobs, deadly_jobs)
    return simulation.violations


def _make_spec(source, kind):
    """Builds a job of one to three steps; one step for the special kinds."""
    if kind != "plain":
        return jobs_crashes.make_spec(source, kind)
    steps = []
    for i in range(source.randrange(1, 4)):
        is_gang = source.random() < 0.2
        most_milli = 2_500 if is_gang else 4_000
        steps.append(
            specs.StepSpec(
                count=source.randrange(1, 8),
                needs=specs.Resources(
                    source.randrange(500, most_milli),
                    source.randrange(100, 4_000),
                    0,
                ),
                estimate_ms=source.randrange(200, 2_000),
                after=(i - 1,) if i else (),
                checkpoints=source.random() < 0.5,
                max_per_instance=source.choice([0, 0, 2]),
                is_gang=is_gang,
                allows_copies=not is_gang and source.random() < 0.2,
            )
        )
    return specs.JobSpec("body", tuple(steps))


def _check_ends(simulation, jobs, deadly_jobs):
    """Checks that deadly jobs were given up, and sound ones only for cause."""
    given_up = {
        event["job"]: event["task"]
        for event in simulation.get_events("job_given_up")
    }
    for job in jobs:
        state = simulation.ask(job).state
        if job in deadly_jobs:
            expected = specs.JobState.FAILED
        elif simulation.specs[job].steps[0].is_standing:
            expected = specs.JobState.ACTIVE
        else:
            expected = specs.JobState.COMPLETED
        if state is expected:
            continue
        crashes = 0
        if job not in deadly_jobs and job in given_up:
            crashes = simulation.count_crashes_under(job, given_up[job])
        if crashes < _MIN_CRASHES:
            simulation.violations.append(
                f"{job} is {state}, not {expected}; {crashes} workers have"
                " crashed under it"
            )
