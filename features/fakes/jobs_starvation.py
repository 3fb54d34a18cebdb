"""Finds jobs that wait although free workers have room for them."""

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_crashes

_WORKERS = 18
_ARRIVALS_MS = 4_000
_SPAN_MS = 60_000
_CHECK_MS = 250
# A job may have no task at work for this long while there is room for two.
_MAX_IDLE_MS = 3_000


def make_spec(source):
    """Builds a job of one to three steps of short tasks."""
    steps = []
    for i in range(source.choice([1, 1, 2, 2, 3])):
        steps.append(
            specs.StepSpec(
                count=source.randrange(1, 14),
                needs=specs.Resources(
                    source.randrange(2_000, 9_000),
                    source.randrange(4_000, 30_000),
                    0,
                ),
                estimate_ms=800,
                after=(i - 1,) if i else (),
                allows_copies=source.random() < 0.3,
            )
        )
    return specs.JobSpec("body", tuple(steps))


class _Watch:
    """Measures for how long jobs wait beside free room."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._idle_ms = {}
        self.starved = set()

    def check(self):
        """Checks all open jobs; to be called at a fixed interval."""
        simulation = self._simulation
        book = simulation.scheduler.book
        at_work = {
            ref.job for runs in book.assigned_runs.values() for ref in runs
        }
        rooms = self._measure_rooms()
        is_half_used = 2 * sum(r.cpu_milli for r in rooms) < sum(
            w.capacity.cpu_milli for w in simulation.workers.values() if w.is_up
        )
        for job in book.jobs.values():
            steps = [
                step.spec
                for step in job.steps.values()
                if step.waiting and not step.unfinished_dependencies
            ]
            if not job.is_open or job.job_id in at_work or not steps:
                self._idle_ms.pop(job.job_id, None)
                continue
            room = sum(steps[0].reserved.count_in(r, 2) for r in rooms)
            if room < 2 or is_half_used:
                self._idle_ms.pop(job.job_id, None)
                continue
            idle_ms = self._idle_ms.get(job.job_id, 0) + _CHECK_MS
            self._idle_ms[job.job_id] = idle_ms
            if idle_ms > _MAX_IDLE_MS:
                self.starved.add(job.job_id)

    def _measure_rooms(self):
        rooms = []
        for worker in self._simulation.workers.values():
            if not worker.is_up:
                continue
            room = worker.capacity
            for task in worker.running:
                spec = self._simulation.specs[task.job].steps[task.step]
                room = room - spec.reserved
            rooms.append(room)
        return rooms


def simulate(seed, jobs, deadly_share):
    """Runs a peak of jobs of which some crash their workers.

    Args:
        seed: Seed of the simulation.
        jobs: Number of jobs.
        deadly_share: Share of the jobs with a task that crashes its workers.

    Returns:
        Jobs that waited too long beside free room, and the jobs that are open
        at the end.
    """
    simulation = jobs_crashes.CrashingSimulation(seed, _WORKERS, racks=5)
    source = simulation.random
    for worker in simulation.workers.values():
        worker.capacity = specs.Resources(64_000, 262_144, 0)
    simulation.down_ms = 3_300
    watch = _Watch(simulation)
    end_ms = simulation.now_ms + _SPAN_MS
    arrivals_ms = sorted(
        simulation.now_ms + source.randrange(_ARRIVALS_MS) for _ in range(jobs)
    )
    accepted = []
    while simulation.now_ms < end_ms:
        while arrivals_ms and simulation.now_ms >= arrivals_ms[0]:
            del arrivals_ms[0]
            job = f"{len(simulation.specs):016x}"
            spec = make_spec(source)
            if not isinstance(simulation.submit(job, spec), calls.Done):
                continue
            accepted.append(job)
            if source.random() < deadly_share:
                step = source.randrange(len(spec.steps))
                index = source.randrange(spec.steps[step].count)
                simulation.deadly.add(specs.TaskRef(job, 0, step, index))
        simulation.advance(_CHECK_MS)
        watch.check()
    book = simulation.scheduler.book
    return watch.starved, [job for job in accepted if book.jobs[job].is_open]
