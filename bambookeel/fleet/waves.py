"""Maintenance waves: which instances are drained and rebooted next.

A wave uses the full budgets of all pools at the same time and starts with the
pools that need the most rounds, so that the slowest pool, which determines the
end of the wave, never waits for another. An instance counts against the budget
until it has been confirmed healthy, so each round is checked before the next
starts. Failures that exceed a pool's budget cancel the drains there; a wave
that loses too many instances stops.
"""

from collections.abc import Iterator
import dataclasses

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import draft
from bambookeel.fleet import operator_drains
from bambookeel.fleet import records

_State = resources.InstanceState
# Name of the wave that maintains every instance once per interval.
REGULAR_WAVE = "regular"
# Share of the interval after which an instance is due; the rest is left for
# pauses and retries.
_DUE_SHARE = 0.85
# Assumed time to drain and reboot one instance until it has been measured.
DEFAULT_ROUND_MS = 900_000
_ACTIVE_STATES = frozenset((_State.DRAINING, _State.EMPTY, _State.REBOOTING))


def list_waves(view: records.FleetView) -> list[records.Wave]:
    """Lists the waves, the one with the earliest end date first.

    Args:
        view: Gives the declared waves and the tuning.

    Returns:
        Declared waves, then the regular maintenance if it is enabled.
    """
    declared = sorted(
        view.waves.values(),
        key=lambda wave: (wave.spec.finish_by_ms or 2**62, wave.name),
    )
    if view.tuning.maintenance_interval_ms > 0:
        spec = resources.WaveSpec()
        interval_ms = view.tuning.maintenance_interval_ms
        due_ms = view.wall_ms - int(interval_ms * _DUE_SHARE)
        declared.append(
            records.Wave(
                name=REGULAR_WAVE,
                version=ids.StateVersion(0),
                spec=spec,
                started_ms=due_ms,
            )
        )
    return declared


def covers_pool(wave: records.Wave, pool: str) -> bool:
    """Returns whether a wave maintains a pool.

    Args:
        wave: The wave.
        pool: Name of the pool.

    Returns:
        Whether the wave's spec lists the pool, or no pools at all.
    """
    return not wave.spec.pools or pool in wave.spec.pools


def list_unmaintained(
    plan: draft.Draft, wave: records.Wave, pool: str
) -> list[records.Instance]:
    """Lists a pool's instances that a wave has yet to maintain.

    Args:
        plan: The draft so far.
        wave: The wave.
        pool: Name of the pool.

    Returns:
        Members last maintained before the wave started.
    """
    if not covers_pool(wave, pool):
        return []
    return [
        member
        for member in plan.list_members(pool)
        if member.last_maintained_ms < wave.started_ms
    ]


def find_stop_reason(view: records.FleetView, wave: records.Wave) -> str:
    """Explains why a wave may not start further maintenance.

    Args:
        view: Gives the tuning.
        wave: The wave.

    Returns:
        The reason; empty if it may.
    """
    if wave.spec.aborted:
        return "aborted by an operator"
    if wave.spec.paused:
        return "paused by an operator"
    if wave.started_ms == 0:
        return "not started yet"
    if len(wave.failures) >= view.tuning.max_wave_failures:
        return f"{len(wave.failures)} instances did not come back from it"
    return ""


def _rank_candidate(
    budget: budgets.PoolBudget, instance: records.Instance
) -> tuple[int, int, int, str]:
    """Ranks instances of the fullest domains first, then the longest due."""
    spec = instance.spec
    return (
        -budget.data_centres[spec.data_centre],
        -budget.racks[spec.rack],
        instance.last_maintained_ms,
        instance.name,
    )


def _list_candidates(
    plan: draft.Draft, wave: records.Wave, pool: str
) -> list[records.Instance]:
    found: list[records.Instance] = []
    for instance in list_unmaintained(plan, wave, pool):
        if plan.has_change(instance.name):
            continue
        if instance.retry_after_ms > plan.view.wall_ms:
            continue
        if records.is_available(plan.view, instance):
            found.append(instance)
    return found


def _start_in_pool(
    plan: draft.Draft, wave: records.Wave, pool: str, max_starts: int
) -> int:
    """Starts as many drains in a pool as its budget allows.

    Args:
        plan: Receives the changes.
        wave: The wave.
        pool: Name of the pool.
        max_starts: Limit from the wave's `max_parallel`.

    Returns:
        The number of drains started.
    """
    started = 0
    candidates = _list_candidates(plan, wave, pool)
    while candidates and started < max_starts:
        budget = plan.budgets[pool]
        if budget.count_remaining() < 1:
            break
        allowed = [
            candidate
            for candidate in candidates
            if not budgets.find_blocking_reason(
                budget, candidate, plan.suspect_domains
            )
        ]
        if not allowed:
            break
        chosen = min(allowed, key=lambda item: _rank_candidate(budget, item))
        candidates.remove(chosen)
        plan.change(
            chosen,
            f"wave {wave.name} drains it",
            alternatives=f"{len(allowed)} candidates in the pool",
            is_planned=True,
            state=_State.DRAINING,
            wave=wave.name,
            act_since_ms=plan.view.wall_ms,
        )
        started += 1
    return started


