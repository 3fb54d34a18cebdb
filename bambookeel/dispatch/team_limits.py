"""A dispatcher's allotments of the teams' upper limits.

Control allots to each service how many of a team's requests it may run at once.
The dispatcher starts a request only within an allotment whose lease is valid by
its own clock. Every request that may be running counts: known grants, slots
returned with a hold time, and what an earlier holder may have granted to
entries that have not reported.
"""

import dataclasses

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

# Requests without a team, on a queue open to all, have no limit.
NO_TEAM = ids.TeamName("")


@dataclasses.dataclass(slots=True)
class TeamLimit:
    """One team's limit in this service.

    Attributes:
        allotment: How many of its requests may run at once.
        until_ms: When the allotment's lease ends.
        charged: Known requests that may be running.
        unreported: Requests that may be running but have not been reported to
            this holder.
        reported_demand: Demand in the last report to control.
    """

    allotment: int = 0
    until_ms: int = 0
    charged: int = 0
    unreported: int = 0
    reported_demand: int = 0


@dataclasses.dataclass(slots=True)
class LimitTable:
    """The limits of all teams in this service.

    Attributes:
        by_team: Limits by team.
        complete: Whether all requests granted by earlier holders are counted.
        unreported_until_ms: When all unreported requests have passed their
            deadline.
    """

    by_team: dict[ids.TeamName, TeamLimit] = dataclasses.field(
        default_factory=dict
    )
    complete: bool = False
    unreported_until_ms: int = 0


def get_limit(table: LimitTable, team: ids.TeamName) -> TeamLimit:
    """Finds or creates a team's limit.

    Args:
        table: The service's limits.
        team: The team's name.

    Returns:
        The team's limit; a new one has no allotment.
    """
    found = table.by_team.get(team)
    if found is None:
        found = TeamLimit()
        table.by_team[team] = found
    return found


def may_start(table: LimitTable, team: ids.TeamName, now_ms: int) -> bool:
    """Checks whether a team may start one more request.

    Args:
        table: The service's limits.
        team: The team's name; without a team there is no limit.
        now_ms: Current time in ms, read immediately before the grant.

    Returns:
        Whether the allotment is valid and not used up.
    """
    if team == NO_TEAM:
        return True
    limit = get_limit(table, team)
    if now_ms >= limit.until_ms or not table.complete:
        return False
    return has_room(limit)


def has_room(limit: TeamLimit) -> bool:
    """Checks whether an allotment has room, regardless of its lease.

    Args:
        limit: The team's limit.

    Returns:
        Whether one more request fits.
    """
    return limit.charged + limit.unreported < limit.allotment


def should_report_demand(limit: TeamLimit, now_ms: int) -> bool:
    """Checks whether a team's demand should be reported to control soon.

    Args:
        limit: The limit of a team whose requests are held back.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether the last report did not show the demand, or the allotment's
        lease has ended.
    """
    return limit.reported_demand <= limit.allotment or now_ms >= limit.until_ms


def charge(table: LimitTable, team: ids.TeamName) -> None:
    """Counts one more request.

    Args:
        table: The service's limits.
        team: The request's team.
    """
    get_limit(table, team).charged += 1


def release(table: LimitTable, team: ids.TeamName) -> None:
    """Counts one less request.

    Args:
        table: The service's limits.
        team: The request's team.
    """
    limit = get_limit(table, team)
    limit.charged -= 1
    faults.check_invariant(limit.charged >= 0, "charged requests below zero")


def count_held(limit: TeamLimit, now_ms: int) -> int:
    """Counts how much of a team's limit the holder may still be using.

    Args:
        limit: The team's limit.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The requests that may be running; while the allotment's lease is valid,
        at least the allotment.
    """
    running = limit.charged + limit.unreported
    if now_ms >= limit.until_ms:
        return running
    return max(limit.allotment, running)


def set_allotment(
    table: LimitTable, allotment: messages.Allotment, until_ms: int
) -> bool:
    """Sets a team's allotment for this holder's epoch.

    Args:
        table: The service's limits.
        allotment: The allotment from control.
        until_ms: When its lease ends, in ms on this process's clock.

    Returns:
        Whether the amount changed.
    """
    limit = get_limit(table, allotment.team)
    changed = limit.allotment != allotment.amount
    limit.allotment = allotment.amount
    limit.until_ms = until_ms
    return changed


def assume_unreported(
    table: LimitTable, allotments: tuple[messages.Allotment, ...]
) -> None:
    """Counts possible grants of earlier holders that no entry has reported.

    Args:
        table: The service's limits; all requests reported by entries must be
            charged.
        allotments: The teams' allotments; `earlier` is the most that earlier
            holders may have running.
    """
    if table.complete:
        return
    for allotment in allotments:
        limit = get_limit(table, allotment.team)
        limit.unreported = max(0, allotment.earlier - limit.charged)
    table.complete = True


def clear_unreported(table: LimitTable) -> None:
    """Sets the unreported counts to 0, as all those requests have ended.

    Args:
        table: The service's limits.
    """
    table.complete = True
    for limit in table.by_team.values():
        limit.unreported = 0


def list_demands(
    table: LimitTable,
    service: ids.ServiceName,
    waiting: dict[ids.TeamName, int],
    now_ms: int,
) -> tuple[messages.TeamDemand, ...]:
    """Lists the service's use of and demand for each team's limit.

    Args:
        table: The service's limits.
        service: Name of the service.
        waiting: Number of waiting requests by team.
        now_ms: Current time in ms on this process's clock.

    Returns:
        One record for each team with running or waiting requests or a held
        allotment.
    """
    demands = []
    for team, limit in table.by_team.items():
        if team == NO_TEAM:
            continue
        running = limit.charged + limit.unreported
        wanted = waiting.get(team, 0)
        held = count_held(limit, now_ms)
        limit.reported_demand = running + wanted
        if running or wanted or held:
            demands.append(
                messages.TeamDemand(team, service, running, wanted, held)
            )
    return tuple(demands)
