"""Drains of single instances that operators request.

`InstanceSpec.drain_wanted` requests that an instance be drained and kept empty,
for example for work on its rack. Such a drain is a planned disruption like any
other: it counts against the pool's budget and waits while the budget is
exhausted. The instance serves again once the operator withdraws the request.
"""

from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import draft
from bambookeel.fleet import records

# Value of `Instance.wave` for these drains; no wave can have this name.
OPERATOR_DRAIN = "operator:drain"


def is_operator_drain(instance: records.Instance) -> bool:
    """Returns whether an instance is drained only for an operator.

    Args:
        instance: An instance in any state.

    Returns:
        Whether it is draining or empty and no reboot follows.
    """
    return instance.wave == OPERATOR_DRAIN


def is_drain_wanted(instance: records.Instance) -> bool:
    """Returns whether an operator's drain is still requested.

    Args:
        instance: An instance in any state.

    Returns:
        Whether it was drained for an operator who still wants it drained.
    """
    return is_operator_drain(instance) and instance.spec.drain_wanted


def start_drains(plan: draft.Draft) -> None:
    """Starts requested drains as far as the budgets of pools allow.

    Args:
        plan: Receives the changes.
    """
    for instance in plan.view.instances.values():
        if not instance.spec.drain_wanted or plan.has_change(instance.name):
            continue
        if not records.is_available(plan.view, instance):
            continue
        budget = plan.budgets.get(instance.spec.pool)
        if budget is None or budget.count_remaining() < 1:
            continue
        if budgets.find_blocking_reason(budget, instance, plan.suspect_domains):
            continue
        plan.change(
            instance,
            "an operator wants it drained",
            is_planned=True,
            state=resources.InstanceState.DRAINING,
            wave=OPERATOR_DRAIN,
            act_since_ms=plan.view.wall_ms,
        )
