"""Calls to the scheduling leader, and their answers.

Any process accepts requests of callers, workers and operators and passes them
to the leader as these calls. They are encoded as msgpack inside the envelope
that the processes use among themselves.
"""

import typing
import zlib

import msgspec
from returns import result

from bambookeel.configuration import document as configuration
from bambookeel.core import packing
from bambookeel.jobs import specs


class SubmitJob(msgspec.Struct, frozen=True, tag="submit"):
    """Submits a job; repeating the id of an admitted job changes nothing."""

    host: str
    path: str
    key: str
    job: str
    spec: specs.JobSpec | None
    fault: str = ""


class AskJob(msgspec.Struct, frozen=True, tag="ask"):
    """Requests the state of a job."""

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
    """Requests the number of jobs of a queue that have not begun."""

    host: str
    path: str
    key: str


class RunningRun(msgspec.Struct, frozen=True, array_like=True):
    """A run in a worker's report that is in progress.

    Attributes:
        task: Task of the run.
        run: Number of the run.
        saved: The newest checkpoint; empty for none.
        percent: Progress of the run, or for a standing task its share of full
            speed.
        tail_ms: Tail latency of a serving task, in milliseconds.
    """

    task: specs.TaskRef
    run: int
    saved: str = ""
    percent: int = 0
    tail_ms: int = 0


class ListedEnd(msgspec.Struct, frozen=True, array_like=True):
    """An ended run that a worker reports until it is acknowledged."""

    number: int
    task: specs.TaskRef
    run: int
    how: specs.RunEnd
    saved: str = ""


class WorkerReport(msgspec.Struct, frozen=True, tag="report"):
    """Periodic report of a worker's state.

    Attributes:
        life: Incarnation of the worker: its id and start time.
        instance: Instance that the worker runs on; empty if unknown.
        address: Address that the worker listens on.
        service: Service that the worker belongs to.
        data_centre: Data centre of the worker.
        number: Sequence number; increases with each report of an incarnation.
        capacity: Resources of the worker.
        labels: Labels for placement, such as the kind of instance; the last
            one is the rack.
        is_leaving: Whether the worker is draining and gets no new runs.
        leaves_in_ms: Shortest time in milliseconds until the worker stops; -1
            if unknown.
        running: All runs in progress on the worker.
        ends: Ended runs whose ends the leader has not acknowledged.
        clock_ms: Steady clock of the worker in milliseconds at the sending of
            the report; its origin is arbitrary.
        cold_left_ms: Time in milliseconds for which its runs may be slow.
    """

    life: specs.WorkerIncarnation
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
    clock_ms: int
    cold_left_ms: int = 0


class WorkerLeft(msgspec.Struct, frozen=True, tag="left"):
    """A worker has shut down in an orderly way."""

    worker: str
    born_wall_ms: int


class PutDocument(msgspec.Struct, frozen=True, tag="put"):
    """An operator submits a configuration."""

    document: configuration.Document


class GetDocument(msgspec.Struct, frozen=True, tag="get"):
    """Requests the configuration in force."""


class StartWave(msgspec.Struct, frozen=True, tag="wave"):
    """An operator requests the upkeep of instances."""

    wave: int
    instances: tuple[str, ...]
    duration_ms: int
    max_at_once: int


class AskWave(msgspec.Struct, frozen=True, tag="askwave"):
    """Asks whether a wave of upkeep is complete."""

    wave: int


class BeginEvacuation(msgspec.Struct, frozen=True, tag="evacuate"):
    """An operator begins the evacuation of a data centre."""

    data_centre: str


class EndEvacuation(msgspec.Struct, frozen=True, tag="evacuated"):
    """An operator ends the evacuation of a data centre."""

    data_centre: str


