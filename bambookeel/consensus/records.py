"""The state of a consensus core, and the step in progress that changes it.

`core.step` copies the state, passes the copy to the functions of this package,
which modify it, and returns it with the effects. A state that a caller holds is
thus never modified. Mappings and tuples in the state are replaced rather than
modified, as the copy shares them with the original.
"""

from collections.abc import Mapping
import dataclasses
import enum

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import log as core_log
from bambookeel.consensus import membership as core_membership
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

_MASK_64 = (1 << 64) - 1
NO_MEMBER = ids.MemberId("")


class Role(enum.Enum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSettings:
    """Timings and bounds; equal on all members.

    Attributes:
        heartbeat_ms: Interval between a leader's heartbeats.
        election_min_ms: Shortest election timeout; a voter that has heard from
            a leader grants no vote for this long.
        election_max_ms: Longest election timeout.
        drift_margin_ms: Subtracted from `election_min_ms` to get the duration
            of a leader's lease, as clocks may run at different rates.
        retained_entries: Entries covered by a snapshot that stay in the log,
            for slow followers.
        max_batch_bytes: Limit on the payload bytes of one append request.
        max_unacked_entries: Limit on entries sent to a follower and not yet
            acknowledged.
        max_voters: Limit on the number of voters; 0 for no limit.
        lost_voter_ms: Time without contact after which a voter may be replaced
            by another member, if the number of voters is limited. At least
            `election_max_ms`, so that a leader that was suspended steps down
            before it considers others lost.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 500
    election_max_ms: int = 900
    drift_margin_ms: int = 50
    retained_entries: int = 200
    max_batch_bytes: int = 1024 * 1024
    max_unacked_entries: int = 2_000
    max_voters: int = 0
    lost_voter_ms: int = 8_000


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Replication progress of another member, as its leader knows it.

    Attributes:
        match_index: Last index known to be synced by the member.
        next_index: Next index to send.
        last_contact_ms: Time of the last reply; until the first one, the time
            from which the member's silence is counted.
        acked_round: Highest round that the member replied to in this term.
        catch_up_index: Last log index at `catch_up_started_ms`; a catch-up
            round ends when the member has synced it.
        catch_up_started_ms: Start of the current catch-up round.
        has_caught_up: Whether the last catch-up round took at most the shortest
            election timeout.
        leaving_notice_ms: Time of the last notice that the member's process is
            stopping; None if there was none.
        snapshot_index: Last index of the snapshot being sent; 0 for none.
        snapshot_offset: Byte offset of the part being sent.
        part_sent_ms: Time when that part was sent; 0 if none awaits a reply.
    """

    match_index: int
    next_index: int
    last_contact_ms: int
    acked_round: int = 0
    catch_up_index: int = 0
    catch_up_started_ms: int = 0
    has_caught_up: bool = False
    leaving_notice_ms: int | None = None
    snapshot_index: int = 0
    snapshot_offset: int = 0
    part_sent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a quorum has replied to a round."""

    read_id: int
    index: int
    round_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedSnapshot:
    """A snapshot that is being received."""

    last_index: int
    last_term: int
    next_offset: int


@dataclasses.dataclass(slots=True)
class CoreState:
    """The whole state of a core; only the copy of a running step is modified.

    Attributes:
        settings: Timings and bounds.
        member: Id of this member.
        random_state: State of the random generator for election delays.
        term: Current term.
        vote: Member voted for in the current term; empty for none.
        role: Role in the current term.
        leader: Leader of the current term; empty if unknown.
        log: Log entries kept in memory.
        generation: Incremented whenever entries are removed from the log's end
            or the log is reset, so that syncs begun before are recognised.
        synced_index: Last index known to be synced on this member's disk.
        matched_index: Last index known to match the leader's log.
        leader_commit_index: Commit index received from the leader.
        commit_index: Last index that this member knows to be committed.
        pending_reply_round: Round that a follower replies to after the next
            sync; 0 for none.
        base_membership: Membership at the log's base.
        membership: Newest membership in the log, committed or not.
        membership_index: Log index of `membership`.
        election_due_ms: Time of the next election, unless a leader is heard
            from before.
        heartbeat_due_ms: Time of a leader's next heartbeat.
        last_leader: Leader that this member last heard from; empty after it has
            led itself.
        last_leader_contact_ms: Time of the last message from `last_leader`.
        votes: Members that granted their vote or pre-vote.
        progress: Replication progress of the other members, on a leader.
        round_number: Number of the leader's newest round.
        unacked_rounds: Rounds without replies of a quorum yet, as pairs of
            round number and send time.
        lease_start_ms: Send time of the newest round that a quorum replied to;
            None before the first.
        term_start_index: Index of the leader's first entry in its term.
        pending_reads: Reads that wait for a round to be acknowledged.
        non_members: Replicas known to a leader that are not members.
        hand_over_to: Member chosen as the next leader; empty for none.
        hand_over_deadline_ms: Time when an unfinished hand-over is abandoned.
        lease_released: Whether the leader has given up its lease, because it
            asked another member to take over.
        snapshot_index: Last log index of the newest snapshot on disk.
        snapshot_term: Term of the entry at `snapshot_index`.
        received: Progress of the snapshot being received; None for none.
    """

    settings: CoreSettings
    member: ids.MemberId
    random_state: int
    term: ids.Term = ids.Term(0)
    vote: ids.MemberId = NO_MEMBER
    role: Role = Role.FOLLOWER
    leader: ids.MemberId = NO_MEMBER
    log: core_log.Log = core_log.Log()
    generation: int = 0
    synced_index: int = 0
    matched_index: int = 0
    leader_commit_index: int = 0
    commit_index: int = 0
    pending_reply_round: int = 0
    base_membership: core_membership.Membership = core_membership.Membership()
    membership: core_membership.Membership = core_membership.Membership()
    membership_index: int = 0
    election_due_ms: int = 0
    heartbeat_due_ms: int = 0
    last_leader: ids.MemberId = NO_MEMBER
    last_leader_contact_ms: int = 0
    votes: frozenset[ids.MemberId] = frozenset()
    progress: Mapping[ids.MemberId, Progress] = dataclasses.field(
        default_factory=dict
    )
    round_number: int = 0
    unacked_rounds: tuple[tuple[int, int], ...] = ()
    lease_start_ms: int | None = None
    term_start_index: int = 0
    pending_reads: tuple[PendingRead, ...] = ()
    non_members: tuple[ids.MemberId, ...] = ()
    hand_over_to: ids.MemberId = NO_MEMBER
    hand_over_deadline_ms: int = 0
    lease_released: bool = False
    snapshot_index: int = 0
    snapshot_term: int = 0
    received: ReceivedSnapshot | None = None


@dataclasses.dataclass(slots=True)
class Step:
    """A core step in progress.

    Attributes:
        state: Copy of the state, which the step modifies.
        now_ms: Time of the event on this replica's clock.
        effects: Effects for the caller to carry out, in order.
    """

    state: CoreState
    now_ms: int
    effects: list[core_effects.Effect] = dataclasses.field(default_factory=list)


def send(step: Step, to: ids.MemberId, message: messages.Message) -> None:
    """Adds the sending of a message to the step's effects.

    Args:
        step: Core step in progress.
        to: Member that receives the message.
        message: Message to send.
    """
    step.effects.append(core_effects.Send(to, message))


def draw_below(state: CoreState, bound: int) -> int:
    """Draws a random number from the core's own generator (splitmix64).

    Args:
        state: State of the core, whose generator advances.
        bound: Exclusive upper bound.

    Returns:
        A number from 0 to `bound - 1`.
    """
    state.random_state = (state.random_state + 0x9E3779B97F4A7C15) & _MASK_64
    mixed = state.random_state
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    return (mixed ^ (mixed >> 31)) % bound


def restart_election_timer(step: Step) -> None:
    """Schedules the next election after a random timeout.

    Args:
        step: Core step in progress.
    """
    settings = step.state.settings
    spread = settings.election_max_ms - settings.election_min_ms + 1
    delay_ms = settings.election_min_ms + draw_below(step.state, spread)
    step.state.election_due_ms = step.now_ms + delay_ms


def refresh_membership(state: CoreState) -> None:
    """Sets the current membership to the newest one in the log.

    Args:
        state: State of the core, which is modified.
    """
    for entry in reversed(state.log.entries):
        if not entry.is_membership:
            continue
        state.membership = core_membership.decode_membership(entry.payload)
        state.membership_index = entry.index
        return
    state.membership = state.base_membership
    state.membership_index = state.log.base_index


def get_membership_at(
    state: CoreState, index: int
) -> core_membership.Membership:
    """Looks up the membership that was in force at a log index.

    Args:
        state: State of the core.
        index: Log index, at least the log's base.

    Returns:
        The newest membership at or before `index`.
    """
    for entry in reversed(state.log.entries):
        if entry.is_membership and entry.index <= index:
            return core_membership.decode_membership(entry.payload)
    return state.base_membership


def is_committed_member(state: CoreState) -> bool:
    """Checks whether this replica is a member in the committed membership.

    An uncommitted membership change may be lost with the leader that appended
    it, without a notice to this replica, so that it does not count.

    Args:
        state: State of the core.

    Returns:
        True if this replica is a voter or learner in the newest membership that
        it knows to be committed.
    """
    found = state.membership
    if state.membership_index > state.commit_index:
        found = get_membership_at(state, state.commit_index)
    return state.member in found.members


def commit_up_to(step: Step, index: int) -> None:
    """Raises the commit index and adds the committed entries to the effects.

    Args:
        step: Core step in progress.
        index: New commit index; ignored if not above the current one.
    """
    state = step.state
    if index <= state.commit_index:
        return
    faults.check_invariant(
        index <= state.log.last_index and state.commit_index >= 0,
        f"commit index {index} is beyond the last index {state.log.last_index}",
    )
    entries = core_log.get_entries(state.log, state.commit_index + 1, index)
    faults.check_invariant(
        len(entries) == index - state.commit_index,
        f"entries {state.commit_index + 1} to {index} are not all in the log",
    )
    state.commit_index = index
    step.effects.append(core_effects.Commit(entries))


def append_to_log(step: Step, entries: tuple[messages.LogEntry, ...]) -> None:
    """Appends entries to the log in memory and, by an effect, on disk.

    Args:
        step: Core step in progress.
        entries: Consecutive entries that follow the last one.
    """
    state = step.state
    state.log = core_log.append_entries(state.log, entries)
    for entry in entries:
        if entry.is_membership:
            state.membership = core_membership.decode_membership(entry.payload)
            state.membership_index = entry.index
    step.effects.append(core_effects.AppendEntries(entries, state.generation))


def truncate_log(step: Step, from_index: int) -> None:
    """Removes uncommitted entries from the end of the log.

    Args:
        step: Core step in progress.
        from_index: First index that is removed.
    """
    state = step.state
    faults.check_invariant(
        from_index > state.commit_index,
        f"truncation from index {from_index} would remove entries committed up"
        f" to {state.commit_index}",
    )
    state.log = core_log.truncate_from(state.log, from_index)
    state.generation += 1
    state.synced_index = min(state.synced_index, from_index - 1)
    state.matched_index = min(state.matched_index, from_index - 1)
    refresh_membership(state)
    step.effects.append(
        core_effects.TruncateLog(ids.LogIndex(from_index), state.generation)
    )
