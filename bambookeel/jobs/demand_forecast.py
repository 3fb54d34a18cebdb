"""Forecasts the turns of demand of each queue from its arrivals alone.

Load pattern: queues take turns. In its turn a queue asks for several times its
mean for some seconds, and for a small part of it in between. When a turn
begins, the pool has its minimum size, and an instance takes longer to come than
callers like to wait.

A turn is several arrivals close together, until the queue is quiet. The begin
of the next turn is forecast from the begin of an earlier turn, of the same
queue or of another one which it follows, whichever was the steadier one. Each
forecast is judged by what happens; those of a queue whose forecasts fail are
still judged, but no longer of use, until several in a row come true again.
"""

import collections
import dataclasses
import math

from bambookeel.jobs import turn_rules

# A turn begins with this many arrivals within this time. Between turns a queue
# gets a twentieth of its mean, so that as many arrive by chance rarely.
_BEGIN_COUNT = 4
_BEGIN_MS = 2_000
# A turn is over once the queue has been quiet for several mean intervals
# between its arrivals, within these bounds.
_QUIET_INTERVALS = 6
_MIN_QUIET_MS = 800
_MAX_QUIET_MS = 2_000
# Demand that lasts longer is the level of the queue and no turn.
_MAX_TURN_MS = 20_000
# Number of turns of each queue that are kept.
_KEPT_TURNS = 6
# Greatest share of the time that the turns of a queue take.
_MAX_BUSY_SHARE = 0.5
# Time after its begin that a turn needs to show.
_SHOW_MS = 800
# Forecasts of a queue are used unless this many of the last ones have failed,
# and again once as many in a row as are kept have come true.
_KEPT_OUTCOMES = 4
_MAX_FAILURES = 2


@dataclasses.dataclass(slots=True)
class Turn:
    """One turn of a queue.

    Attributes:
        begin_ms: Unix time of its first arrival, in milliseconds.
        last_ms: Unix time of its newest arrival, in milliseconds.
        count: Number of arrivals.
        work: Work that has arrived, in thousandths of a core times
            milliseconds.
    """

    begin_ms: int
    last_ms: int
    count: int
    work: float

    @property
    def quiet_ms(self) -> float:
        """How long the queue is quiet before the turn counts as over."""
        interval_ms = (self.last_ms - self.begin_ms) / max(1, self.count - 1)
        return min(
            _MAX_QUIET_MS, max(_MIN_QUIET_MS, _QUIET_INTERVALS * interval_ms)
        )

    @property
    def level_milli(self) -> float:
        """Processor time that the work needs, in thousandths of a core."""
        return self.work / max(1_000, self.last_ms - self.begin_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When the next turn of a queue begins.

    Attributes:
        queue: Name of the queue.
        leader: Name of the queue from whose last turn it was forecast.
        begin_ms: Unix time in milliseconds at which the turn should begin.
        deviation_ms: By how much it may begin earlier or later.
        level_milli: Processor time that the turn needs, in thousandths of a
            core.
        is_used: Whether pools follow it; otherwise it is only judged.
    """

    queue: str
    leader: str
    begin_ms: int
    deviation_ms: int
    level_milli: float
    is_used: bool

    @property
    def until_ms(self) -> int:
        """Unix time at which the forecast has failed without a turn."""
        return self.begin_ms + self.deviation_ms + _SHOW_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a forecast.

    Attributes:
        forecast: The forecast.
        error_ms: How much later than forecast the turn began; None if it did
            not begin.
    """

    forecast: Forecast
    error_ms: int | None

    @property
    def has_come_true(self) -> bool:
        """Whether the turn began about when it was forecast."""
        if self.error_ms is None:
            return False
        limit_ms = self.forecast.deviation_ms + turn_rules.MIN_DEVIATION_MS
        return abs(self.error_ms) <= limit_ms


class _Demand:
    """What is known of the demand of one queue."""

    def __init__(self) -> None:
        self.recent: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_BEGIN_COUNT
        )
        self.turn: Turn | None = None
        self.turns: collections.deque[Turn] = collections.deque(
            maxlen=_KEPT_TURNS
        )
        self.begins: collections.deque[int] = collections.deque(
            maxlen=_KEPT_TURNS
        )
        self.rule: turn_rules.Rule | None = None
        self.forecast: Forecast | None = None
        self.outcomes: collections.deque[bool] = collections.deque(
            maxlen=_KEPT_OUTCOMES
        )
        self.is_trusted = True

    def note_outcome(self, has_come_true: bool) -> None:
        """Notes whether a forecast has come true."""
        self.outcomes.append(has_come_true)
        if self.is_trusted:
            failures = len(self.outcomes) - sum(self.outcomes)
            self.is_trusted = failures < _MAX_FAILURES
        elif len(self.outcomes) == _KEPT_OUTCOMES:
            self.is_trusted = all(self.outcomes)

    def takes_turns(self) -> bool:
        """Returns whether the queue is quiet for most of the time.

        Gaps in steady demand also end turns.
        """
        busy_ms = sum(turn.last_ms - turn.begin_ms for turn in self.turns)
        if len(self.begins) < 2:
            return False
        span_ms = self.begins[-1] - self.begins[0]
        return busy_ms <= _MAX_BUSY_SHARE * span_ms

    def compute_level_milli(self) -> float:
        """Computes the mean level of the turns that are over."""
        if not self.turns:
            return 0.0
        return sum(turn.level_milli for turn in self.turns) / len(self.turns)