class ListEvacuations(msgspec.Struct, frozen=True, tag="evacuations"):
    """Requests the evacuations in force."""


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
    | BeginEvacuation
    | EndEvacuation
    | ListEvacuations
)


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The call has taken effect, and its effect is committed."""


class NotStored(msgspec.Struct, frozen=True, tag="notstored"):
    """The call was refused and never takes effect.

    Attributes:
        reason: One sentence for the caller.
        retry_after_ms: Delay in milliseconds before a retry; 0 if a retry would
            not help.
        is_overload: Whether the call was refused because of the load.
    """

    reason: str
    retry_after_ms: int
    is_overload: bool = False


class UnknownQueue(msgspec.Struct, frozen=True, tag="noqueue"):
    """No queue has this host and path."""


class BadKey(msgspec.Struct, frozen=True, tag="badkey"):
    """The key belongs to no team."""


class BadRequest(msgspec.Struct, frozen=True, tag="bad"):
    """The call itself is malformed."""

    reason: str


class NoSuchJob(msgspec.Struct, frozen=True, tag="nojob"):
    """The job or wave does not exist."""


class UnknownDataCentre(msgspec.Struct, frozen=True, tag="nocentre"):
    """The deployment has no data centre of this name."""


class JobIs(msgspec.Struct, frozen=True, tag="jobis"):
    """State of a job.

    Attributes:
        state: The state.
        reason: Why the job has failed, for its caller; empty otherwise.
    """

    state: specs.JobState
    reason: str = ""


class Pending(msgspec.Struct, frozen=True, tag="pending"):
    """Number of jobs of the queue that have not begun."""

    count: int


class StartOrder(msgspec.Struct, frozen=True, array_like=True):
    """Order to a worker to start a run."""

    task: specs.TaskRef
    run: int
    body: str
    saved: str
    ticket: str


class WorkerOrders(msgspec.Struct, frozen=True, tag="orders"):
    """Answer to a worker's report.

    Attributes:
        lease_ms: Time in milliseconds for which the worker's runs may continue,
            counted from the sending of the report.
        acknowledged: Ends up to this number are committed.
        fencing_token: Increases with each leader.
        starts: Runs to start.
        stops: Runs to stop.
        paces: Filler runs with their pace in percent of full speed.
        report_in_ms: Delay in milliseconds until the next report.
    """

    lease_ms: int
    acknowledged: int
    fencing_token: int
    starts: tuple[StartOrder, ...]
    stops: tuple[tuple[specs.TaskRef, int], ...]
    paces: tuple[tuple[specs.TaskRef, int, int], ...]
    report_in_ms: int


class DocumentIs(msgspec.Struct, frozen=True, tag="doc"):
    """The configuration in force, as it was submitted."""

    original: bytes


class Invalid(msgspec.Struct, frozen=True, tag="invalid"):
    """The configuration is invalid; each fault has a place and a message."""

    faults: tuple[tuple[str, str], ...]


class WaveIs(msgspec.Struct, frozen=True, tag="waveis"):
    """State of a wave of upkeep."""

    is_complete: bool


class EvacuationsAre(msgspec.Struct, frozen=True, tag="evacuationsare"):
    """Evacuated data centres, each with the Unix time in ms of the begin."""

    begun: tuple[tuple[str, int], ...]


class NotLeading(msgspec.Struct, frozen=True, tag="notleading"):
    """Another process leads, or none does; the call may have taken effect.

    Attributes:
        leader: Process id of the leader; empty if none is known.
        is_unknown: Whether the call may still take effect.
        retry_after_ms: Delay in milliseconds before a retry.
    """

    leader: str
    is_unknown: bool
    retry_after_ms: int = 0


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
    | UnknownDataCentre
    | EvacuationsAre
    | NotLeading
)

# Limit of a reason, which becomes part of a log line.
_MAX_REASON_CHARS = 200
_CALL_DECODER = msgspec.msgpack.Decoder(Call)
_ANSWER_DECODER = msgspec.msgpack.Decoder(Answer)


def encode_call(call: Call) -> bytes:
    """Encodes a call for `decode_call`.

    Args:
        call: The call to encode.

    Returns:
        The call as msgpack, compressed if it is large.
    """
    return packing.compress(msgspec.msgpack.encode(call))


def encode_answer(answer: Answer) -> bytes:
    """Encodes an answer for `decode_answer`.

    Args:
        answer: The answer to encode.

    Returns:
        The answer as msgpack, compressed if it is large.
    """
    return packing.compress(msgspec.msgpack.encode(answer))


def _decode(
    decoder: msgspec.msgpack.Decoder[typing.Any], payload: bytes
) -> result.Result[typing.Any, str]:
    try:
        return result.Success(decoder.decode(packing.decompress(payload)))
    except (zlib.error, ValueError, RecursionError) as error:
        return result.Failure(str(error)[:_MAX_REASON_CHARS])


def decode_call(payload: bytes) -> result.Result[Call, str]:
    """Decodes a call.

    Args:
        payload: Result of `encode_call`.

    Returns:
        The decoded call, or why it cannot be decoded.
    """
    return _decode(_CALL_DECODER, payload)


def decode_answer(payload: bytes) -> result.Result[Answer, str]:
    """Decodes an answer.

    Args:
        payload: Result of `encode_answer`.

    Returns:
        The decoded answer, or why it cannot be decoded.
    """
    return _decode(_ANSWER_DECODER, payload)
