"""Lets pools give instances back early between turns of demand.

Load pattern: queues take turns, as `demand_forecast` describes. After a turn
the pool would keep its instances for the time that a move there and back costs,
in case demand returns. Where the next turn is forecast, that is known, and they
are given back at once if the turn is further away than a move costs.
"""

import dataclasses
import math

from bambookeel.jobs import early_instances
from bambookeel.jobs import pools
from bambookeel.jobs import term as term_state

# How long a pool must have been idle between turns before it gives instances
# back; with no such time, single instances went while others were still busy,
# which cost more moves.
_MIN_IDLE_MS = 500


def _compute_quiet_ms(
    term: term_state.Term, service: str, now: term_state.Now
) -> float:
    """Computes how long a service will be between the turns of its queues.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now: Current time.

    Returns:
        Milliseconds; 0 within a turn, and where a queue takes turns that are
        not forecast or none does.
    """
    quiet_ms = math.inf
    for name, queue in term.book.configuration.queues.items():
        if queue.service == service:
            queue_ms = term.forecaster.compute_quiet_ms(name, now.wall_ms)
            quiet_ms = min(quiet_ms, queue_ms)
    return quiet_ms if quiet_ms < math.inf else 0.0


def shorten_idle_time(
    term: term_state.Term, state: pools.PoolState, now: term_state.Now
) -> pools.PoolState:
    """Lets an idle pool between turns give instances back at once.

    Args:
        term: State of the leader's term.
        state: State of the pool.
        now: Current time.

    Returns:
        The state; the pool has been idle for long enough if its next turn is
        further away than the time that a move costs.
    """
    if state.idle_since_ms < 0 or not term.forecaster.list_awaited():
        return state
    idle_ms = now.steady_ms - state.idle_since_ms
    if not _MIN_IDLE_MS <= idle_ms < pools.MIN_IDLE_MS:
        return state
    quiet_ms = _compute_quiet_ms(term, state.pool, now)
    if quiet_ms <= pools.MIN_IDLE_MS + early_instances.AHEAD_MS:
        return state
    return dataclasses.replace(
        state, idle_since_ms=now.steady_ms - pools.MIN_IDLE_MS
    )
