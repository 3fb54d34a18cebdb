"""The follower's side of replication: entries, snapshots and replies to them.

A reply acknowledges only synced entries, so the reply to new entries is sent
after the sync that covers them.
"""

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import log as core_log
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import roles
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


def _reply(
    step: records.Step,
    to: ids.MemberId,
    success: bool,
    match_index: int,
    round_number: int,
) -> None:
    reply = messages.AppendReply(
        step.state.term,
        step.state.member,
        success,
        ids.LogIndex(match_index),
        round_number,
    )
    records.send(step, to, reply)


def accept_leader(step: records.Step, term: int, leader: ids.MemberId) -> bool:
    """Becomes a follower of a message's sender, unless its term is outdated.

    Args:
        step: Core step in progress.
        term: Term of the message.
        leader: Sender of the message.

    Returns:
        False if the term is outdated and the message must be rejected.
    """
    state = step.state
    if term < state.term:
        return False
    faults.check_invariant(
        term > state.term or state.role is not records.Role.LEADER,
        f"term {term} has two leaders: {state.member} and {leader}",
    )
    roles.become_follower(step, term, leader=leader)
    state.last_leader = leader
    state.last_leader_contact_ms = step.now_ms
    records.restart_election_timer(step)
    return True


def handle_append_request(
    step: records.Step, request: messages.AppendRequest
) -> None:
    """Appends a leader's entries if they continue this member's log.

    Args:
        step: Core step in progress.
        request: Append request; without entries it is a heartbeat.
    """
    state = step.state
    number = request.round_number
    if not accept_leader(step, request.term, request.leader):
        _reply(step, request.leader, False, 0, number)
        return
    hint = _find_mismatch(state, request)
    if hint is not None:
        _reply(step, request.leader, False, hint, number)
        return
    matched = request.previous_index + len(request.entries)
    new = _find_new_entries(state, request.entries)
    if new and new[0].index <= state.log.last_index:
        # One step either truncates or extends the log; the leader sends the
        # entries again after this reply.
        records.truncate_log(step, new[0].index)
        _reply(step, request.leader, False, new[0].index - 1, number)
        return
    if new:
        records.append_to_log(step, new)
    state.matched_index = max(state.matched_index, matched)
    state.leader_commit_index = max(
        state.leader_commit_index, request.commit_index
    )
    advance_commit(step)
    if state.synced_index < matched:
        state.pending_reply_round = max(state.pending_reply_round, number)
        if new:
            return
    match = min(matched, state.synced_index)
    _reply(step, request.leader, True, match, number)


def _find_mismatch(
    state: records.CoreState, request: messages.AppendRequest
) -> int | None:
    """Compares the entry before the new ones with this member's log.

    Args:
        state: State of the follower's core.
        request: Append request to check.

    Returns:
        Index of the entry that the leader should try to match next; None if
        the entry matches.
    """
    previous = request.previous_index
    if previous > state.log.last_index:
        return state.log.last_index
    term = core_log.get_term(state.log, previous)
    # Entries covered by the snapshot are committed and equal on all members.
    if term is None or term == request.previous_term:
        return None
    first = core_log.find_first_of_term(state.log, previous)
    return max(state.commit_index, first - 1)


def _find_new_entries(
    state: records.CoreState, entries: tuple[messages.LogEntry, ...]
) -> tuple[messages.LogEntry, ...]:
    for i, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if core_log.get_term(state.log, entry.index) != entry.term:
            return entries[i:]
    return ()


def advance_commit(step: records.Step) -> None:
    """Commits entries that the leader has committed and this member has synced.

    Args:
        step: Core step of a follower.
    """
    state = step.state
    index = min(
        state.leader_commit_index, state.matched_index, state.synced_index
    )
    records.commit_up_to(step, index)


def send_pending_reply(step: records.Step) -> None:
    """Sends the reply that was waiting for a sync.

    Args:
        step: Core step of a follower.
    """
    state = step.state
    if not state.pending_reply_round or not state.leader:
        return
    match = min(state.matched_index, state.synced_index)
    _reply(step, state.leader, True, match, state.pending_reply_round)
    if state.synced_index >= state.matched_index:
        state.pending_reply_round = 0


def handle_snapshot_part(
    step: records.Step, part: messages.SnapshotPart
) -> None:
    """Saves one part of a leader's snapshot and asks for the next.

    Args:
        step: Core step in progress.
        part: Received part; saved only if it starts where the last one ended.
    """
    state = step.state
    if not accept_leader(step, part.term, part.leader):
        _reply(step, part.leader, False, 0, part.round_number)
        return
    if part.last_index <= state.commit_index:
        state.received = None
        match = state.commit_index
        _reply(step, part.leader, True, match, part.round_number)
        return
    expected = 0
    known = state.received
    is_known = known is not None and known.last_index == part.last_index
    if known is not None and is_known:
        expected = known.next_offset
    if part.offset == 0:
        expected = 0
    if part.offset == expected:
        expected += len(part.data)
        state.received = records.ReceivedSnapshot(
            part.last_index, part.last_term, expected
        )
        step.effects.append(core_effects.SaveSnapshotPart(part))
        if part.is_last:
            state.pending_reply_round = max(
                state.pending_reply_round, part.round_number
            )
            return
    _reply_part(step, part, expected)


def _reply_part(
    step: records.Step, part: messages.SnapshotPart, next_offset: int
) -> None:
    reply = messages.SnapshotPartReply(
        step.state.term,
        step.state.member,
        part.last_index,
        next_offset,
        part.round_number,
    )
    records.send(step, part.leader, reply)


def install_snapshot(
    step: records.Step,
    index: ids.LogIndex,
    term: ids.Term,
    members: membership.Membership,
) -> None:
    """Continues from a received snapshot that is synced on disk.

    Args:
        step: Core step in progress.
        index: Last log index that the snapshot covers.
        term: Term of the entry at `index`.
        members: Membership at `index`.
    """
    state = step.state
    state.received = None
    if index <= state.commit_index:
        send_pending_reply(step)
        return
    if core_log.get_term(state.log, index) == term:
        state.log = core_log.drop_prefix(state.log, index)
        step.effects.append(core_effects.DropPrefix(index, term))
    else:
        state.log = core_log.Log(index, term)
        state.generation += 1
        state.synced_index = index
        step.effects.append(
            core_effects.ResetLog(index, term, state.generation)
        )
    state.synced_index = max(state.synced_index, index)
    state.matched_index = max(state.matched_index, index)
    state.commit_index = index
    state.snapshot_index = index
    state.snapshot_term = term
    state.base_membership = members
    records.refresh_membership(state)
    send_pending_reply(step)


def drop_covered_entries(step: records.Step, index: ids.LogIndex) -> None:
    """Removes entries covered by a new snapshot of this member from the log.

    The last `retained_entries` of them stay, for slow followers.

    Args:
        step: Core step in progress.
        index: Last log index that the snapshot covers.
    """
    state = step.state
    term = core_log.get_term(state.log, index)
    if term is None or index <= state.snapshot_index:
        return
    state.snapshot_index = index
    state.snapshot_term = term
    new_base = index - state.settings.retained_entries
    if new_base <= state.log.base_index:
        return
    state.base_membership = records.get_membership_at(state, new_base)
    state.log = core_log.drop_prefix(state.log, new_base)
    step.effects.append(
        core_effects.DropPrefix(ids.LogIndex(new_base), state.log.base_term)
    )
