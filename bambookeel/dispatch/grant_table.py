"""The grants of one service, those of earlier holders included.

A grant is in use until its entry returns it. If the entry is lost, the grant
ends when the request's deadline has passed at the backend server. Grants are
identified by epoch and number, so that the numbers of two holders cannot
collide.
"""

import dataclasses
import heapq

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

GrantKey = tuple[ids.Epoch, ids.GrantId]
BackendIncarnation = tuple[ids.BackendId, ids.Incarnation]
# Time after its deadline at which a grant without a report counts as ended.
GRACE_MS = 1_000


@dataclasses.dataclass(slots=True)
class Grant:
    """A slot granted to one request.

    Attributes:
        key: Epoch and number under which it was first issued.
        open_keys: Keys under which its entry may still use it.
        keys: All keys under which it was issued.
        entry: The entry process that got it.
        request_id: The request that uses it.
        team: The request's team.
        backend_id: The backend server with the slot.
        incarnation: The backend server's incarnation at the grant.
        granted_at_ms: When it was granted.
        ends_at_ms: When it ends if no report arrives.
        charged_ms: Slot time in ms that its team has been charged for it.
        idempotency_key: The request's key, or empty.
        message: The newest message sent for it, to be reissued when the entry
            requests the slot again; None for a recovered grant.
        holds_slot: Whether it still occupies a slot of its backend server.
        returned_with_hold: Whether its entry has returned it with a hold time
            for which it still counts.
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
        by_key: Grants by epoch and number; a reissued one has several keys.
        by_request: Key of the one grant of each request.
        by_incarnation: Keys of the grants at each incarnation of a backend
            server.
        ends: Heap of grants by the time at which they end without a report.
        last_id: The newest number issued in this holder's epoch.
    """

    by_key: dict[GrantKey, Grant] = dataclasses.field(default_factory=dict)
    by_request: dict[ids.RequestId, GrantKey] = dataclasses.field(
        default_factory=dict
    )
    by_incarnation: dict[BackendIncarnation, set[GrantKey]] = dataclasses.field(
        default_factory=dict
    )
    ends: list[tuple[int, GrantKey]] = dataclasses.field(default_factory=list)
    last_id: int = 0


def add(table: GrantTable, grant: Grant) -> None:
    """Adds a grant.

    Args:
        table: The service's grants.
        grant: The grant; its request must not have one yet.
    """
    faults.check_invariant(
        grant.request_id not in table.by_request,
        f"request {grant.request_id} already has a grant",
    )
    table.by_key[grant.key] = grant
    grant.keys.append(grant.key)
    grant.open_keys.add(grant.key)
    table.by_request[grant.request_id] = grant.key
    backend_incarnation = (grant.backend_id, grant.incarnation)
    table.by_incarnation.setdefault(backend_incarnation, set()).add(grant.key)
    heapq.heappush(table.ends, (grant.ends_at_ms, grant.key))


def reissue(table: GrantTable, grant: Grant, key: GrantKey) -> None:
    """Gives a grant an additional key, for an entry that requests it again.

    The first message may have been lost, or it arrived too late and the entry's
    return of it has not arrived yet; that return must not free the slot.

    Args:
        table: The service's grants.
        grant: The grant to reissue.
        key: The additional key.
    """
    grant.keys.append(key)
    grant.open_keys.add(key)
    table.by_key[key] = grant


def return_unused(grant: Grant, key: GrantKey) -> bool:
    """Records that an entry returned a key unused.

    Args:
        grant: The grant.
        key: The returned key.

    Returns:
        Whether the grant is no longer in use under any key.
    """
    grant.open_keys.discard(key)
    return not grant.open_keys


def extend(table: GrantTable, grant: Grant, ends_at_ms: int) -> None:
    """Changes the time at which a grant ends without a report.

    Args:
        table: The service's grants.
        grant: The grant.
        ends_at_ms: The new time, earlier or later.
    """
    grant.ends_at_ms = ends_at_ms
    heapq.heappush(table.ends, (ends_at_ms, grant.key))


def remove(table: GrantTable, key: GrantKey) -> Grant | None:
    """Removes a grant with all its keys.

    Args:
        table: The service's grants.
        key: Any of the grant's keys.

    Returns:
        The removed grant, or None when there is none with this key.
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
    """Lists the grants that occupy a slot of one backend server.

    Args:
        table: The service's grants.
        backend_id: The server.
        incarnation: The server's incarnation.

    Returns:
        The grants, oldest first.
    """
    keys = table.by_incarnation.get((backend_id, incarnation), ())
    found = [table.by_key[key] for key in sorted(keys)]
    return [grant for grant in found if grant.holds_slot]


def pop_ended(table: GrantTable, now_ms: int) -> list[Grant]:
    """Removes the grants that are due to end from the heap.

    Args:
        table: The service's grants.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Those grants; the caller must remove or extend each of them.
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
        table: The service's grants.

    Returns:
        Each grant once, also if it has several keys.
    """
    return [table.by_key[key] for key in table.by_request.values()]