class DemandForecaster:
    """Forecasts of all queues; learns from arrivals in the order of time."""

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        # Queues with a forecast, so that a check costs nothing without any.
        self._awaited: dict[str, None] = {}
        self._outcomes: list[Outcome] = []
        self._made: list[Forecast] = []

    def add(self, queue: str, work: float, at_ms: int) -> None:
        """Adds an arrival.

        Args:
            queue: Name of the queue.
            work: Work of the job, in thousandths of a core times milliseconds.
            at_ms: Unix time of its admission in milliseconds.
        """
        demand = self._demands.get(queue)
        if demand is None:
            demand = self._demands[queue] = _Demand()
        self.advance(at_ms)
        self._end_turn(demand, at_ms)
        demand.recent.append((at_ms, work))
        turn = demand.turn
        if turn is not None:
            turn.last_ms = max(turn.last_ms, at_ms)
            turn.count += 1
            turn.work += work
            if turn.last_ms - turn.begin_ms > _MAX_TURN_MS:
                self._forget_turns(queue, demand)
            return
        first_ms = demand.recent[0][0]
        if len(demand.recent) < _BEGIN_COUNT or at_ms - first_ms > _BEGIN_MS:
            return
        demand.turn = Turn(
            first_ms,
            at_ms,
            len(demand.recent),
            sum(work for _, work in demand.recent),
        )
        self._begin_turn(queue, demand, first_ms)

    def advance(self, now_ms: int) -> None:
        """Ends forecasts whose turns have not begun in time.

        Args:
            now_ms: Unix time in milliseconds.
        """
        for queue in list(self._awaited):
            forecast = self._demands[queue].forecast
            if forecast is not None and now_ms > forecast.until_ms:
                self._judge(self._demands[queue], None)

    def list_awaited(self) -> tuple[str, ...]:
        """Returns the names of the queues that have a forecast."""
        return tuple(self._awaited)

    def take_made(self) -> list[Forecast]:
        """Returns the forecasts made since the last call."""
        made, self._made = self._made, []
        return made

    def take_outcomes(self) -> list[Outcome]:
        """Returns what became of forecasts since the last call."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def compute_expected_milli(
        self, queue: str, now_ms: int, ahead_ms: int
    ) -> float:
        """Computes the processor time that a turn which begins soon needs.

        Args:
            queue: Name of the queue.
            now_ms: Unix time in milliseconds.
            ahead_ms: How long before a turn it counts.

        Returns:
            Thousandths of a core; 0 while no turn is expected.
        """
        if queue not in self._awaited:
            return 0.0
        forecast = self._demands[queue].forecast
        if forecast is None or not forecast.is_used:
            return 0.0
        begin_ms = forecast.begin_ms - forecast.deviation_ms - ahead_ms
        if begin_ms <= now_ms <= forecast.until_ms:
            return forecast.level_milli
        return 0.0

    def compute_quiet_ms(self, queue: str, now_ms: int) -> float:
        """Computes how long a queue will be between turns.

        Args:
            queue: Name of the queue.
            now_ms: Unix time in milliseconds.

        Returns:
            Milliseconds until the next turn may begin; 0 within a turn and
            where no forecast is of use; infinite for a queue without turns.
        """
        demand = self._demands.get(queue)
        if demand is None or not demand.begins:
            return math.inf
        turn = demand.turn
        if turn is not None and now_ms - turn.last_ms <= turn.quiet_ms:
            return 0.0
        forecast = demand.forecast
        if forecast is None or not forecast.is_used:
            return 0.0
        return max(0.0, forecast.begin_ms - forecast.deviation_ms - now_ms)

    def _end_turn(self, demand: _Demand, at_ms: int) -> None:
        turn = demand.turn
        if turn is not None and at_ms - turn.last_ms > turn.quiet_ms:
            if demand.begins:
                demand.turns.append(turn)
            demand.turn = None
            demand.recent.clear()

    def _forget_turns(self, queue: str, demand: _Demand) -> None:
        """Forgets the turns of a queue whose demand is steady."""
        self._demands[queue] = fresh = _Demand()
        fresh.turn = demand.turn
        if fresh.turn is not None:
            # The rest of the steady demand must not count as a turn.
            fresh.turn.begin_ms = fresh.turn.last_ms
            fresh.turn.count = 1
            fresh.turn.work = 0.0
        self._awaited.pop(queue, None)

    def _begin_turn(self, queue: str, demand: _Demand, begin_ms: int) -> None:
        if demand.forecast is not None:
            self._judge(demand, begin_ms)
        demand.begins.append(begin_ms)
        demand.rule = self._find_rule(queue, demand)
        for name, other in self._demands.items():
            if (
                other is not demand
                and other.rule is None
                and other.takes_turns()
            ):
                # Its only interval may be confirmed by this queue's.
                other.rule = turn_rules.confirm_rule(
                    name, list(other.begins), list(demand.begins)
                )
            rule = other.rule
            if rule is not None and rule.leader in (queue, name):
                leader = self._demands[rule.leader]
                self._forecast(name, other, rule, leader.begins[-1], begin_ms)

    def _forecast(
        self,
        queue: str,
        demand: _Demand,
        rule: turn_rules.Rule,
        leader_begin_ms: int,
        now_ms: int,
    ) -> None:
        """Makes the forecast that follows from the begin of a leader's turn."""
        level_milli = demand.compute_level_milli()
        begin_ms = leader_begin_ms + rule.interval_ms
        if demand.forecast is not None or not level_milli or begin_ms <= now_ms:
            return
        demand.forecast = Forecast(
            queue,
            rule.leader,
            begin_ms,
            rule.deviation_ms,
            level_milli,
            demand.is_trusted,
        )
        self._awaited[queue] = None
        self._made.append(demand.forecast)

    def _judge(self, demand: _Demand, begin_ms: int | None) -> None:
        forecast = demand.forecast
        assert forecast is not None
        error_ms = None if begin_ms is None else begin_ms - forecast.begin_ms
        outcome = Outcome(forecast, error_ms)
        demand.forecast = None
        self._awaited.pop(forecast.queue, None)
        demand.note_outcome(outcome.has_come_true)
        self._outcomes.append(outcome)

    def _find_rule(self, queue: str, demand: _Demand) -> turn_rules.Rule | None:
        """Finds the turns after which those of a queue begin most steadily."""
        if not demand.takes_turns():
            return None
        others = {
            name: list(other.begins)
            for name, other in self._demands.items()
            if other is not demand and other.begins
        }
        return turn_rules.find_rule(queue, list(demand.begins), others)
