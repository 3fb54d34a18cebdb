"""Records of the job book: jobs, steps, tasks, assigned runs and waves."""

import collections
import dataclasses
import typing

from bambookeel.jobs import commands
from bambookeel.jobs import order_sizes
from bambookeel.jobs import specs

# Job id, number of the occurrence and number of the step.
StepKey = tuple[str, int, int]


@dataclasses.dataclass(slots=True)
class Task:
    """State of one task.

    Attributes:
        ref: Identifies the task.
        last_run: Number of the newest run; 0 before the first.
        failures: Number of runs that failed, through the task's own fault or
            its worker's.
        is_done: Whether a run has succeeded.
        runs: Runs that may be in progress, by number, with their workers.
        checkpoint: The newest checkpoint; empty for none.
        crashes: Number of workers that it may have crashed, since it was last
            cleared.
        evidence: Weight of the evidence that it has crashed them.
        explained_evidence: Part of the evidence from crashes for which a task
            that ran beside it has been given up.
        is_given_up: Whether its job was given up because of it.
        has_worked: Whether it is a standing task that has started safely.
    """

    ref: specs.TaskRef
    last_run: int = 0
    failures: int = 0
    is_done: bool = False
    runs: dict[int, specs.WorkerIncarnation] = dataclasses.field(
        default_factory=dict
    )
    checkpoint: str = ""
    crashes: int = 0
    evidence: int = 0
    explained_evidence: int = 0
    is_given_up: bool = False
    has_worked: bool = False


@dataclasses.dataclass(slots=True)
class StepRuns:
    """Counts of a step's assigned runs, which limits and gangs are based on.

    Attributes:
        by_worker: Number of the runs on each worker.
        by_number: Number of the tasks with a run of each number.
    """

    by_worker: collections.Counter[specs.WorkerIncarnation]
    by_number: collections.Counter[int]

    def count(
        self, life: specs.WorkerIncarnation, number: int, change: int
    ) -> None:
        """Counts a run that is assigned or removed.

        Args:
            life: Its worker.
            number: Number of the run.
            change: 1 for a run that is assigned, or -1.
        """
        self.by_worker[life] += change
        if not self.by_worker[life]:
            del self.by_worker[life]
        self.by_number[number] += change
        if not self.by_number[number]:
            del self.by_number[number]


@dataclasses.dataclass(slots=True)
class Step:
    """State of one step in one occurrence of a job.

    Attributes:
        key: Job, occurrence and step.
        spec: What the caller submitted for the step.
        due_wall_ms: Unix time in milliseconds from which it may start; 0 for at
            once.
        tasks: Tasks of the step.
        unfinished_dependencies: Number of earlier steps that still have to
            complete before this one starts.
        done_count: Number of tasks that have succeeded.
        failures: Number of failed runs of a gang; 0 for other steps.
        last_failed_run: Number of the newest failed run of a gang; 0 for none.
        waiting: Indices of the tasks without a run, in the order in which they
            get one.
        runs: Counts of the runs; None while no run is assigned.
    """

    key: StepKey
    spec: specs.StepSpec
    due_wall_ms: int
    tasks: list[Task]
    unfinished_dependencies: int
    done_count: int = 0
    failures: int = 0
    last_failed_run: int = 0
    waiting: dict[int, None] = dataclasses.field(default_factory=dict)
    runs: StepRuns | None = None

    def add_run(
        self, task: Task, number: int, life: specs.WorkerIncarnation
    ) -> None:
        """Assigns a run of one of the tasks to a worker.

        Args:
            task: The task.
            number: Number of the run.
            life: The worker.
        """
        if self.runs is None:
            self.runs = StepRuns(collections.Counter(), collections.Counter())
        task.runs[number] = life
        self.runs.count(life, number, 1)

    def remove_run(self, task: Task, number: int) -> None:
        """Removes a run of one of the tasks.

        Args:
            task: The task.
            number: Number of the run, which is assigned.
        """
        assert self.runs is not None
        self.runs.count(task.runs.pop(number), number, -1)
        if not self.runs.by_worker:
            self.runs = None

    def count_runs(self, life: specs.WorkerIncarnation) -> int:
        """Returns the number of runs that are assigned to a worker."""
        return self.runs.by_worker[life] if self.runs is not None else 0

    def is_gang_complete(self, run: int) -> bool:
        """Returns whether no member of a gang has lost its part of a run.

        The checkpoint of the gang may have changed with the loss, so that
        another member would resume from a different one.

        Args:
            run: Number of the run.

        Returns:
            True for a step that is no gang.
        """
        if not self.spec.is_gang:
            return True
        if self.runs is None:
            return False
        return self.runs.by_number[run] == len(self.tasks)

    @property
    def is_complete(self) -> bool:
        """Whether all tasks of the step have succeeded."""
        return self.done_count == len(self.tasks)

    def count_failure(self, task: Task, run: int) -> int:
        """Counts a failed run of a task.

        The members of a gang run and fail together, and a new run starts only
        once the previous one has ended on all workers.

        Args:
            task: The task.
            run: Number of the run.

        Returns:
            Number of failed runs of the task, or of its gang.
        """
        task.failures += 1
        if not self.spec.is_gang:
            return task.failures
        if run > self.last_failed_run:
            self.last_failed_run = run
            self.failures += 1
        return self.failures


