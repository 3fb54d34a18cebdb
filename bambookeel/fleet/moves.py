"""Moves instances between pools: drain, confirm empty, assign.

A pool that has been short for long enough borrows from pools that have more
instances than they want; a pool over its budget also borrows from pools that
lend their spare. Each missing instance is one move. Candidates whose home is
the short pool are preferred, then those that improve its spread over failure
domains. A move that is no longer needed is cancelled while the instance is
still draining.
"""

from collections import Counter
from collections.abc import Iterable

from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import draft
from bambookeel.fleet import observe
from bambookeel.fleet import records

_State = resources.InstanceState
_UNUSABLE_STATES = frozenset((_State.FAILED, _State.QUARANTINED))


def count_projected(plan: draft.Draft) -> Counter[str]:
    """Counts each pool's instances once all current moves have ended.

    Args:
        plan: The draft so far.

    Returns:
        By pool, members that are usable and not leaving, and instances that
        are moving to it.
    """
    projected: Counter[str] = Counter()
    for instance in plan.instances.values():
        if instance.state in _UNUSABLE_STATES:
            continue
        projected[instance.moving_to or instance.spec.pool] += 1
    return projected


def compute_hold_ms(tuning: records.Tuning) -> int:
    """Computes how long a shortage must last before a move starts.

    Args:
        tuning: Timings and weights.

    Returns:
        `hold_ms` times 0.25 to 4; the factor grows with the weight of moves
        relative to that of idle capacity.
    """
    ratio = tuning.weight_moves / max(tuning.weight_buffer_cost, 0.01)
    return int(tuning.hold_ms * min(max(ratio, 0.25), 4.0))


def _choose_target(
    plan: draft.Draft, instance: records.Instance, projected: Counter[str]
) -> str:
    """Chooses the pool for an instance that is in no pool."""
    pools = plan.view.pools
    if instance.moving_to in pools:
        return instance.moving_to

    def rank(name: str) -> tuple[bool, bool, int, bool, str]:
        shortage = max(pools[name].spec.wanted_size - projected[name], 0)
        is_home = name == instance.home_pool
        is_lender = pools[name].spec.lends_spare
        return (shortage == 0, not is_home, -shortage, not is_lender, name)

    return min(pools, key=rank, default="")


def release_replaced(plan: draft.Draft) -> None:
    """Removes failed instances from pools that have replaced them.

    A failed instance whose lease has expired runs nothing. Once it has been
    replaced, it would only use up its pool's budget. When it recovers, it is
    assigned to a pool that lacks an instance.

    Args:
        plan: Receives the changes.
    """
    for pool in plan.view.pools.values():
        budget = plan.budgets[pool.name]
        joining = budget.unavailable.get("joining", 0)
        surplus = budget.members - joining - pool.spec.wanted_size
        for member in plan.list_members(pool.name):
            if surplus <= 0:
                break
            if plan.has_change(member.name):
                continue
            if not observe.is_confirmed_stopped(plan.view, member):
                continue
            surplus -= 1
            plan.change(
                member,
                f"{pool.name} has replaced it",
                pool="",
                home_pool=member.home_pool or pool.name,
            )


def advance_moves(plan: draft.Draft) -> None:
    """Assigns instances that are in no pool, and cancels needless moves.

    Args:
        plan: Receives the changes.
    """
    projected = count_projected(plan)
    for instance in plan.list_members(""):
        if plan.has_change(instance.name) or instance.state is not _State.EMPTY:
            continue
        report = records.find_fresh_report(plan.view, instance)
        if report is None or observe.may_serve_other_pool(instance, report):
            continue
        target = _choose_target(plan, instance, projected)
        if not target:
            continue
        home = "" if instance.home_pool == target else instance.home_pool
        projected[instance.moving_to] -= 1
        projected[target] += 1
        plan.change(
            instance,
            f"assigned to {target}",
            pool=target,
            moving_to="",
            home_pool=home,
        )
    for instance in plan.view.instances.values():
        if plan.has_change(instance.name) or not instance.moving_to:
            continue
        if instance.state is not _State.DRAINING:
            continue
        target = instance.moving_to
        pool = plan.view.pools.get(target)
        wanted = pool.spec.wanted_size if pool else 0
        if pool is not None and projected[target] <= wanted:
            continue
        projected[target] -= 1
        plan.resume(instance, f"pool {target} no longer needs it")


