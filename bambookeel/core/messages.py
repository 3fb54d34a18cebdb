"""Messages between the processes of a deployment.

Each message is a frozen data class. `net.codec` encodes it as a capnp envelope
with the schema that `tools.generate_schema` writes from `MESSAGE_TYPES`. To add
a message, append its class to that tuple; to add a field, append it to its
class. Messages and fields must not be reordered or removed, so that processes
of two versions understand each other during a roll-out.

All times are durations in milliseconds, since the clocks of two processes are
never compared.
"""

# pylint: disable=too-many-lines

import dataclasses
import enum
import typing

from bambookeel.core import client_limits
from bambookeel.core import ids
from bambookeel.core import outcomes


class ProcessRole(enum.IntEnum):
    """The role of a process, sent when a link is opened."""

    ENTRY = 0
    CONTROL = 1


class BackendState(enum.IntEnum):
    """The state that a backend server announces."""

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
    """Shows that a link is alive; sent by both ends."""

    sequence: int


# --- Consensus ---


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of the replicated log.

    Attributes:
        term: Term of the leader that appended it.
        index: Position in the log, from 1.
        is_membership: Whether the payload is a membership record.
        payload: Encoded command or membership; empty for the first entry of a
            leader's term.
    """

    term: ids.Term
    index: ids.LogIndex
    is_membership: bool
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote, or with `is_pre_vote` asks if it would be granted."""

    term: ids.Term
    candidate: ids.MemberId
    last_index: ids.LogIndex
    last_term: ids.Term
    is_pre_vote: bool
    # Set in a leadership hand-over: voters skip the check for a live leader.
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
    """Replicates log entries; without entries it is the leader's heartbeat.

    The reply returns `round_number`, from which the leader knows which of its
    heartbeats a quorum has answered.
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
    """Answers an `AppendRequest`, or the last part of a snapshot.

    Attributes:
        match_index: On success the last index that is known to match the
            leader's log and is synced to disk; on failure a hint from which
            index the leader should try next.
    """

    term: ids.Term
    follower: ids.MemberId
    success: bool
    match_index: ids.LogIndex
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a snapshot, which replaces the follower's log."""

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
    """Acknowledges a part; the leader then sends the part at `next_offset`."""

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
    """The result of a proposed command."""

    COMMITTED = 0
    # The process does not lead, or refused the command before appending it; the
    # command will never take effect.
    NOT_RUN = 1
    # Appended, but with an outcome unknown here; propose the same id again.
    UNKNOWN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Asks the leader to commit a command, encoded by `state.commands`."""

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
    """Sends a control replica's member id before a membership is known.

    Attributes:
        member: The sender's member id, which names its process and disk.
        has_membership: Whether a membership is stored on the sender's disk.
        wants_reply: Whether the receiver should reply with its own identity.
    """

    member: ids.MemberId
    has_membership: bool
    wants_reply: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRetired:
    """Tells a replica that a new disk of the same process has replaced it."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLeaving:
    """Tells the leader that a member's process is stopping."""

    member: ids.MemberId


# --- Control: followers of state ---


