"""Moves instances between the pools and the spare one, as demand turns.

A pool grows when the tasks that could run now would take too long for it, and
gives an empty instance back once it has had too little to do for as long as a
move costs. The price of a move there and back is that of a little more than two
seconds of an instance in a pool.
"""

import dataclasses

# A pool grows when its ready work takes longer than this; with the time that
# an instance takes to come it is still within the objective of a short job.
GROW_AT_MS = 2_500
# It then grows until the work takes about this long.
GROW_TO_MS = 1_800
# A pool whose ready work takes less than this may give an instance up.
SHRINK_AT_MS = 500
# How long that must have been so: the price of a move there and back.
IDLE_MS = 2_300


@dataclasses.dataclass(frozen=True, slots=True)
class PoolState:
    """One pool's demand and capacity.

    Attributes:
        pool: Its name.
        ready_work: Work that could go on now, in thousandths of a core times
            milliseconds.
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
    return state.ready_work / left < SHRINK_AT_MS


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
        if state.ready_work / GROW_AT_MS <= state.capacity_milli:
            continue
        lacking = state.ready_work / GROW_TO_MS - state.capacity_milli
        if lacking > 0 and state.each_milli > 0:
            wanting.append((lacking, state))
    wanting.sort(key=lambda pair: -pair[0])
    moves: list[tuple[str, str]] = []
    for lacking, state in wanting:
        for _ in range(int(-(-lacking // state.each_milli))):
            if supply:
                moves.append((supply.pop(), state.pool))
    taken = {name for name, _ in moves}
    for state in states:
        if not is_idle(state) or not state.empty:
            continue
        if state.idle_since_ms < 0 or now_ms - state.idle_since_ms < IDLE_MS:
            continue
        if taken.isdisjoint(state.empty):
            moves.append((state.empty[0], spare_pool))
    return moves
