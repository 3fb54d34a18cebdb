"""Membership changes and leadership hand-over, as run by the leader.

Membership changes one member at a time: a change is appended only while no
other change is uncommitted and after an entry of the leader's own term is
committed, so that the quorums before and after it overlap. The leader adds
replaced disks and promotes caught-up learners on its own.
"""

import dataclasses

from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.consensus import roles
from bambookeel.core import ids
from bambookeel.core import messages


def _may_change(state: records.CoreState) -> bool:
    if state.role is not records.Role.LEADER or state.hand_over_to:
        return False
    if state.commit_index < state.term_start_index:
        return False
    return state.membership_index <= state.commit_index


def change_membership(step: records.Step, change: membership.Change) -> None:
    """Appends a membership change, unless none may be appended now.

    Args:
        step: Core step in progress.
        change: Requested change; ignored if it does not apply.
    """
    state = step.state
    if not _may_change(state):
        return
    changed = membership.apply_change(state.membership, change)
    if changed is None:
        return
    entry = messages.LogEntry(
        state.term,
        ids.LogIndex(state.log.last_index + 1),
        True,
        membership.encode_membership(changed),
    )
    records.append_to_log(step, (entry,))
    progress = {}
    for member in changed.members:
        if member == state.member:
            continue
        known = state.progress.get(member)
        progress[member] = known or records.Progress(
            0, state.log.last_index, step.now_ms
        )
    state.progress = progress
    state.non_members = tuple(
        m for m in state.non_members if m not in changed.members
    )
    replication.broadcast(step)


def record_non_member(step: records.Step, member: ids.MemberId) -> None:
    """Records a replica that is not a member, so that it can be added.

    Args:
        step: Core step in progress.
        member: Member id of the replica's current disk.
    """
    state = step.state
    if state.role is not records.Role.LEADER or member in state.non_members:
        return
    known = state.membership.members + state.membership.retired
    if member and member not in known:
        state.non_members = (*state.non_members, member)


def plan_change(step: records.Step) -> membership.Change | None:
    """Chooses the next membership change that the deployment needs.

    Args:
        step: Core step of a leader.

    Returns:
        The change; None if none is needed.
    """
    state = step.state
    max_voters = state.settings.max_voters
    lost = _find_silent_voter(step, state.settings.lost_voter_ms)
    lost = lost or _find_leaving_voter(step)
    if max_voters and len(state.membership.voters) > max_voters:
        # An even number of voters has no quorum when it is split in half.
        return membership.Demote(lost or _find_most_lagging_voter(state))
    has_vacant_vote = (
        not max_voters
        or len(state.membership.voters) < max_voters
        or bool(lost)
    )
    for learner in state.membership.learners:
        if has_vacant_vote and _can_be_promoted(step, state.progress[learner]):
            return membership.Promote(learner)
    # A replacement starts to catch up before a silent voter counts as lost.
    silent = _find_silent_voter(step, state.settings.election_min_ms)
    for non_member in state.non_members:
        if (
            has_vacant_vote
            or silent
            or _has_member_on_other_disk(state, non_member)
        ):
            return membership.AddLearner(non_member)
    return None


def _can_be_promoted(step: records.Step, progress: records.Progress) -> bool:
    limit_ms = step.state.settings.election_min_ms
    is_responsive = step.now_ms - progress.last_contact_ms < limit_ms
    is_current = step.now_ms - progress.catch_up_started_ms < limit_ms
    if _is_leaving(step, progress):
        return False
    return is_responsive and is_current and progress.has_caught_up


def _is_leaving(step: records.Step, progress: records.Progress) -> bool:
    if progress.leaving_notice_ms is None:
        return False
    # Replies long after the last notice mean that the member has restarted.
    since_ms = progress.last_contact_ms - progress.leaving_notice_ms
    return since_ms < step.state.settings.election_min_ms


