"""Decides which instances move between pools as demand shifts.

A pool gets instances when the tasks that could run now would take it too long.
It gives empty instances back to the spare pool once it has had too little work
for a time that costs as much as a move. A move there and back costs as much as
one instance in a pool for a little more than two seconds.
"""

import dataclasses
import math

# A pool grows when its forecast work would take at least this long. Together
# with the time until a new instance is up, this is within the objective of a
# short job.
GROW_AT_MS = 2_000
# The pool then grows until that work would take about this long.
GROW_TO_MS = 1_500
# How far ahead arriving work is forecast: most of a demand peak.
FORECAST_MS = 4_000
# A pool is idle if the tasks that run or could run would take at most this
# share of its capacity with one instance less; later steps need capacity too.
IDLE_LOAD_SHARE = 0.8
# A pool is not idle while work arrives at more than this share of its capacity
# with one instance less.
IDLE_ARRIVAL_SHARE = 0.9
# Maximum number of instances that a pool gets at a time.
MAX_GROWTH = 50
# How long a pool must have been idle before it gives instances back: the cost
# of a move there and back.
MIN_IDLE_MS = 2_300


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """Demand and capacity of one pool.

    Processor time is in thousandths of a core.

    Attributes:
        pool: Name of the pool.
        ready_work: Work that runs or could run now, in thousandths of a core
            times milliseconds.
        open_work: Remaining work of all open jobs, also that of steps which are
            not ready yet, in the same unit; the work of late jobs counts in
            part.
        ready_milli: Processor time of the tasks that run or could run now.
        arriving_milli: Processor time that newly arriving work requires.
        capacity_milli: Processor time of the pool's instances, including those
            that are moving to it, without that of standing tasks.
        instance_milli: Processor time of one instance.
        members: Number of instances, including those that are moving to the
            pool.
        min_members: Number of instances that the pool keeps: those that its
            standing tasks need, and part of those that its operators gave it.
        empty: Names of the instances that run nothing.
        idle_since_ms: Since when the pool has been idle, on the steady clock;
            -1 if it is not.
        incoming: Number of members that are moving to the pool or have not
            reported yet. They may never arrive, so that the pool gives away
            others only beside the instances that it keeps.
        evacuated: Number of instances in evacuated data centres, which are no
            members.
    """

    pool: str
    ready_work: float
    open_work: float
    ready_milli: int
    arriving_milli: float
    capacity_milli: int
    instance_milli: int
    members: int
    min_members: int
    empty: tuple[str, ...]
    idle_since_ms: int
    incoming: int = 0
    evacuated: int = 0

    def count_givable(self) -> int:
        """Counts the instances that the pool may give away."""
        return self.members - self.incoming - max(1, self.min_members)


def is_idle(state: PoolState) -> bool:
    """Returns whether a pool has too little work for its size.

    Args:
        state: State of the pool.

    Returns:
        True if the pool could manage with one instance less.
    """
    left_milli = state.capacity_milli - state.instance_milli
    if state.count_givable() <= 0 or left_milli <= 0:
        return False
    if state.arriving_milli > IDLE_ARRIVAL_SHARE * left_milli:
        return False
    return state.ready_milli <= IDLE_LOAD_SHARE * left_milli


def compute_duration_ms(work: float, capacity_milli: int) -> float:
    """Computes how long work takes on a given capacity.

    Args:
        work: Work in thousandths of a core times milliseconds.
        capacity_milli: Processor time in thousandths of a core.

    Returns:
        Duration in milliseconds; infinite if there is work and no capacity.
    """
    if capacity_milli <= 0:
        return math.inf if work else 0.0
    return work / capacity_milli


def forecast_ms(state: PoolState, capacity_milli: int) -> float:
    """Forecasts how long a pool's work would take with a given capacity.

    Args:
        state: State of the pool.
        capacity_milli: Processor time in thousandths of a core.

    Returns:
        Milliseconds for the work that is ready, and for the work that will
        arrive within the forecast time beyond what the capacity can handle.
    """
    work = state.ready_work
    if capacity_milli > 0:
        excess_milli = max(0.0, state.arriving_milli - capacity_milli)
        work += excess_milli * FORECAST_MS
    return compute_duration_ms(work, capacity_milli)


