"""Simulated load on one pool, and policies that assign its slots.

Time is simulated: the dispatch logic performs no I/O, so a run measures its
decisions and not the machine. Each policy is notified of arriving and
ended requests, and returns the requests that start.
"""

from collections import Counter
from collections import deque
import dataclasses
import heapq
import itertools
import random

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.dispatch import announcing
from bambookeel.dispatch import dispatcher
from bambookeel.dispatch import effects
from bambookeel.dispatch import service as dispatch_service
from bambookeel.dispatch import team_limits

ENTRIES = 11
NO_LIMIT = 1_000_000
_TICK_MS = 100
# Shares are compared over windows of this length.
WINDOW_MS = 10_000


@dataclasses.dataclass(frozen=True)
class Team:
    """One team's part of the load.

    Attributes:
        name: Name of the team.
        weight: Its share weight.
        rate: Its fraction of all requests.
        use_ms: Mean time in ms of its requests in a slot.
    """

    name: str
    weight: float
    rate: float
    use_ms: float


# A few large teams; demand does not follow the weights.
TEAMS = (
    Team("coach", 4.0, 0.30, 200.0),
    Team("school", 3.0, 0.25, 300.0),
    Team("rambler", 1.0, 0.20, 100.0),
    Team("dawn", 1.0, 0.10, 400.0),
    Team("label", 2.0, 0.10, 200.0),
    Team("van", 1.0, 0.05, 800.0),
)


@dataclasses.dataclass(eq=False)
class LoadRequest:
    """One request of the load."""

    number: int
    team: Team
    use_ms: int
    arrived_ms: int
    deadline_ms: int
    urgent: bool = False
    entry: int = 0


class DispatcherPolicy:
    """The real dispatcher's decisions, with a limit that is never reached."""

    def __init__(self, backends, slots, teams=TEAMS, queue_bound=400):
        centres = {f"entry-{i}": "dc" for i in range(ENTRIES)}
        deployment = dispatch_service.Deployment("entry-0", centres)
        spec = resources.ServiceSpec(pool="pool", queue_bound=queue_bound)
        self.state = dispatch_service.ServiceState("s", 1, spec, deployment)
        weights = {
            team.name: resources.TeamSpec(
                share_weight=team.weight, upper_limit=NO_LIMIT
            )
            for team in teams
        }
        dispatcher.set_teams(self.state, weights)
        dispatcher.renew_lease(self.state, 1 << 60, set(centres), 0)
        for team in teams:
            limit = team_limits.get_limit(self.state.limits, team.name)
            limit.allotment, limit.until_ms = NO_LIMIT, 1 << 60
        self._requests = {}
        self._grants = {}
        self.sent = []
        for i in range(backends):
            announcement = messages.BackendAnnouncement(
                "s",
                f"b{i}",
                f"10.0.0.1:{i + 1}",
                1,
                1,
                messages.BackendState.SERVING,
                slots,
                64,
                1 << 50,
                0,
                0,
            )
            announcing.handle_announcement(self.state, announcement, 0)
        dispatcher.handle_tick(self.state, 0)

    def _perform(self, emitted):
        started = []
        for effect in emitted:
            if not isinstance(effect, effects.Send):
                continue
            self.sent.append(effect.message)
            match effect.message:
                case messages.SlotGranted() as grant:
                    request = self._requests[grant.request_id]
                    self._grants[request.number] = grant
                    started.append(request)
                case messages.SlotRefused() as refusal:
                    self._requests.pop(refusal.request_id, None)
        return started

    def offer(self, request, now_ms):
        """Handles an arriving request and returns those that start."""
        request_id = ids.RequestId(f"r{request.number}")
        self._requests[request_id] = request
        acquire = messages.AcquireSlot(
            request_id,
            "s",
            request.team.name,
            request.urgent,
            max(1, request.deadline_ms - now_ms),
            "",
            0,
        )
        entry = f"entry-{request.entry}"
        return self._perform(
            dispatcher.handle_message(self.state, entry, acquire, now_ms)
        )

    def finish(self, request, now_ms):
        """Handles the end of a request and returns those that start."""
        grant = self._grants.pop(request.number)
        del self._requests[grant.request_id]
        release = messages.SlotReleased(
            grant.request_id,
            "s",
            grant.epoch,
            grant.grant_id,
            outcomes.OutcomeKind.ANSWERED,
            False,
            request.use_ms,
            0,
        )
        return self._perform(
            dispatcher.handle_message(self.state, "entry-0", release, now_ms)
        )

    def tick(self, now_ms):
        """Runs the periodic work and returns the requests that start."""
        return self._perform(dispatcher.handle_tick(self.state, now_ms))

    def count_waiting(self):
        """Counts the waiting requests."""
        return len(self.state.queue.by_request)


class FirstComePolicy:
    """First come, first served in one bounded queue."""

    def __init__(self, slots, queue_bound=400):
        self._free = slots
        self._queue = deque()
        self._bound = queue_bound

    def _start(self, now_ms):
        started = []
        while self._free and self._queue:
            request = self._queue.popleft()
            if request.deadline_ms <= now_ms:
                continue
            self._free -= 1
            started.append(request)
        return started

    def offer(self, request, now_ms):
        """Handles an arriving request and returns those that start."""
        if len(self._queue) < self._bound:
            self._queue.append(request)
        return self._start(now_ms)

    def finish(self, _request, now_ms):
        """Handles the end of a request and returns those that start."""
        self._free += 1
        return self._start(now_ms)

    def tick(self, _now_ms):
        """Starts nothing, as this policy has no periodic work."""
        return []

    def count_waiting(self):
        """Counts the waiting requests."""
        return len(self._queue)


