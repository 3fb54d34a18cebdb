"""The records of the job book: jobs, steps, tasks, held runs and waves."""

import dataclasses

from bambookeel.jobs import commands
from bambookeel.jobs import specs

StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class Task:
    """One task.

    Attributes:
        ref: Its name.
        last_run: Number of its newest run; 0 before the first.
        failures: Runs that ended through their own or their worker's fault.
        is_done: Whether a run has ended well.
        runs: Runs that may be in progress, with their workers.
        saved: The newest checkpoint.
    """

    ref: specs.TaskRef
    last_run: int = 0
    failures: int = 0
    is_done: bool = False
    runs: dict[int, specs.WorkerIncarnation] = dataclasses.field(default_factory=dict)
    saved: str = ""


@dataclasses.dataclass(slots=True)
class Step:
    """One step of one occurrence of a job.

    Attributes:
        key: Job, occurrence and step.
        spec: The step.
        due_wall_ms: When it may start; 0 for at once.
        tasks: Its tasks.
        unfinished_dependencies: Earlier steps that have not ended yet.
        done: Tasks that have ended well.
        failures: Failed runs of the gang.
        waiting: Indices of the tasks without a run, in order.
    """

    key: StepKey
    spec: specs.StepSpec
    due_wall_ms: int
    tasks: list[Task]
    unfinished_dependencies: int
    done: int = 0
    failures: int = 0
    waiting: dict[int, None] = dataclasses.field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether all its tasks have ended well."""
        return self.done == len(self.tasks)


@dataclasses.dataclass(slots=True)
class Job:
    """One job.

    Attributes:
        job: Its id, chosen by the caller.
        queue: Its queue.
        team: Its team; empty where the queue is open to all.
        spec: What was handed in.
        admitted_wall_ms: When it was taken in.
        state: Its state.
        ended_wall_ms: When it ended; 0 while it has not.
        steps: Its steps by occurrence and step.
        incomplete: Steps that have not ended.
    """

    job: str
    queue: str
    team: str
    spec: specs.JobSpec
    admitted_wall_ms: int
    state: specs.JobState
    ended_wall_ms: int
    steps: dict[tuple[int, int], Step]
    incomplete: int

    @property
    def is_open(self) -> bool:
        """Whether it still has work to do."""
        return self.state in (specs.JobState.WAITING, specs.JobState.ACTIVE)


@dataclasses.dataclass(slots=True)
class AssignedRun:
    """A run that a worker has, or is to be told of.

    Attributes:
        task: The task.
        run: Its number.
        heard: Number of the worker's last report before it was assigned.
        ticket: The advisor's approval.
    """

    task: specs.TaskRef
    run: int
    heard: int
    ticket: str


@dataclasses.dataclass(slots=True)
class Wave:
    """A wave of upkeep.

    Attributes:
        request: What the operator asked for.
        waiting: Instances whose upkeep has not been ordered.
        ordered: Instances whose upkeep has been ordered and not yet ended.
    """

    request: commands.StartWave
    waiting: dict[str, None]
    ordered: dict[str, None] = dataclasses.field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether every instance has had its upkeep."""
        return not self.waiting and not self.ordered
