"""A worker of the simulated world, in one of its lives."""

import dataclasses

from bambookeel.jobs import calls
from bambookeel.jobs import specs

# Work after which a run has a new value to go on from.
_CHECKPOINT_MS = 300


@dataclasses.dataclass
class Run:
    """A run on a worker."""

    task: specs.TaskRef
    run: int
    ends_ms: float
    how: specs.RunEnd
    saved: str
    begun_ms: float = 0
    gang: tuple | None = None
    # What its start carried.
    carried: str = ""
    checkpoints: bool = False

    def save(self, now_ms):
        """Keeps a value from which its task, or its gang, can go on."""
        number = int(now_ms - self.begun_ms) // _CHECKPOINT_MS
        if self.checkpoints and number:
            owner = self.task if self.gang is None else self.task[:3]
            name = ".".join(str(part) for part in owner)
            self.saved = f"{name}#{self.run}.{number}"


@dataclasses.dataclass
class SimWorker:
    """A worker in one of its lives."""

    name: str
    service: str
    capacity: specs.Resources
    labels: tuple[str, ...]
    born: int
    number: int = 0
    is_up: bool = True
    is_cut: bool = False
    hangs: bool = False
    # How long each run restores its checkpoint and lists that one's percentage.
    restoring_ms: int = 0
    tail_ms: int = 0
    paces: dict = dataclasses.field(default_factory=dict)
    fails: bool = False
    running: dict = dataclasses.field(default_factory=dict)
    finished: list = dataclasses.field(default_factory=list)
    last_end: int = 0
    lapsed_end: int = 0
    lease_ms: float = 0
    fence: int = 0
    highest: dict = dataclasses.field(default_factory=dict)
    due_ms: int = 0

    def measure(self, run, now_ms):
        """Gives the percentage that a run reports."""
        if run.ends_ms - run.begun_ms > 10**8:
            return 100
        if now_ms - run.begun_ms < self.restoring_ms:
            return 40
        share = (now_ms - run.begun_ms) / (run.ends_ms - run.begun_ms)
        return 1 if self.hangs else min(99, int(100 * share))

    def refuse(self, order):
        """Lists the end of a run that was not started."""
        self.highest[order.task] = order.run
        self.last_end += 1
        self.finished.append(
            calls.ListedEnd(
                self.last_end,
                order.task,
                order.run,
                specs.RunEnd.REFUSED,
                "",
            )
        )

    def make_report(self, now_ms):
        """Makes the next report."""
        self.number += 1
        for run in self.running.values():
            run.save(now_ms)
        return calls.WorkerReport(
            life=specs.WorkerIncarnation(self.name, self.born),
            instance=f"m-{self.name}",
            address=f"{self.name}:1",
            service=self.service,
            data_centre="dc",
            number=self.number,
            capacity=self.capacity,
            labels=self.labels,
            is_leaving=False,
            leaves_in_ms=-1,
            running=tuple(
                calls.RunningRun(
                    r.task,
                    r.run,
                    r.saved,
                    self.measure(r, now_ms),
                    self.tail_ms,
                )
                for r in self.running.values()
            ),
            ends=tuple(self.finished[:500]),
        )