class RemainingSteps(typing.NamedTuple):
    """What a job still has to do, without standing tasks.

    Attributes:
        tasks: Number of tasks that are not done, their declared run time in
            milliseconds and processor time in thousandths of a core, for each
            step that is not complete and no filler.
        numbers: Numbers of the steps that can run now.
    """

    tasks: tuple[tuple[int, int, int], ...]
    numbers: tuple[int, ...]


@dataclasses.dataclass(slots=True)
class Job:
    """State of one job.

    Attributes:
        job_id: Id that the caller chose.
        queue: Name of the queue; changes with the configuration.
        team: Name of the team; empty where the queue is open to all callers;
            changes with the configuration.
        place: Host and path of the queue at which it was submitted; None if
            unknown.
        key: Key with which it was submitted; empty if unknown.
        spec: What the caller submitted.
        admitted_wall_ms: Unix time in milliseconds of its admission.
        state: State that callers are told.
        ended_wall_ms: Unix time in milliseconds at which it ended; 0 while it
            is open.
        steps: Steps by occurrence and number of the step.
        incomplete_steps: Number of steps that are not complete.
        end_reason: Why the job has failed, for its caller; empty otherwise.
        has_had_run: Whether a run has been assigned, which may not have
            started.
        has_done_task: Whether a task has succeeded.
        standing: Specifications of its standing steps.
    """

    job_id: str
    queue: str
    team: str
    place: tuple[str, str] | None
    key: str
    spec: specs.JobSpec
    admitted_wall_ms: int
    state: specs.JobState
    ended_wall_ms: int
    steps: dict[tuple[int, int], Step]
    incomplete_steps: int
    end_reason: str = ""
    has_had_run: bool = False
    has_done_task: bool = False
    standing: tuple[specs.StepSpec, ...] = ()
    # Size of the body in an order, in bytes; known since the first order.
    _body_bytes: int = 0
    # Numbers of the steps that depend on each one; known once one is complete.
    _followers: tuple[tuple[int, ...], ...] | None = None
    # Known since a step was last changed by the end of a task.
    _remaining_steps: RemainingSteps | None = None

    @classmethod
    def from_command(cls, command: commands.AdmitJob) -> "Job":
        """Builds a job that has not begun.

        Args:
            command: Command that admitted it.

        Returns:
            The job with all its steps and tasks.
        """
        spec = command.spec
        dependencies = [len(set(step.after)) for step in spec.steps]
        steps: dict[tuple[int, int], Step] = {}
        for occurrence in range(max(1, spec.occurrences)):
            due_wall_ms = spec.get_due_wall_ms(occurrence)
            for i, step in enumerate(spec.steps):
                tasks = [
                    Task(specs.TaskRef(command.job, occurrence, i, index))
                    for index in range(step.count)
                ]
                steps[occurrence, i] = Step(
                    (command.job, occurrence, i),
                    step,
                    due_wall_ms,
                    tasks,
                    dependencies[i],
                    waiting=dict.fromkeys(range(step.count)),
                )
        return cls(
            command.job,
            command.queue,
            command.team,
            command.place,
            command.key,
            spec,
            command.at_wall_ms,
            specs.JobState.WAITING,
            0,
            steps,
            len(steps),
            standing=tuple(step for step in spec.steps if step.is_standing),
        )

    def get_remaining_steps(self) -> RemainingSteps:
        """Returns what the job still has to do."""
        if self._remaining_steps is None:
            self._remaining_steps = self._list_remaining_steps()
        return self._remaining_steps

    @property
    def body_bytes(self) -> int:
        """Size in bytes of what the caller submitted, in an order."""
        if not self._body_bytes:
            self._body_bytes = order_sizes.measure_text(self.spec.body)
        return self._body_bytes

    def list_followers(self, number: int) -> tuple[int, ...]:
        """Lists the steps that depend on one directly.

        Args:
            number: Number of the step.

        Returns:
            Numbers of the later steps.
        """
        if self._followers is None:
            followers: list[list[int]] = [[] for _ in self.spec.steps]
            for later, step in enumerate(self.spec.steps):
                for earlier in set(step.after):
                    followers[earlier].append(later)
            self._followers = tuple(map(tuple, followers))
        return self._followers[number]

    def note_done(self) -> None:
        """Notes that tasks are done, so that other steps may be ready."""
        self._remaining_steps = None

    def _list_remaining_steps(self) -> RemainingSteps:
        tasks = []
        numbers: dict[int, None] = {}
        for (_, number), step in self.steps.items():
            if step.spec.is_standing or step.is_complete:
                continue
            if not step.unfinished_dependencies:
                numbers[number] = None
            if step.spec.is_filler:
                continue
            left = len(step.tasks) - step.done_count
            tasks.append(
                (left, step.spec.estimate_ms, step.spec.needs.cpu_milli)
            )
        return RemainingSteps(tuple(tasks), tuple(numbers))

    @property
    def is_open(self) -> bool:
        """Whether the job has neither completed, failed nor been cancelled."""
        return self.state in (specs.JobState.WAITING, specs.JobState.ACTIVE)


@dataclasses.dataclass(slots=True)
class Wave:
    """State of one wave of upkeep.

    Attributes:
        request: What the operator requested.
        waiting: Instances whose upkeep has not been ordered.
        ordered: Instances whose upkeep has been ordered and has not ended.
    """

    request: commands.StartWave
    waiting: dict[str, None]
    ordered: dict[str, None] = dataclasses.field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether the upkeep of every instance has ended."""
        return not self.waiting and not self.ordered
