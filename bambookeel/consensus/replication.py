"""The leader's side of replication: rounds, progress, commit and lease.

Each broadcast is a round, whose number is returned in the replies. If a quorum
has replied to a round, no other member can be elected before the shortest
election timeout after the round was sent; the leader's lease rests on this.
"""

import dataclasses

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import log as core_log
from bambookeel.consensus import records
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


def compute_quorum_value(
    state: records.CoreState, own: int, others: dict[ids.MemberId, int]
) -> int:
    """Computes the largest value that a quorum of voters has reached.

    Args:
        state: State of the leader's core.
        own: Value of the leader itself.
        others: Values of the other members; a missing one counts as 0.

    Returns:
        The largest value that a majority of the voters equals or exceeds.
    """
    values = []
    for voter in state.membership.voters:
        value = own if voter == state.member else others.get(voter, 0)
        values.append(value)
    values.sort(reverse=True)
    return values[state.membership.quorum - 1]


def compute_lease_until(state: records.CoreState) -> int:
    """Computes the end of the leader's lease.

    Until then no other member can have been elected and committed an entry.

    Args:
        state: State of the core.

    Returns:
        Time on this replica's clock; 0 on a follower or without a lease.
    """
    if state.role is not records.Role.LEADER or state.lease_released:
        return 0
    if state.lease_start_ms is None:
        return 0
    if state.commit_index < state.term_start_index:
        return 0
    settings = state.settings
    length_ms = settings.election_min_ms - settings.drift_margin_ms
    return state.lease_start_ms + length_ms


def _set_progress(
    state: records.CoreState, member: ids.MemberId, progress: records.Progress
) -> None:
    state.progress = {**state.progress, member: progress}


def broadcast(step: records.Step) -> None:
    """Starts a round: sends each member its missing entries or a heartbeat.

    Args:
        step: Core step of a leader.
    """
    state = step.state
    state.round_number += 1
    state.unacked_rounds = (
        *state.unacked_rounds,
        (state.round_number, step.now_ms),
    )
    state.heartbeat_due_ms = step.now_ms + state.settings.heartbeat_ms
    for member in state.progress:
        send_append(step, member)
    _update_lease(step)


def send_append(step: records.Step, member: ids.MemberId) -> None:
    """Sends a member the next entries, a snapshot part, or a heartbeat.

    Args:
        step: Core step of a leader.
        member: Member to send to.
    """
    state = step.state
    progress = state.progress[member]
    if progress.next_index <= state.log.base_index:
        _continue_snapshot(step, member, progress)
        return
    entries: tuple[messages.LogEntry, ...] = ()
    unacked_entries = progress.next_index - progress.match_index
    if (
        unacked_entries <= state.settings.max_unacked_entries
        or not progress.match_index
    ):
        entries = core_log.get_entries(
            state.log,
            progress.next_index,
            state.log.last_index,
            state.settings.max_batch_bytes,
        )
    _send_request(step, member, progress.next_index - 1, entries)
    next_index = progress.next_index + len(entries)
    _set_progress(
        state, member, dataclasses.replace(progress, next_index=next_index)
    )


def _send_request(
    step: records.Step,
    member: ids.MemberId,
    previous: int,
    entries: tuple[messages.LogEntry, ...],
) -> None:
    state = step.state
    previous_term = core_log.get_term(state.log, previous)
    faults.check_invariant(
        previous_term is not None, f"entry {previous} is not in the log"
    )
    request = messages.AppendRequest(
        state.term,
        state.member,
        ids.LogIndex(previous),
        ids.Term(previous_term or 0),
        entries,
        ids.LogIndex(state.commit_index),
        state.round_number,
    )
    records.send(step, member, request)


def _continue_snapshot(
    step: records.Step, member: ids.MemberId, progress: records.Progress
) -> None:
    """Sends the next snapshot part if it is due, and otherwise a heartbeat.

    Args:
        step: Core step of a leader.
        member: Member that receives the snapshot.
        progress: Replication progress of the member.
    """
    state = step.state
    if progress.snapshot_index != state.snapshot_index:
        progress = dataclasses.replace(
            progress,
            snapshot_index=state.snapshot_index,
            snapshot_offset=0,
            part_sent_ms=0,
        )
    wait_ms = state.settings.election_max_ms
    is_due = step.now_ms - progress.part_sent_ms >= wait_ms
    if progress.part_sent_ms and not is_due:
        # The follower lacks the previous entry and rejects this request, but it
        # learns that the leader is live.
        _send_request(step, member, state.log.base_index, ())
        return
    _set_progress(
        state, member, dataclasses.replace(progress, part_sent_ms=step.now_ms)
    )
    step.effects.append(
        core_effects.SendSnapshotPart(
            member, state.term, progress.snapshot_offset, state.round_number
        )
    )


