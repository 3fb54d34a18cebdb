"""Start-time fair queue of one service's waiting requests, fair across teams.

Each team has a start tag, the virtual time at which its next request starts;
the smallest tag goes first. A start increases the tag by the expected slot time
divided by the team's weight, and the end of the request corrects it to the
measured time. Within a team urgent requests go first. All operations are
O(log n) in the number of teams and requests; stale heap items are removed
lazily.
"""

from collections import OrderedDict
import dataclasses
import heapq

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(slots=True)
class WaitingRequest:
    """A request in the queue.

    Attributes:
        entry: The entry process that sent the request.
        request: The request for a slot.
        queued_at_ms: When the request arrived.
        deadline_ms: When the caller stops waiting, in ms on this process's
            clock.
        copying: Whether a copy of its idempotency record is pending.
    """

    entry: ids.ProcessId
    request: messages.AcquireSlot
    queued_at_ms: int
    deadline_ms: int
    copying: bool = False


@dataclasses.dataclass(slots=True)
class TeamQueue:
    """One team's waiting requests.

    Attributes:
        team: The team.
        weight: Its share weight.
        tag: Virtual start time of its next request.
        urgent: Urgent requests, oldest first.
        ordinary: Other requests, oldest first.
        version: Incremented on each change of its heap position; heap items
            with an older version are stale.
        blocked: Whether the team is kept out of the heap by its limit.
    """

    team: ids.TeamName
    weight: float = 1.0
    tag: float = 0.0
    urgent: OrderedDict[ids.RequestId, WaitingRequest] = dataclasses.field(
        default_factory=OrderedDict
    )
    ordinary: OrderedDict[ids.RequestId, WaitingRequest] = dataclasses.field(
        default_factory=OrderedDict
    )
    version: int = 0
    blocked: bool = False

    def count(self) -> int:
        """Counts the team's waiting requests.

        Returns:
            The number of urgent and ordinary requests.
        """
        return len(self.urgent) + len(self.ordinary)


@dataclasses.dataclass(slots=True)
class Queue:
    """All waiting requests of a service.

    Attributes:
        teams: Queues by team; an empty queue is kept for the team's tag.
        by_request: All waiting requests by id.
        virtual_time: The largest tag among the requests started so far.
        active_weight: Sum of the weights of teams with waiting requests.
        order: Heap of teams that may start, by tag.
        deadlines: Heap of requests by deadline.
        longest: Heap of teams by number of waiting requests relative to the
            weight, largest first.
    """

    teams: dict[ids.TeamName, TeamQueue] = dataclasses.field(
        default_factory=dict
    )
    by_request: dict[ids.RequestId, WaitingRequest] = dataclasses.field(
        default_factory=dict
    )
    virtual_time: float = 0.0
    active_weight: float = 0.0
    order: list[tuple[float, ids.TeamName, int]] = dataclasses.field(
        default_factory=list
    )
    deadlines: list[tuple[int, ids.RequestId]] = dataclasses.field(
        default_factory=list
    )
    longest: list[tuple[float, ids.TeamName]] = dataclasses.field(
        default_factory=list
    )


def _push_team(queue: Queue, team: TeamQueue) -> None:
    team.version += 1
    if team.blocked or not team.count():
        return
    heapq.heappush(queue.order, (team.tag, team.team, team.version))


def get_team(queue: Queue, team: ids.TeamName) -> TeamQueue:
    """Finds or creates a team's queue.

    Args:
        queue: The service's queue.
        team: The team's name.

    Returns:
        The team's queue; a new one starts at the current virtual time.
    """
    found = queue.teams.get(team)
    if found is None:
        found = TeamQueue(team, tag=queue.virtual_time)
        queue.teams[team] = found
    return found


def set_weight(queue: Queue, team: ids.TeamName, weight: float) -> None:
    """Sets a team's share weight for later starts.

    Args:
        queue: The service's queue.
        team: The team's name.
        weight: The share weight, above 0.
    """
    found = get_team(queue, team)
    if found.weight == weight:
        return
    if found.count():
        queue.active_weight += weight - found.weight
    found.weight = weight


def add(queue: Queue, waiting: WaitingRequest) -> None:
    """Appends a request to its team's urgent or ordinary requests.

    Args:
        queue: The service's queue.
        waiting: The request.
    """
    request = waiting.request
    team = get_team(queue, request.team)
    was_idle = not team.count()
    part = team.urgent if request.urgent else team.ordinary
    part[request.request_id] = waiting
    queue.by_request[request.request_id] = waiting
    heapq.heappush(
        queue.deadlines, (waiting.deadline_ms, waiting.request.request_id)
    )
    heapq.heappush(queue.longest, (-team.count() / team.weight, team.team))
    if len(queue.longest) > 64 + 4 * len(queue.by_request):
        _rebuild_longest(queue)
    if was_idle:
        # An idle team earns no credit for the time it was idle.
        team.tag = max(team.tag, queue.virtual_time)
        queue.active_weight += team.weight
        _push_team(queue, team)


