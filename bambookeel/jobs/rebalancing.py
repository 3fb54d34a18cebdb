"""Decides which pools hand over instances to pools with a longer backlog.

Load pattern: several queues are at or shortly after their demand peak and no
spare instance is left. The pool whose peak came first would keep its instances
until its backlog is done, while the backlog of the next one grows on the few
instances that it started with. Instances are handed over until the backlogs
take about equally long.
"""

import dataclasses

from bambookeel.jobs import pools

# A shorter backlog ends before an instance that is handed over has completed
# its tasks and is up in the other pool.
MIN_BACKLOG_MS = 3_500
# Hysteresis: the backlog of the pool that gets an instance must be longer than
# that of the other pool by this factor, also after the instance has moved.
MIN_RATIO = 1.5
# Maximum number of hand-overs that are chosen at a time.
MAX_HAND_OVERS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """One instance that a pool hands over to another one.

    Attributes:
        source: Pool that gives an instance.
        target: Pool that gets it.
    """

    source: str
    target: str


@dataclasses.dataclass(slots=True)
class _Balance:
    state: pools.PoolState
    members: int
    capacity_milli: int

    def compute_backlog_ms(self, change: int) -> float:
        """Computes how long the open work takes with another size of the pool.

        Args:
            change: Number of instances that the pool has more than now.

        Returns:
            Duration in milliseconds.
        """
        milli = self.capacity_milli + change * self.state.instance_milli
        return pools.compute_duration_ms(self.state.open_work, milli)

    def change(self, count: int) -> None:
        """Changes the size of the pool.

        Args:
            count: Number of instances that the pool gets; negative if it gives
                some.
        """
        self.members += count
        self.capacity_milli += count * self.state.instance_milli


def _find_target(balances: list[_Balance]) -> _Balance | None:
    """Finds the pool with the longest backlog that more instances shorten.

    Args:
        balances: All pools.

    Returns:
        The pool; None if no backlog is long enough.
    """
    waiting = [
        balance
        for balance in balances
        if balance.state.instance_milli
        and balance.state.ready_milli > balance.capacity_milli
        and balance.compute_backlog_ms(0) >= MIN_BACKLOG_MS
    ]
    return max(
        waiting, key=lambda balance: balance.compute_backlog_ms(0), default=None
    )


def _find_source(balances: list[_Balance], target: _Balance) -> _Balance | None:
    """Finds the pool whose backlog is shortest once it has given an instance.

    Args:
        balances: All pools.
        target: Pool that should get an instance.

    Returns:
        The pool; None if none has enough instances or a backlog that is short
        enough.
    """
    able = [
        balance
        for balance in balances
        if balance is not target
        and balance.members - balance.state.incoming
        > max(1, balance.state.min_members)
        and balance.capacity_milli > balance.state.instance_milli
    ]
    source = min(
        able, key=lambda balance: balance.compute_backlog_ms(-1), default=None
    )
    if source is None:
        return None
    limit_ms = target.compute_backlog_ms(1) / MIN_RATIO
    return source if source.compute_backlog_ms(-1) <= limit_ms else None


def choose_hand_overs(states: list[pools.PoolState]) -> list[HandOver]:
    """Chooses hand-overs while no spare instance is left.

    Args:
        states: State of each pool other than the spare pool.

    Returns:
        One entry for each instance.
    """
    balances = [
        _Balance(state, state.members, state.capacity_milli) for state in states
    ]
    chosen: list[HandOver] = []
    while len(chosen) < MAX_HAND_OVERS:
        target = _find_target(balances)
        if target is None:
            break
        source = _find_source(balances, target)
        if source is None:
            break
        source.change(-1)
        target.change(1)
        chosen.append(HandOver(source.state.pool, target.state.pool))
    return chosen
