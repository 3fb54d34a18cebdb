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
BackendIncarnation = tuple[ids.BackendId, ids.Incarnation]
# Time past its deadline after which a grant without a report has ended.
GRACE_MS = 1_000


@dataclasses.dataclass(slots=True)
class Grant:
    """A slot in use.

    Attributes:
        key: Epoch and number it was first given.
        open_keys: Keys under which its entry may still use it.
        keys: All keys that it was given.
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
        returned_with_hold: Whether its entry has returned it with a time to count.
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
    open_keys: set[GrantKey] = dataclasses.field(default_factory=set)
    keys: list[GrantKey] = dataclasses.field(default_factory=list)
    holds_slot: bool = True
    returned_with_hold: bool = False


@dataclasses.dataclass(slots=True)
class GrantTable:
    """All grants that may be in use.

    Attributes:
        by_key: Grants by epoch and number.
        by_request: The one grant of each request.
        by_incarnation: Grants at each life of a backend server.
        ends: Heap of grants by the time they end without a report.
        last_id: The newest number of the own epoch.
    """

    by_key: dict[GrantKey, Grant] = dataclasses.field(default_factory=dict)
    by_request: dict[ids.RequestId, GrantKey] = dataclasses.field(
        default_factory=dict
    )
    by_incarnation: dict[BackendIncarnation, set[GrantKey]] = dataclasses.field(default_factory=dict)
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
    grant.keys.append(grant.key)
    grant.open_keys.add(grant.key)
    table.by_request[grant.request_id] = grant.key
    backend_incarnation = (grant.backend_id, grant.incarnation)
    table.by_incarnation.setdefault(backend_incarnation, set()).add(grant.key)
    heapq.heappush(table.ends, (grant.ends_at_ms, grant.key))


def reissue(table: GrantTable, grant: Grant, key: GrantKey) -> None:
    """Gives a grant another key, for an entry that asks again.

    The first message may have been lost, or it arrived too late and its return
    is still under way; that return must not free the slot.

    Args:
        table: The table.
        grant: The grant.
        key: The new key.
    """
    grant.keys.append(key)
    grant.open_keys.add(key)
    table.by_key[key] = grant


def return_unused(grant: Grant, key: GrantKey) -> bool:
    """Notes that an entry returned a key unused.

    Args:
        grant: The grant.
        key: The key.

    Returns:
        Whether the grant is no longer in use under any key.
    """
    grant.open_keys.discard(key)
    return not grant.open_keys


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
    grant = table.by_key.get(key)
    if grant is None:
        return None
    for one in grant.keys:
        del table.by_key[one]
    del table.by_request[grant.request_id]
    backend_incarnation = (grant.backend_id, grant.incarnation)
    table.by_incarnation[backend_incarnation].discard(grant.key)
    if not table.by_incarnation[backend_incarnation]:
        del table.by_incarnation[backend_incarnation]
    return grant


def list_for_backend(
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
    keys = table.by_incarnation.get((backend_id, incarnation), ())
    found = [table.by_key[key] for key in sorted(keys)]
    return [grant for grant in found if grant.holds_slot]


def pop_ended(table: GrantTable, now_ms: int) -> list[Grant]:
    """Takes the grants whose time has passed off the heap.

    Args:
        table: The table.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Those grants; the caller removes each or extends it.
    """
    ended: list[Grant] = []
    seen: set[GrantKey] = set()
    while table.ends and table.ends[0][0] <= now_ms:
        _, key = heapq.heappop(table.ends)
        grant = table.by_key.get(key)
        if grant is None or grant.ends_at_ms > now_ms or key in seen:
            continue
        seen.add(key)
        ended.append(grant)
    return ended


def list_all(table: GrantTable) -> list[Grant]:
    """Lists all grants.

    Args:
        table: The table.

    Returns:
        Each grant once.
    """
    return [table.by_key[key] for key in table.by_request.values()]
