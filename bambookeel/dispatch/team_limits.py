"""A dispatcher's part of each team's upper limit.

Control allots to each service how many of a team's requests it may run. The
dispatcher starts a request only within an allotment whose lease holds by its
own clock. Everything that may be running counts: known grants, held slots, and
what an earlier holder may have granted to entries that were not heard.
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
        allotment: How many may run at once.
        until_ms: When the allotment's lease ends.
        charged: Known requests that may be running.
        unreported: Requests that may be running unknown to this holder.
        reported_demand: Demand that control was last told.
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
        complete: Whether everything that earlier holders granted is counted.
        unreported_until_ms: When everything unheard has ended.
    """

    by_team: dict[ids.TeamName, TeamLimit] = dataclasses.field(
        default_factory=dict
    )
    complete: bool = False
    unreported_until_ms: int = 0


def get_limit(table: LimitTable, team: ids.TeamName) -> TeamLimit:
    """Finds or creates a team's limit.

    Args:
        table: The limits.
        team: The team.

    Returns:
        Its limit.
    """
    found = table.by_team.get(team)
    if found is None:
        found = TeamLimit()
        table.by_team[team] = found
    return found


def may_start(table: LimitTable, team: ids.TeamName, now_ms: int) -> bool:
    """Tells whether a team may start one more request.

    Args:
        table: The limits.
        team: The team.
        now_ms: Current time in ms, read immediately before the grant.

    Returns:
        Whether the allotment holds and has room.
    """
    if team == NO_TEAM:
        return True
    limit = get_limit(table, team)
    if now_ms >= limit.until_ms or not table.complete:
        return False
    return has_room(limit)


def has_room(limit: TeamLimit) -> bool:
    """Tells whether an allotment has room, its lease aside.

    Args:
        limit: The team's limit.

    Returns:
        Whether one more request fits.
    """
    return limit.charged + limit.unreported < limit.allotment


def should_report_demand(limit: TeamLimit, now_ms: int) -> bool:
    """Tells whether control should soon hear that a team wants more.

    Args:
        limit: The limit of a team that is held back.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Whether control does not know of the demand yet.
    """
    return limit.reported_demand <= limit.allotment or now_ms >= limit.until_ms


def charge(table: LimitTable, team: ids.TeamName) -> None:
    """Counts one more request.

    Args:
        table: The limits.
        team: Its team.
    """
    get_limit(table, team).charged += 1


def release(table: LimitTable, team: ids.TeamName) -> None:
    """Counts one request less.

    Args:
        table: The limits.
        team: Its team.
    """
    limit = get_limit(table, team)
    limit.charged -= 1
    faults.check_invariant(limit.charged >= 0, "charged requests below zero")


def count_held(limit: TeamLimit, now_ms: int) -> int:
    """Counts what the holder may still be using of a team's limit.

    Args:
        limit: The team's limit.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The allotment while its lease holds, and at least what may be running.
    """
    running = limit.charged + limit.unreported
    if now_ms >= limit.until_ms:
        return running
    return max(limit.allotment, running)


def set_allotment(
    table: LimitTable, allotment: messages.Allotment, until_ms: int
) -> bool:
    """Takes in an allotment of the own epoch.

    Args:
        table: The limits.
        allotment: The allotment.
        until_ms: When its lease ends on the own clock.

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
    """Counts what earlier holders may have granted beyond what was heard.

    Args:
        table: The limits, with everything charged that the entries reported.
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
    """Ends what was counted as unheard, since it is known to have ended.

    Args:
        table: The limits.
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
    """Lists what the service has and wants; an idle team is left out.

    Args:
        table: The limits.
        service: The service.
        waiting: Waiting requests by team.
        now_ms: Current time in ms on this process's clock.

    Returns:
        One record for each team with anything to tell.
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
