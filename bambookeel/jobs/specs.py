"""What a team hands in: jobs of steps, each of equal tasks.

The types are checked when they are decoded; everything behind the boundary may
rely on their ranges.
"""

import enum
import typing

import msgspec

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
# Bounds what one job may make the scheduler hold.
MAX_TASKS_PER_STEP = 10_000
MAX_STEPS = 1_000
MAX_OCCURRENCES = 10_000
MAX_BODY_BYTES = 4_000


class Resources(msgspec.Struct, frozen=True):
    """An amount of what an instance has.

    Attributes:
        cpu_milli: Thousandths of a core.
        memory_mb: Memory.
        gpus: Accelerators.
    """

    cpu_milli: Count = 0
    memory_mb: Count = 0
    gpus: Count = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def fits_in(self, room: "Resources") -> bool:
        """Tells whether the amount is at most another one.

        Args:
            room: What is free.

        Returns:
            Whether it fits in every respect.
        """
        return (
            self.cpu_milli <= room.cpu_milli
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job.

    Attributes:
        count: Number of tasks.
        needs: What each task takes.
        estimate_ms: Declared run time of a task; may be far off.
        after: Earlier steps that must have ended.
        checkpoints: Whether tasks save their progress.
        is_gang: Whether the tasks work only together.
        wants_one_rack: Whether tasks in several racks run longer.
        label: Label that the instance must have; empty for none.
        data_rack: Rack of the data; empty for none.
        max_per_instance: Most tasks of the step on one instance; 0 for any.
        allows_copies: Whether a task may run more than once at a time.
        is_standing: Whether tasks run until the job is cancelled.
        image: What the tasks run.
        target_ms: Bound of the tail of a standing task's response times.
        is_filler: Whether tasks take only the processor time left by others.
        max_missing: Most standing tasks that planned acts may interrupt.
    """

    count: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_STEP)]
    needs: Resources = Resources()
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpoints: bool = False
    is_gang: bool = False
    wants_one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_instance: Count = 0
    allows_copies: bool = False
    is_standing: bool = False
    image: str = ""
    target_ms: Count = 0
    is_filler: bool = False
    max_missing: Count = 0

    @property
    def reserved(self) -> Resources:
        """What a task takes of an instance's capacity."""
        if self.is_filler:
            return Resources(0, self.needs.memory_mb, self.needs.gpus)
        return self.needs


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller handed it in.

    Attributes:
        body: Passed on to the workers.
        steps: The steps; dependencies point backwards.
        occurrences: How often the steps run; 0 for once, at once.
        first_due_wall_ms: When occurrence 0 is due.
        period_ms: Time between two occurrences.
    """

    body: str
    steps: tuple[StepSpec, ...]
    occurrences: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_OCCURRENCES)
    ] = 0
    first_due_wall_ms: Count = 0
    period_ms: Count = 0

    @property
    def is_timed(self) -> bool:
        """Whether the steps run at given times."""
        return self.occurrences > 0

    def get_due_wall_ms(self, occurrence: int) -> int:
        """Gives when an occurrence is due.

        Args:
            occurrence: Its number, from 0.

        Returns:
            Unix time in milliseconds; 0 for at once.
        """
        if not self.is_timed:
            return 0
        return self.first_due_wall_ms + occurrence * self.period_ms


class JobState(enum.Enum):
    """What callers are told of a job."""

    WAITING = "waiting"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run ended, as its worker says."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"


class TaskRef(typing.NamedTuple):
    """Names a task: job, occurrence, step, and its place within the step."""

    job: str
    occurrence: int
    step: int
    task_index: int

    @property
    def position(self) -> str:
        """Occurrence, step and place, for log lines that name the job."""
        return f"{self.occurrence}.{self.step}.{self.task_index}"


class WorkerIncarnation(typing.NamedTuple):
    """One life of a worker; a restart under the same id is another life."""

    worker: str
    born_wall_ms: int


def find_spec_fault(spec: JobSpec) -> str:
    """Finds what is wrong with a job beyond the types of its fields.

    Args:
        spec: The job.

    Returns:
        One sentence; empty when the job is sound.
    """
    if not spec.steps:
        return "a job needs at least one step"
    if len(spec.steps) > MAX_STEPS:
        return f"{len(spec.steps)} steps; at most {MAX_STEPS} are taken"
    for i, step in enumerate(spec.steps):
        for earlier in step.after:
            if earlier >= i:
                return f"step {i} depends on step {earlier}, not an earlier one"
    return ""
