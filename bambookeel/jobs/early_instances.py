"""Chooses instances for turns of demand that should begin soon.

Load pattern: queues take turns, as `demand_forecast` describes. When a turn
begins, the pool has its minimum size, and an instance takes longer to come than
a short job. The pool gets instances shortly before the turn that is forecast
and keeps them until the turn begins or the forecast has failed. Only instances
that run nothing and that no other pool needs are moved.
"""

from collections.abc import Iterable
import dataclasses

from bambookeel.jobs import pools
from bambookeel.jobs import term as term_state

# How long before a turn instances are ordered: until they are up.
AHEAD_MS = 1_600


def measure_expected(
    term: term_state.Term, now: term_state.Now
) -> dict[str, float]:
    """Measures the demand of the turns that should begin soon.

    Args:
        term: State of the leader's term.
        now: Current time.

    Returns:
        Processor time in thousandths of a core, by service; without services
        that expect no turn.
    """
    expected: dict[str, float] = {}
    for name in term.forecaster.list_awaited():
        queue = term.book.configuration.queues.get(name)
        if queue is None:
            continue
        milli = term.forecaster.compute_expected_milli(
            name, now.wall_ms, AHEAD_MS
        )
        if milli:
            expected[queue.service] = expected.get(queue.service, 0.0) + milli
    return expected


def keep_instances(
    states: list[pools.PoolState], expected: dict[str, float]
) -> list[pools.PoolState]:
    """Lets pools that expect a turn give nothing back to the spare pool.

    Their instances may still go to pools that are short of them.

    Args:
        states: State of each pool other than the spare pool.
        expected: Processor time of the turns that should begin soon, by pool.

    Returns:
        The states; a pool that expects a turn has not been idle.
    """
    return [
        (
            dataclasses.replace(state, idle_since_ms=-1)
            if state.pool in expected
            else state
        )
        for state in states
    ]


def choose_moves(
    states: list[pools.PoolState],
    expected: dict[str, float],
    spare: Iterable[str],
    moves: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Chooses instances for turns that should begin soon.

    Args:
        states: State of each pool other than the spare pool.
        expected: Processor time of the turns that should begin soon, by pool.
        spare: Names of the spare pool's instances that may be moved.
        moves: Moves chosen without a forecast; they take precedence.

    Returns:
        Pairs of an instance and the pool to which it should move.
    """
    if not expected:
        return []
    moved = {name for name, _ in moves}
    supply = [name for name in spare if name not in moved]
    for state in states:
        if state.pool not in expected and pools.is_idle(state):
            # Pools that have just given instances may give no more of them.
            if moved.isdisjoint(state.empty):
                supply += pools.list_released(state)
    chosen: list[tuple[str, str]] = []
    for state in states:
        if state.pool not in expected:
            continue
        given = sum(pool == state.pool for _, pool in moves)
        due = dataclasses.replace(
            state,
            arriving_milli=max(state.arriving_milli, expected[state.pool]),
            members=state.members + given,
            capacity_milli=state.capacity_milli + given * state.instance_milli,
        )
        for _ in range(min(len(supply), pools.count_missing(due))):
            chosen.append((supply.pop(), state.pool))
    return chosen
