"""How many further losses the voters bear, as their leader sees it.

A voter counts while its last answer is younger than the shortest election
timeout. Where a change of the voters is not committed yet, both memberships
must bear the loss. What is told of it falls at once and rises only after the
better state has lasted, so that a voter that comes and goes is one report.
"""

import dataclasses

from bambookeel.consensus import membership as core_membership
from bambookeel.consensus import records
from bambookeel.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """What the voters bear at one time.

    Attributes:
        margin: Further losses after which a quorum is left.
        promised: Losses that the deployment is meant to bear.
        voters: Members with a vote.
        silent: Voters that are not heard.
        catching_up: Members without a vote that are heard.
    """

    margin: int
    promised: int
    voters: int
    silent: tuple[ids.MemberId, ...]
    catching_up: int


@dataclasses.dataclass(frozen=True, slots=True)
class MarginReport:
    """What has been told in a leader's term.

    Attributes:
        reported: The last state that was told.
        since_ms: Since when at least so much was borne, or, after a loss, when
            that was seen.
        below_since_ms: Since when fewer losses are borne than promised; None
            while that is not so.
        better: The worst state since all were better than what was told; None
            where the last one was not.
        better_from_ms: When the first of them was seen.
    """

    reported: Tolerance
    since_ms: int
    below_since_ms: int | None = None
    better: Tolerance | None = None
    better_from_ms: int = 0


def measure_tolerance(
    state: records.CoreState, now_ms: int
) -> Tolerance | None:
    """Measures what the voters bear now.

    Args:
        state: The state of a core.
        now_ms: The time.

    Returns:
        What they bear. None on a core that does not lead, and in a new term
        while a voter has neither answered yet nor been silent for too long.
    """
    if state.role is not records.Role.LEADER:
        return None
    silent = []
    for voter in state.membership.voters:
        if voter == state.member or _is_responsive(state, voter, now_ms):
            continue
        if _may_still_answer(state, voter, now_ms):
            return None
        silent.append(voter)
    margin = _count_borne(state, state.membership, now_ms)
    if state.membership_index > state.commit_index:
        committed = records.get_membership_at(state, state.commit_index)
        margin = min(margin, _count_borne(state, committed, now_ms))
    catching_up = 0
    for learner in state.membership.learners:
        catching_up += _is_responsive(state, learner, now_ms)
    voters = len(state.membership.voters)
    most = state.settings.max_voters or voters
    return Tolerance(margin, (most - 1) // 2, voters, tuple(silent), catching_up)


def _is_responsive(
    state: records.CoreState, member: ids.MemberId, now_ms: int
) -> bool:
    if member == state.member:
        return True
    progress = state.progress.get(member)
    if progress is None or not progress.acked_round:
        return False
    return now_ms - progress.last_contact_ms < state.settings.election_min_ms


def _may_still_answer(
    state: records.CoreState, voter: ids.MemberId, now_ms: int
) -> bool:
    progress = state.progress.get(voter)
    if progress is None or progress.acked_round:
        return False
    return now_ms - progress.last_contact_ms < state.settings.election_min_ms


def _count_borne(
    state: records.CoreState,
    membership: core_membership.Membership,
    now_ms: int,
) -> int:
    heard = 0
    for voter in membership.voters:
        heard += _is_responsive(state, voter, now_ms)
    return max(0, heard - membership.quorum)


def update_report(
    account: MarginReport | None, seen: Tolerance, now_ms: int, settle_ms: int
) -> MarginReport:
    """Takes a measurement into account.

    Args:
        account: What has been told in this term; None for nothing.
        seen: The measurement.
        now_ms: Its time.
        settle_ms: How long a better state must last before it is told.

    Returns:
        The new account; `reported` differs if there is something to tell.
    """
    if account is None or _is_worse(seen, account.reported):
        return _tell(account, seen, now_ms)
    if _rate(seen) == _rate(account.reported):
        return dataclasses.replace(account, better=None)
    if account.better is None:
        return dataclasses.replace(account, better=seen, better_from_ms=now_ms)
    better = account.better
    if _is_worse(seen, better):
        better = seen
    if now_ms - account.better_from_ms >= settle_ms:
        return _tell(account, better, account.better_from_ms)
    return dataclasses.replace(account, better=better)


def _rate(tolerance: Tolerance) -> tuple[int, int]:
    return tolerance.margin, tolerance.margin - tolerance.promised


def _is_worse(first: Tolerance, second: Tolerance) -> bool:
    pairs = zip(_rate(first), _rate(second))
    return any(ours < theirs for ours, theirs in pairs)


def _tell(account: MarginReport | None, told: Tolerance, since_ms: int) -> MarginReport:
    if told.margin >= told.promised:
        return MarginReport(told, since_ms)
    below_since_ms = since_ms
    if account is not None and account.below_since_ms is not None:
        below_since_ms = account.below_since_ms
    return MarginReport(told, since_ms, below_since_ms)
