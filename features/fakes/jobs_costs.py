"""Counts what the leader's steps cost for jobs of one wide step.

The cost of a step is the number of bytecode instructions that the product's
functions execute for it, which does not depend on the machine.
"""

import sys

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_simulation

_CAPACITY = specs.Resources(64_000, 256_000, 0)
_NEEDS = specs.Resources(12, 1, 0)
_WORKERS = 6
SHAPES = {
    "plain": {},
    "apart": {"max_per_instance": 1_700},
    "gang": {"is_gang": True, "checkpoints": True},
    "gang apart": {"is_gang": True, "max_per_instance": 1_700},
    "one rack": {"is_gang": True, "wants_one_rack": True},
    "grouped": {"wants_one_rack": True},
    "standing": {"is_standing": True, "max_missing": 1},
    "copies": {"allows_copies": True},
    "data": {"data_rack": "r9"},
}


class CostSimulation(jobs_simulation.JobsSimulation):
    """Simulation that counts what the leader's steps cost.

    Attributes:
        costs: Highest cost of a step, by its kind.
        assigned: Most runs that one plan has assigned.
    """

    def __init__(self):
        self.costs = {}
        self.assigned = 0
        self._is_counting = False
        super().__init__(1, workers=0, faults=False)
        for number in range(_WORKERS):
            name = f"w{number}"
            self.add_worker(name, "pack", labels=("a", f"r{number % 2}"))
            self.workers[name].capacity = _CAPACITY
            self.workers[name].data_centre = f"dc{number % 3}"
        self.run_duration_ms = 800
        self.advance(500)

    def count(self, kind, function, *arguments):
        """Counts the cost of one step and returns its result."""
        if not self._is_counting:
            return function(*arguments)
        cost = 0

        def trace(frame, event, argument):
            nonlocal cost
            del argument
            if "/bambookeel/" not in frame.f_code.co_filename:
                return None
            frame.f_trace_lines = False
            frame.f_trace_opcodes = True
            cost += event == "opcode"
            return trace

        sys.settrace(trace)
        try:
            return function(*arguments)
        finally:
            sys.settrace(None)
            self.costs[kind] = max(self.costs.get(kind, 0), cost)

    def play(self, shape, width):
        """Plays a job through a crash, an evacuation and its cancelling."""
        step = specs.StepSpec(
            count=width, needs=_NEEDS, estimate_ms=1_000, **SHAPES[shape]
        )
        self._is_counting = True
        self.submit_wide(step)
        self.advance(600)
        self.crash(self.workers["w0"])
        self.restart(self.workers["w0"])
        self.advance(600)
        self.call(calls.BeginEvacuation("dc1"))
        self.advance(600)
        job = "0" * 16
        self.call(
            calls.CancelJob(jobs_simulation.HOST, f"/o/{job}", "key-coach", job)
        )
        self.advance(200)

    def submit_wide(self, step, job="0" * 16):
        """Submits a job of one step."""
        assert self.submit(job, specs.JobSpec("body", (step,))) == calls.Done()

    def call(self, call):
        """Makes a call and returns its answer."""
        now = self.read_now()
        kind = type(call).__name__
        answer = self.count(kind, self.scheduler.handle, call, now)
        self.plan()
        return self.count(f"answer to {kind}", answer)

    def plan(self):
        """Plans once; the batch is taken as committed."""
        before = self._count_assigned()
        self.count("plan", self.scheduler.plan, self.read_now())
        self.assigned = max(self.assigned, self._count_assigned() - before)
        self.scheduler.take_batch()
        self.scheduler.take_log_events()
        self.scheduler.take_orders()

    def _count_assigned(self):
        runs = self.scheduler.book.assigned_runs.values()
        return sum(len(each) for each in runs)

    def step(self):
        """Runs one time step of the workers and the leader."""
        for worker in self.workers.values():
            if worker.is_up:
                self.run_worker(worker)
        self.count("tick", self.scheduler.tick, self.read_now())
        self.plan()

    def run_gang(self, run):
        """Ends a member of a gang by itself, whatever the others do."""
        for worker in self.workers.values():
            is_own = worker.running.get(run.task) is run
            if is_own and self.now_ms >= run.ends_ms:
                self.end_run(worker, run, run.how)
