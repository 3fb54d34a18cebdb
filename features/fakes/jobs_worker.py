"""A worker of the simulation, in one incarnation."""

import dataclasses

from bambookeel.jobs import calls
from bambookeel.jobs import specs

# Run time after which a standing task is at work.
_STARTUP_MS = 500
# Run time after which a run has a new checkpoint.
_CHECKPOINT_MS = 300


@dataclasses.dataclass
class Run:
    """A run on a worker."""

    task: specs.TaskRef
    run: int
    ends_ms: float
    how: specs.RunEnd
    # Newest checkpoint; empty for none.
    saved: str
    started_ms: float = 0
    gang: tuple | None = None
    # Checkpoint from which it resumed; empty for none.
    start_checkpoint: str = ""
    checkpoints: bool = False

    def save_checkpoint(self, now_ms):
        """Saves a checkpoint from which its task, or its gang, can resume."""
        number = int(now_ms - self.started_ms) // _CHECKPOINT_MS
        if self.checkpoints and number:
            owner = self.task if self.gang is None else self.task[:3]
            name = ".".join(str(part) for part in owner)
            self.saved = f"{name}#{self.run}.{number}"


@dataclasses.dataclass
class SimWorker:
    """One incarnation of a worker."""

    name: str
    service: str
    capacity: specs.Resources
    labels: tuple[str, ...]
    born_wall_ms: int
    report_number: int = 0
    is_up: bool = True
    is_cut_off: bool = False
    stalls_runs: bool = False
    # Time that each run takes to restore its checkpoint, during which it
    # reports the percentage of the checkpoint, from which it goes on.
    restoring_ms: int = 0
    # Percentages at which runs hang, by task.
    frozen_percents: dict = dataclasses.field(default_factory=dict)
    tail_ms: int = 0
    paces: dict = dataclasses.field(default_factory=dict)
    fails_runs: bool = False
    running: dict = dataclasses.field(default_factory=dict)
    unacknowledged_ends: list = dataclasses.field(default_factory=list)
    last_end: int = 0
    last_lapsed_end: int = 0
    lease_until_ms: float = 0
    fencing_token: int = 0
    last_runs: dict = dataclasses.field(default_factory=dict)
    next_report_ms: int = 0
    # Reading of its clock at the start of the simulation.
    clock_origin_ms: int = 0
    # Empty for the instance that is named after the worker.
    instance: str = ""
    # Empty for the address that is named after the worker.
    address: str = ""
    data_centre: str = "dc"
    cold_left_ms: int = 0

    def measure_percent(self, run, now_ms):
        """Returns the percentage that a run reports."""
        if run.ends_ms - run.started_ms > 10**8:
            share = (now_ms - run.started_ms) / _STARTUP_MS
            return min(100, int(100 * share))
        if run.task in self.frozen_percents:
            return self.frozen_percents[run.task]
        restored = 40 if self.restoring_ms else 0
        worked_ms = now_ms - run.started_ms - self.restoring_ms
        if worked_ms < 0:
            return restored
        share = worked_ms / (run.ends_ms - run.started_ms - self.restoring_ms)
        percent = restored + int((100 - restored) * share)
        return 1 if self.stalls_runs else min(99, percent)

    def refuse_run(self, order):
        """Adds the end of a run that it refuses to start."""
        self.last_runs[order.task] = order.run
        self.last_end += 1
        self.unacknowledged_ends.append(
            calls.ListedEnd(
                self.last_end,
                order.task,
                order.run,
                specs.RunEnd.REFUSED,
                "",
            )
        )

    def make_report(self, now_ms):
        """Builds the next report."""
        self.report_number += 1
        for run in self.running.values():
            run.save_checkpoint(now_ms)
        return calls.WorkerReport(
            life=specs.WorkerIncarnation(self.name, self.born_wall_ms),
            instance=self.instance or f"m-{self.name}",
            address=self.address or f"{self.name}:1",
            service=self.service,
            data_centre=self.data_centre,
            number=self.report_number,
            capacity=self.capacity,
            labels=self.labels,
            is_leaving=False,
            leaves_in_ms=-1,
            running=tuple(
                calls.RunningRun(
                    r.task,
                    r.run,
                    r.saved,
                    self.measure_percent(r, now_ms),
                    self.tail_ms,
                )
                for r in self.running.values()
            ),
            ends=tuple(self.unacknowledged_ends[:500]),
            clock_ms=self.clock_origin_ms + now_ms,
            cold_left_ms=self.cold_left_ms,
        )
