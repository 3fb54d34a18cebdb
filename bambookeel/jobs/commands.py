"""Changes of the job book, as they stand in the replicated log.

One log entry holds a batch of commands, applied in order. A command carries
everything that its effect depends on, so that all replicas agree.
"""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.core import packing
from bambookeel.jobs import specs


class PutConfiguration(msgspec.Struct, frozen=True, tag="conf"):
    """Puts a configuration in force."""

    document: configuration.Document


class AdmitJob(msgspec.Struct, frozen=True, tag="admit"):
    """Takes a job in."""

    job: str
    queue: str
    team: str
    spec: specs.JobSpec
    at_wall_ms: int


class CancelJob(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels a job."""

    job: str
    at_wall_ms: int


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task that a worker is to start.

    Attributes:
        task: The task.
        run: Number of the run.
        ticket: The advisor's approval; empty where none is needed.
    """

    task: specs.TaskRef
    run: int
    ticket: str = ""


class AssignRuns(msgspec.Struct, frozen=True, tag="assign"):
    """Gives runs to a worker, before it is told.

    Attributes:
        life: The worker.
        heard: Number of its last heartbeat; a later one that does not list a
            run shows that the worker was not told of it.
        runs: The runs.
    """

    life: specs.WorkerLife
    heard: int
    runs: tuple[Assignment, ...]


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """One run that a worker has listed as ended."""

    task: specs.TaskRef
    run: int
    how: specs.RunEnd
    saved: str = ""


class EndRuns(msgspec.Struct, frozen=True, tag="end"):
    """Takes note of ends that a worker has listed."""

    life: specs.WorkerLife
    ends: tuple[EndedRun, ...]
    at_wall_ms: int


class LoseRuns(msgspec.Struct, frozen=True, tag="lose"):
    """Gives runs up that have surely ended or were never started."""

    life: specs.WorkerLife
    reason: str
    runs: tuple[tuple[specs.TaskRef, int, str], ...]


class DropJobs(msgspec.Struct, frozen=True, tag="drop"):
    """Forgets jobs that ended long ago."""

    jobs: tuple[str, ...]


class StartWave(msgspec.Struct, frozen=True, tag="wave"):
    """Asks for the upkeep of instances.

    Attributes:
        wave: Its number.
        instances: The instances.
        duration_ms: Time in which all should have begun.
        max_at_once: Most instances that may be down for it at a time.
        at_wall_ms: When it was asked for.
    """

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    max_at_once: int
    at_wall_ms: int


class UpkeepAsked(msgspec.Struct, frozen=True, tag="upkeep"):
    """An upkeep is about to be ordered from the platform."""

    wave: int
    instance: str


class UpkeepEnded(msgspec.Struct, frozen=True, tag="upkept"):
    """An upkeep has been carried out, or the instance is gone."""

    wave: int
    instance: str


class NoteOrder(msgspec.Struct, frozen=True, tag="order"):
    """Notes that an order for an instance is about to be sent.

    A later leader must not order the same instance soon after.
    """

    instance: str
    at_wall_ms: int


class NotePools(msgspec.Struct, frozen=True, tag="pools"):
    """Notes how the operators divided the instances among the pools."""

    sizes: tuple[tuple[str, int], ...]


Command = (
    PutConfiguration
    | AdmitJob
    | CancelJob
    | AssignRuns
    | EndRuns
    | LoseRuns
    | DropJobs
    | StartWave
    | UpkeepAsked
    | UpkeepEnded
    | NotePools
    | NoteOrder
)

_DECODER = msgspec.msgpack.Decoder(tuple[Command, ...])


def encode_batch(batch: tuple[Command, ...]) -> bytes:
    """Encodes the commands of one log entry.

    Args:
        batch: The commands.

    Returns:
        The bytes.
    """
    return packing.compress(msgspec.msgpack.encode(batch))


def decode_batch(payload: bytes) -> tuple[Command, ...]:
    """Decodes the commands of one log entry.

    Args:
        payload: What `encode_batch` gave.

    Returns:
        The commands.
    """
    return _DECODER.decode(packing.decompress(payload))
