"""Calls that processes pass to the scheduling leader, and their answers.

They are the boundary between whoever speaks to callers, workers and operators
and the one that decides. Encoded by msgpack inside the peers' envelope.
"""

import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.core import packing
from bambookeel.jobs import specs


class SubmitJob(msgspec.Struct, frozen=True, tag="submit"):
    """Hands a job in; the same id again meets the first outcome."""

    host: str
    path: str
    key: str
    job: str
    spec: specs.JobSpec | None
    fault: str = ""


class AskJob(msgspec.Struct, frozen=True, tag="ask"):
    """Asks for a job's state."""

    host: str
    path: str
    key: str
    job: str


class CancelJob(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels a job."""

    host: str
    path: str
    key: str
    job: str


class CountJobs(msgspec.Struct, frozen=True, tag="count"):
    """Asks how many jobs of a queue have not begun."""

    host: str
    path: str
    key: str


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker lists.

    Attributes:
        task: The task.
        run: Its number.
        saved: The newest checkpoint.
        percent: Share of its full speed.
        tail_ms: Tail of its response times, for a serving task.
    """

    task: specs.TaskRef
    run: int
    saved: str = ""
    percent: int = 0
    tail_ms: int = 0


class ListedEnd(msgspec.Struct, frozen=True, array_like=True):
    """An end that a worker lists until it is acknowledged."""

    number: int
    task: specs.TaskRef
    run: int
    how: specs.RunEnd
    saved: str = ""


class WorkerReport(msgspec.Struct, frozen=True, tag="report"):
    """What a worker says of itself.

    Attributes:
        life: The worker's id and start.
        instance: The instance that it runs on; empty where unknown.
        address: Where it listens.
        service: Its service.
        data_centre: Where it is.
        number: Grows with each report of a life.
        capacity: What it has.
        labels: Kind and rack.
        is_leaving: Whether it drains.
        leaves_in_ms: Shortest time until it ends; -1 where unknown.
        running: All that runs there.
        ends: Ends that nobody has acknowledged.
    """

    life: specs.WorkerLife
    instance: str
    address: str
    service: str
    data_centre: str
    number: int
    capacity: specs.Resources
    labels: tuple[str, ...]
    is_leaving: bool
    leaves_in_ms: int
    running: tuple[RunningRun, ...]
    ends: tuple[ListedEnd, ...]


class WorkerLeft(msgspec.Struct, frozen=True, tag="left"):
    """A worker has ended in an orderly way."""

    worker: str
    born_wall_ms: int


class PutDocument(msgspec.Struct, frozen=True, tag="put"):
    """An operator hands in a configuration."""

    document: configuration.Document


class GetDocument(msgspec.Struct, frozen=True, tag="get"):
    """Reads the newest configuration."""


class StartWave(msgspec.Struct, frozen=True, tag="wave"):
    """An operator asks for the upkeep of instances."""

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    max_at_once: int


class AskWave(msgspec.Struct, frozen=True, tag="askwave"):
    """Asks whether a wave is complete."""

    wave: int


Call = (
    SubmitJob
    | AskJob
    | CancelJob
    | CountJobs
    | WorkerReport
    | WorkerLeft
    | PutDocument
    | GetDocument
    | StartWave
    | AskWave
)


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The call was carried out and is on record."""


class NotStored(msgspec.Struct, frozen=True, tag="notstored"):
    """The call was refused and never takes effect.

    Attributes:
        reason: One sentence.
        retry_after_ms: When to come back; 0 where it would not help.
        is_overload: Whether the load is the reason.
    """

    reason: str
    retry_after_ms: int
    is_overload: bool = False


class UnknownQueue(msgspec.Struct, frozen=True, tag="noqueue"):
    """No queue has this place."""


class BadKey(msgspec.Struct, frozen=True, tag="badkey"):
    """The key is of no team."""


class BadRequest(msgspec.Struct, frozen=True, tag="bad"):
    """The call itself is malformed."""

    reason: str


class NoSuchJob(msgspec.Struct, frozen=True, tag="nojob"):
    """No such job or wave is known."""


class JobIs(msgspec.Struct, frozen=True, tag="jobis"):
    """A job's state."""

    state: specs.JobState


class Pending(msgspec.Struct, frozen=True, tag="pending"):
    """How many jobs of the queue have not begun."""

    count: int


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """A run to start."""

    task: specs.TaskRef
    run: int
    body: str
    saved: str
    ticket: str


class WorkerOrders(msgspec.Struct, frozen=True, tag="orders"):
    """What a worker is told.

    Attributes:
        lease_ms: How long what runs may go on, from the report's sending.
        acknowledged: Ends up to this number are on record.
        fencing_token: Grows with each leader.
        starts: Runs to start.
        stops: Runs to stop.
        paces: Runs with the percentage of their speed.
        report_in_ms: When to report next.
    """

    lease_ms: int
    acknowledged: int
    fencing_token: int
    starts: tuple[StartOrder, ...]
    stops: tuple[tuple[specs.TaskRef, int], ...]
    paces: tuple[tuple[specs.TaskRef, int, int], ...]
    report_in_ms: int


class DocumentIs(msgspec.Struct, frozen=True, tag="doc"):
    """The newest configuration, as it was handed in."""

    original: bytes


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The configuration is invalid."""

    faults: tuple[tuple[str, str], ...]


class WaveIs(msgspec.Struct, frozen=True, tag="waveis"):
    """Whether a wave is complete."""

    is_complete: bool


class NotLeading(msgspec.Struct, frozen=True, tag="notleading"):
    """Another process leads, or none; the call may have taken effect.

    Attributes:
        leader: Process id of the leader as far as known; empty for none.
        is_unknown: Whether the call may still take effect.
    """

    leader: str
    is_unknown: bool


Answer = (
    Done
    | NotStored
    | UnknownQueue
    | BadKey
    | BadRequest
    | NoSuchJob
    | JobIs
    | Pending
    | WorkerOrders
    | DocumentIs
    | Invalid
    | WaveIs
    | NotLeading
)

_CALL_DECODER = msgspec.msgpack.Decoder(Call)
_ANSWER_DECODER = msgspec.msgpack.Decoder(Answer)


def encode_call(call: Call) -> bytes:
    """Encodes a call.

    Args:
        call: The call.

    Returns:
        The bytes.
    """
    return packing.compress(msgspec.msgpack.encode(call))


def encode_answer(answer: Answer) -> bytes:
    """Encodes an answer.

    Args:
        answer: The answer.

    Returns:
        The bytes.
    """
    return packing.compress(msgspec.msgpack.encode(answer))


def decode_call(payload: bytes) -> Call:
    """Decodes a call.

    Args:
        payload: What `encode_call` gave.

    Returns:
        The call.
    """
    return _CALL_DECODER.decode(packing.decompress(payload))


def decode_answer(payload: bytes) -> Answer:
    """Decodes an answer.

    Args:
        payload: What `encode_answer` gave.

    Returns:
        The answer.
    """
    return _ANSWER_DECODER.decode(packing.decompress(payload))