def _find_leaving_voter(step: records.Step) -> ids.MemberId:
    for voter in step.state.membership.voters:
        progress = step.state.progress.get(voter)
        if progress is not None and _is_leaving(step, progress):
            return voter
    return records.NO_MEMBER


def _find_silent_voter(step: records.Step, silence_ms: int) -> ids.MemberId:
    """Finds the voter without contact for the longest time.

    Args:
        step: Core step of a leader.
        silence_ms: Voters heard from more recently are ignored.

    Returns:
        The voter; empty if there is none.
    """
    state = step.state
    oldest_ms = step.now_ms - silence_ms
    lost = records.NO_MEMBER
    for voter in state.membership.voters:
        progress = state.progress.get(voter)
        if progress is not None and progress.last_contact_ms < oldest_ms:
            oldest_ms = progress.last_contact_ms
            lost = voter
    return lost


def _find_most_lagging_voter(state: records.CoreState) -> ids.MemberId:
    others = [m for m in state.membership.voters if m in state.progress]
    return min(others, key=lambda m: state.progress[m].match_index)


def _has_member_on_other_disk(
    state: records.CoreState, non_member: ids.MemberId
) -> bool:
    process = membership.get_process(non_member)
    members = state.membership.members
    return any(membership.get_process(m) == process for m in members)


def send_leaving_notice(step: records.Step) -> None:
    """Notifies the leader that this member's process is stopping.

    Args:
        step: Core step in progress.
    """
    state = step.state
    if state.leader not in (records.NO_MEMBER, state.member):
        records.send(step, state.leader, messages.ReplicaLeaving(state.member))


def record_leaving_notice(step: records.Step, member: ids.MemberId) -> None:
    """Records that a member's process is stopping.

    If another member has caught up, the vote moves to that one; otherwise the
    stopping member keeps its vote, as it may be back soon.

    Args:
        step: Core step in progress.
        member: Member whose process is stopping.
    """
    state = step.state
    progress = state.progress.get(member)
    if state.role is not records.Role.LEADER or progress is None:
        return
    noted = dataclasses.replace(progress, leaving_notice_ms=step.now_ms)
    state.progress = {**state.progress, member: noted}


def step_down_if_removed(step: records.Step) -> None:
    """Makes a leader step down once its own removal is committed.

    Args:
        step: Core step in progress.
    """
    state = step.state
    if state.role is not records.Role.LEADER:
        return
    is_committed = state.membership_index <= state.commit_index
    if is_committed and state.member not in state.membership.voters:
        roles.become_follower(step, state.term)


def start_hand_over(step: records.Step) -> None:
    """Starts handing leadership over to the most up-to-date voter.

    Args:
        step: Core step in progress.
    """
    state = step.state
    if state.role is not records.Role.LEADER or state.hand_over_to:
        return
    candidates = []
    for voter in state.membership.voters:
        progress = state.progress.get(voter)
        if progress is None or not progress.acked_round:
            continue
        if (
            step.now_ms - progress.last_contact_ms
            < state.settings.election_min_ms
        ):
            candidates.append((progress.match_index, voter))
    if not candidates:
        return
    state.hand_over_to = max(candidates)[1]
    state.hand_over_deadline_ms = step.now_ms + state.settings.election_max_ms
    continue_hand_over(step)


def continue_hand_over(step: records.Step) -> None:
    """Asks the chosen voter to take over, once it has every entry.

    Args:
        step: Core step in progress.
    """
    state = step.state
    target = state.hand_over_to
    if state.role is not records.Role.LEADER or not target:
        return
    if step.now_ms >= state.hand_over_deadline_ms:
        state.hand_over_to = records.NO_MEMBER
        if state.lease_released:
            # Without a lease this leader cannot serve requests; the next can.
            roles.become_follower(step, state.term)
        return
    progress = state.progress.get(target)
    if progress is None or state.lease_released:
        return
    if progress.match_index < state.log.last_index:
        return
    # From here on voters may elect another leader without a timeout.
    state.lease_released = True
    message = messages.TimeoutNow(state.term, state.member)
    records.send(step, target, message)
