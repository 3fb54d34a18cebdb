"""Moves instances between the pools and the spare one, as demand turns.

A pool grows when the tasks that could run now would take too long for it, and
gives an empty instance back once it has had too little to do for as long as a
move costs. The price of a move there and back is that of a little more than two
seconds of an instance in a pool.
"""

import dataclasses
import math

# A pool grows when the work that is foreseen takes longer than this; with the
# time that an instance takes to come it is within the objective of a short job.
GROW_AT_MS = 2_000
# It then grows until that work takes about this long.
GROW_TO_MS = 1_500
# How far ahead arrivals are foreseen: most of a turn of the demand.
FORESEEN_MS = 4_000
# A pool gives an instance up while the tasks that run or could run take at most
# this share of what would be left: later steps need room as well.
SHRINK_PARTS = 0.8
# Work that arrives faster than this share of what would be left keeps a pool
# from giving an instance up.
ARRIVING_PARTS = 0.9
# Most instances that a pool gets at a time.
MAX_GROWTH = 50
# How long that must have been so: the price of a move there and back.
IDLE_MS = 2_300


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """One pool's demand and capacity.

    Attributes:
        pool: Its name.
        ready_work: Work that could go on now, in thousandths of a core times
            milliseconds.
        ready_milli: Processor time of the tasks that run or could run now.
        arriving_milli: Processor time that newly arriving work asks for.
        capacity_milli: Processor time of its instances, with those that are
            on their way, less what standing tasks take.
        each_milli: Processor time of one instance.
        members: Its instances, with those that are on their way.
        needed: Instances that it keeps: what its standing tasks need, and
            part of what its operators gave it.
        empty: Its instances that run nothing.
        idle_since_ms: Since when it has had too little to do; -1 if not.
    """

    pool: str
    ready_work: float
    ready_milli: int
    arriving_milli: float
    capacity_milli: int
    each_milli: int
    members: int
    needed: int
    empty: tuple[str, ...]
    idle_since_ms: int


def is_idle(state: PoolState) -> bool:
    """Tells whether a pool has too little to do for its size.

    Args:
        state: The pool.

    Returns:
        Whether it could do with one instance less.
    """
    left = state.capacity_milli - state.each_milli
    if state.members <= max(1, state.needed) or left <= 0:
        return False
    if state.arriving_milli > ARRIVING_PARTS * left:
        return False
    return state.ready_milli <= SHRINK_PARTS * left


def foresee_ms(state: PoolState, capacity_milli: int) -> float:
    """Foresees how long a pool's work will take.

    Args:
        state: The pool.
        capacity_milli: Its processor time.

    Returns:
        Milliseconds, for what is ready and what soon arrives beyond it.
    """
    if capacity_milli <= 0:
        return math.inf if state.ready_work else 0.0
    excess_milli = max(0.0, state.arriving_milli - capacity_milli)
    work = state.ready_work + excess_milli * FORESEEN_MS
    return work / capacity_milli


def _count_lacking(state: PoolState) -> int:
    """Counts the instances that a pool lacks.

    Args:
        state: The pool.

    Returns:
        How many more would end its work in good time.
    """
    capacity_milli = state.capacity_milli
    if not state.each_milli or foresee_ms(state, capacity_milli) < GROW_AT_MS:
        return 0
    wanted_milli = max(state.ready_milli, state.arriving_milli)
    if wanted_milli <= capacity_milli:
        # Long tasks take their time wherever they run; none waits for room.
        return 0
    count = 0
    while count < MAX_GROWTH:
        if foresee_ms(state, capacity_milli) <= GROW_TO_MS:
            break
        count += 1
        capacity_milli += state.each_milli
    return count


def _list_given_up(state: PoolState) -> list[str]:
    """Lists the instances that an idle pool gives up.

    Args:
        state: The pool.

    Returns:
        Empty instances, as long as the pool stays idle without them.
    """
    given = []
    for name in state.empty:
        if not is_idle(state):
            break
        given.append(name)
        state = dataclasses.replace(
            state,
            members=state.members - 1,
            capacity_milli=state.capacity_milli - state.each_milli,
        )
    return given


def choose_moves(
    states: list[PoolState],
    spare_pool: str,
    spare: tuple[str, ...],
    now_ms: int,
) -> list[tuple[str, str]]:
    """Chooses instances to move.

    Args:
        states: The pools that have work.
        spare_pool: The pool of instances that are off.
        spare: Its instances that may be moved.
        now_ms: The time.

    Returns:
        Pairs of an instance and the pool that it should go to.
    """
    supply = list(spare)
    wanting = []
    for state in states:
        if is_idle(state):
            # What another pool wants now need not wait for the idle time.
            extra = state.members - max(1, state.needed)
            supply = [*state.empty[:extra], *supply]
            continue
        count = _count_lacking(state)
        if count:
            wanting.append((count, state))
    wanting.sort(key=lambda pair: -pair[0])
    moves: list[tuple[str, str]] = []
    for count, state in wanting:
        for _ in range(count):
            if supply:
                moves.append((supply.pop(), state.pool))
    taken = {name for name, _ in moves}
    for state in states:
        if not is_idle(state) or not state.empty:
            continue
        if state.idle_since_ms < 0 or now_ms - state.idle_since_ms < IDLE_MS:
            continue
        if taken.isdisjoint(state.empty):
            moves.extend((name, spare_pool) for name in _list_given_up(state))
    return moves
