"""Simulated load on one pool, and policies that give its slots away.

Time is simulated: the decisions are pure, so a run measures what they decide
and not the machine. Each policy takes requests and ends, and gives starts.
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


@dataclasses.dataclass(frozen=True)
class Team:
    """One team's part of the load.

    Attributes:
        name: The team.
        weight: Its share weight.
        rate: Its part of all requests.
        use_ms: Mean time of its requests in a slot.
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
class Job:
    """One request of the load."""

    number: int
    team: Team
    use_ms: int
    arrived_ms: int
    deadline_ms: int
    urgent: bool = False
    entry: int = 0
    started_ms: int = -1


class RealPolicy:
    """The dispatcher's decisions with as much limit as is asked."""

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
        self._jobs = {}
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
            announcing.take_announcement(self.state, announcement, 0)
        dispatcher.handle_tick(self.state, 0)

    def _perform(self, asked):
        started = []
        for effect in asked:
            if not isinstance(effect, effects.Send):
                continue
            self.sent.append(effect.message)
            match effect.message:
                case messages.SlotGranted() as grant:
                    job = self._jobs[grant.request_id]
                    self._grants[job.number] = grant
                    started.append(job)
                case messages.SlotRefused() as refusal:
                    self._jobs.pop(refusal.request_id, None)
        return started

    def offer(self, job, now_ms):
        """Takes a request and gives those that start."""
        request_id = ids.RequestId(f"r{job.number}")
        self._jobs[request_id] = job
        acquire = messages.AcquireSlot(
            request_id,
            "s",
            job.team.name,
            job.urgent,
            max(1, job.deadline_ms - now_ms),
            "",
            0,
        )
        entry = f"entry-{job.entry}"
        return self._perform(
            dispatcher.handle_message(self.state, entry, acquire, now_ms)
        )

    def finish(self, job, now_ms):
        """Takes a request's end and gives those that start."""
        grant = self._grants.pop(job.number)
        del self._jobs[grant.request_id]
        release = messages.SlotReleased(
            grant.request_id,
            "s",
            grant.epoch,
            grant.grant_id,
            outcomes.OutcomeKind.ANSWERED,
            False,
            job.use_ms,
            0,
        )
        return self._perform(
            dispatcher.handle_message(self.state, "entry-0", release, now_ms)
        )

    def tick(self, now_ms):
        """Does what is due and gives those that start."""
        return self._perform(dispatcher.handle_tick(self.state, now_ms))

    def count_waiting(self):
        """Counts waiting requests."""
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
            job = self._queue.popleft()
            if job.deadline_ms <= now_ms:
                continue
            self._free -= 1
            started.append(job)
        return started

    def offer(self, job, now_ms):
        """Takes a request and gives those that start."""
        if len(self._queue) < self._bound:
            self._queue.append(job)
        return self._start(now_ms)

    def finish(self, _job, now_ms):
        """Takes a request's end and gives those that start."""
        self._free += 1
        return self._start(now_ms)

    def tick(self, _now_ms):
        """Does nothing."""
        return []

    def count_waiting(self):
        """Counts waiting requests."""
        return len(self._queue)


class LeasedSlotsPolicy:
    """Round robin: every entry owns an equal part of the slots."""

    def __init__(self, slots, queue_bound=400):
        part, rest = divmod(slots, ENTRIES)
        self._parts = [
            FirstComePolicy(part + (i < rest), queue_bound // ENTRIES)
            for i in range(ENTRIES)
        ]

    def offer(self, job, now_ms):
        """Takes a request and gives those that start."""
        return self._parts[job.entry].offer(job, now_ms)

    def finish(self, job, now_ms):
        """Takes a request's end and gives those that start."""
        return self._parts[job.entry].finish(job, now_ms)

    def tick(self, _now_ms):
        """Does nothing."""
        return []

    def count_waiting(self):
        """Counts waiting requests."""
        return sum(part.count_waiting() for part in self._parts)


@dataclasses.dataclass
class Result:
    """What a run gave; times are counted after the warm-up."""

    slot_ms: Counter = dataclasses.field(default_factory=Counter)
    windows: list = dataclasses.field(default_factory=list)
    backlog_ms: int = 0
    busy_in_backlog: int = 0
    good: int = 0
    offered: int = 0
    urgent_waits: list = dataclasses.field(default_factory=list)


def run_load(policy, slots, rate_at, length_ms, seed, **options):
    """Runs a load through a policy.

    Args:
        policy: Gives the slots away.
        slots: How many there are.
        rate_at: Requests a second at a time.
        length_ms: Length of the run.
        seed: Seed of the load.
        **options: `deadline_ms`, `urgent_part`, `window_ms`, `teams`.

    Returns:
        What came of it.
    """
    chance = random.Random(seed)
    teams = options.get("teams", TEAMS)
    result = Result()
    events = []
    numbers = itertools.count()
    running = Counter()
    use = Counter()
    weights = [team.rate for team in teams]

    def start(jobs, now_ms):
        for job in jobs:
            job.started_ms = now_ms
            running[job.team.name] += 1
            heapq.heappush(
                events, (now_ms + job.use_ms, next(numbers), "end", job)
            )
            if job.urgent:
                result.urgent_waits.append(now_ms - job.arrived_ms)

    heapq.heappush(events, (0, next(numbers), "arrive", None))
    heapq.heappush(events, (_TICK_MS, next(numbers), "tick", None))
    last_ms = 0
    window_ms = options.get("window_ms", 10_000)
    window_end_ms = window_ms
    while events and events[0][0] <= length_ms:
        now_ms, _, kind, job = heapq.heappop(events)
        passed_ms = now_ms - last_ms
        last_ms = now_ms
        for name, count in running.items():
            use[name] += count * passed_ms
        if policy.count_waiting():
            result.backlog_ms += passed_ms * slots
            result.busy_in_backlog += passed_ms * sum(running.values())
        if now_ms >= window_end_ms:
            result.windows.append(dict(use))
            use.clear()
            window_end_ms += window_ms
        match kind:
            case "arrive":
                gap_s = chance.expovariate(rate_at(now_ms))
                due_ms = now_ms + gap_s * 1_000
                heapq.heappush(events, (due_ms, next(numbers), "arrive", None))
                team = chance.choices(teams, weights)[0]
                new = Job(
                    next(numbers),
                    team,
                    1 + int(chance.expovariate(1 / team.use_ms)),
                    now_ms,
                    now_ms + options.get("deadline_ms", 30_000),
                    chance.random() < options.get("urgent_part", 0.0),
                    chance.randrange(ENTRIES),
                )
                result.offered += 1
                start(policy.offer(new, int(now_ms)), now_ms)
            case "end":
                running[job.team.name] -= 1
                result.good += now_ms <= job.deadline_ms
                start(policy.finish(job, int(now_ms)), now_ms)
            case "tick":
                due_ms = now_ms + _TICK_MS
                heapq.heappush(events, (due_ms, next(numbers), "tick", None))
                start(policy.tick(int(now_ms)), now_ms)
    return result
