"""Drains that an operator wants of single instances.

`InstanceSpec.drain_wanted` asks that an instance be drained and kept empty, for
instance for work on its rack. It is a planned act like any other: it takes its
place in the pool's account first, and waits while the account has no room. The
instance serves again once the operator takes the wish back.
"""

from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import draft
from bambookeel.fleet import records

# Stands where maintenance names its wave; no resource can have this name.
OPERATOR_DRAIN = "operator:drain"


def is_operator_drain(instance: records.Instance) -> bool:
    """Tells whether an instance is drained only because an operator wants it.

    Args:
        instance: The instance.

    Returns:
        Whether it is being drained, or empty, without a reboot to follow.
    """
    return instance.wave == OPERATOR_DRAIN


def is_drain_wanted(instance: records.Instance) -> bool:
    """Tells whether an operator's drain goes on.

    Args:
        instance: The instance.

    Returns:
        Whether it was drained for an operator who still wants it.
    """
    return is_operator_drain(instance) and instance.spec.drain_wanted


def start_drains(plan: draft.Draft) -> None:
    """Starts wanted drains within every pool's account.

    Args:
        plan: The draft.
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