def _list_sources(
    plan: draft.Draft,
    target: str,
    is_over_budget: bool,
    projected: Counter[str],
) -> list[tuple[int, records.Instance]]:
    """Lists instances that may move to a short pool, each with a cost rank.

    Rank 0 are instances whose home is the short pool, 1 the surplus of lending
    pools, 2 the surplus of other pools, 3 the spare of lending pools.
    """
    sources: list[tuple[int, records.Instance]] = []
    for name, pool in plan.view.pools.items():
        if name == target:
            continue
        has_surplus = projected[name] > pool.spec.wanted_size
        if not has_surplus and not (is_over_budget and pool.spec.lends_spare):
            continue
        budget = plan.budgets[name]
        for instance in plan.list_members(name):
            if plan.has_change(instance.name):
                continue
            if not records.is_available(plan.view, instance):
                continue
            if budgets.find_blocking_reason(
                budget, instance, plan.suspect_domains
            ):
                continue
            if instance.home_pool == target:
                cost = 0
            elif has_surplus:
                cost = 1 if pool.spec.lends_spare else 2
            else:
                cost = 3
            sources.append((cost, instance))
    return sources


def _choose_source(
    plan: draft.Draft,
    target: str,
    sources: Iterable[tuple[int, records.Instance]],
) -> records.Instance:
    """Chooses an instance of the lowest cost that best improves the spread."""
    racks: Counter[str] = Counter()
    data_centres: Counter[str] = Counter()
    for member in plan.instances.values():
        if (member.moving_to or member.spec.pool) != target:
            continue
        if member.state in _UNUSABLE_STATES:
            continue
        racks[member.spec.rack] += 1
        data_centres[member.spec.data_centre] += 1

    def rank(
        source: tuple[int, records.Instance],
    ) -> tuple[int, int, int, int, str]:
        cost, instance = source
        spec = instance.spec
        rack_count = plan.budgets[spec.pool].racks[spec.rack]
        return (
            cost,
            data_centres[spec.data_centre],
            racks[spec.rack],
            -rack_count,
            instance.name,
        )

    return min(sources, key=rank)[1]


def _start_move(
    plan: draft.Draft, target: str, shortage: int, projected: Counter[str]
) -> bool:
    """Starts the best move into a pool.

    Args:
        plan: Receives the change.
        target: The short pool.
        shortage: Number of instances that it lacks.
        projected: Numbers from `count_projected`; updated for the move.

    Returns:
        Whether there was an instance to move.
    """
    is_over_budget = plan.budgets[target].count_remaining() < 0
    sources = _list_sources(plan, target, is_over_budget, projected)
    if not sources:
        return False
    instance = _choose_source(plan, target, sources)
    source = instance.spec.pool
    projected[source] -= 1
    projected[target] += 1
    plan.change(
        instance,
        f"moves to {target}, which lacks {shortage}",
        alternatives=f"{len(sources)} candidates",
        is_planned=True,
        state=_State.DRAINING,
        moving_to=target,
        home_pool=instance.home_pool or source,
    )
    return True


def _is_over_budget_by_failures(budget: budgets.PoolBudget) -> bool:
    """Returns whether failures, not a new wanted size, exceed the budget."""
    lost = sum(
        budget.unavailable.get(state.value, 0) for state in _UNUSABLE_STATES
    )
    return budget.count_remaining() < 0 < lost


def start_moves(plan: draft.Draft) -> None:
    """Starts moves into pools that have been short for long enough.

    A pool that is over its budget because of failures does not wait.

    Args:
        plan: Receives the changes.
    """
    projected = count_projected(plan)
    hold_ms = compute_hold_ms(plan.view.tuning)
    for pool in sorted(
        plan.view.pools.values(),
        key=lambda item: (plan.budgets[item.name].count_remaining(), item.name),
    ):
        shortage = pool.spec.wanted_size - projected[pool.name]
        if shortage <= 0:
            continue
        is_urgent = _is_over_budget_by_failures(plan.budgets[pool.name])
        short_for_ms = plan.view.wall_ms - pool.short_since_ms
        is_persistent = pool.short_since_ms > 0 and short_for_ms >= hold_ms
        if not is_urgent and not is_persistent:
            continue
        while shortage > 0 and _start_move(
            plan, pool.name, shortage, projected
        ):
            shortage -= 1
