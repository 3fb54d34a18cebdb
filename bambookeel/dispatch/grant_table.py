"""The grants of one service, those of earlier holders included.

A grant is in use until its entry returns it. Where the entry is lost, it ends
when the request's deadline has passed at the backend server. A grant is known
by its epoch and number, so that two holders' numbers never meet.
"""

import dataclasses
import heapq

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

GrantKey = tuple[ids.Epoch, ids.GrantId]
Life = tuple[ids.BackendId, ids.Incarnation]
# Time past its deadline after which a grant without a report has ended.
GRACE_MS = 1_000


@dataclasses.dataclass(slots=True)
class Grant:
    """A slot in use.

    Attributes:
        key: Epoch and number.
        entry: The process that uses it.
        request_id: For which request.
        team: For which team.
        backend_id: Whose slot.
        incarnation: Of which life of the backend server.
        granted_at_ms: When it was granted.
        ends_at_ms: When it ends without a report.
        charged_ms: Use that its team has been charged.
        idempotency_key: The request's key, or empty.
        message: What was sent, for an entry that asks again; None for a
            recovered grant.
        holds_slot: Whether it still counts at its backend server.
    """

    key: GrantKey
    entry: ids.ProcessId
    request_id: ids.RequestId
    team: ids.TeamName
    backend_id: ids.BackendId
    incarnation: ids.Incarnation
    granted_at_ms: int
    ends_at_ms: int
    charged_ms: float = 0.0
    idempotency_key: ids.IdempotencyKey = ids.IdempotencyKey("")
    message: messages.SlotGranted | None = None
    holds_slot: bool = True


@dataclasses.dataclass(slots=True)
class GrantTable:
    """All grants that may be in use.

    Attributes:
        by_key: Grants by epoch and number.
        by_request: The one grant of each request.
        by_life: Grants at each life of a backend server.
        ends: Heap of grants by the time they end without a report.
        last_id: The newest number of the own epoch.
    """

    by_key: dict[GrantKey, Grant] = dataclasses.field(default_factory=dict)
    by_request: dict[ids.RequestId, GrantKey] = dataclasses.field(
        default_factory=dict
    )
    by_life: dict[Life, set[GrantKey]] = dataclasses.field(default_factory=dict)
    ends: list[tuple[int, GrantKey]] = dataclasses.field(default_factory=list)
    last_id: int = 0


def add(table: GrantTable, grant: Grant) -> None:
    """Adds a grant.

    Args:
        table: The table.
        grant: The grant of a request without one.
    """
    faults.check_invariant(
        grant.request_id not in table.by_request,
        f"second grant for {grant.request_id}",
    )
    table.by_key[grant.key] = grant
    table.by_request[grant.request_id] = grant.key
    life = (grant.backend_id, grant.incarnation)
    table.by_life.setdefault(life, set()).add(grant.key)
    heapq.heappush(table.ends, (grant.ends_at_ms, grant.key))


def extend(table: GrantTable, grant: Grant, ends_at_ms: int) -> None:
    """Moves the time at which a grant ends without a report.

    Args:
        table: The table.
        grant: The grant.
        ends_at_ms: The new time.
    """
    grant.ends_at_ms = ends_at_ms
    heapq.heappush(table.ends, (ends_at_ms, grant.key))


def remove(table: GrantTable, key: GrantKey) -> Grant | None:
    """Ends a grant.

    Args:
        table: The table.
        key: Its epoch and number.

    Returns:
        The grant, or None when it has ended before.
    """
    grant = table.by_key.pop(key, None)
    if grant is None:
        return None
    del table.by_request[grant.request_id]
    life = (grant.backend_id, grant.incarnation)
    table.by_life[life].discard(key)
    if not table.by_life[life]:
        del table.by_life[life]
    return grant


def list_at(
    table: GrantTable, backend_id: ids.BackendId, incarnation: ids.Incarnation
) -> list[Grant]:
    """Lists the grants that use a slot of one life of a backend server.

    Args:
        table: The table.
        backend_id: The server.
        incarnation: Its life.

    Returns:
        The grants, oldest first.
    """
    keys = table.by_life.get((backend_id, incarnation), ())
    found = [table.by_key[key] for key in sorted(keys)]
    return [grant for grant in found if grant.holds_slot]


def take_ended(table: GrantTable, now_ms: int) -> list[Grant]:
    """Takes out the grants that have ended without a report.

    Args:
        table: The table.
        now_ms: The time.

    Returns:
        Those grants.
    """
    ended = []
    while table.ends and table.ends[0][0] <= now_ms:
        _, key = heapq.heappop(table.ends)
        grant = table.by_key.get(key)
        if grant is None or grant.ends_at_ms > now_ms:
            continue
        remove(table, key)
        ended.append(grant)
    return ended
