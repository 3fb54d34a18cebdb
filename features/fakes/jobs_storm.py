"""Simulates a burst of jobs of which many crash their workers.

The jobs are of one class. All reports of one time step are one batch, whose
answers are built once it is committed.
"""

import collections
import dataclasses
import math
import random
import statistics

import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import objectives
from bambookeel.jobs import specs
from features.fakes import jobs_crashes
from features.fakes import jobs_simulation
from features.fakes import jobs_watch

CAPACITY = specs.Resources(64_000, 262_144, 0)
# Mean work of a job, in cores times seconds: 1.6 steps of 8 tasks.
_MEAN_WORK = 1.6 * 8 * 0.8 * 6.2
_BURST_MS = 5_000
_SPAN_MS = 25_000
_CHECK_MS = 100
_LOW_MS = 3_000
_RACK_SIZE = 8
_DOWN_MS = 3_300
# Time from a report to the receipt of its answer by a leader under load.
_TRANSIT_MS = 150
_OBJECTIVE_MS = 3_600.0


@dataclasses.dataclass
class Result:
    """What a storm did to its jobs and workers.

    Attributes:
        sent: Sound jobs that were submitted.
        sound: Those that were admitted.
        refused: Jobs that were not admitted, deadly ones too.
        in_time: Sound jobs that ended within their objective.
        late: Further ones that ended within three times their objective.
        ended: Sound jobs that ended at any time.
        deadly: Deadly jobs that were admitted.
        deadly_given_up: Deadly jobs that were given up.
        sound_given_up: Sound jobs that were given up.
        crashes: Crashes of workers.
        jobs_a_crash: Median number of jobs whose tasks a crash ends.
        most_jobs_a_crash: Its 90th percentile.
        used: Share of the live workers' cores in use while steps wait.
        least_used: Its lowest mean over 3 s.
        starved: What the watch found.
    """

    sent: int = 0
    sound: int = 0
    refused: int = 0
    in_time: int = 0
    late: int = 0
    ended: int = 0
    deadly: int = 0
    deadly_given_up: int = 0
    sound_given_up: int = 0
    crashes: int = 0
    jobs_a_crash: float = 0.0
    most_jobs_a_crash: int = 0
    used: float = 0.0
    least_used: float = 0.0
    starved: list = dataclasses.field(default_factory=list)


