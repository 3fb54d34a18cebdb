"""The waiting requests of one service, fair over teams.

Start-time fair queueing: each team has a tag, the virtual time at which its
next request starts; the smallest tag goes first. A start charges the tag with
the expected use over the team's weight, and the request's end corrects it to
the real use. Within a team urgent requests go first. All steps are O(log n) in
the number of teams and requests; entries of the heaps are dropped lazily.
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
        entry: The process that asked.
        request: What it asked.
        queued_at_ms: When it was queued.
        deadline_ms: When the caller stops waiting, on the own clock.
        copying: Whether a copy of its idempotency record is under way.
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
        tag: Virtual start of its next request.
        urgent: Urgent requests, oldest first.
        ordinary: The rest, oldest first.
        version: Grows with each change of its place in the heap.
        blocked: Whether its limit keeps it out of the heap.
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
            The number of both kinds.
        """
        return len(self.urgent) + len(self.ordinary)


@dataclasses.dataclass(slots=True)
class Queue:
    """All waiting requests of a service.

    Attributes:
        teams: Queues by team; a team stays for its tag.
        by_request: Every waiting request.
        virtual_time: Virtual time, the tag of the last start.
        active_weight: Sum of the weights of teams with waiting requests.
        order: Heap of teams that may start, by tag.
        deadlines: Heap of requests by deadline.
        longest: Heap of teams, most waiting for their weight first.
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
        queue: The queue.
        team: The team.

    Returns:
        Its queue.
    """
    found = queue.teams.get(team)
    if found is None:
        found = TeamQueue(team, tag=queue.virtual_time)
        queue.teams[team] = found
    return found


def set_weight(queue: Queue, team: ids.TeamName, weight: float) -> None:
    """Sets a team's share weight from now on.

    Args:
        queue: The queue.
        team: The team.
        weight: The weight.
    """
    found = get_team(queue, team)
    if found.weight == weight:
        return
    if found.count():
        queue.active_weight += weight - found.weight
    found.weight = weight


def add(queue: Queue, waiting: WaitingRequest) -> None:
    """Adds a request behind its team's others of its kind.

    Args:
        queue: The queue.
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
        # A team that was idle earns no credit for the past.
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
    """Takes one request out.

    Args:
        queue: The queue.
        request_id: The request.

    Returns:
        The request, or None when it does not wait.
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
        queue: The queue.

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
    """Finds a team's next request.

    Args:
        team: A team with waiting requests.

    Returns:
        The oldest urgent request, else the oldest.
    """
    part = team.urgent if team.urgent else team.ordinary
    return next(iter(part.values()))


def start(queue: Queue, team: TeamQueue, use_ms: float) -> WaitingRequest:
    """Takes a team's next request and charges its expected use.

    Args:
        queue: The queue.
        team: The team that `find_next_team` gave.
        use_ms: Expected time in the slot.

    Returns:
        The request.
    """
    waiting = peek(team)
    queue.virtual_time = max(queue.virtual_time, team.tag)
    remove(queue, waiting.request.request_id)
    team.tag += use_ms / team.weight
    _push_team(queue, team)
    return waiting


def charge(queue: Queue, name: ids.TeamName, use_ms: float) -> None:
    """Charges a team for use beyond what was expected, or gives it back.

    Args:
        queue: The queue.
        name: The team.
        use_ms: Use in ms of one slot; negative when less was used.
    """
    team = get_team(queue, name)
    team.tag += use_ms / team.weight
    if team.count():
        _push_team(queue, team)


def block_team(team: TeamQueue) -> None:
    """Keeps a team from starting until `unblock_team`.

    Args:
        team: The team.
    """
    team.blocked = True
    team.version += 1


def unblock_team(queue: Queue, name: ids.TeamName) -> None:
    """Lets a team start again, without credit for the time it was blocked.

    Args:
        queue: The queue.
        name: The team.
    """
    team = queue.teams.get(name)
    if team is None or not team.blocked:
        return
    team.blocked = False
    team.tag = max(team.tag, queue.virtual_time)
    _push_team(queue, team)


def pop_expired(queue: Queue, now_ms: int) -> list[WaitingRequest]:
    """Takes out the requests whose deadline has passed.

    Args:
        queue: The queue.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Those requests.
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
    """Finds the team with the most waiting requests for its weight.

    Args:
        queue: The queue.

    Returns:
        The team, or None when nothing waits.
    """
    while queue.longest:
        key, name = queue.longest[0]
        team = queue.teams[name]
        current = -team.count() / team.weight
        if current == key and team.count():
            return team
        heapq.heappop(queue.longest)
        # Counts only fall between additions, so a stale key is too large.
        if team.count() and current > key:
            heapq.heappush(queue.longest, (current, name))
    return None


def get_newest(team: TeamQueue) -> WaitingRequest:
    """Finds the request that a full queue gives up first.

    Args:
        team: A team with waiting requests.

    Returns:
        The newest request that is not urgent, else the newest.
    """
    part = team.ordinary if team.ordinary else team.urgent
    return part[next(reversed(part))]
