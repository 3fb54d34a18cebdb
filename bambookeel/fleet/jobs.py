"""Records of jobs, their tasks and the platform's reports of tasks.

A job's status stores its tasks, one entry for each task that has been placed at
least once. A task id identifies one attempt, so that the platform starts every
attempt at most once, no matter how often it receives the order.
"""

from collections.abc import Mapping
import dataclasses
import enum

import msgspec

from bambookeel.core import ids
from bambookeel.core import resources


class TaskState(enum.Enum):
    """State of one task of a job."""

    PENDING = "pending"
    RUNNING = "running"
    STOPPING = "stopping"
    DONE = "done"


class TaskPhase(enum.Enum):
    """State of an attempt as its worker reports it."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"


class JobState(enum.Enum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    PARKED = "parked"
    CANCELLED = "cancelled"


# States in which an attempt may be running on a worker.
ACTIVE_STATES = frozenset((TaskState.RUNNING, TaskState.STOPPING))
ENDED_STATES = frozenset((JobState.DONE, JobState.PARKED, JobState.CANCELLED))


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that failed, or during which its worker crashed.

    Attributes:
        worker: The worker on which it ran.
        at_ms: Wall time at which the leader learnt of it.
    """

    worker: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Task:
    """One task of a job.

    Attributes:
        index: Number of the task within the job, from 0.
        state: State of the task.
        attempt: Version of the job's resource on which the latest attempt was
            placed, so that attempts are told apart from those of an earlier job
            of the same name; 0 before the first.
        worker: The worker of the latest attempt.
        incarnation: Incarnation of that worker when the attempt was placed.
        started_ms: Wall time at which the latest attempt was placed.
        failures: The failed attempts.
        crashes: The attempts during which the worker restarted.
    """

    index: int
    state: TaskState = TaskState.PENDING
    attempt: int = 0
    worker: str = ""
    incarnation: int = 0
    started_ms: int = 0
    failures: tuple[Failure, ...] = ()
    crashes: tuple[Failure, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A job as stored in the replicated state.

    Attributes:
        name: Name of the job.
        version: Version of its resource.
        spec: The spec that was submitted.
        state: State of the job.
        reason: Why it is in this state.
        tasks: All its tasks, by index.
        peak_cores: Largest reported number of cores in use by one task.
        peak_memory_mb: Largest reported memory use of one task.
        ended_ms: Wall time of its end; 0 while it has not ended.
    """

    name: str
    version: ids.StateVersion
    spec: resources.JobSpec
    state: JobState = JobState.QUEUED
    reason: str = "waits for placement"
    tasks: tuple[Task, ...] = ()
    peak_cores: int = 0
    peak_memory_mb: int = 0
    ended_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TaskReport:
    """A worker's report of one attempt; figures of usage lag behind.

    Attributes:
        task_id: Id of the attempt, from `render_task_id`.
        phase: State of the attempt.
        cores_used: Cores in use; 0 while unknown.
        memory_used_mb: Memory in use; 0 while unknown.
        throttled: Whether the worker throttles it.
    """

    task_id: str
    phase: TaskPhase
    cores_used: int = 0
    memory_used_mb: int = 0
    throttled: bool = False


def render_task_id(job: str, task: Task) -> ids.TaskId:
    """Builds the id of the latest attempt of a task.

    Args:
        job: Name of the job.
        task: A task of the job.

    Returns:
        An id unique among all attempts of all jobs.
    """
    return ids.TaskId(f"{job}.{task.index}.{task.attempt}")


def _read_tasks(text: str, count: int) -> tuple[Task, ...]:
    placed = {}
    if text:
        decoded = msgspec.json.decode(text, type=tuple[Task, ...])
        placed = {task.index: task for task in decoded}
    return tuple(placed.get(i) or Task(index=i) for i in range(count))


def _read_int(details: Mapping[str, str], name: str) -> int:
    text = details.get(name, "")
    return int(text) if text.isdecimal() else 0


def read_job(resource: resources.Resource) -> Job:
    """Reads a job from its resource.

    Args:
        resource: A resource of kind `JOB`.

    Returns:
        The job, with tasks never placed as pending.
    """
    assert isinstance(resource.spec, resources.JobSpec)
    details = resource.status.details
    state = JobState.QUEUED
    if resource.status.state:
        state = JobState(resource.status.state)
    return Job(
        name=resource.name,
        version=resource.version,
        spec=resource.spec,
        state=state,
        reason=details.get("reason", ""),
        tasks=_read_tasks(details.get("tasks", ""), resource.spec.tasks),
        peak_cores=_read_int(details, "peak_cores"),
        peak_memory_mb=_read_int(details, "peak_memory_mb"),
        ended_ms=_read_int(details, "ended_ms"),
    )


def write_job_status(job: Job) -> resources.Status:
    """Builds the status that stores a job's state.

    Args:
        job: The job to store.

    Returns:
        The status, from which `read_job` restores the job.
    """
    placed = tuple(task for task in job.tasks if task != Task(index=task.index))
    done = sum(task.state is TaskState.DONE for task in job.tasks)
    running = sum(task.state is TaskState.RUNNING for task in job.tasks)
    failed = sum(len(task.failures) for task in job.tasks)
    message = (
        f"{done} of {len(job.tasks)} tasks done, {running} running,"
        f" {failed} attempts failed; {job.reason}"
    )
    condition = resources.Condition(
        "Progressing",
        job.state not in (JobState.PARKED, JobState.CANCELLED),
        job.state.value,
        message,
    )
    details = {
        "reason": job.reason,
        "tasks": msgspec.json.encode(placed).decode() if placed else "",
        "peak_cores": str(job.peak_cores or ""),
        "peak_memory_mb": str(job.peak_memory_mb or ""),
        "ended_ms": str(job.ended_ms or ""),
    }
    kept = {name: text for name, text in details.items() if text}
    return resources.Status(
        state=job.state.value, conditions=(condition,), details=kept
    )


def replace_task(job: Job, task: Task) -> Job:
    """Replaces one task of a job.

    Args:
        job: The job before the change.
        task: The new record of the task with the same index.

    Returns:
        The job with the task replaced.
    """
    tasks = list(job.tasks)
    tasks[task.index] = task
    return dataclasses.replace(job, tasks=tuple(tasks))


def list_active_workers(job: Job) -> list[str]:
    """Lists the workers on which attempts of a job may run.

    Args:
        job: The job.

    Returns:
        The worker of each active attempt.
    """
    return [task.worker for task in job.tasks if task.state in ACTIVE_STATES]
