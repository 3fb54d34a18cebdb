"""Measures the leader's longest steps for jobs of one wide step.

Each shape is played at several widths on six workers which have room for all
tasks at once. The steps of a turn are timed on their own: handling a call or a
report, the plan, the tick and the encoding of the batch; besides, what a
follower takes to apply a batch, and what a new leader takes to begin from a
snapshot. The bound of each is half of the shortest election timeout.
"""

import collections
import time

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from bench import lines
from features.fakes import jobs_simulation

_WIDTHS = (1_000, 3_000, 10_000)
_WORKERS = 6
_CAPACITY = specs.Resources(64_000, 256_000, 0)
_SPAN_MS = 3_000
_NEEDS = specs.Resources(12, 1, 0)
_BOUND_MS = 450.0
_SHAPES = {
    "plain": {},
    "apart": {"max_per_instance": 1_700},
    "gang": {"is_gang": True},
    "gang_with_checkpoints": {"is_gang": True, "checkpoints": True},
    "gang_apart": {"is_gang": True, "max_per_instance": 1_700},
    "one_rack": {"is_gang": True, "wants_one_rack": True},
    "standing": {"is_standing": True},
    "copies": {"allows_copies": True},
    "data": {"data_rack": "r9"},
    "filler": {"is_filler": True},
    "large": {"needs": specs.Resources(60_000, 1, 0)},
}


class WideSimulation(jobs_simulation.JobsSimulation):
    """Simulation that times the steps of its leaders.

    Attributes:
        longest_ms: Processor time of the longest step, by kind of the step.
    """

    def __init__(self):
        self.longest_ms = collections.Counter()
        super().__init__(1, workers=0, faults=False)
        for number in range(_WORKERS):
            name = f"w{number}"
            self.add_worker(name, "pack", labels=("a", f"r{number % 2}"))
            self.workers[name].capacity = _CAPACITY
        self._follower = book_snapshot.decode_book(self.committed)

    def time(self, kind, function, *arguments):
        """Times one step and returns its result."""
        begun = time.process_time()
        result = function(*arguments)
        took_ms = 1_000 * (time.process_time() - begun)
        self.longest_ms[kind] = max(self.longest_ms[kind], took_ms)
        return result

    def call(self, call):
        """Makes a call and returns its answer."""
        now = self.read_now()
        kind = type(call).__name__
        answer = self.time(kind, self.scheduler.handle, call, now)
        self.time("plan", self.scheduler.plan, now)
        self.commit()
        return self.time(f"{kind}Answer", answer)

    def commit(self):
        """Encodes the batch and applies it as a follower does."""
        batch = self.scheduler.take_batch()
        self.scheduler.take_log_events()
        if batch and hasattr(self, "_follower"):
            payload = self.time("encode", commands.encode_batch, batch)
            self.time("apply", self._apply, payload)
        return True

    def _apply(self, payload):
        for command in commands.decode_batch(payload):
            self._follower.apply(command)

    def step(self):
        """Runs one time step of the workers and the leader."""
        for worker in self.workers.values():
            if worker.is_up:
                self.run_worker(worker)
        self.time("tick", self.scheduler.tick, self.read_now())
        self.time("plan", self.scheduler.plan, self.read_now())
        self.commit()

    def run_gang(self, run):
        """Ends a member of a gang by itself, whatever the others do."""
        if self.now_ms < run.ends_ms:
            return
        for worker in self.workers.values():
            if worker.is_up and worker.running.get(run.task) is run:
                self.end_run(worker, run, run.how)

    def lead_again(self):
        """Starts a new leader from a snapshot."""
        payload = self.time(
            "save", book_snapshot.encode_book, self.scheduler.book
        )
        book = self.time("load", book_snapshot.decode_book, payload)
        self.term += 1
        self.scheduler = self.time(
            "begin",
            job_scheduler.Scheduler,
            book,
            self.settings,
            self.term,
            self.read_now(),
        )


def _play(shape: dict, width: int) -> WideSimulation:
    """Plays one shape: the job runs, two workers crash, the leader changes."""
    simulation = WideSimulation()
    simulation.run_duration_ms = 800
    simulation.advance(500)
    simulation.longest_ms.clear()
    step = specs.StepSpec(
        **{"count": width, "needs": _NEEDS, "estimate_ms": 1_000, **shape}
    )
    job = "0" * 16
    simulation.submit(job, specs.JobSpec("body", (step,)))
    simulation.advance(_SPAN_MS // 4)
    for name in ("w0", "w1"):
        simulation.crash(simulation.workers[name])
        simulation.restart(simulation.workers[name])
    simulation.advance(_SPAN_MS)
    simulation.lead_again()
    simulation.advance(_SPAN_MS // 4)
    simulation.call(
        calls.CancelJob(jobs_simulation.HOST, f"/o/{job}", "key-coach", job)
    )
    simulation.advance(_SPAN_MS // 4)
    return simulation


def measure() -> list[str]:
    """Measures all shapes at all widths.

    Returns:
        One result line for each shape and width: the longest step.
    """
    results = []
    for name, shape in _SHAPES.items():
        for width in _WIDTHS:
            longest_ms = _play(shape, width).longest_ms
            slowest = longest_ms.most_common(3)
            kinds = ",".join(f"{kind}:{ms:.0f}" for kind, ms in slowest)
            results.append(
                lines.render_line(
                    "wide",
                    "longest_ms",
                    slowest[0][1],
                    _BOUND_MS,
                    shape=name,
                    tasks=width,
                    steps=kinds,
                )
            )
    return results
