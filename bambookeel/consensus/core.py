"""One step of the consensus core: (state, event, time) -> (state, effects).

A step does no I/O and does not change its arguments. The caller carries out
the effects in order and reports finished syncs, saved snapshots and timers as
further events.
"""

import dataclasses

from bambookeel.consensus import changes
from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import election
from bambookeel.consensus import events
from bambookeel.consensus import following
from bambookeel.consensus import log as core_log
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.consensus import roles
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveredState:
    """State that a member recovers from its disk when it starts.

    Attributes:
        term: Last synced term.
        vote: Member voted for in `term`; empty for none.
        log: The log, all of it synced.
        base_membership: Membership at the log's base.
        snapshot_index: Last log index that the snapshot covers.
        snapshot_term: Term of the entry at `snapshot_index`.
    """

    term: ids.Term = ids.Term(0)
    vote: ids.MemberId = records.NO_MEMBER
    log: core_log.Log = core_log.Log()
    base_membership: membership.Membership = membership.Membership()
    snapshot_index: int = 0
    snapshot_term: int = 0


def start_core(
    settings: records.CoreSettings,
    member: ids.MemberId,
    recovered: RecoveredState,
    seed: int,
    now_ms: int,
) -> records.CoreState:
    """Starts a core as a follower, from the state recovered from its disk.

    Args:
        settings: Timings and bounds; equal on all members.
        member: Id of this member.
        recovered: State read from the data folder.
        seed: Seed of the random election delays.
        now_ms: Current time on this replica's clock.

    Returns:
        The initial state.
    """
    state = records.CoreState(settings, member, seed)
    state.term = recovered.term
    state.vote = recovered.vote
    state.log = recovered.log
    state.synced_index = recovered.log.last_index
    state.base_membership = recovered.base_membership
    state.snapshot_index = recovered.snapshot_index
    state.snapshot_term = recovered.snapshot_term
    # Entries covered by the snapshot are committed and already applied.
    state.commit_index = recovered.snapshot_index
    state.matched_index = recovered.snapshot_index
    state.leader_commit_index = recovered.snapshot_index
    records.refresh_membership(state)
    # A leader may still hold a lease that relies on a reply of this member from
    # before its restart, so no vote is granted until that lease has expired.
    state.last_leader_contact_ms = now_ms
    records.restart_election_timer(records.Step(state, now_ms))
    return state


def step(
    state: records.CoreState, event: events.Event, now_ms: int
) -> tuple[records.CoreState, tuple[core_effects.Effect, ...]]:
    """Runs one step.

    Args:
        state: State before the step; it is not modified.
        event: Event to handle.
        now_ms: Current time; must not be smaller than at the last step.

    Returns:
        The new state, and the effects in the order to carry them out.
    """
    current = records.Step(dataclasses.replace(state), now_ms)
    _handle_event(current, event)
    changes.step_down_if_removed(current)
    changes.continue_hand_over(current)
    faults.check_invariant(
        current.state.commit_index >= state.commit_index,
        f"commit index fell from {state.commit_index}"
        f" to {current.state.commit_index}",
    )
    faults.check_invariant(
        current.state.term >= state.term,
        f"term fell from {state.term} to {current.state.term}",
    )
    return current.state, tuple(current.effects)


def _handle_event(current: records.Step, event: events.Event) -> None:
    match event:
        case events.TimerDue():
            _handle_timer(current)
        case events.MessageReceived(message):
            _handle_message(current, message)
        case events.ProposalsMade(payloads):
            _propose(current, payloads)
        case events.LogSynced(index, generation):
            _handle_sync(current, index, generation)
        case events.SnapshotMade(index):
            following.drop_covered_entries(current, index)
        case events.SnapshotInstalled(index, term, members):
            following.install_snapshot(current, index, term, members)
        case events.SnapshotRejected():
            current.state.received = None
        case events.ReadRequested(read_id, requester):
            _handle_read_request(current, read_id, requester)
        case _:
            _handle_members_event(current, event)