def _update_lease(step: records.Step) -> None:
    """Renews the lease and confirms reads by the rounds a quorum replied to.

    Args:
        step: Core step of a leader.
    """
    state = step.state
    acked = {m: p.acked_round for m, p in state.progress.items()}
    reached = compute_quorum_value(state, state.round_number, acked)
    unacked = []
    for number, sent_ms in state.unacked_rounds:
        if number <= reached:
            state.lease_start_ms = sent_ms
            continue
        unacked.append((number, sent_ms))
    state.unacked_rounds = tuple(unacked)
    unconfirmed = []
    for read in state.pending_reads:
        if read.round_number > reached:
            unconfirmed.append(read)
            continue
        index = ids.LogIndex(read.index)
        step.effects.append(core_effects.ReadConfirmed(read.read_id, index))
    state.pending_reads = tuple(unconfirmed)


def advance_commit(step: records.Step) -> None:
    """Commits entries of the current term that a quorum has synced.

    Args:
        step: Core step of a leader.
    """
    state = step.state
    matches = {m: p.match_index for m, p in state.progress.items()}
    index = compute_quorum_value(state, state.synced_index, matches)
    if index <= state.commit_index:
        return
    # Another leader could still replace an entry of an earlier term.
    if core_log.get_term(state.log, index) != state.term:
        return
    records.commit_up_to(step, index)


def record_reply(
    step: records.Step, member: ids.MemberId, round_number: int
) -> records.Progress | None:
    """Records a member's reply in this term and renews the lease.

    Args:
        step: Core step of a leader.
        member: Member that replied.
        round_number: Round that it replied to.

    Returns:
        The member's updated progress; None for a replica that is no member.
    """
    state = step.state
    progress = state.progress.get(member)
    if progress is None:
        return None
    progress = dataclasses.replace(
        progress,
        last_contact_ms=step.now_ms,
        acked_round=max(progress.acked_round, round_number),
    )
    _set_progress(state, member, progress)
    _update_lease(step)
    return progress


def handle_append_reply(
    step: records.Step, reply: messages.AppendReply
) -> None:
    """Handles a follower's reply to an append request.

    Args:
        step: Core step of a leader.
        reply: Reply of the current term.
    """
    state = step.state
    member = reply.follower
    progress = record_reply(step, member, reply.round_number)
    if progress is None:
        return
    if not reply.success:
        _decrease_next_index(step, member, progress, reply.match_index)
        return
    match = max(progress.match_index, reply.match_index)
    progress = _update_catch_up(step, progress, match)
    faults.check_invariant(
        match <= state.log.last_index,
        f"{member} acknowledged index {match}, beyond the last index"
        f" {state.log.last_index}",
    )
    next_index = max(progress.next_index, match + 1)
    if next_index > state.log.base_index:
        progress = dataclasses.replace(
            progress, snapshot_index=0, snapshot_offset=0, part_sent_ms=0
        )
    _set_progress(
        state,
        member,
        dataclasses.replace(progress, match_index=match, next_index=next_index),
    )
    advance_commit(step)
    if next_index <= state.log.last_index:
        send_append(step, member)


def _update_catch_up(
    step: records.Step, progress: records.Progress, match: int
) -> records.Progress:
    """Measures how long a member takes to sync the log up to a fixed index.

    Under load the log grows before any reply arrives, so that the last index
    itself cannot serve as the target.

    Args:
        step: Core step of a leader.
        progress: Replication progress of the member.
        match: Last index known to be synced by the member.

    Returns:
        The progress; the next catch-up round has started if this one has ended.
    """
    state = step.state
    if match < progress.catch_up_index:
        return progress
    round_ms = step.now_ms - progress.catch_up_started_ms
    return dataclasses.replace(
        progress,
        catch_up_index=state.log.last_index,
        catch_up_started_ms=step.now_ms,
        has_caught_up=round_ms <= state.settings.election_min_ms,
    )


def _decrease_next_index(
    step: records.Step,
    member: ids.MemberId,
    progress: records.Progress,
    hint: int,
) -> None:
    state = step.state
    wanted = min(hint, state.log.last_index, progress.next_index - 1)
    next_index = max(progress.match_index, wanted) + 1
    _set_progress(
        state, member, dataclasses.replace(progress, next_index=next_index)
    )
    # While a snapshot part is in flight, its reply triggers the next one.
    if next_index > state.log.base_index or not progress.part_sent_ms:
        send_append(step, member)


def handle_part_reply(
    step: records.Step, reply: messages.SnapshotPartReply
) -> None:
    """Handles the reply to a snapshot part and sends the next part.

    Args:
        step: Core step of a leader.
        reply: Reply of the current term to the last part sent.
    """
    state = step.state
    progress = record_reply(step, reply.follower, reply.round_number)
    if progress is None or progress.next_index > state.log.base_index:
        return
    if reply.last_index != state.snapshot_index:
        return
    progress = dataclasses.replace(
        progress,
        snapshot_index=state.snapshot_index,
        snapshot_offset=reply.next_offset,
        part_sent_ms=0,
    )
    _set_progress(state, reply.follower, progress)
    send_append(step, reply.follower)


def has_quorum(step: records.Step) -> bool:
    """Checks whether a quorum has replied within the longest election timeout.

    Args:
        step: Core step of a leader.

    Returns:
        True if this member may remain the leader.
    """
    state = step.state
    contacts = {m: p.last_contact_ms for m, p in state.progress.items()}
    oldest_ms = compute_quorum_value(state, step.now_ms, contacts)
    return step.now_ms - oldest_ms <= state.settings.election_max_ms