def _iterate_pools(plan: draft.Draft, wave: records.Wave) -> Iterator[str]:
    """Yields pools with work left, those that need the most rounds first."""
    rounds: list[tuple[float, str]] = []
    for name, pool in plan.view.pools.items():
        left = len(list_unmaintained(plan, wave, name))
        if not left or not pool.spec.max_unavailable:
            continue
        rounds.append((-left / pool.spec.max_unavailable, name))
    for _, name in sorted(rounds):
        yield name


def start_maintenance(plan: draft.Draft) -> None:
    """Starts drains for all waves as far as the budgets of pools allow.

    Args:
        plan: Receives the changes.
    """
    active = {wave.name: 0 for wave in list_waves(plan.view)}
    for instance in plan.instances.values():
        if instance.wave in active and instance.state in _ACTIVE_STATES:
            active[instance.wave] += 1
    is_over_budget = any(
        budget.count_remaining() < 0 for budget in plan.budgets.values()
    )
    for wave in list_waves(plan.view):
        if find_stop_reason(plan.view, wave):
            continue
        for pool in _iterate_pools(plan, wave):
            # The budget of lending pools is kept for pools over their budget.
            if is_over_budget and plan.view.pools[pool].spec.lends_spare:
                continue
            max_starts = wave.spec.max_parallel - active[wave.name]
            if max_starts <= 0:
                break
            active[wave.name] += _start_in_pool(plan, wave, pool, max_starts)


def cancel_drains(plan: draft.Draft) -> None:
    """Cancels drains where failures exceed a budget or the wave has ended.

    Args:
        plan: Receives the changes.
    """
    known = {wave.name: wave for wave in list_waves(plan.view)}
    for pool in plan.view.pools:
        drained = [
            member
            for member in plan.list_members(pool)
            if not plan.has_change(member.name)
            and _is_cancellable(plan.view, member)
        ]
        # The drain that started last is cancelled first: its instance still has
        # the most work running.
        drained.sort(key=lambda item: (-item.since_ms, item.name))
        for member in drained:
            wave = known.get(member.wave)
            has_ended = wave is None or wave.spec.aborted
            if operator_drains.is_drain_wanted(member):
                has_ended = False
            if member.wave and has_ended:
                reason = f"wave {member.wave} has ended"
                if operator_drains.is_operator_drain(member):
                    reason = "its operator took the drain back"
                plan.resume(member, reason)
            elif plan.budgets[pool].count_remaining() < 0:
                plan.resume(member, "failures exceed the pool's budget")


def _is_cancellable(
    view: records.FleetView, instance: records.Instance
) -> bool:
    is_drained = instance.state is _State.DRAINING or (
        instance.state is _State.EMPTY and instance.wave
    )
    if not is_drained:
        return False
    report = records.find_fresh_report(view, instance)
    return report is not None and report.healthy


def start_reboots(plan: draft.Draft) -> None:
    """Reboots drained instances in pools that are within their budgets.

    Args:
        plan: Receives the changes.
    """
    for instance in plan.view.instances.values():
        if plan.has_change(instance.name) or not instance.wave:
            continue
        if operator_drains.is_operator_drain(instance):
            continue
        if instance.state is not _State.EMPTY:
            continue
        budget = plan.budgets.get(instance.spec.pool)
        if budget is None or budget.count_remaining() < 0:
            continue
        if plan.suspect_domains & budget.domains:
            continue
        report = records.find_fresh_report(plan.view, instance)
        if report is None or report.phase is not records.Phase.DRAINED:
            continue
        plan.change(instance, f"wave {instance.wave}", state=_State.REBOOTING)


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When a wave is expected to end.

    Attributes:
        left: Number of instances still to maintain.
        ends_in_ms: Time until the end; -1 if a pool has no budget left.
        slowest_pool: The pool that determines the end.
    """

    left: int
    ends_in_ms: int
    slowest_pool: str


def forecast_end(plan: draft.Draft, wave: records.Wave) -> Forecast:
    """Forecasts the end of a wave from the current budgets of its pools.

    Args:
        plan: The draft after all planning stages.
        wave: The wave.

    Returns:
        The forecast; failed and quarantined instances reduce the budgets.
    """
    round_ms = wave.round_ms or DEFAULT_ROUND_MS
    total_left = 0
    ends_in_ms = 0
    slowest = ""
    for name, pool in plan.view.pools.items():
        left = len(list_unmaintained(plan, wave, name))
        if not left:
            continue
        total_left += left
        lost = sum(
            plan.budgets[name].unavailable.get(state.value, 0)
            for state in (_State.FAILED, _State.QUARANTINED)
        )
        at_once = pool.spec.max_unavailable - lost
        if at_once < 1:
            return Forecast(total_left, -1, name)
        needed_ms = -(-left // at_once) * round_ms
        if needed_ms > ends_in_ms:
            ends_in_ms, slowest = needed_ms, name
    shared_ms = -(-total_left // wave.spec.max_parallel) * round_ms
    return Forecast(total_left, max(ends_in_ms, shared_ms), slowest)
