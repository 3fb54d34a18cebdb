"""Role changes: becoming a follower or the leader.

Elections, replication and message handling all cause role changes. Which parts
of the state are reset by one is defined only here.
"""

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


def persist_term(step: records.Step, term: int, vote: ids.MemberId) -> None:
    """Sets term and vote and, by an effect, persists them.

    Args:
        step: Core step in progress.
        term: New term, at least the current one.
        vote: Member voted for in `term`; empty for none.
    """
    state = step.state
    faults.check_invariant(
        term >= state.term, f"term fell from {state.term} to {term}"
    )
    faults.check_invariant(
        term > state.term or state.vote in (records.NO_MEMBER, vote),
        f"this member has already voted in term {term}",
    )
    state.term = ids.Term(term)
    state.vote = vote
    step.effects.append(core_effects.PersistTerm(state.term, vote))


def become_follower(
    step: records.Step,
    term: int,
    leader: ids.MemberId = records.NO_MEMBER,
    vote: ids.MemberId = records.NO_MEMBER,
) -> None:
    """Becomes a follower in a term.

    Args:
        step: Core step in progress.
        term: Term to follow, at least the current one.
        leader: Leader of `term`; empty if unknown.
        vote: Member to vote for if the term is new; empty for none.
    """
    state = step.state
    if term > state.term:
        persist_term(step, term, vote)
        state.leader = records.NO_MEMBER
        state.matched_index = state.commit_index
        state.leader_commit_index = state.commit_index
        state.pending_reply_round = 0
        state.received = None
    if state.role is records.Role.LEADER:
        _end_leadership(step)
    if state.role is not records.Role.FOLLOWER:
        records.restart_election_timer(step)
    state.role = records.Role.FOLLOWER
    state.votes = frozenset()
    if leader:
        faults.check_invariant(
            state.leader in (records.NO_MEMBER, leader),
            f"term {term} has two leaders: {state.leader} and {leader}",
        )
        state.leader = leader


def _end_leadership(step: records.Step) -> None:
    state = step.state
    for read in state.pending_reads:
        step.effects.append(core_effects.ReadRefused(read.read_id))
    state.pending_reads = ()
    state.progress = {}
    state.unacked_rounds = ()
    state.lease_start_ms = None
    state.hand_over_to = records.NO_MEMBER
    state.non_members = ()
    state.leader = records.NO_MEMBER
    step.effects.append(core_effects.RoleChanged(state.term, False))


def _get_last_contact_ms(step: records.Step, member: ids.MemberId) -> int:
    """Determines a member's last contact at the start of a leader's term.

    Args:
        step: Core step in progress.
        member: Member other than the new leader.

    Returns:
        The current time; for the previous leader, whose silence began before
        this term, the time of its last message.
    """
    if member == step.state.last_leader:
        return step.state.last_leader_contact_ms
    return step.now_ms


def become_leader(step: records.Step) -> None:
    """Becomes leader of the current term and appends a first entry in it.

    Args:
        step: Core step in progress.
    """
    state = step.state
    faults.check_invariant(
        state.leader in (records.NO_MEMBER, state.member),
        f"term {state.term} already has the leader {state.leader}",
    )
    state.role = records.Role.LEADER
    state.leader = state.member
    state.votes = frozenset()
    state.round_number = 0
    state.unacked_rounds = ()
    state.lease_start_ms = None
    state.lease_released = False
    state.pending_reads = ()
    state.non_members = ()
    state.hand_over_to = records.NO_MEMBER
    first = state.log.last_index + 1
    state.term_start_index = first
    # The first entry of the log records the membership for members added later.
    is_membership = first == 1
    payload = b""
    if is_membership:
        payload = membership.encode_membership(state.membership)
    entry = messages.LogEntry(
        state.term, ids.LogIndex(first), is_membership, payload
    )
    records.append_to_log(step, (entry,))
    state.progress = {
        member: records.Progress(0, first, _get_last_contact_ms(step, member))
        for member in state.membership.members
        if member != state.member
    }
    state.last_leader = records.NO_MEMBER
    step.effects.append(core_effects.RoleChanged(state.term, True))
    replication.broadcast(step)