def _count_replaced(state: PoolState) -> int:
    """Counts the instances that replace those in evacuated data centres.

    They are needed although no task has waited yet: those that the pool keeps,
    and the capacity for the work that is there.

    Args:
        state: State of the pool.

    Returns:
        At most the number of evacuated instances.
    """
    if not state.evacuated or not state.instance_milli:
        return 0
    wanted_milli = max(state.ready_milli, state.arriving_milli)
    short_milli = wanted_milli - state.capacity_milli
    count = max(
        state.min_members - state.members,
        math.ceil(short_milli / state.instance_milli),
        0,
    )
    return min(count, state.evacuated, MAX_GROWTH)


def count_missing(state: PoolState) -> int:
    """Counts the instances that a pool is short of.

    Args:
        state: State of the pool.

    Returns:
        How many more instances the pool needs to complete its work in time,
        and at least those that replace evacuated ones.
    """
    replaced = _count_replaced(state)
    capacity_milli = state.capacity_milli
    if (
        not state.instance_milli
        or forecast_ms(state, capacity_milli) < GROW_AT_MS
    ):
        return replaced
    wanted_milli = max(state.ready_milli, state.arriving_milli)
    if wanted_milli <= capacity_milli:
        # No task waits for capacity, and more instances do not make long tasks
        # shorter.
        return replaced
    count = 0
    while count < MAX_GROWTH:
        if forecast_ms(state, capacity_milli) <= GROW_TO_MS:
            break
        count += 1
        capacity_milli += state.instance_milli
    return max(count, replaced)


def list_released(state: PoolState) -> list[str]:
    """Lists the instances that an idle pool gives back.

    Args:
        state: State of the pool.

    Returns:
        Names of empty instances, as many as the pool does not need.
    """
    released = []
    for name in state.empty:
        if not is_idle(state):
            break
        released.append(name)
        state = dataclasses.replace(
            state,
            members=state.members - 1,
            capacity_milli=state.capacity_milli - state.instance_milli,
        )
    return released


def _divide_supply(
    growing: list[tuple[int, PoolState]], supply: list[str]
) -> list[tuple[str, str]]:
    """Divides instances between pools that are short of them.

    Each instance goes to the pool whose work would take longest, so that two
    demand peaks at a time share what is left.

    Args:
        growing: Number of instances that each pool is short of, and its state.
        supply: Names of the instances, the best one last.

    Returns:
        Pairs of an instance and the pool to which it should move.
    """
    given = dict.fromkeys((state.pool for _, state in growing), 0)

    def forecast_with_given_ms(state: PoolState) -> float:
        capacity_milli = state.capacity_milli
        capacity_milli += given[state.pool] * state.instance_milli
        return forecast_ms(state, capacity_milli)

    moves: list[tuple[str, str]] = []
    for name in reversed(supply):
        short = [state for count, state in growing if given[state.pool] < count]
        if not short:
            break
        target = max(short, key=forecast_with_given_ms)
        given[target.pool] += 1
        moves.append((name, target.pool))
    return moves


def choose_moves(
    states: list[PoolState],
    spare_pool: str,
    spare: tuple[str, ...],
    now_ms: int,
) -> list[tuple[str, str]]:
    """Chooses instances to move.

    Args:
        states: State of each pool other than the spare pool.
        spare_pool: Name of the pool whose instances are off.
        spare: Names of the spare pool's instances that may be moved.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Pairs of an instance and the pool to which it should move.
    """
    supply = list(spare)
    growing = []
    for state in states:
        if is_idle(state):
            # A pool that needs instances may take them from an idle pool
            # without waiting until that pool gives them back.
            supply = [*state.empty[: state.count_givable()], *supply]
            continue
        count = count_missing(state)
        if count:
            growing.append((count, state))
    moves = _divide_supply(growing, supply)
    moved = {name for name, _ in moves}
    for state in states:
        if not is_idle(state) or not state.empty:
            continue
        if (
            state.idle_since_ms < 0
            or now_ms - state.idle_since_ms < MIN_IDLE_MS
        ):
            continue
        if moved.isdisjoint(state.empty):
            moves.extend((name, spare_pool) for name in list_released(state))
    return moves
