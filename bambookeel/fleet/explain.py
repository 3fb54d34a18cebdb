"""Builds the status conditions of pools and waves.

Their messages explain a resource's state, what happens next and when; the
command line prints them. Times in a message must not change from one plan to
the next without cause, so that a status is committed only when something has
changed.
"""

from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import draft
from bambookeel.fleet import moves
from bambookeel.fleet import records
from bambookeel.fleet import waves

_MINUTE_MS = 60_000


def _describe_unavailable(budget: budgets.PoolBudget) -> str:
    parts = [
        f"{count} {state}"
        for state, count in sorted(budget.unavailable.items())
    ]
    return ", ".join(parts) if parts else "none unavailable"


def _describe_available(budget: budgets.PoolBudget) -> resources.Condition:
    spec = budget.pool.spec
    is_met = budget.count_remaining() >= 0
    message = (
        f"{budget.available} of {spec.wanted_size} wanted are available,"
        f" {budget.members} members: {_describe_unavailable(budget)};"
        f" budget {budget.count_used()} of {spec.max_unavailable} used"
    )
    reason = "WithinBudget" if is_met else "BudgetExceeded"
    return resources.Condition("Available", is_met, reason, message)


def _describe_survival(budget: budgets.PoolBudget) -> resources.Condition:
    spec = budget.pool.spec
    racks_left = budgets.count_after_loss(budget.racks, spec.survive_racks)
    left = budgets.count_after_loss(
        budget.data_centres, spec.survive_data_centres
    )
    smallest = min(racks_left, left)
    is_met = smallest >= spec.min_after_loss or spec.wanted_size == 0
    message = (
        f"{racks_left} left after losing {spec.survive_racks} racks, {left}"
        f" after {spec.survive_data_centres} data centres,"
        f" {spec.min_after_loss} promised"
    )
    reason = "SpreadHolds" if is_met else "SpreadTooNarrow"
    return resources.Condition("SurvivesLoss", is_met, reason, message)


def _describe_next_step(plan: draft.Draft, pool: records.Pool) -> str:
    """Explains what happens next in a pool and, for a wave, how fast."""
    name = pool.name
    budget = plan.budgets[name]
    affected = sorted(plan.suspect_domains & budget.domains)
    if budget.count_remaining() < 0:
        shortage = pool.spec.wanted_size - moves.count_projected(plan)[name]
        if shortage <= 0:
            return (
                "waits for instances to come back; replacements are under way"
            )
        return f"borrows {shortage} as soon as another pool can lend"
    if affected:
        return f"no planned act until {affected[0]} has recovered"
    for wave in waves.list_waves(plan.view):
        left = len(waves.list_unmaintained(plan, wave, name))
        if not left or waves.find_stop_reason(plan.view, wave):
            continue
        if pool.spec.max_unavailable == 0:
            return f"wave {wave.name} can never drain here: the budget is 0"
        minutes = (wave.round_ms or waves.DEFAULT_ROUND_MS) // _MINUTE_MS
        return (
            f"wave {wave.name} maintains {left} more,"
            f" {pool.spec.max_unavailable} at a time, about {minutes}"
            " minutes each; the next starts when one has been proved healthy"
        )
    return "nothing is planned"


def describe_pool(
    plan: draft.Draft, pool: records.Pool
) -> tuple[resources.Condition, ...]:
    """Builds the conditions of a pool.

    Args:
        plan: The draft after all planning stages.
        pool: A pool of the view.

    Returns:
        Availability, loss tolerance, and what happens next, in this order.
    """
    budget = plan.budgets[pool.name]
    next_step = _describe_next_step(plan, pool)
    return (
        _describe_available(budget),
        _describe_survival(budget),
        resources.Condition("Next", True, "Planned", next_step),
    )


def _describe_forecast(
    wave: records.Wave, wall_ms: int, forecast: waves.Forecast
) -> resources.Condition:
    """Builds the condition that a wave ends by its `finish_by_ms`."""
    if forecast.ends_in_ms < 0:
        message = (
            f"pool {forecast.slowest_pool} has no budget left to drain, so"
            f" {forecast.left} instances or more stay as they are"
        )
        return resources.Condition("OnTime", False, "NoBudget", message)
    finish_by_ms = wave.spec.finish_by_ms
    late_ms = wall_ms + forecast.ends_in_ms - finish_by_ms
    if finish_by_ms and late_ms > 0:
        message = (
            f"pool {forecast.slowest_pool} sets the end: its rounds need"
            f" {forecast.ends_in_ms // _MINUTE_MS} more minutes, which is"
            " after the date"
        )
        return resources.Condition("OnTime", False, "TooSlow", message)
    message = f"needs {forecast.ends_in_ms // _MINUTE_MS} more minutes"
    return resources.Condition("OnTime", True, "InTime", message)


def describe_wave(
    plan: draft.Draft, wave: records.Wave
) -> tuple[str, tuple[resources.Condition, ...]]:
    """Builds the state and the conditions of a wave.

    Args:
        plan: The draft after all planning stages.
        wave: A declared wave, with its details up to date.

    Returns:
        The state (`running`, `done` or `stopped`), and the conditions on
        progress and on the end date.
    """
    forecast = waves.forecast_end(plan, wave)
    stop_reason = waves.find_stop_reason(plan.view, wave)
    state = "running"
    if wave.started_ms and forecast.left == 0:
        state = "done"
    elif stop_reason:
        state = "stopped"
    under_way = sum(
        instance.wave == wave.name for instance in plan.instances.values()
    )
    message = f"{forecast.left} left, {under_way} under way"
    if stop_reason:
        message = f"{message}; {stop_reason}"
    progress = resources.Condition(
        "Progressing", state == "running", state, message
    )
    return state, (
        progress,
        _describe_forecast(wave, plan.view.wall_ms, forecast),
    )
