"""Elections: pre-votes, votes, and when a voter refuses them.

A member first requests pre-votes, so that a member that was partitioned away
does not disturb a live leader with a higher term. For the same reason, and to
protect the leader's lease, a voter that has recently heard from a leader grants
no vote or pre-vote.
"""

from bambookeel.consensus import records
from bambookeel.consensus import roles
from bambookeel.core import ids
from bambookeel.core import messages


def start_pre_vote(step: records.Step) -> None:
    """Requests pre-votes from the other voters.

    Args:
        step: Core step in progress.
    """
    state = step.state
    records.restart_election_timer(step)
    if state.member not in state.membership.voters:
        return
    state.role = records.Role.PRE_CANDIDATE
    state.leader = records.NO_MEMBER
    state.votes = frozenset((state.member,))
    if len(state.votes) >= state.membership.quorum:
        start_election(step, is_hand_over=False)
        return
    _request_votes(step, state.term + 1, True, False)


def start_election(step: records.Step, is_hand_over: bool) -> None:
    """Starts a new term and requests votes in it from the other voters.

    Args:
        step: Core step in progress.
        is_hand_over: Whether the current leader requested the election.
    """
    state = step.state
    roles.become_follower(step, state.term + 1, vote=state.member)
    records.restart_election_timer(step)
    state.role = records.Role.CANDIDATE
    state.votes = frozenset((state.member,))
    if len(state.votes) >= state.membership.quorum:
        roles.become_leader(step)
        return
    _request_votes(step, state.term, False, is_hand_over)


def _request_votes(
    step: records.Step, term: int, is_pre_vote: bool, is_hand_over: bool
) -> None:
    state = step.state
    request = messages.VoteRequest(
        ids.Term(term),
        state.member,
        state.log.last_index,
        state.log.last_term,
        is_pre_vote,
        is_hand_over,
    )
    for voter in state.membership.voters:
        if voter != state.member:
            records.send(step, voter, request)


def has_live_leader(state: records.CoreState, now_ms: int) -> bool:
    """Checks whether a leader is live, so that no vote may be granted.

    Args:
        state: State of this member's core.
        now_ms: Current time on this replica's clock.

    Returns:
        True if this member leads, or has heard from a leader within the
        shortest election timeout.
    """
    if state.role is records.Role.LEADER:
        return True
    return (
        now_ms - state.last_leader_contact_ms < state.settings.election_min_ms
    )


def _is_up_to_date(
    state: records.CoreState, request: messages.VoteRequest
) -> bool:
    own = (state.log.last_term, state.log.last_index)
    return (request.last_term, request.last_index) >= own


def handle_vote_request(
    step: records.Step, request: messages.VoteRequest
) -> None:
    """Grants or refuses a vote or pre-vote.

    Args:
        step: Core step in progress.
        request: Request for a vote or pre-vote.
    """
    state = step.state
    is_refused = (
        has_live_leader(state, step.now_ms) and not request.is_hand_over
    )
    if is_refused or request.term < state.term:
        _reply(step, request, False)
        return
    is_up_to_date = _is_up_to_date(state, request)
    if request.is_pre_vote:
        _reply(step, request, is_up_to_date and request.term > state.term)
        return
    if request.term > state.term:
        vote = request.candidate if is_up_to_date else records.NO_MEMBER
        roles.become_follower(step, request.term, vote=vote)
    elif is_up_to_date and state.vote == records.NO_MEMBER:
        roles.persist_term(step, state.term, request.candidate)
    granted = is_up_to_date and state.vote == request.candidate
    if granted:
        records.restart_election_timer(step)
    _reply(step, request, granted)


def _reply(
    step: records.Step, request: messages.VoteRequest, granted: bool
) -> None:
    # A granted vote or pre-vote has the requested term, a refusal the term of
    # this member.
    term = request.term if granted else step.state.term
    reply = messages.VoteReply(
        term, step.state.member, granted, request.is_pre_vote
    )
    records.send(step, request.candidate, reply)


def handle_vote_reply(step: records.Step, reply: messages.VoteReply) -> None:
    """Counts a vote or pre-vote.

    Args:
        step: Core step in progress.
        reply: Reply to a vote or pre-vote request, of any term.
    """
    state = step.state
    if not reply.granted:
        if reply.term > state.term:
            roles.become_follower(step, reply.term)
        return
    expected = (records.Role.CANDIDATE, state.term)
    if reply.is_pre_vote:
        expected = (records.Role.PRE_CANDIDATE, ids.Term(state.term + 1))
    if (state.role, reply.term) != expected:
        return
    if reply.voter not in state.membership.voters:
        return
    state.votes = state.votes | {reply.voter}
    if len(state.votes) < state.membership.quorum:
        return
    if reply.is_pre_vote:
        start_election(step, is_hand_over=False)
        return
    roles.become_leader(step)


def handle_timeout_now(
    step: records.Step, message: messages.TimeoutNow
) -> None:
    """Starts an election at once, at the leader's request.

    Args:
        step: Core step in progress.
        message: The leader's request to take over.
    """
    state = step.state
    if message.term != state.term or message.leader != state.leader:
        return
    if state.member not in state.membership.voters:
        return
    if state.role is records.Role.FOLLOWER:
        start_election(step, is_hand_over=True)
