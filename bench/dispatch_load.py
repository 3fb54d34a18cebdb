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
# Shares are compared over this time.
WINDOW_MS = 10_000


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
            announcing.handle_announcement(self.state, announcement, 0)
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


class _Run:
    """One run of a load through a policy."""

    def __init__(self, policy, rate_at, seed, options):
        self.result = Result()
        self._policy = policy
        self._rate_at = rate_at
        self._options = options
        self._chance = random.Random(seed)
        self._teams = options.get("teams", TEAMS)
        self._events = []
        self._numbers = itertools.count()
        self._running = Counter()
        self._use = Counter()
        self._push(0, "arrive")
        self._push(_TICK_MS, "tick")

    def _push(self, due_ms, kind, job=None):
        heapq.heappush(self._events, (due_ms, next(self._numbers), kind, job))

    def _start(self, jobs, now_ms):
        for job in jobs:
            self._running[job.team.name] += 1
            self._push(now_ms + job.use_ms, "end", job)
            if job.urgent:
                self.result.urgent_waits.append(now_ms - job.arrived_ms)

    def _count(self, passed_ms, slots):
        for name, count in self._running.items():
            self._use[name] += count * passed_ms
        if self._policy.count_waiting():
            self.result.backlog_ms += passed_ms * slots
            busy = sum(self._running.values())
            self.result.busy_in_backlog += passed_ms * busy

    def _arrive(self, now_ms):
        chance = self._chance
        gap_s = chance.expovariate(self._rate_at(now_ms))
        self._push(now_ms + gap_s * 1_000, "arrive")
        weights = [team.rate for team in self._teams]
        team = chance.choices(self._teams, weights)[0]
        job = Job(
            next(self._numbers),
            team,
            1 + int(chance.expovariate(1 / team.use_ms)),
            now_ms,
            now_ms + self._options.get("deadline_ms", 30_000),
            chance.random() < self._options.get("urgent_part", 0.0),
            chance.randrange(ENTRIES),
        )
        self.result.offered += 1
        self._start(self._policy.offer(job, int(now_ms)), now_ms)

    def run(self, slots, length_ms):
        """Runs to the end."""
        last_ms = 0
        window_end_ms = WINDOW_MS
        while self._events[0][0] <= length_ms:
            now_ms, _, kind, job = heapq.heappop(self._events)
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
                    self._running[job.team.name] -= 1
                    self.result.good += now_ms <= job.deadline_ms
                    ended = self._policy.finish(job, int(now_ms))
                    self._start(ended, now_ms)
                case "tick":
                    self._push(now_ms + _TICK_MS, "tick")
                    self._start(self._policy.tick(int(now_ms)), now_ms)


def run_load(policy, slots, rate_at, length_ms, seed, **options):
    """Runs a load through a policy.

    Args:
        policy: Gives the slots away.
        slots: How many there are.
        rate_at: Requests a second at a time.
        length_ms: Length of the run.
        seed: Seed of the load.
        **options: `deadline_ms`, `urgent_part`, `teams`.

    Returns:
        What came of it.
    """
    run = _Run(policy, rate_at, seed, options)
    run.run(slots, length_ms)
    return run.result
