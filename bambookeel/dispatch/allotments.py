"""Divides each team's upper limit into allotments for the services.

Runs at control's leader. For each team and service the account knows the most
that the service's holder may be using; the sum of these never passes the limit
through anything that the leader gives. Division follows demand, max-min fair
between the services, and moves as soon as a holder confirms a lower amount.

A holder that is replaced leaves its amounts to its successor. A new leader
raises nothing until the holder of every service has told what it holds, in a
request that follows one of the new leader's own replies: from then on no reply
of an earlier leader can take effect.
"""

from collections.abc import Mapping
import dataclasses

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

# Jobs of a pool count as a service of this name.
JOBS_PREFIX = "jobs/"
# The epoch of a service's first holder.
FIRST_EPOCH = ids.Epoch(1)


@dataclasses.dataclass(slots=True)
class Share:
    """One team's part in one service.

    Attributes:
        running: What may be running, as last told.
        waiting: What waits, as last told.
        committed: The most that the holder may be using.
        earlier: The most that earlier holders may have had running.
    """

    running: int = 0
    waiting: int = 0
    committed: int = 0
    earlier: int = 0


@dataclasses.dataclass(slots=True)
class Account:
    """What the leader knows of one service's holder.

    Attributes:
        epoch: The holder's epoch.
        last_nonce: Its newest request.
        heard: Whether it has told everything since this leader began.
        knows_earlier: Whether what earlier holders had is known.
        shares: Parts by team.
        given: Amounts of the reply to the newest request.
    """

    epoch: ids.Epoch
    last_nonce: int = 0
    heard: bool = False
    knows_earlier: bool = False
    shares: dict[ids.TeamName, Share] = dataclasses.field(default_factory=dict)
    given: dict[ids.TeamName, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class AllotmentLedger:
    """The leader's accounts.

    Attributes:
        term: The term that it leads.
        accounts: Accounts by service.
        services_of: Services with a part in each team's limit.
    """

    term: ids.Term = ids.Term(0)
    accounts: dict[ids.ServiceName, Account] = dataclasses.field(
        default_factory=dict
    )
    services_of: dict[ids.TeamName, set[ids.ServiceName]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentInputs:
    """What the replicated state says.

    Attributes:
        limits: Upper limit by team.
        epochs: The newest epoch of each service that has a holder.
    """

    limits: Mapping[ids.TeamName, int]
    epochs: Mapping[ids.ServiceName, ids.Epoch]


def become_leader(keeper: AllotmentLedger, term: ids.Term) -> None:
    """Starts a term with nothing known of what is in use.

    Args:
        keeper: The keeper.
        term: The term.
    """
    keeper.term = term
    keeper.accounts.clear()
    keeper.services_of.clear()


def _knows_all(keeper: AllotmentLedger, rules: AllotmentInputs) -> bool:
    for service, epoch in rules.epochs.items():
        account = keeper.accounts.get(service)
        if account is None or not account.heard or account.epoch > epoch:
            return False
    return True


def _get_share(
    keeper: AllotmentLedger,
    account: Account,
    service: ids.ServiceName,
    team: ids.TeamName,
) -> Share:
    share = account.shares.get(team)
    if share is None:
        share = Share()
        account.shares[team] = share
        keeper.services_of.setdefault(team, set()).add(service)
    return share


def _open_account(
    keeper: AllotmentLedger, service: ids.ServiceName, epoch: ids.Epoch
) -> Account | None:
    """Finds a service's account, handed on to a new epoch where needed.

    Args:
        keeper: The keeper.
        service: The service.
        epoch: The epoch that a request names.

    Returns:
        The account, or None when the request is of an earlier epoch.
    """
    account = keeper.accounts.get(service)
    if account is None:
        # The first holder of all has none before it.
        account = Account(epoch, knows_earlier=epoch == FIRST_EPOCH)
        keeper.accounts[service] = account
        return account
    if epoch < account.epoch:
        return None
    if epoch > account.epoch:
        account.epoch = epoch
        account.last_nonce = 0
        account.knows_earlier = account.heard
        account.given.clear()
        for share in account.shares.values():
            share.earlier = share.committed
    return account


def _take_report(
    keeper: AllotmentLedger,
    account: Account,
    report: messages.ServiceReport,
    demands: dict[ids.TeamName, messages.TeamDemand],
) -> None:
    """Takes in what a holder tells of one service.

    Args:
        keeper: The keeper.
        account: The service's account.
        report: What the holder tells of the service.
        demands: What it tells of the teams; the others hold nothing.
    """
    for team in demands:
        _get_share(keeper, account, report.service, team)
    for team, share in list(account.shares.items()):
        demand = demands.get(team)
        share.running = demand.running if demand else 0
        share.waiting = demand.waiting if demand else 0
        held = demand.held if demand else 0
        if not report.complete:
            # The holder does not know what earlier ones left running.
            held = max(held, share.earlier, share.committed)
        # Replies to earlier requests can no longer take effect.
        share.committed = held
        if report.complete:
            share.earlier = 0
        if not share.committed and not share.running and not share.waiting:
            del account.shares[team]
            keeper.services_of[team].discard(report.service)


def handle_request(
    keeper: AllotmentLedger,
    rules: AllotmentInputs,
    request: messages.AllotmentRequest,
    lease_ms: int,
) -> messages.AllotmentReply | None:
    """Takes in a holder's report and allots.

    Args:
        keeper: The keeper.
        rules: What the replicated state says.
        request: The report, already checked to come from the holder.
        lease_ms: The allotments' lease.

    Returns:
        The reply, or None when nothing in the request is current.
    """
    demands: dict[ids.ServiceName, dict] = {}
    for demand in request.demands:
        demands.setdefault(demand.service, {})[demand.team] = demand
    allotments: list[messages.Allotment] = []
    epochs = []
    for report in request.services:
        account = _open_account(keeper, report.service, report.epoch)
        if account is None or request.nonce <= account.last_nonce:
            continue
        account.last_nonce = request.nonce
        _take_report(keeper, account, report, demands.get(report.service, {}))
        if request.answered_term == keeper.term and report.complete:
            account.heard = True
        epochs.append(
            dataclasses.replace(report, complete=account.knows_earlier)
        )
        allotments.extend(_allot(keeper, rules, account, report.service))
    if not epochs:
        return None
    return messages.AllotmentReply(
        request.nonce, lease_ms, tuple(allotments), keeper.term, tuple(epochs)
    )


def _allot(
    keeper: AllotmentLedger,
    rules: AllotmentInputs,
    account: Account,
    service: ids.ServiceName,
) -> list[messages.Allotment]:
    """Allots every team's part in one service.

    Args:
        keeper: The keeper.
        rules: What the replicated state says.
        account: The service's account.
        service: The service.

    Returns:
        The allotments.
    """
    may_raise = _knows_all(keeper, rules)
    allotments = []
    for team, share in account.shares.items():
        limit = rules.limits.get(team, 0)
        committed = _sum_committed(keeper, team)
        target = _divide_limit(keeper, team, limit).get(service, 0)
        amount = min(target, share.committed)
        if may_raise and account.heard and target > share.committed:
            room = max(0, limit - committed)
            amount = share.committed + min(target - share.committed, room)
            share.committed = amount
            faults.check_invariant(
                _sum_committed(keeper, team) <= max(limit, committed),
                f"allotments of {team} pass its limit {limit}",
            )
        account.given[team] = amount
        allotments.append(
            messages.Allotment(team, service, amount, share.earlier)
        )
    return allotments


def _sum_committed(keeper: AllotmentLedger, team: ids.TeamName) -> int:
    total = 0
    for service in keeper.services_of.get(team, ()):
        total += keeper.accounts[service].shares[team].committed
    return total


def _divide_limit(
    keeper: AllotmentLedger, team: ids.TeamName, limit: int
) -> dict[ids.ServiceName, int]:
    """Divides a team's limit max-min fair by what its services ask.

    Args:
        keeper: The keeper.
        team: The team.
        limit: Its upper limit.

    Returns:
        The target of each service; what nobody asks stays undivided.
    """
    wanted = {}
    for service in sorted(keeper.services_of.get(team, ())):
        share = keeper.accounts[service].shares[team]
        asked = share.running + share.waiting
        # A little beyond the demand saves new requests a round trip.
        spare = 1 + asked // 4 if asked else 0
        wanted[service] = (asked, asked + spare)
    targets = _fill_evenly({s: pair[0] for s, pair in wanted.items()}, limit)
    left = limit - sum(targets.values())
    spares = {s: pair[1] - pair[0] for s, pair in wanted.items()}
    for service, extra in _fill_evenly(spares, left).items():
        targets[service] += extra
    return targets


def _fill_evenly(
    asked: dict[ids.ServiceName, int], total: int
) -> dict[ids.ServiceName, int]:
    """Divides a whole number max-min fair.

    Args:
        asked: What each asks.
        total: What there is.

    Returns:
        What each gets, never more than it asks.
    """
    filled = {}
    left = max(0, total)
    ordered = sorted(asked, key=lambda service: (asked[service], service))
    for i, service in enumerate(ordered):
        part = -(-left // (len(ordered) - i))
        filled[service] = min(asked[service], part)
        left -= filled[service]
    return filled