@dataclasses.dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks a control replica for all changes after `from_version`.

    Attributes:
        from_version: The state version that the follower has applied.
        subscription: Number of this subscription, chosen by the follower and
            repeated in each of its batches.
    """

    from_version: ids.StateVersion
    subscription: int


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """One change of the replicated state.

    Attributes:
        version: The state version after the change.
        payload: The changed resources, encoded by `state.model`.
    """

    version: ids.StateVersion
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes in the order of their versions, or a part of a snapshot.

    Attributes:
        is_snapshot: Whether this is a part of a snapshot, which replaces the
            follower's whole state.
        is_last: Whether it is the last part.
        to_version: The state version after the batch, or of the snapshot.
        changes: The changes; empty if the version changes no resource.
        subscription: Number of the subscription that the batch belongs to.
    """

    is_snapshot: bool
    is_last: bool
    to_version: ids.StateVersion
    changes: tuple[StateChange, ...]
    subscription: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A dispatch lease that an entry holds."""

    service: ids.ServiceName
    epoch: ids.Epoch
    # Set once, when the holder releases the lease.
    released: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHeartbeat:
    """An entry's periodic report to control.

    It renews the entry's dispatch leases, confirms that its key table is fresh
    and reports the state version that it has applied.
    """

    nonce: int
    applied_version: ids.StateVersion
    stopping: bool
    held: tuple[HeldLease, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHeartbeatReply:
    """Answers an `EntryHeartbeat`.

    If `is_leader`, `committed_version` includes every change that was
    acknowledged before the heartbeat arrived. The leases in `renewed` are valid
    for `lease_ms` from the time at which the heartbeat was sent.
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
    """One team's use of its limit in one service, and its waiting requests."""

    team: ids.TeamName
    service: ids.ServiceName
    running: int
    waiting: int
    # The largest allotment that the dispatcher may still be using.
    held: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReport:
    """Marks a service for which the message lists all teams with any use.

    Attributes:
        epoch: Epoch of the service's holder.
        complete: In a request, whether the holder counts all requests that
            earlier holders granted; in a reply, whether `earlier` is known for
            the service's allotments.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentRequest:
    """The demands of a dispatcher's teams, sent to the control leader.

    A team without a demand has no requests running or waiting and no allotment
    in the reported services.
    """

    nonce: int
    demands: tuple[TeamDemand, ...]
    services: tuple[ServiceReport, ...] = ()
    # Term of the leader whose reply was applied last.
    answered_term: ids.Term = ids.Term(0)


@dataclasses.dataclass(frozen=True, slots=True)
class Allotment:
    """How many requests of a team one service may run at once."""

    team: ids.TeamName
    service: ids.ServiceName
    amount: int
    # The most requests that earlier holders of the service may have running.
    earlier: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentReply:
    """Answers `AllotmentRequest`.

    The allotments are valid for `lease_ms` from the time at which the request
    was sent. Only the reply to the newest request is applied.
    """

    nonce: int
    lease_ms: int
    allotments: tuple[Allotment, ...]
    term: ids.Term = ids.Term(0)
    services: tuple[ServiceReport, ...] = ()


# --- Dispatch ---


@dataclasses.dataclass(frozen=True, slots=True)
class BackendAnnouncement:
    """A backend server's announcement, as received by an entry.

    Attributes:
        lease_ms: How long the announcement is valid.
        age_ms: Time since the entry received it.
        running: Number of requests in the server's slots, as the server counts
            them.
        hops: Number of entries that have forwarded the announcement.
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
        idempotency_key: The caller's Idempotency-Key, prefixed with its team;
            empty for none.
        waited_ms: Time that the request has already waited at earlier holders.
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
        start_within_ms: Time within which the request must be sent to the
            server; after it the grant is no longer valid.
        connection_allowance: Number of connections that the entry may have open
            to the server.
        waited_ms: Time from the arrival of `AcquireSlot` to the grant. The
            entry counts `waited_ms + start_within_ms` on its own clock from
            when it sent `AcquireSlot`. It thus never starts a request later
            than `start_within_ms` after the grant was made, even if the grant
            arrives late.
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
    """Refuses a slot; the request has not run."""

    request_id: ids.RequestId
    service: ids.ServiceName
    reason: outcomes.Reason
    detail: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotDuplicate:
    """Reports that an earlier request had the same Idempotency-Key."""

    request_id: ids.RequestId
    service: ids.ServiceName
    first_request_id: ids.RequestId
    first_entry: ids.ProcessId
    finished: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased:
    """Releases a slot after the request has ended at the entry.

    Attributes:
        backend_fault: Whether the request failed through a fault of the backend
            server.
        hold_ms: How long the slot must still count as used, because the request
            may still be running on the server; 0 if it is known to have ended.
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
    """Removes waiting requests from a service's queue."""

    service: ids.ServiceName
    request_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutstandingRequest:
    """A granted request that an entry reports to a service's new holder."""

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
    """The record of an Idempotency-Key and of its first request."""

    idempotency_key: ids.IdempotencyKey
    request_id: ids.RequestId
    entry: ids.ProcessId
    finished: bool
    outcome: outcomes.OutcomeKind
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecoverRequest:
    """Asks an entry for its outstanding requests of a service.

    A service's new holder sends it. After receiving it, the entry rejects
    grants of older epochs.
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
    """Asks for the answer to the first request with the same Idempotency-Key.

    The first request's entry replies when that request has ended.

    Attributes:
        fingerprint: Hash of the repeated request; must equal the hash of the
            first request.
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
    """Answers `FetchAnswer`.

    Attributes:
        found: Whether the answer is available; otherwise the body is empty.
        outcome: The first request's outcome; `UNKNOWN` if the entry knows
            nothing of that request.
        is_other_request: Whether the fingerprints differ, so that the first
            request was another one with the same key.
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
    """Asks a process to store copies of a service's idempotency records.

    A record with `remaining_ms` 0 must be deleted. For `incomplete_ms` from
    now, records of the service may be missing in all processes. `restored` says
    that the process has again received all records that it should store.
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
    """Asks a process for its copies of idempotency records and its uptime."""

    service: ids.ServiceName
    epoch: ids.Epoch


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsReply:
    """Answers `RecordsRequest`.

    Attributes:
        uptime_ms: Time since the process started; its `RecoverReply` does not
            contain requests that were outstanding before its start.
        incomplete_ms: For how long records may be missing, as a holder reported
            it to the process.
        restored: Whether a holder has sent the process all records that it
            should store, since the process started.
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
    """A call to the scheduling leader.

    Attributes:
        number: Number that the answer repeats; a process uses a new one for
            each attempt.
        payload: The call, encoded by `jobs.calls`.
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
    """Asks a process which process is the leader."""

    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderKnown:
    """Answers `LeaderQuestion`.

    Attributes:
        nonce: Nonce of the question.
        leader: The last known leader; empty if none is known.
        term: Term of that leader.
        is_certain: Whether the answering process itself leads and holds the
            leader lease.
        voters: Processes of the last known voters.
        limits: The limits for callers in force; empty if the process does not
            lead.
    """

    nonce: int
    leader: ids.ProcessId
    term: ids.Term
    is_certain: bool
    voters: tuple[ids.ProcessId, ...]
    limits: tuple[client_limits.ClientLimits, ...] = ()


# A message's position is its number on the wire: append only.
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
    client_limits.ClientLimits,
)

# An instance of any class in MESSAGE_TYPES; `match` distinguishes them.
Message = typing.Any
