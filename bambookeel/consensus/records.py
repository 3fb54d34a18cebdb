"""The state of a consensus core, and the step that is changing it.

`core.step` copies the state, lets the functions of this package change the
copy, and gives it back with the effects; nothing outside sees a state change.
Mappings and tuples in the state are replaced, never changed in place.
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
    """What a core is doing in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSettings:
    """Timings and bounds; equal on all members.

    Attributes:
        heartbeat_ms: Time between a leader's heartbeats.
        election_min_ms: Shortest silence before an election; for as long a
            voter that heard a leader grants no vote.
        election_max_ms: Longest silence before an election.
        drift_margin_ms: How much less than `election_min_ms` a leader relies
            on, for clocks that run at different rates.
        retained_entries: Entries kept behind a snapshot for slow followers.
        max_batch_bytes: Payload of one append request.
        max_unacked_entries: Entries sent ahead of a follower's answers.
        max_voters: Most members with a vote; 0 for all.
        lost_voter_ms: Silence after which a voter's vote may go to another
            member, where their number is bounded; at least `election_max_ms`,
            so that a leader that was suspended steps down before it blames
            others.
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
    """What a leader knows of another member.

    Attributes:
        match_index: Last index known to be synced there.
        next_index: Next index to send.
        last_contact_ms: When it was last heard.
        acked_round: Highest round that it answered in this term.
        catch_up_index: End of the log when `catch_up_started_ms` was; reaching it ends one
            round of catching up.
        catch_up_started_ms: When that round began.
        has_caught_up: Whether the last round took less than the shortest
            election timeout.
        leaving_notice_ms: When it last told that its process is being stopped.
        snapshot_index: The snapshot being sent; 0 for none.
        snapshot_offset: Offset of the part being sent.
        part_sent_ms: When that part was sent.
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
    """A read that waits for a round to be answered by a quorum."""

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
    """All that a core knows; only a step's own copy changes.

    Attributes:
        settings: Timings and bounds.
        member: Own member id.
        random_state: State of the generator of election delays.
        term: Current term.
        vote: Whom this member voted for in the term.
        role: Current role.
        leader: Leader of the term as far as known.
        log: The log in memory.
        generation: Grows whenever entries are dropped from the log's end.
        synced_index: Last index known to be synced.
        matched_index: Last index known to equal the leader's log.
        leader_commit_index: Commit index that the leader told.
        commit_index: Last committed index.
        pending_reply_round: Round of the reply owed after the next sync; 0 for none.
        base_membership: Membership at the log's base.
        membership: Newest membership in the log, committed or not.
        membership_index: Its index.
        election_due_ms: When to start an election.
        heartbeat_due_ms: When a leader sends the next heartbeat.
        last_leader: The leader that was last heard; empty after leading.
        last_leader_contact_ms: When it was heard.
        votes: Members that granted their vote or pre-vote.
        progress: The leader's view of the other members.
        round_number: The leader's newest round.
        unacked_rounds: Rounds not yet answered by a quorum, with their send times.
        lease_start_ms: Send time of the newest round that a quorum answered.
        term_start_index: Index of the leader's first entry.
        pending_reads: Reads that wait.
        non_members: Replicas that are no members, as a leader has seen them.
        hand_over_to: Member that should lead next.
        hand_over_deadline_ms: When the hand-over is given up.
        lease_released: Set when another member was told to take over.
        snapshot_index: Index of the newest snapshot on disk.
        snapshot_term: Its term.
        received: The snapshot being received.
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
    """One step in progress.

    Attributes:
        state: The copy that the step changes.
        now_ms: The time of the event.
        effects: What is to be done, in order.
    """

    state: CoreState
    now_ms: int
    effects: list[core_effects.Effect] = dataclasses.field(default_factory=list)


def send(step: Step, to: ids.MemberId, message: messages.Message) -> None:
    """Adds a message to the step's effects.

    Args:
        step: The step.
        to: The receiver.
        message: The message.
    """
    step.effects.append(core_effects.Send(to, message))


def draw_below(state: CoreState, bound: int) -> int:
    """Draws a number from the core's own generator (splitmix64).

    Args:
        state: The state, whose generator moves on.
        bound: Exclusive upper bound.

    Returns:
        A number from 0.
    """
    state.random_state = (state.random_state + 0x9E3779B97F4A7C15) & _MASK_64
    mixed = state.random_state
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & _MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & _MASK_64
    return (mixed ^ (mixed >> 31)) % bound


def restart_election_timer(step: Step) -> None:
    """Puts the next election a random delay away.

    Args:
        step: The step.
    """
    settings = step.state.settings
    spread = settings.election_max_ms - settings.election_min_ms + 1
    delay_ms = settings.election_min_ms + draw_below(step.state, spread)
    step.state.election_due_ms = step.now_ms + delay_ms


def refresh_membership(state: CoreState) -> None:
    """Finds the newest membership in the log.

    Args:
        state: The state.
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
    """Gives the membership that held at an index.

    Args:
        state: The state.
        index: An index from the log's base on.

    Returns:
        The membership.
    """
    for entry in reversed(state.log.entries):
        if entry.is_membership and entry.index <= index:
            return core_membership.decode_membership(entry.payload)
    return state.base_membership


def is_committed_member(state: CoreState) -> bool:
    """Tells whether this replica is a member for good.

    A change that is not committed may be lost with the leader that made it, and
    nobody would tell this replica.

    Args:
        state: The state.

    Returns:
        Whether it is a member by what it knows to be committed.
    """
    found = state.membership
    if state.membership_index > state.commit_index:
        found = get_membership_at(state, state.commit_index)
    return state.member in found.members


def commit_up_to(step: Step, index: int) -> None:
    """Raises the commit index and hands out the entries.

    Args:
        step: The step.
        index: The new commit index; a smaller one changes nothing.
    """
    state = step.state
    if index <= state.commit_index:
        return
    faults.check_invariant(
        index <= state.log.last_index and state.commit_index >= 0,
        f"commit of {index} beyond the log's end {state.log.last_index}",
    )
    entries = core_log.get_entries(state.log, state.commit_index + 1, index)
    faults.check_invariant(
        len(entries) == index - state.commit_index,
        f"entries {state.commit_index + 1} to {index} are not all in the log",
    )
    state.commit_index = index
    step.effects.append(core_effects.Commit(entries))


def append_to_log(step: Step, entries: tuple[messages.LogEntry, ...]) -> None:
    """Appends entries in memory and asks for them on disk.

    Args:
        step: The step.
        entries: Consecutive entries.
    """
    state = step.state
    state.log = core_log.append_entries(state.log, entries)
    for entry in entries:
        if entry.is_membership:
            state.membership = core_membership.decode_membership(entry.payload)
            state.membership_index = entry.index
    step.effects.append(core_effects.AppendEntries(entries, state.generation))


def truncate_log(step: Step, from_index: int) -> None:
    """Drops the log's end, which must not be committed.

    Args:
        step: The step.
        from_index: First dropped index.
    """
    state = step.state
    faults.check_invariant(
        from_index > state.commit_index,
        f"truncation at {from_index} of entries committed up to"
        f" {state.commit_index}",
    )
    state.log = core_log.truncate_from(state.log, from_index)
    state.generation += 1
    state.synced_index = min(state.synced_index, from_index - 1)
    state.matched_index = min(state.matched_index, from_index - 1)
    refresh_membership(state)
    step.effects.append(
        core_effects.TruncateLog(ids.LogIndex(from_index), state.generation)
    )