class LeasedSlotsPolicy:
    """Every entry has a fixed, equal part of the slots and its own queue."""

    def __init__(self, slots, queue_bound=400):
        slots_per_entry, remainder = divmod(slots, ENTRIES)
        self._entry_queues = [
            FirstComePolicy(
                slots_per_entry + (i < remainder), queue_bound // ENTRIES
            )
            for i in range(ENTRIES)
        ]

    def offer(self, request, now_ms):
        """Handles an arriving request and returns those that start."""
        return self._entry_queues[request.entry].offer(request, now_ms)

    def finish(self, request, now_ms):
        """Handles the end of a request and returns those that start."""
        return self._entry_queues[request.entry].finish(request, now_ms)

    def tick(self, _now_ms):
        """Starts nothing, as this policy has no periodic work."""
        return []

    def count_waiting(self):
        """Counts the waiting requests."""
        return sum(queue.count_waiting() for queue in self._entry_queues)


@dataclasses.dataclass
class Result:
    """The result of one run; times are in simulated ms."""

    slot_ms: Counter = dataclasses.field(default_factory=Counter)
    windows: list = dataclasses.field(default_factory=list)
    slot_ms_in_backlog: int = 0
    busy_slot_ms_in_backlog: int = 0
    answered_in_time: int = 0
    offered: int = 0
    urgent_waits: list = dataclasses.field(default_factory=list)


class _LoadRun:
    """One run of a load under a policy."""

    def __init__(self, policy, get_rate, seed, options):
        self.result = Result()
        self._policy = policy
        self._get_rate = get_rate
        self._options = options
        self._random = random.Random(seed)
        self._teams = options.get("teams", TEAMS)
        self._events = []
        self._numbers = itertools.count()
        self._running = Counter()
        self._use = Counter()
        self._push(0, "arrive")
        self._push(_TICK_MS, "tick")

    def _push(self, due_ms, kind, request=None):
        heapq.heappush(
            self._events, (due_ms, next(self._numbers), kind, request)
        )

    def _start(self, requests, now_ms):
        for request in requests:
            self._running[request.team.name] += 1
            self._push(now_ms + request.use_ms, "end", request)
            if request.urgent:
                self.result.urgent_waits.append(now_ms - request.arrived_ms)

    def _count(self, passed_ms, slots):
        for name, count in self._running.items():
            self._use[name] += count * passed_ms
        if self._policy.count_waiting():
            self.result.slot_ms_in_backlog += passed_ms * slots
            busy = sum(self._running.values())
            self.result.busy_slot_ms_in_backlog += passed_ms * busy

    def _arrive(self, now_ms):
        rng = self._random
        gap_s = rng.expovariate(self._get_rate(now_ms))
        self._push(now_ms + gap_s * 1_000, "arrive")
        weights = [team.rate for team in self._teams]
        team = rng.choices(self._teams, weights)[0]
        request = LoadRequest(
            next(self._numbers),
            team,
            1 + int(rng.expovariate(1 / team.use_ms)),
            now_ms,
            now_ms + self._options.get("deadline_ms", 30_000),
            rng.random() < self._options.get("urgent_part", 0.0),
            rng.randrange(ENTRIES),
        )
        self.result.offered += 1
        self._start(self._policy.offer(request, int(now_ms)), now_ms)

    def run(self, slots, length_ms):
        """Runs until the simulated time `length_ms`."""
        last_ms = 0
        window_end_ms = WINDOW_MS
        while self._events[0][0] <= length_ms:
            now_ms, _, kind, request = heapq.heappop(self._events)
            self._count(now_ms - last_ms, slots)
            last_ms = now_ms
            if now_ms >= window_end_ms:
                self.result.windows.append(dict(self._use))
                self._use.clear()
                window_end_ms += WINDOW_MS
            match kind:
                case "arrive":
                    self._arrive(now_ms)
                case "end":
                    self._running[request.team.name] -= 1
                    self.result.answered_in_time += (
                        now_ms <= request.deadline_ms
                    )
                    ended = self._policy.finish(request, int(now_ms))
                    self._start(ended, now_ms)
                case "tick":
                    self._push(now_ms + _TICK_MS, "tick")
                    self._start(self._policy.tick(int(now_ms)), now_ms)


def run_load(policy, slots, get_rate, length_ms, seed, **options):
    """Runs a load under a policy.

    Args:
        policy: The policy that assigns the slots.
        slots: Number of slots in the pool.
        get_rate: Returns the requests per second at a time in ms.
        length_ms: Length of the run in simulated ms.
        seed: Seed of the load.
        **options: `deadline_ms`, `urgent_part`, `teams`.

    Returns:
        The result of the run.
    """
    run = _LoadRun(policy, get_rate, seed, options)
    run.run(slots, length_ms)
    return run.result
