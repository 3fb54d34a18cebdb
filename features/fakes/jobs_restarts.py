"""Simulates workers that restart while answers to them are on their way.

An answer names no life of its worker: the life that is present when it arrives
obeys it, if it is not older than the time for which workers wait for answers.
"""

from bambookeel.jobs import calls
from features.fakes import jobs_runs
from features.fakes import jobs_simulation

_STEP_MS = jobs_simulation.STEP_MS
_JOBS = 20
# Chances in each time step, of a worker and of the leader.
_CRASH_CHANCE = 0.01
_LEADER_CHANCE = 0.002
# Share of the answers that are on their way for long.
_SLOW_SHARE = 0.3
_CUT_SHARE = 0.6


class RestartSimulation(jobs_simulation.JobsSimulation):
    """A simulation in which answers take time and may reach the next life."""

    def __init__(self, seed, workers=4):
        # Time of arrival, id of the worker, time of sending, and the orders.
        self.answers = []
        # Time, id of the worker, and what happens to it then.
        self.events = []
        # Until when each life waits for an answer before it reports again.
        self.awaited_until_ms = {}
        self.crossed = 0
        super().__init__(seed, workers)

    def inject_fault(self):
        """Injects a crash with a quick restart, or a new leader."""
        if self.random.random() < _LEADER_CHANCE:
            self.start_leader()
        worker = self.random.choice(list(self.workers.values()))
        if worker.is_up and self.random.random() < _CRASH_CHANCE:
            self.crash(worker)
            back_ms = self.now_ms + self.random.randrange(0, 900, _STEP_MS)
            self.events.append((back_ms, worker.name, "restart"))
            if self.random.random() < _CUT_SHARE:
                cut_ms = back_ms + self.random.randrange(0, 2_000, _STEP_MS)
                self.events.append((cut_ms, worker.name, "cut"))
                self.events.append((cut_ms + 6_000, worker.name, "heal"))

    def step(self):
        """Runs one time step, after the events and answers that are due."""
        due = [each for each in self.events if each[0] <= self.now_ms]
        self.events = [each for each in self.events if each[0] > self.now_ms]
        for _, name, event in sorted(due):
            worker = self.workers[name]
            if event != "restart":
                worker.is_cut_off = event == "cut"
            elif not worker.is_up:
                self.restart(worker)
        arrived = [each for each in self.answers if each[0] <= self.now_ms]
        self.answers = [each for each in self.answers if each[0] > self.now_ms]
        for _, life, sent_ms, orders in arrived:
            worker = self.workers[life[0]]
            if not worker.is_up or worker.is_cut_off:
                continue
            self.crossed += worker.born_wall_ms != life[1]
            self.awaited_until_ms.pop(life, None)
            self.apply_orders(worker, orders, sent_ms)
        super().step()

    def send_report(self, worker):
        """Sends a report whose answer arrives after some time, if at all."""
        life = worker.name, worker.born_wall_ms
        sent_ms = self.now_ms
        if sent_ms < self.awaited_until_ms.get(life, 0):
            return
        report = worker.make_report(sent_ms)
        worker.next_report_ms = sent_ms + jobs_simulation.RESPONSE_TIMEOUT_MS
        self.awaited_until_ms[life] = worker.next_report_ms
        if worker.is_cut_off:
            delay_ms = self.random.randrange(100, 8_000)
            if self.random.random() < 0.3:
                self.in_flight.append((sent_ms + delay_ms, report))
            return
        answer = self.call(report)
        if not isinstance(answer, calls.WorkerOrders):
            return
        delay_ms = 0
        if self.random.random() < _SLOW_SHARE:
            delay_ms = self.random.randrange(
                0, jobs_simulation.RESPONSE_TIMEOUT_MS, _STEP_MS
            )
        self.answers.append((sent_ms + delay_ms, life, sent_ms, answer))


def simulate(seed):
    """Runs a random simulation.

    Returns:
        The violations of guarantees, and the number of answers that reached a
        later life than the one that they were meant for.
    """
    simulation = RestartSimulation(seed)
    for number in range(_JOBS):
        job = f"{number:016x}"
        simulation.run_duration_ms = simulation.random.choice([None, 4_000])
        spec = jobs_runs.make_spec(simulation.random, number in (3, 7))
        simulation.submit(job, spec)
        simulation.advance(1_000)
    simulation.stop_faults()
    simulation.events = []
    simulation.advance(10_000)
    return simulation.violations, simulation.crossed
