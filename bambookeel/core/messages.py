"""Messages between the system's own processes.

Each message is a frozen data class; `net.codec` turns it into a capnp envelope
by the schema that `tools.generate_schema` writes from `MESSAGE_TYPES`. To add a
message, append its class to that tuple; to add a field, append it to its class.
Neither may be reordered or removed, so that processes of two versions
understand each other during a roll-out.

Times are durations in milliseconds: the clocks of two processes are never
compared.
"""

# pylint: disable=too-many-lines

import dataclasses
import enum
import typing

from bambookeel.core import ids
from bambookeel.core import outcomes


class ProcessRole(enum.IntEnum):
    """The role of a process, told when a link opens."""

    ENTRY = 0
    CONTROL = 1


class BackendState(enum.IntEnum):
    """What a backend server says of itself."""

    SERVING = 0
    LEAVING = 1


# --- Links ---


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first message on a link, in both directions."""

    process_id: ids.ProcessId
    role: ProcessRole
    data_centre: ids.DataCentre
    incarnation: ids.Incarnation
    link_number: ids.LinkNumber


@dataclasses.dataclass(frozen=True, slots=True)
class LinkHeartbeat:
    """Proof of life of a link, sent by both ends."""

    sequence: int


# --- Consensus ---


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        term: Term of the leader that appended it.
        index: Position in the log, from 1.
        is_membership: Whether the payload is a membership record.
        payload: Encoded command or membership; empty for a leader's first.
    """

    term: ids.Term
    index: ids.LogIndex
    is_membership: bool
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with `is_pre_vote` whether one would be given."""

    term: ids.Term
    candidate: ids.MemberId
    last_index: ids.LogIndex
    last_term: ids.Term
    is_pre_vote: bool
    # Set on a leadership hand-over: voters skip the check for a live leader.
    is_hand_over: bool


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a `VoteRequest`."""

    term: ids.Term
    voter: ids.MemberId
    granted: bool
    is_pre_vote: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """Replicates entries, or with none proves that the leader lives.

    `round_number` comes back in the reply, so that the leader can tell which
    of its heartbeats a quorum has answered.
    """

    term: ids.Term
    leader: ids.MemberId
    previous_index: ids.LogIndex
    previous_term: ids.Term
    entries: tuple[LogEntry, ...]
    commit_index: ids.LogIndex
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Answers an `AppendRequest`, or a complete snapshot.

    Attributes:
        match_index: On success the last index known to match and be synced;
            on failure a hint where the leader should try next.
    """

    term: ids.Term
    follower: ids.MemberId
    success: bool
    match_index: ids.LogIndex
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a snapshot that replaces a follower's log."""

    term: ids.Term
    leader: ids.MemberId
    last_index: ids.LogIndex
    last_term: ids.Term
    offset: int
    data: bytes
    is_last: bool
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPartReply:
    """Acknowledges a part; the leader sends the one at `next_offset`."""

    term: ids.Term
    follower: ids.MemberId
    last_index: ids.LogIndex
    next_offset: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Asks a caught-up follower to start an election at once."""

    term: ids.Term
    leader: ids.MemberId


# --- Control: commands and reads ---


class CommandStatus(enum.IntEnum):
    """What became of a proposed command."""

    COMMITTED = 0
    # Not the leader, or refused before the log: it will never take effect.
    NOT_RUN = 1
    # Appended, but the outcome is not known here; send the same id again.
    UNKNOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks the leader to commit a command (bytes of `state.commands`)."""

    command_id: ids.CommandId
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeReply:
    """Answers `Propose` with the command's encoded outcome."""

    command_id: ids.CommandId
    status: CommandStatus
    leader: ids.ProcessId
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexRequest:
    """Asks the leader for an index that covers every acknowledged change."""

    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadIndexReply:
    """Answers `ReadIndexRequest`; `confirmed` is false on a non-leader."""

    nonce: int
    confirmed: bool
    index: ids.LogIndex
    leader: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """Tells a control replica's member id while the deployment forms.

    Attributes:
        member: The sender with its disk.
        has_membership: Whether its disk knows a membership.
        wants_reply: Whether the receiver should answer with its own.
    """

    member: ids.MemberId
    has_membership: bool
    wants_reply: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRetired:
    """Tells a replica that another disk of its process has replaced it."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLeaving:
    """Tells the leader that a member's process is being stopped."""

    member: ids.MemberId