def _handle_members_event(current: records.Step, event: events.Event) -> None:
    match event:
        case events.MembershipChangeRequested(change):
            changes.change_membership(current, change)
        case events.NonMemberSeen(member):
            changes.record_non_member(current, member)
        case events.HandOverRequested():
            changes.start_hand_over(current)
        case events.StopRequested():
            changes.start_hand_over(current)
            changes.send_leaving_notice(current)


def _handle_timer(current: records.Step) -> None:
    state = current.state
    if state.role is not records.Role.LEADER:
        if current.now_ms >= state.election_due_ms:
            election.start_pre_vote(current)
        return
    if not replication.has_quorum(current):
        roles.become_follower(current, state.term)
        return
    # Each proposal postpones the next heartbeat, on a busy leader indefinitely;
    # membership changes must not wait for it.
    change = changes.plan_change(current)
    if change is not None:
        changes.change_membership(current, change)
    if current.now_ms >= state.heartbeat_due_ms:
        replication.broadcast(current)


def _handle_message(current: records.Step, message: messages.Message) -> None:
    match message:
        case messages.VoteRequest():
            changes.record_non_member(current, message.candidate)
            election.handle_vote_request(current, message)
        case messages.VoteReply():
            election.handle_vote_reply(current, message)
        case messages.AppendRequest():
            following.handle_append_request(current, message)
        case messages.SnapshotPart():
            following.handle_snapshot_part(current, message)
        case messages.TimeoutNow():
            election.handle_timeout_now(current, message)
        case messages.ReplicaLeaving(member):
            changes.record_leaving_notice(current, member)
        case messages.AppendReply() | messages.SnapshotPartReply():
            _handle_reply(current, message)


def _handle_reply(
    current: records.Step,
    reply: messages.AppendReply | messages.SnapshotPartReply,
) -> None:
    state = current.state
    if reply.term > state.term:
        roles.become_follower(current, reply.term)
        return
    if state.role is not records.Role.LEADER or reply.term < state.term:
        return
    changes.record_non_member(current, reply.follower)
    if isinstance(reply, messages.AppendReply):
        replication.handle_append_reply(current, reply)
    else:
        replication.handle_part_reply(current, reply)


def _propose(current: records.Step, payloads: tuple[bytes, ...]) -> None:
    state = current.state
    if state.role is not records.Role.LEADER:
        reason = "this replica does not lead"
        current.effects.append(core_effects.ProposalsRefused(reason))
        return
    if state.hand_over_to:
        reason = "leadership is being handed over"
        current.effects.append(core_effects.ProposalsRefused(reason))
        return
    first = state.log.last_index + 1
    entries = tuple(
        messages.LogEntry(state.term, ids.LogIndex(first + i), False, payload)
        for i, payload in enumerate(payloads)
    )
    records.append_to_log(current, entries)
    replication.broadcast(current)


def _handle_sync(current: records.Step, index: int, generation: int) -> None:
    state = current.state
    if generation != state.generation:
        return
    faults.check_invariant(
        index <= state.log.last_index,
        f"synced index {index} is beyond the last index {state.log.last_index}",
    )
    state.synced_index = max(state.synced_index, index)
    if state.role is records.Role.LEADER:
        replication.advance_commit(current)
        return
    following.advance_commit(current)
    following.send_pending_reply(current)


def _handle_read_request(
    current: records.Step, read_id: int, requester: ids.ProcessId
) -> None:
    state = current.state
    is_leader = state.role is records.Role.LEADER
    if not is_leader or state.commit_index < state.term_start_index:
        current.effects.append(core_effects.ReadRefused(read_id))
        return
    index = ids.LogIndex(state.commit_index)
    if current.now_ms < replication.compute_lease_until(state):
        current.effects.append(core_effects.ReadConfirmed(read_id, index))
        # The requester must apply all entries up to the index first; the append
        # request gives it the commit index without waiting for a heartbeat.
        for member in state.progress:
            if membership.get_process(member) == requester:
                replication.send_append(current, member)
        return
    read = records.PendingRead(read_id, index, state.round_number + 1)
    state.pending_reads = (*state.pending_reads, read)
    replication.broadcast(current)