class StormSimulation(jobs_crashes.CrashingSimulation):
    """Simulation of a storm, watched for jobs that wait beside room."""

    def __init__(self, seed, workers):
        self._replied = []
        self._sent = collections.deque()
        self.jobs_under = []
        self.use = []
        self.low_use = collections.deque(maxlen=_LOW_MS // _CHECK_MS)
        self.least_used = 1.0
        super().__init__(seed, workers=0)
        self.down_ms = _DOWN_MS
        for i in range(workers):
            labels = ("a", f"r{i // _RACK_SIZE}")
            self.add_worker(f"w{i}", "pack", labels=labels)
            self.workers[f"w{i}"].capacity = CAPACITY
        self.watch = jobs_watch.Watch(self)

    def build_document(self, version=1, max_attempts=3):
        """Builds a configuration whose objectives are of some seconds."""
        document = super().build_document(version, max_attempts)
        return msgspec.structs.replace(
            document,
            queues=tuple(
                msgspec.structs.replace(queue, objective_ms=_OBJECTIVE_MS)
                for queue in document.queues
            ),
        )

    def commit(self):
        """Commits the batch, of which no snapshot is kept."""
        self.events += self.scheduler.take_log_events()
        self.scheduler.take_batch()
        return True

    def call(self, call):
        """Makes a call and returns its answer; the next step plans."""
        answer = self.scheduler.handle(call, self.read_now())
        self.commit()
        return answer()

    def send_report(self, worker):
        """Sends a report, which is answered at the end of the step."""
        report = worker.make_report(self.now_ms)
        worker.next_report_ms = (
            self.now_ms + jobs_simulation.RESPONSE_TIMEOUT_MS
        )
        answer = self.scheduler.handle(report, self.read_now())
        self._replied.append((worker, answer, self.now_ms))

    def crash_worker(self, worker):
        """Crashes a worker and notes how many jobs had tasks on it."""
        self.watch.note_disturbance()
        self.jobs_under.append(len({task.job for task in worker.running}))
        super().crash_worker(worker)

    def step(self):
        """Runs one time step and answers its reports."""
        super().step()
        replied, self._replied = self._replied, []
        self._sent += [(w, answer(), sent_ms) for w, answer, sent_ms in replied]
        while self._sent and self._sent[0][2] <= self.now_ms - _TRANSIT_MS:
            worker, orders, sent_ms = self._sent.popleft()
            if worker.is_up and isinstance(orders, calls.WorkerOrders):
                self.apply_orders(worker, orders, sent_ms)
        if self.now_ms % _CHECK_MS == 0:
            self.watch.check()
            self._measure_use()

    def _measure_use(self):
        if not any(self.scheduler.book.ready.values()):
            self.low_use.clear()
            return
        total = used = 0
        for worker in self.workers.values():
            if not worker.is_up:
                continue
            total += worker.capacity.cpu_milli
            used += sum(
                self.specs[task.job].steps[task.step].needs.cpu_milli
                for task in worker.running
            )
        share = used / total if total else 0.0
        self.use.append(share)
        self.low_use.append(share)
        if len(self.low_use) == self.low_use.maxlen:
            mean = statistics.fmean(self.low_use)
            self.least_used = min(self.least_used, mean)


def make_spec(source):
    """Builds a job of one or two steps of about 8 tasks."""

    def draw(mean, spread, least, most):
        mu = math.log(mean) - spread * spread / 2
        return min(most, max(least, source.lognormvariate(mu, spread)))

    steps = []
    for i in range(source.choice([1, 1, 2, 2, 2])):
        cpu_milli = int(draw(6_200, 0.45, 3_000, 12_000))
        memory_mb = int(draw(13_000, 0.6, 2_000, 38_000))
        steps.append(
            specs.StepSpec(
                count=round(draw(8, 0.6, 3, 20)),
                needs=specs.Resources(cpu_milli, memory_mb, 0),
                estimate_ms=800,
                after=(i - 1,) if i else (),
                allows_copies=source.random() < 0.3,
            )
        )
    return specs.JobSpec("body", tuple(steps))


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job that is submitted.

    Attributes:
        at_ms: Time since the beginning of the storm.
        spec: Its specification.
        deadly_task: Step and index of the task that crashes its workers; None
            for a sound job.
    """

    at_ms: int
    spec: specs.JobSpec
    deadly_task: tuple[int, int] | None


def draw_arrivals(seed, workers, deadly_share, load):
    """Draws the jobs of a storm, in the order in which they arrive."""
    source = random.Random(seed)
    cores = workers * CAPACITY.cpu_milli / 1_000
    count = round(load * cores / _MEAN_WORK * _BURST_MS / 1_000)
    arrivals = []
    for _ in range(count):
        spec = make_spec(source)
        step = source.randrange(len(spec.steps))
        task = (step, source.randrange(spec.steps[step].count))
        is_deadly = source.random() < deadly_share
        at_ms = source.randrange(_BURST_MS)
        arrivals.append(Arrival(at_ms, spec, task if is_deadly else None))
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def simulate(seed, workers, deadly_share, load=3.0):
    """Runs a storm and some quiet seconds after it.

    Args:
        seed: Seed of the simulation.
        workers: Number of workers.
        deadly_share: Share of the jobs with a task that crashes its workers.
        load: Arriving work as a multiple of what the workers hold.

    Returns:
        The result.
    """
    arrivals = collections.deque(
        draw_arrivals(seed, workers, deadly_share, load)
    )
    simulation = StormSimulation(seed, workers)
    simulation.advance(2_000)
    begun_ms = simulation.now_ms
    deadly = set()
    sound = set()
    result = Result(sent=sum(a.deadly_task is None for a in arrivals))
    while simulation.now_ms < begun_ms + _SPAN_MS:
        while arrivals and simulation.now_ms >= begun_ms + arrivals[0].at_ms:
            arrival = arrivals.popleft()
            job = f"{len(simulation.specs):016x}"
            answer = simulation.submit(job, arrival.spec)
            if not isinstance(answer, calls.Done):
                result.refused += 1
            elif arrival.deadly_task is None:
                sound.add(job)
            else:
                deadly.add(job)
                simulation.deadly.add(
                    specs.TaskRef(job, 0, *arrival.deadly_task)
                )
        simulation.advance(jobs_simulation.STEP_MS)
    _count_ends(simulation, sound, result)
    given_up = {e["job"] for e in simulation.get_events("job_given_up")}
    result.sound, result.deadly = len(sound), len(deadly)
    result.deadly_given_up = len(given_up & deadly)
    result.sound_given_up = len(given_up & sound)
    result.crashes = len(simulation.crashes)
    taken = sorted(simulation.jobs_under)
    if taken:
        result.jobs_a_crash = statistics.median(taken)
        result.most_jobs_a_crash = taken[int(0.9 * (len(taken) - 1))]
    if simulation.use:
        result.used = statistics.fmean(simulation.use)
    result.least_used = simulation.least_used
    result.starved = list(simulation.watch.violations.values())
    return result


def _count_ends(simulation, sound, result):
    book = simulation.scheduler.book
    for event in simulation.get_events("job_ended"):
        job = event["job"]
        if job not in sound or event["state"] != specs.JobState.COMPLETED.value:
            continue
        result.ended += 1
        objective_ms = objectives.compute_objective_ms(
            book.find_queue(book.jobs[job].queue), simulation.specs[job]
        )
        if event["took_ms"] <= objective_ms:
            result.in_time += 1
        elif event["took_ms"] <= objectives.USEFUL_FACTOR * objective_ms:
            result.late += 1
