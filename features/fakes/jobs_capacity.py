"""Simulates workers whose capacity shrinks and grows while starts are sent."""

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_runs
from features.fakes import jobs_simulation

_SHRINK_RATE = 0.01
_LOST_ANSWERS = 0.1


class ShrinkingSimulation(jobs_simulation.JobsSimulation):
    """Simulation in which capacities change and orders are lost on the way.

    A worker takes whatever it is told to start. Nothing crashes, so that no
    member of a gang may wait in vain for the others.
    """

    def __init__(self, seed, workers):
        self.lost_answers = _LOST_ANSWERS
        # Workers that get no orders.
        self.deaf = set()
        # Workers that refuse all runs although they report free capacity.
        self.refusing = set()
        self.refusals = 0
        self.is_random = True
        super().__init__(seed, workers, faults=False)
        self.full = {name: w.capacity for name, w in self.workers.items()}

    def set_capacity(self, name, share):
        """Sets the capacity of a worker to a share of its full one."""
        full = self.full[name]
        self.workers[name].capacity = specs.Resources(
            int(full.cpu_milli * share), int(full.memory_mb * share), 0
        )

    def step(self):
        """Runs one time step; the capacity of a worker may change."""
        if self.is_random and self.random.random() < _SHRINK_RATE:
            name = self.random.choice(list(self.workers))
            self.set_capacity(name, self.random.choice([0.1, 0.3, 0.6, 1.0]))
        super().step()

    def apply_orders(self, worker, orders, sent_ms):
        """Applies orders unless they are lost on their way."""
        is_lost = self.random.random() < self.lost_answers
        if is_lost or worker.name in self.deaf:
            worker.next_report_ms = self.now_ms + 200
            return
        super().apply_orders(worker, orders, sent_ms)

    def start_run(self, worker, order):
        """Starts a run unless the worker refuses it."""
        if worker.name not in self.refusing:
            super().start_run(worker, order)
        elif order.run > worker.last_runs.get(order.task, 0):
            self.refusals += 1
            worker.refuse_run(order)

    def end_run(self, worker, run, how):
        """Ends a run; a gang whose members wait in vain is a violation."""
        if how is specs.RunEnd.ALONE:
            self.violations.append(f"{run.task} waited in vain for its gang")
        super().end_run(worker, run, how)


def simulate(seed):
    """Runs a random simulation and returns the violated guarantees.

    Args:
        seed: Seed of the simulation.

    Returns:
        The violations; among them jobs that have not ended.
    """
    simulation = ShrinkingSimulation(seed, workers=5)
    jobs = {}
    for number in range(20):
        job = f"{number:016x}"
        spec = jobs_runs.make_spec(simulation.random, number in (3, 7))
        if isinstance(simulation.submit(job, spec), calls.Done):
            jobs[job] = "key-coach"
        simulation.advance(1_000)
    simulation.lost_answers = 0
    simulation.is_random = False
    for name in simulation.workers:
        simulation.set_capacity(name, 1.0)
    simulation.advance(40_000)
    jobs_runs.check_ends(simulation, jobs, set())
    return simulation.violations
