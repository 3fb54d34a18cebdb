"""Commands that change the job book, as stored in the replicated log.

One log entry holds a batch of commands, which are applied in order. A command
contains everything that its effect depends on besides the book, such as the
time, so that all replicas stay equal.
"""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.core import packing
from bambookeel.jobs import specs


class PutConfiguration(msgspec.Struct, frozen=True, tag="conf"):
    """Puts a configuration in force."""

    document: configuration.Document


class AdmitJob(msgspec.Struct, frozen=True, tag="admit"):
    """Admits a job.

    Attributes:
        job: Id that the caller chose.
        queue: Name of the queue in the configuration in force.
        team: Name of the team in it; empty for a caller without one.
        spec: What the caller submitted.
        at_wall_ms: Unix time in milliseconds.
        place: Host and path of the queue at which it was submitted; None in
            logs of earlier versions.
        key: Key with which it was submitted; empty if it is no team's, and in
            logs of earlier versions.
    """

    job: str
    queue: str
    team: str
    spec: specs.JobSpec
    at_wall_ms: int
    place: tuple[str, str] | None = None
    key: str = ""


class CancelJob(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels a job."""

    job: str
    at_wall_ms: int


class Assignment(msgspec.Struct, frozen=True, array_like=True):
    """One run of a task that a worker should start.

    Attributes:
        task: Task of the run.
        run: Number of the run.
        ticket: The advisor's approval; empty where none is needed.
    """

    task: specs.TaskRef
    run: int
    ticket: str = ""


class AssignRuns(msgspec.Struct, frozen=True, tag="assign"):
    """Assigns runs to a worker; committed before the worker gets the order.

    Attributes:
        life: Incarnation of the worker.
        heard: Number of the worker's last report. Only the answers to this
            report and to the next one may carry the order, unless
            `RepeatOrders` allows more.
        runs: Runs that are assigned.
        instance: Instance that the worker runs on; empty if unknown, and in
            logs of earlier versions.
        at_wall_ms: Unix time in milliseconds of the assignment; 0 in logs of
            earlier versions.
    """

    life: specs.WorkerIncarnation
    heard: int
    runs: tuple[Assignment, ...]
    instance: str = ""
    at_wall_ms: int = 0


class RepeatOrders(msgspec.Struct, frozen=True, tag="again"):
    """Lets further answers carry orders; committed before they are sent.

    Attributes:
        life: Incarnation of the worker.
        number: Number of the last report whose answer may carry the orders.
        runs: Task and number of each run to start.
    """

    life: specs.WorkerIncarnation
    number: int
    runs: tuple[tuple[specs.TaskRef, int], ...]


class AdoptRuns(msgspec.Struct, frozen=True, tag="adopt"):
    """Assigns runs of a former life to the later life that has received them.

    Attributes:
        former: Life of the worker to which the runs were assigned.
        life: Later life of the same worker, which has reported them.
        number: Number of its report.
        runs: Task and number of each run.
    """

    former: specs.WorkerIncarnation
    life: specs.WorkerIncarnation
    number: int
    runs: tuple[tuple[specs.TaskRef, int], ...]


class EndedRun(msgspec.Struct, frozen=True, array_like=True):
    """One run that a worker has reported as ended."""

    task: specs.TaskRef
    run: int
    how: specs.RunEnd
    saved: str = ""


class EndRuns(msgspec.Struct, frozen=True, tag="end"):
    """Records the ends of runs that a worker has reported, and first starts.

    Attributes:
        life: Incarnation of the worker.
        ends: The ends.
        at_wall_ms: Unix time in milliseconds.
        begun: Jobs whose first run the worker has reported; empty in logs of
            earlier versions.
    """

    life: specs.WorkerIncarnation
    ends: tuple[EndedRun, ...]
    at_wall_ms: int
    begun: tuple[str, ...] = ()


class LoseRuns(msgspec.Struct, frozen=True, tag="lose"):
    """Removes runs that are known to have ended or were never started.

    Attributes:
        life: Incarnation of the worker.
        reason: Why they are removed, for the log.
        runs: Task, run number and newest checkpoint of each run.
        instance: Instance that the worker runs on; empty if unknown, and in
            logs of earlier versions.
        suspects: Tasks that have crashed the worker if it turns out to have
            crashed, with the weight of the evidence against each.
        at_wall_ms: Unix time in milliseconds; 0 if there are no suspects, and
            in logs of earlier versions.
    """

    life: specs.WorkerIncarnation
    reason: str
    runs: tuple[tuple[specs.TaskRef, int, str], ...]
    instance: str = ""
    suspects: tuple[tuple[specs.TaskRef, int], ...] = ()
    at_wall_ms: int = 0


class WorkerCrashed(msgspec.Struct, frozen=True, tag="crashed"):
    """Counts the crash of a worker against the suspects of its last loss."""

    life: specs.WorkerIncarnation


class WorkerReturned(msgspec.Struct, frozen=True, tag="returned"):
    """Drops the suspects of a worker that was silent but has not crashed."""

    life: specs.WorkerIncarnation


class ClearTasks(msgspec.Struct, frozen=True, tag="clear"):
    """Drops the evidence against standing tasks that have started safely."""

    tasks: tuple[specs.TaskRef, ...]


class GiveUpJob(msgspec.Struct, frozen=True, tag="giveup"):
    """Ends a job as failed because one of its tasks crashes workers.

    Attributes:
        job: The job.
        reason: Why it is given up, for its caller.
        at_wall_ms: Unix time in milliseconds.
        task: The task; None in logs of earlier versions.
    """

    job: str
    reason: str
    at_wall_ms: int
    task: specs.TaskRef | None = None


class DropJobs(msgspec.Struct, frozen=True, tag="drop"):
    """Removes jobs that ended long ago."""

    jobs: tuple[str, ...]


class StartWave(msgspec.Struct, frozen=True, tag="wave"):
    """Records a wave of upkeep that an operator has requested.

    Attributes:
        wave: Number of the wave.
        instances: Instances that need the upkeep.
        duration_ms: Time in milliseconds within which the upkeep of all
            instances should have begun.
        max_at_once: Maximum number of instances that are down at a time.
        at_wall_ms: Unix time in milliseconds of the request.
    """

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    max_at_once: int
    at_wall_ms: int


class UpkeepOrdered(msgspec.Struct, frozen=True, tag="upkeep"):
    """Records that an upkeep is about to be ordered from the platform."""

    wave: int
    instance: str


class UpkeepEnded(msgspec.Struct, frozen=True, tag="upkept"):
    """Records that an upkeep is done or that the instance no longer exists."""

    wave: int
    instance: str


class RecordOrder(msgspec.Struct, frozen=True, tag="order"):
    """Records that an order for an instance is about to be sent.

    The order may still arrive after a change of leader, so that a later leader
    must not send one for the same instance soon afterwards.
    """

    instance: str
    at_wall_ms: int


class RecordPoolSizes(msgspec.Struct, frozen=True, tag="pools"):
    """Records how the operators divided the instances among the pools."""

    sizes: tuple[tuple[str, int], ...]


class WorkerEnded(msgspec.Struct, frozen=True, tag="left"):
    """Records that an incarnation of a worker has ended for good.

    Its delayed reports must not bring it back, also after a change of leader.
    """

    life: specs.WorkerIncarnation
    at_wall_ms: int


class BeginEvacuation(msgspec.Struct, frozen=True, tag="evacuate"):
    """Begins the evacuation of a data centre, unless it is in force.

    Attributes:
        data_centre: Name of the data centre.
        at_wall_ms: Unix time in milliseconds of the begin.
    """

    data_centre: str
    at_wall_ms: int


class EndEvacuation(msgspec.Struct, frozen=True, tag="evacuated"):
    """Ends the evacuation of a data centre, if one is in force."""

    data_centre: str


Command = (
    PutConfiguration
    | AdmitJob
    | CancelJob
    | AssignRuns
    | RepeatOrders
    | AdoptRuns
    | EndRuns
    | LoseRuns
    | WorkerCrashed
    | WorkerReturned
    | ClearTasks
    | GiveUpJob
    | DropJobs
    | StartWave
    | UpkeepOrdered
    | UpkeepEnded
    | RecordPoolSizes
    | RecordOrder
    | WorkerEnded
    | BeginEvacuation
    | EndEvacuation
)

_DECODER = msgspec.msgpack.Decoder(tuple[Command, ...])


def encode_batch(batch: tuple[Command, ...]) -> bytes:
    """Encodes the commands of one log entry.

    Args:
        batch: Commands in the order in which they are applied.

    Returns:
        The batch as msgpack, compressed if it is large.
    """
    return packing.compress(msgspec.msgpack.encode(batch))


def decode_batch(payload: bytes) -> tuple[Command, ...]:
    """Decodes the commands of one log entry.

    Args:
        payload: Result of `encode_batch`.

    Returns:
        Commands in the order in which they are applied.
    """
    return _DECODER.decode(packing.decompress(payload))
