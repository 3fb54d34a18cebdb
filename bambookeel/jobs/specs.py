"""Specifications of jobs: steps of identical tasks, with dependencies.

Types and ranges are checked when a specification is decoded; code after that
relies on them.
"""

import enum
import typing

import msgspec

from bambookeel.jobs import order_sizes

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=10**12)]
# Unix time in milliseconds, up to the year 33658.
WallMs = typing.Annotated[int, msgspec.Meta(ge=0, le=10**15)]
# Limits on the size of a job, which bound its memory in the scheduler.
MAX_TASKS_PER_STEP = 10_000
MAX_STEPS = 1_000
MAX_OCCURRENCES = 10_000
# Tasks of all steps and occurrences of a job; each replica holds them all.
MAX_TASKS = 100_000


class Resources(msgspec.Struct, frozen=True):
    """Amounts of an instance's resources.

    Attributes:
        cpu_milli: Processor time in thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Number of accelerators.
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

    def fits_in(self, free: "Resources") -> bool:
        """Returns whether the amounts fit into free resources.

        Args:
            free: Resources that are available.

        Returns:
            Whether each amount is at most the free one.
        """
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mb <= free.memory_mb
            and self.gpus <= free.gpus
        )

    def count_in(self, free: "Resources", most: int) -> int:
        """Counts how often the amounts fit into free resources.

        Args:
            free: Resources that are available, which may be negative.
            most: Maximum to return.

        Returns:
            Number of times.
        """
        for need, has in (
            (self.cpu_milli, free.cpu_milli),
            (self.memory_mb, free.memory_mb),
            (self.gpus, free.gpus),
        ):
            if need:
                most = min(most, max(0, has) // need)
        return most


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """One step of a job.

    Attributes:
        count: Number of tasks.
        needs: Resources of each task.
        estimate_ms: Declared run time of a task in milliseconds; may be far
            from the real one.
        after: Indices of the earlier steps that must complete first.
        checkpoints: Whether tasks save checkpoints.
        is_gang: Whether the tasks can run only together, all at the same time.
        wants_one_rack: Whether tasks take longer when spread over several
            racks.
        label: Label that the instance must have; empty for none.
        data_rack: Rack where the data is; empty for none.
        max_per_instance: Maximum number of the step's tasks on one instance; 0
            for no limit.
        allows_copies: Whether a task may have several runs at the same time.
        is_standing: Whether tasks run until the job is cancelled.
        image: Image that the tasks run.
        target_ms: Maximum tail latency of a standing task in milliseconds; 0
            for none.
        is_filler: Whether tasks use only the processor time that other tasks
            leave.
        max_missing: Maximum number of standing tasks that planned interruptions
            may make unavailable at a time.
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
        """Resources that are reserved on an instance for each task."""
        if self.is_filler:
            return Resources(0, self.needs.memory_mb, self.needs.gpus)
        return self.needs


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as its caller submitted it.

    Attributes:
        body: Content that is passed to the workers unchanged.
        steps: Steps of the job; each depends only on earlier ones.
        occurrences: Number of times that the steps run on a timetable; 0 if
            they run once, immediately.
        first_due_wall_ms: Unix time in milliseconds at which occurrence 0 is
            due.
        period_ms: Time in milliseconds between two occurrences.
    """

    body: str
    steps: tuple[StepSpec, ...]
    occurrences: typing.Annotated[
        int, msgspec.Meta(ge=0, le=MAX_OCCURRENCES)
    ] = 0
    first_due_wall_ms: WallMs = 0
    period_ms: Count = 0

    @property
    def is_timed(self) -> bool:
        """Whether the steps run on a timetable instead of immediately."""
        return self.occurrences > 0

    def count_tasks(self) -> int:
        """Returns the number of tasks of all steps and occurrences."""
        return sum(step.count for step in self.steps) * max(1, self.occurrences)

    def measure_texts(self) -> int:
        """Measures what the steps say beside numbers of fixed size.

        Returns:
            Number of characters, and eight for each step that another one
            comes after.
        """
        return len(self.body) + sum(
            len(step.label)
            + len(step.image)
            + len(step.data_rack)
            + 8 * len(step.after)
            for step in self.steps
        )

    def get_due_wall_ms(self, occurrence: int) -> int:
        """Returns when an occurrence is due.

        Args:
            occurrence: Number of the occurrence, from 0.

        Returns:
            Unix time in milliseconds; 0 for immediately.
        """
        if not self.is_timed:
            return 0
        return self.first_due_wall_ms + occurrence * self.period_ms


class JobState(enum.Enum):
    """State of a job, as callers see it."""

    WAITING = "waiting"
    ACTIVE = "active"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class RunEnd(enum.Enum):
    """How a run ended, as reported by its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    REFUSED = "refused"


class TaskRef(typing.NamedTuple):
    """Identifies a task: job, occurrence, step, and index within the step."""

    job: str
    occurrence: int
    step: int
    task_index: int

    @property
    def position(self) -> str:
        """Occurrence, step and index, for log lines that also name the job."""
        return f"{self.occurrence}.{self.step}.{self.task_index}"


class WorkerIncarnation(typing.NamedTuple):
    """Identifies a worker between two restarts.

    A worker that restarts keeps its id but is a new incarnation.
    """

    worker: str
    born_wall_ms: int


def find_spec_fault(spec: JobSpec) -> str:
    """Checks the rules for a job that the types of its fields do not express.

    Args:
        spec: Specification to check.

    Returns:
        One sentence about the first fault; empty if there is none.
    """
    if not spec.steps:
        return "a job needs at least one step"
    if len(spec.steps) > MAX_STEPS:
        return f"{len(spec.steps)} steps; at most {MAX_STEPS} are taken"
    tasks = spec.count_tasks()
    if tasks > MAX_TASKS:
        return (
            f"{tasks} tasks in all occurrences; at most {MAX_TASKS} are taken"
        )
    body_bytes = order_sizes.measure_text(spec.body)
    if body_bytes > order_sizes.MAX_BODY_BYTES:
        return (
            f"a body of {body_bytes} bytes in an order; at most"
            f" {order_sizes.MAX_BODY_BYTES} are delivered"
        )
    order_bytes = order_sizes.measure_start(body_bytes)
    for i, step in enumerate(spec.steps):
        if step.is_gang and (
            step.count * order_bytes > order_sizes.MAX_GANG_BYTES
        ):
            return (
                f"step {i}: the orders of a gang of {step.count} tasks are"
                f" {step.count * order_bytes} bytes; at most"
                f" {order_sizes.MAX_GANG_BYTES} arrive in time"
            )
        for earlier in step.after:
            if earlier >= i:
                return f"step {i} depends on step {earlier}, not an earlier one"
    return ""
