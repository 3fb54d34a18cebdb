"""Divides each team's upper limit into allotments for the services.

Runs at control's leader. For each team and service the ledger records the
committed amount: the most that the service's holder may be using. An allotment
by the leader never raises the sum of the committed amounts above the limit.
The limit is divided by demand, max-min fair between the services. A lowered
amount becomes available to other services as soon as its holder confirms it.

The amounts of a replaced holder pass to its successor. A new leader raises no
amount until the holder of every service has reported what it holds in a
request that follows one of the new leader's own replies: from then on no reply
of an earlier leader can take effect.
"""

from collections.abc import Mapping
import dataclasses

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

# Jobs of a pool count as a service whose name has this prefix.
JOBS_PREFIX = "jobs/"
# The epoch of a service's first holder.
FIRST_EPOCH = ids.Epoch(1)


@dataclasses.dataclass(slots=True)
class TeamUsage:
    """One team's use of its limit in one service, counted in requests.

    Attributes:
        running: Requests that may be running, as last reported.
        waiting: Waiting requests, as last reported.
        committed: The most that the holder may be using.
        earlier: The most that earlier holders may have left running.
    """

    running: int = 0
    waiting: int = 0
    committed: int = 0
    earlier: int = 0


@dataclasses.dataclass(slots=True)
class HolderState:
    """What the leader knows of one service's holder.

    Attributes:
        epoch: The holder's epoch.
        last_nonce: Nonce of its newest request.
        has_reported: Whether it has sent a complete report since this leader's
            term began.
        earlier_known: Whether the use by earlier holders is known.
        usage_by_team: Use of each team's limit.
        last_allotted: Amounts by team in the reply to the newest request.
    """

    epoch: ids.Epoch
    last_nonce: int = 0
    has_reported: bool = False
    earlier_known: bool = False
    usage_by_team: dict[ids.TeamName, TeamUsage] = dataclasses.field(
        default_factory=dict
    )
    last_allotted: dict[ids.TeamName, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class AllotmentLedger:
    """The leader's record of what each service may use of the limits.

    Attributes:
        term: The leader's term.
        holders: State of the current holder of each service.
        services_by_team: Services that use a part of each team's limit.
    """

    term: ids.Term = ids.Term(0)
    holders: dict[ids.ServiceName, HolderState] = dataclasses.field(
        default_factory=dict
    )
    services_by_team: dict[ids.TeamName, set[ids.ServiceName]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentInputs:
    """Limits and epochs from the replicated state.

    Attributes:
        limits: Upper limit by team, in requests running at once.
        epochs: The newest epoch of each service that has a holder.
    """

    limits: Mapping[ids.TeamName, int]
    epochs: Mapping[ids.ServiceName, ids.Epoch]


def become_leader(ledger: AllotmentLedger, term: ids.Term) -> None:
    """Starts a term with an empty ledger.

    Args:
        ledger: The ledger, cleared in place.
        term: The new leader's term.
    """
    ledger.term = term
    ledger.holders.clear()
    ledger.services_by_team.clear()


def _have_all_reported(
    ledger: AllotmentLedger, inputs: AllotmentInputs
) -> bool:
    for service, epoch in inputs.epochs.items():
        holder = ledger.holders.get(service)
        if holder is None or not holder.has_reported or holder.epoch > epoch:
            return False
    return True


def _get_usage(
    ledger: AllotmentLedger,
    holder: HolderState,
    service: ids.ServiceName,
    team: ids.TeamName,
) -> TeamUsage:
    usage = holder.usage_by_team.get(team)
    if usage is None:
        usage = TeamUsage()
        holder.usage_by_team[team] = usage
        ledger.services_by_team.setdefault(team, set()).add(service)
    return usage


def _find_holder(
    ledger: AllotmentLedger, service: ids.ServiceName, epoch: ids.Epoch
) -> HolderState | None:
    """Finds the state of a service's holder, and advances it to a newer epoch.

    Args:
        ledger: The leader's ledger.
        service: The service.
        epoch: The epoch in the holder's request.

    Returns:
        The state, or None when the request is of an earlier epoch.
    """
    holder = ledger.holders.get(service)
    if holder is None:
        # The holder of the first epoch has no predecessor.
        holder = HolderState(epoch, earlier_known=epoch == FIRST_EPOCH)
        ledger.holders[service] = holder
        return holder
    if epoch < holder.epoch:
        return None
    if epoch > holder.epoch:
        holder.epoch = epoch
        holder.last_nonce = 0
        holder.earlier_known = holder.has_reported
        holder.last_allotted.clear()
        for usage in holder.usage_by_team.values():
            usage.earlier = usage.committed
    return holder


def _apply_report(
    ledger: AllotmentLedger,
    holder: HolderState,
    report: messages.ServiceReport,
    demands: dict[ids.TeamName, messages.TeamDemand],
) -> None:
    """Applies a holder's report on one service.

    Args:
        ledger: The leader's ledger.
        holder: State of the service's holder.
        report: The report on the service.
        demands: Demand by team; a team that is absent holds nothing.
    """
    for team in demands:
        _get_usage(ledger, holder, report.service, team)
    for team, usage in list(holder.usage_by_team.items()):
        demand = demands.get(team)
        usage.running = demand.running if demand else 0
        usage.waiting = demand.waiting if demand else 0
        held = demand.held if demand else 0
        if not report.complete:
            # The holder does not know what earlier holders left running.
            held = max(held, usage.earlier, usage.committed)
        # Replies to earlier requests can no longer take effect.
        usage.committed = held
        if report.complete:
            usage.earlier = 0
        if not usage.committed and not usage.running and not usage.waiting:
            del holder.usage_by_team[team]
            ledger.services_by_team[team].discard(report.service)


def handle_request(
    ledger: AllotmentLedger,
    inputs: AllotmentInputs,
    request: messages.AllotmentRequest,
    lease_ms: int,
) -> messages.AllotmentReply | None:
    """Applies a holder's report and computes its allotments.

    Args:
        ledger: The leader's ledger.
        inputs: Limits and epochs from the replicated state.
        request: The report; the caller has checked that it is the holder's.
        lease_ms: Lease of the allotments in ms.

    Returns:
        The reply, or None when nothing in the request is current.
    """
    demands: dict[ids.ServiceName, dict] = {}
    for demand in request.demands:
        demands.setdefault(demand.service, {})[demand.team] = demand
    allotments: list[messages.Allotment] = []
    epochs = []
    for report in request.services:
        holder = _find_holder(ledger, report.service, report.epoch)
        if holder is None or request.nonce <= holder.last_nonce:
            continue
        holder.last_nonce = request.nonce
        _apply_report(ledger, holder, report, demands.get(report.service, {}))
        if request.answered_term == ledger.term and report.complete:
            holder.has_reported = True
        epochs.append(
            dataclasses.replace(report, complete=holder.earlier_known)
        )
        allotments.extend(_allot(ledger, inputs, holder, report.service))
    if not epochs:
        return None
    return messages.AllotmentReply(
        request.nonce, lease_ms, tuple(allotments), ledger.term, tuple(epochs)
    )


def _allot(
    ledger: AllotmentLedger,
    inputs: AllotmentInputs,
    holder: HolderState,
    service: ids.ServiceName,
) -> list[messages.Allotment]:
    """Computes the allotments of all teams in one service.

    Args:
        ledger: The leader's ledger; raised amounts are committed in it.
        inputs: Limits and epochs from the replicated state.
        holder: State of the service's holder.
        service: The service.

    Returns:
        One allotment for each team with usage in the service.
    """
    may_raise = _have_all_reported(ledger, inputs)
    allotments = []
    for team, usage in holder.usage_by_team.items():
        limit = inputs.limits.get(team, 0)
        committed = _sum_committed(ledger, team)
        target = _divide_limit(ledger, team, limit).get(service, 0)
        amount = min(target, usage.committed)
        if may_raise and holder.has_reported and target > usage.committed:
            room = max(0, limit - committed)
            amount = usage.committed + min(target - usage.committed, room)
            usage.committed = amount
            faults.check_invariant(
                _sum_committed(ledger, team) <= max(limit, committed),
                f"allotments of {team} exceed its limit {limit}",
            )
        holder.last_allotted[team] = amount
        allotments.append(
            messages.Allotment(team, service, amount, usage.earlier)
        )
    return allotments


def _sum_committed(ledger: AllotmentLedger, team: ids.TeamName) -> int:
    total = 0
    for service in ledger.services_by_team.get(team, ()):
        total += ledger.holders[service].usage_by_team[team].committed
    return total


def _divide_limit(
    ledger: AllotmentLedger, team: ids.TeamName, limit: int
) -> dict[ids.ServiceName, int]:
    """Divides a team's limit by its services' demand, max-min fair.

    Args:
        ledger: The leader's ledger.
        team: The team.
        limit: The team's upper limit.

    Returns:
        The target of each service; what exceeds all demand stays undivided.
    """
    wanted = {}
    for service in sorted(ledger.services_by_team.get(team, ())):
        usage = ledger.holders[service].usage_by_team[team]
        demand = usage.running + usage.waiting
        # A reserve beyond the demand saves new requests a round trip.
        spare = 1 + demand // 4 if demand else 0
        wanted[service] = (demand, demand + spare)
    targets = _divide_max_min_fair(
        {s: pair[0] for s, pair in wanted.items()}, limit
    )
    left = limit - sum(targets.values())
    spares = {s: pair[1] - pair[0] for s, pair in wanted.items()}
    for service, extra in _divide_max_min_fair(spares, left).items():
        targets[service] += extra
    return targets


def _divide_max_min_fair(
    demands: dict[ids.ServiceName, int], total: int
) -> dict[ids.ServiceName, int]:
    """Divides an integer total max-min fair.

    Args:
        demands: Demand of each service.
        total: The amount to divide; a negative one counts as 0.

    Returns:
        The amount for each service, at most its demand.
    """
    targets = {}
    left = max(0, total)
    ordered = sorted(demands, key=lambda service: (demands[service], service))
    for i, service in enumerate(ordered):
        part = -(-left // (len(ordered) - i))
        targets[service] = min(demands[service], part)
        left -= targets[service]
    return targets
