"""Changes of role: to follower and to leader.

Election, replication and following all end a role or begin one; the rules for
what is forgotten then stand only here.
"""

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


def persist_term(step: records.Step, term: int, vote: ids.MemberId) -> None:
    """Moves to a term and vote and asks for them on disk.

    Args:
        step: The step.
        term: The term, never smaller than the current one.
        vote: The vote in it.
    """
    state = step.state
    faults.check_invariant(
        term >= state.term, f"term {term} after term {state.term}"
    )
    faults.check_invariant(
        term > state.term or state.vote in (records.NO_MEMBER, vote),
        f"a second vote in term {term}",
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
    """Follows a term, with or without a known leader.

    Args:
        step: The step.
        term: The term, not smaller than the current one.
        leader: Its leader, if known.
        vote: Whom to vote for, if the term is new.
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
    """Gets when a new leader counts a member as last heard.

    Args:
        step: The step.
        member: The member.

    Returns:
        The time; the last leader's silence began before this term.
    """
    if member == step.state.last_leader:
        return step.state.last_leader_contact_ms
    return step.now_ms


def become_leader(step: records.Step) -> None:
    """Starts leading the current term with an entry of its own.

    Args:
        step: The step.
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
    # The very first entry fixes the membership for all later members.
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
