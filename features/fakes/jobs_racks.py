"""Simulates workers in racks, and tasks that take longer away from theirs."""

import dataclasses
import random

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_bounds
from features.fakes import jobs_simulation

REMOTE_FACTOR = 2.0


def make_settings(remote_factor):
    """Builds scheduler settings with a factor for remote racks."""
    return dataclasses.replace(
        jobs_bounds.SETTINGS, remote_factor=float(remote_factor)
    )


class RackSimulation(jobs_simulation.JobsSimulation):
    """Simulation without random faults, in which racks matter.

    A task takes a time that depends only on the seed and on the task, times
    the factor if it runs in another rack than its data, or if its group is on
    several racks.
    """

    def __init__(self, seed, racks, workers_a_rack, remote_factor=2.0):
        self.settings = make_settings(remote_factor)
        self.remote_factor = remote_factor
        self.seed = seed
        # Real run times, by task; others take their estimate.
        self.durations_ms = {}
        self.racks_of_runs = {}
        self.log_events = []
        super().__init__(seed, workers=0, faults=False)
        for i in range(racks * workers_a_rack):
            cpu_milli = 64_000 if i % 2 else 32_000
            self.add_rack_worker(f"w{i}", f"r{i % racks}", cpu_milli)

    def add_rack_worker(self, name, rack, cpu_milli=32_000):
        """Adds a worker in a rack."""
        self.add_worker(name, "pack", cpu_milli, ("a", rack))

    def commit(self):
        """Commits the batch; the book is encoded only for a new leader."""
        self.scheduler.take_batch()
        self.log_events += [
            (self.now_ms, event, fields)
            for event, fields in self.scheduler.take_log_events()
        ]
        return True

    def change_leader(self):
        """Starts a new leader from the book of the last one."""
        self.committed = book_snapshot.encode_book(self.scheduler.book)
        self.start_leader()

    def get_duration_ms(self, task, step):
        """Returns the run time of a task in its rack."""
        known = self.durations_ms.get(task.job)
        if known is not None:
            return known
        source = random.Random(f"{self.seed}-{task}")
        return step.estimate_ms * source.uniform(0.7, 1.4)

    def start_run(self, worker, order):
        """Starts a run, which takes longer in another rack than its data."""
        known = worker.running.get(order.task)
        super().start_run(worker, order)
        run = worker.running.get(order.task)
        if run is None or run is known:
            return
        step = self.specs[order.task.job].steps[order.task.step]
        rack = worker.labels[-1]
        if step.is_standing:
            return
        duration_ms = self.get_duration_ms(order.task, step)
        key = (order.task[:3], order.run if step.is_gang else 0)
        racks = self.racks_of_runs.setdefault(key, set())
        racks.add(rack)
        is_spread = step.wants_one_rack and len(racks) > 1
        if is_spread or (step.data_rack and step.data_rack != rack):
            duration_ms *= self.remote_factor
        run.ends_ms = self.now_ms + duration_ms
        if is_spread and step.is_gang:
            for other in self.workers.values():
                for each in other.running.values():
                    if each.gang == run.gang:
                        each.ends_ms = max(each.ends_ms, run.ends_ms)

    def list_events(self, name):
        """Lists the fields of the log events of a name."""
        return [fields for _, event, fields in self.log_events if event == name]


@dataclasses.dataclass(frozen=True)
class Load:
    """A load of jobs.

    Attributes:
        jobs_a_second: Mean number of jobs that arrive in a second.
        hot_share: Share of the jobs whose data is in one rack.
        data_share: Share of the jobs that name a rack.
        gang_share: Share of the jobs that are gangs for one rack.
        racks: Number of racks.
    """

    jobs_a_second: float
    hot_share: float = 0.0
    data_share: float = 0.7
    gang_share: float = 0.15
    racks: int = 12

    def make_spec(self, source):
        """Builds a job of one or two steps."""
        kind = source.random()
        data_rack = ""
        is_gang = False
        if kind < self.data_share:
            data_rack = f"r{source.randrange(self.racks)}"
            if source.random() < self.hot_share:
                data_rack = "r0"
        elif kind < self.data_share + self.gang_share:
            is_gang = True
        needs = specs.Resources(source.randrange(3_000, 13_001), 2_000, 0)
        steps = [
            specs.StepSpec(
                8,
                needs,
                source.randrange(700, 2_101),
                after=(i - 1,) if i else (),
                is_gang=is_gang,
                wants_one_rack=is_gang,
                data_rack=data_rack,
            )
            for i in range(source.choice([1, 2]))
        ]
        return specs.JobSpec("body", tuple(steps))


class LoadRun:
    """Jobs that arrive at random, and when they complete."""

    def __init__(self, simulation, load, seconds, seed):
        self.simulation = simulation
        self.load = load
        self.seconds = seconds
        self.source = random.Random(seed)
        self.refused = 0
        self.submitted_ms = {}
        self.taken_ms = {}
        self.objective_ms = {}

    def run(self):
        """Runs until all jobs have completed, or for 30 s after the last."""
        simulation = self.simulation
        # The first second of a term lets nothing wait.
        simulation.advance(1_500)
        next_ms = simulation.now_ms
        end_ms = next_ms + self.seconds * 1_000
        number = 0
        while simulation.now_ms < end_ms + 30_000:
            while next_ms <= simulation.now_ms < end_ms:
                self._submit(f"{number:016x}")
                number += 1
                rate = self.load.jobs_a_second
                next_ms += 1_000 * self.source.expovariate(rate)
            simulation.advance(jobs_simulation.STEP_MS)
            self._note_completed()
            if simulation.now_ms >= end_ms and not self.submitted_ms:
                break

    def _submit(self, job):
        simulation = self.simulation
        spec = self.load.make_spec(self.source)
        answer = simulation.submit(job, spec)
        if isinstance(answer, calls.Done):
            self.submitted_ms[job] = simulation.now_ms
            term = simulation.scheduler.term
            record = term.book.jobs[job]
            step = next(iter(record.steps.values()))
            self.objective_ms[job] = (
                term.compute_objective_wall_ms(record, step)
                - record.admitted_wall_ms
            )
        else:
            self.refused += 1

    def _note_completed(self):
        book = self.simulation.scheduler.book
        now_ms = self.simulation.now_ms
        for job in list(self.submitted_ms):
            record = book.jobs.get(job)
            if record is None or not record.is_open:
                self.taken_ms[job] = now_ms - self.submitted_ms.pop(job)

    def summarise(self):
        """Returns mean and 95th percentile of completion, and jobs in time."""
        taken = sorted(self.taken_ms.values())
        in_time = sum(
            taken_ms <= self.objective_ms[job]
            for job, taken_ms in self.taken_ms.items()
        )
        total = len(taken) + self.refused + len(self.submitted_ms)
        return {
            "mean_ms": round(sum(taken) / max(1, len(taken))),
            "p95_ms": taken[int(0.95 * len(taken))] if taken else 0,
            "in_time": in_time,
            "jobs": total,
            "refused": self.refused,
        }