def _rebuild_longest(queue: Queue) -> None:
    queue.longest = [
        (-team.count() / team.weight, team.team)
        for team in queue.teams.values()
        if team.count()
    ]
    heapq.heapify(queue.longest)


def remove(queue: Queue, request_id: ids.RequestId) -> WaitingRequest | None:
    """Removes one request.

    Args:
        queue: The service's queue.
        request_id: Id of the request.

    Returns:
        The request, or None when it was not in the queue.
    """
    waiting = queue.by_request.pop(request_id, None)
    if waiting is None:
        return None
    team = queue.teams[waiting.request.team]
    part = team.urgent if waiting.request.urgent else team.ordinary
    del part[request_id]
    if not team.count():
        queue.active_weight -= team.weight
        team.version += 1
    return waiting


def find_next_team(queue: Queue) -> TeamQueue | None:
    """Finds the team whose request starts next.

    Args:
        queue: The service's queue.

    Returns:
        The team with the smallest tag that is not blocked, or None.
    """
    while queue.order:
        _, name, version = queue.order[0]
        team = queue.teams[name]
        if team.version == version and not team.blocked:
            return team
        heapq.heappop(queue.order)
    return None


def peek(team: TeamQueue) -> WaitingRequest:
    """Returns a team's next request without removing it.

    Args:
        team: A team with waiting requests.

    Returns:
        The oldest urgent request, or the oldest one if none is urgent.
    """
    part = team.urgent if team.urgent else team.ordinary
    return next(iter(part.values()))


def start(queue: Queue, team: TeamQueue, use_ms: float) -> WaitingRequest:
    """Removes a team's next request and charges its expected slot time.

    Args:
        queue: The service's queue.
        team: The team returned by `find_next_team`.
        use_ms: Expected time in the slot, in ms.

    Returns:
        The removed request.
    """
    waiting = peek(team)
    queue.virtual_time = max(queue.virtual_time, team.tag)
    remove(queue, waiting.request.request_id)
    team.tag += use_ms / team.weight
    _push_team(queue, team)
    return waiting


def charge(queue: Queue, name: ids.TeamName, use_ms: float) -> None:
    """Charges a team for additional slot time, or refunds it.

    Args:
        queue: The service's queue.
        name: The team's name.
        use_ms: Slot time in ms; negative for a refund.
    """
    team = get_team(queue, name)
    team.tag += use_ms / team.weight
    if team.count():
        _push_team(queue, team)


def block_team(team: TeamQueue) -> None:
    """Keeps a team's requests from starting until `unblock_team` is called.

    Args:
        team: The team's queue.
    """
    team.blocked = True
    team.version += 1


def unblock_team(queue: Queue, name: ids.TeamName) -> None:
    """Lets a team's requests start again, without credit for the blocked time.

    Args:
        queue: The service's queue.
        name: The team's name.
    """
    team = queue.teams.get(name)
    if team is None or not team.blocked:
        return
    team.blocked = False
    team.tag = max(team.tag, queue.virtual_time)
    _push_team(queue, team)


def pop_expired(queue: Queue, now_ms: int) -> list[WaitingRequest]:
    """Removes the requests whose deadline has passed.

    Args:
        queue: The service's queue.
        now_ms: Current time in ms on this process's clock.

    Returns:
        The removed requests, by deadline.
    """
    expired = []
    while queue.deadlines and queue.deadlines[0][0] <= now_ms:
        deadline_ms, request_id = heapq.heappop(queue.deadlines)
        waiting = queue.by_request.get(request_id)
        if waiting is None or waiting.deadline_ms != deadline_ms:
            continue
        remove(queue, request_id)
        expired.append(waiting)
    return expired


def find_longest_team(queue: Queue) -> TeamQueue | None:
    """Finds the team with the most waiting requests relative to its weight.

    Args:
        queue: The service's queue.

    Returns:
        The team's queue, or None when no request is waiting.
    """
    while queue.longest:
        key, name = queue.longest[0]
        team = queue.teams[name]
        current = -team.count() / team.weight
        if current == key and team.count():
            return team
        heapq.heappop(queue.longest)
        # Between additions a count only falls, so a stale key overstates it.
        if team.count() and current > key:
            heapq.heappush(queue.longest, (current, name))
    return None


def get_newest(team: TeamQueue) -> WaitingRequest:
    """Returns the team's request that is evicted first when the queue is full.

    Args:
        team: A team with waiting requests.

    Returns:
        The newest ordinary request, or the newest one if all are urgent.
    """
    part = team.ordinary if team.ordinary else team.urgent
    return part[next(reversed(part))]