# --- Control: followers of state ---


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks a control replica for changes after `from_version`.

    Attributes:
        from_version: The version that the follower has.
        subscription: Number of this subscription, from the follower; every
            batch of its stream carries it.
    """

    from_version: ids.StateVersion
    subscription: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """One change of the replicated state.

    Attributes:
        version: The state version after the change.
        payload: Encoded resources that changed (bytes of `state.changes`).
    """

    version: ids.StateVersion
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes in order; with `is_snapshot` they replace all before them.

    Attributes:
        is_snapshot: Whether this is a part of a snapshot.
        is_last: Whether it is the last part.
        to_version: The state version after the batch, or of the snapshot.
        changes: The changes; some versions change nothing.
        subscription: The subscription that the batch belongs to.
    """

    is_snapshot: bool
    is_last: bool
    to_version: ids.StateVersion
    changes: tuple[StateChange, ...]
    subscription: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """One dispatch lease as its holder sees it."""

    service: ids.ServiceName
    epoch: ids.Epoch
    # Set once when the holder gives the lease up.
    released: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHeartbeat:
    """An entry's regular report to control.

    It renews the entry's dispatch leases, proves the freshness of its key
    table and tells which state version it has applied.
    """

    nonce: int
    applied_version: ids.StateVersion
    stopping: bool
    held: tuple[HeldLease, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHeartbeatReply:
    """Answers an `EntryHeartbeat`.

    `committed_version` covers every change acknowledged before the heartbeat
    arrived, if `is_leader`. The leases in `renewed` hold for `lease_ms` from
    the moment the heartbeat was sent.
    """

    nonce: int
    is_leader: bool
    leader: ids.ProcessId
    committed_version: ids.StateVersion
    lease_ms: int
    renewed: tuple[HeldLease, ...]


# --- Limits ---


@dataclasses.dataclass(frozen=True, slots=True)
class TeamDemand:
    """What one service's dispatcher has of a team and wants for it."""

    team: ids.TeamName
    service: ids.ServiceName
    running: int
    waiting: int
    # The largest allotment that the dispatcher may still be using.
    held: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """Marks the account of one service as whole within its message.

    Attributes:
        epoch: The holder's epoch.
        complete: In a request, whether the holder counts everything that
            earlier holders granted; in a reply, whether `earlier` of the
            service's allotments is known.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentRequest:
    """A dispatcher's demand, sent to the control leader.

    A team without a demand has nothing running, waiting or held in the
    services reported.
    """

    nonce: int
    demands: tuple[TeamDemand, ...]
    services: tuple[ServiceReport, ...] = ()
    # Term of the leader whose reply was last adopted.
    answered_term: ids.Term = ids.Term(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """How many of a team's requests one service may run at once."""

    team: ids.TeamName
    service: ids.ServiceName
    amount: int
    # The most that earlier holders of the service may have running.
    earlier: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentReply:
    """Answers `AllotmentRequest`; holds for `lease_ms` from its sending.

    Only the reply to the newest request is adopted.
    """

    nonce: int
    lease_ms: int
    allotments: tuple[Allotment, ...]
    term: ids.Term = ids.Term(0)
    services: tuple[ServiceReport, ...] = ()


# --- Dispatch ---


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnnouncement:
    """A backend server's announcement as an entry received it.

    Attributes:
        age_ms: Time since the entry received it.
        lease_ms: How long it holds.
        running: Requests in its slots, by its own count.
        hops: Entries that have passed it on.
    """

    service: ids.ServiceName
    backend_id: ids.BackendId
    address: str
    incarnation: ids.Incarnation
    sequence: int
    state: BackendState
    slots: int
    connections: int
    lease_ms: int
    age_ms: int
    running: int
    hops: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireSlot:
    """Asks a service's dispatcher for a slot.

    Attributes:
        remaining_ms: Time until the request's deadline.
        idempotency_key: The caller's key, prefixed by its team; or empty.
        waited_ms: Time already spent waiting at an earlier holder.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    team: ids.TeamName
    urgent: bool
    remaining_ms: int
    idempotency_key: ids.IdempotencyKey
    waited_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGranted:
    """Grants a slot of one backend server.

    Attributes:
        start_within_ms: The grant ends unless the request is sent by then.
        connection_allowance: Connections the entry may hold to the server.
        waited_ms: Time from the arrival of `AcquireSlot` to the grant. An
            entry that counts `waited_ms + start_within_ms` from the sending
            of `AcquireSlot` by its own clock never starts a request later
            than `start_within_ms` after the grant was made, also when the
            grant arrives late.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    epoch: ids.Epoch
    grant_id: ids.GrantId
    backend_id: ids.BackendId
    address: str
    incarnation: ids.Incarnation
    start_within_ms: int
    connection_allowance: int
    waited_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused:
    """Refuses a slot; the request did not run."""

    request_id: ids.RequestId
    service: ids.ServiceName
    reason: outcomes.Reason
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotDuplicate:
    """Tells that a request with the same Idempotency-Key came before."""

    request_id: ids.RequestId
    service: ids.ServiceName
    first_request_id: ids.RequestId
    first_entry: ids.ProcessId
    finished: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased:
    """Returns a slot once the request's end is known.

    Attributes:
        backend_fault: Whether the backend server failed the request.
        hold_ms: How long the slot must still count, because the request may
            be running unseen; 0 when its end is known.
    """

    request_id: ids.RequestId
    service: ids.ServiceName
    epoch: ids.Epoch
    grant_id: ids.GrantId
    outcome: outcomes.OutcomeKind
    backend_fault: bool
    duration_ms: int
    hold_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CancelWaiting:
    """Takes waiting requests out of a service's queue."""

    service: ids.ServiceName
    request_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingRequest:
    """A granted request as its entry reports it to a new holder."""

    request_id: ids.RequestId
    team: ids.TeamName
    backend_id: ids.BackendId
    incarnation: ids.Incarnation
    epoch: ids.Epoch
    grant_id: ids.GrantId
    remaining_ms: int
    idempotency_key: ids.IdempotencyKey


@dataclasses.dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """What an entry remembers of a request with an Idempotency-Key."""

    idempotency_key: ids.IdempotencyKey
    request_id: ids.RequestId
    entry: ids.ProcessId
    finished: bool
    outcome: outcomes.OutcomeKind
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecoverRequest:
    """A new holder asks an entry what it has outstanding for a service.

    From then on the entry refuses grants of an older epoch.
    """

    service: ids.ServiceName
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class RecoverReply:
    """Answers `RecoverRequest`."""

    service: ids.ServiceName
    epoch: ids.Epoch
    outstanding: tuple[OutstandingRequest, ...]
    announcements: tuple[BackendAnnouncement, ...]
    records: tuple[IdempotencyRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Asks the first entry for the answer of a request with the same key.

    The answer comes once the first request has ended.

    Attributes:
        fingerprint: Hash of the request, which must equal the first one's.
    """

    request_id: ids.RequestId
    first_request_id: ids.RequestId
    fingerprint: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHeader:
    """One header field of an HTTP answer."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCopy:
    """Answers `FetchAnswer`; the body is only there when `found`.

    Attributes:
        outcome: The first request's outcome; `UNKNOWN` where nothing is known.
        is_other_request: Whether the first request was a different one.
    """

    request_id: ids.RequestId
    found: bool
    status: int
    headers: tuple[AnswerHeader, ...]
    body: bytes
    outcome: outcomes.OutcomeKind
    is_other_request: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeepRecords:
    """Asks a process to keep copies of a service's idempotency records.

    A record with `remaining_ms` 0 is to be dropped. For `incomplete_ms` records
    of the service may be missing everywhere. With `restored` the process has
    again everything that it should keep.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    nonce: int
    records: tuple[IdempotencyRecord, ...]
    incomplete_ms: int = 0
    restored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsKept:
    """Answers `KeepRecords`."""

    service: ids.ServiceName
    epoch: ids.Epoch
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsRequest:
    """A holder asks a process for its copies and its age."""

    service: ids.ServiceName
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsReply:
    """Answers `RecordsRequest`.

    Attributes:
        uptime_ms: Age of the process; what an earlier life of it has
            outstanding is not in its `RecoverReply`.
        incomplete_ms: For how long records may be missing, as it was told.
        restored: Whether a holder has given it everything since its start.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    uptime_ms: int
    records: tuple[IdempotencyRecord, ...]
    incomplete_ms: int = 0
    restored: bool = False


# --- Calls to the scheduling leader ---


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderCall:
    """A call for the scheduling leader; `jobs.calls` holds what it may be.

    Attributes:
        number: Comes back with the answer; new for each try of each process.
        payload: The encoded call.
    """

    number: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderAnswer:
    """Answers `LeaderCall`."""

    number: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderQuestion:
    """Asks a process who leads."""

    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderKnown:
    """Answers `LeaderQuestion`.

    Attributes:
        nonce: That of the question.
        leader: The leader as far as known; empty for none.
        term: Its term.
        is_certain: Whether the answering process itself leads under a lease.
        voters: Processes of the voters, as far as known.
    """

    nonce: int
    leader: ids.ProcessId
    term: ids.Term
    is_certain: bool
    voters: tuple[ids.ProcessId, ...]


# The order gives each message its number on the wire: append only.
MESSAGE_TYPES: tuple[type, ...] = (
    Hello,
    LinkHeartbeat,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotPart,
    SnapshotPartReply,
    TimeoutNow,
    Propose,
    ProposeReply,
    ReadIndexRequest,
    ReadIndexReply,
    Subscribe,
    ChangeBatch,
    EntryHeartbeat,
    EntryHeartbeatReply,
    AllotmentRequest,
    AllotmentReply,
    BackendAnnouncement,
    AcquireSlot,
    SlotGranted,
    SlotRefused,
    SlotDuplicate,
    SlotReleased,
    CancelWaiting,
    RecoverRequest,
    RecoverReply,
    FetchAnswer,
    AnswerCopy,
    ReplicaIdentity,
    KeepRecords,
    RecordsKept,
    RecordsRequest,
    RecordsReply,
    ReplicaRetired,
    LeaderCall,
    LeaderAnswer,
    LeaderQuestion,
    LeaderKnown,
    ReplicaLeaving,
)

# Records that appear only inside messages.
NESTED_TYPES: tuple[type, ...] = (
    LogEntry,
    StateChange,
    HeldLease,
    TeamDemand,
    Allotment,
    OutstandingRequest,
    IdempotencyRecord,
    AnswerHeader,
    ServiceReport,
)

# Any of MESSAGE_TYPES; `match` tells them apart.
Message = typing.Any
