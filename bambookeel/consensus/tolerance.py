"""The margin of a leader's voters: how many more of them may be lost.

A voter counts while its last reply is more recent than the shortest election
timeout. While a change of the voters is uncommitted, the margin is the smaller
one of the two memberships. The reported margin falls at once and rises only
after the better state has lasted for a while, so that a flapping voter does not
cause a report each time.
"""

import dataclasses

from bambookeel.consensus import membership as core_membership
from bambookeel.consensus import records
from bambookeel.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """Fault tolerance of the voters at one time.

    Attributes:
        margin: Number of further voters that may be lost with a quorum left.
        promised: Number of losses that the deployment is meant to tolerate.
        voters: Number of voters.
        silent: Voters without a recent reply.
        catching_up: Number of learners with a recent reply.
    """

    margin: int
    promised: int
    voters: int
    silent: tuple[ids.MemberId, ...]
    catching_up: int


@dataclasses.dataclass(frozen=True, slots=True)
class MarginReport:
    """Last reported margin in a leader's term, and a better pending one.

    Attributes:
        reported: Measurement that was last reported.
        since_ms: Time from which the margin was at least the reported one; if
            the margin fell, the time when that was measured.
        below_since_ms: Time from which the margin has been below the promised
            one; None while it is not.
        pending: Worst of the latest measurements, all of which were better than
            the reported one; None if the last one was not better.
        pending_since_ms: Time of the first of these measurements.
    """

    reported: Tolerance
    since_ms: int
    below_since_ms: int | None = None
    pending: Tolerance | None = None
    pending_since_ms: int = 0


def measure_tolerance(
    state: records.CoreState, now_ms: int
) -> Tolerance | None:
    """Measures the current margin of the voters.

    Args:
        state: State of the core.
        now_ms: Current time on this replica's clock.

    Returns:
        The measurement. None on a core that does not lead, and in a new term
        while a voter that has not replied yet may still do so in time.
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
    margin = _compute_margin(state, state.membership, now_ms)
    if state.membership_index > state.commit_index:
        committed = records.get_membership_at(state, state.commit_index)
        margin = min(margin, _compute_margin(state, committed, now_ms))
    catching_up = 0
    for learner in state.membership.learners:
        catching_up += _is_responsive(state, learner, now_ms)
    voters = len(state.membership.voters)
    intended = state.settings.max_voters or voters
    return Tolerance(
        margin, (intended - 1) // 2, voters, tuple(silent), catching_up
    )


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


def _compute_margin(
    state: records.CoreState,
    membership: core_membership.Membership,
    now_ms: int,
) -> int:
    responsive = 0
    for voter in membership.voters:
        responsive += _is_responsive(state, voter, now_ms)
    return max(0, responsive - membership.quorum)


def update_report(
    report: MarginReport | None,
    measured: Tolerance,
    now_ms: int,
    settle_ms: int,
) -> MarginReport:
    """Updates the report of a term by a measurement.

    Args:
        report: Report of this term so far; None if there is none.
        measured: New measurement.
        now_ms: Time of the measurement.
        settle_ms: How long a better margin must last before it is reported.

    Returns:
        The new report; `reported` differs if the change is to be published.
    """
    if report is None or _is_worse(measured, report.reported):
        return _build_report(report, measured, now_ms)
    if _get_margins(measured) == _get_margins(report.reported):
        return dataclasses.replace(report, pending=None)
    if report.pending is None:
        return dataclasses.replace(
            report, pending=measured, pending_since_ms=now_ms
        )
    pending = report.pending
    if _is_worse(measured, pending):
        pending = measured
    if now_ms - report.pending_since_ms >= settle_ms:
        return _build_report(report, pending, report.pending_since_ms)
    return dataclasses.replace(report, pending=pending)


def _get_margins(tolerance: Tolerance) -> tuple[int, int]:
    return tolerance.margin, tolerance.margin - tolerance.promised


def _is_worse(first: Tolerance, second: Tolerance) -> bool:
    pairs = zip(_get_margins(first), _get_margins(second))
    return any(one < other for one, other in pairs)


def _build_report(
    previous: MarginReport | None, reported: Tolerance, since_ms: int
) -> MarginReport:
    if reported.margin >= reported.promised:
        return MarginReport(reported, since_ms)
    below_since_ms = since_ms
    if previous is not None and previous.below_since_ms is not None:
        below_since_ms = previous.below_since_ms
    return MarginReport(reported, since_ms, below_since_ms)
