"""A plan while it is being made.

Collects at most one change for each instance and keeps the accounts of pools
in step with them, so that each planning stage sees what the earlier ones have
reserved. It lives only for the time of one call of the planner.
"""

import dataclasses
import typing

from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import changes
from bambookeel.fleet import domains
from bambookeel.fleet import records


class Draft:
    """Changes so far, and the fleet as it would be with them."""

    def __init__(self, view: records.FleetView) -> None:
        self.view = view
        self.instances = dict(view.instances)
        self.changes: dict[str, changes.InstanceChange] = {}
        self.decisions: list[changes.Decision] = []
        self.members_by_pool = budgets.group_members(view.instances.values())
        self.budgets: dict[str, budgets.PoolBudget] = {}
        self.suspect_domains = domains.find_suspect_domains(view)
        for pool in view.pools.values():
            self.recompute_budget(pool.name)

    def recompute_budget(self, pool: str) -> None:
        """Draws up a pool's account again from its members as drafted.

        Args:
            pool: The pool.
        """
        if pool not in self.view.pools:
            return
        members = [
            self.instances[member.name]
            for member in self.members_by_pool.get(pool, ())
            if self.instances[member.name].spec.pool == pool
        ]
        self.budgets[pool] = budgets.compute_budget(
            self.view, self.view.pools[pool], members
        )

    def list_members(self, pool: str) -> list[records.Instance]:
        """Lists a pool's members as drafted, in name order.

        Args:
            pool: The pool; empty for instances between pools.

        Returns:
            The members that were in the pool at the start and still are.
        """
        return [
            self.instances[member.name]
            for member in self.members_by_pool.get(pool, ())
            if self.instances[member.name].spec.pool == pool
        ]

    def has_change(self, name: str) -> bool:
        """Tells whether an instance has its one change already.

        Args:
            name: The instance.

        Returns:
            Whether no further change may be drafted for it.
        """
        return name in self.changes

    def change(
        self,
        instance: records.Instance,
        reason: str,
        alternatives: str = "",
        is_planned: bool = False,
        **fields: typing.Any,
    ) -> records.Instance:
        """Drafts the one change of an instance.

        Args:
            instance: The instance as it is.
            reason: Why.
            alternatives: What else was weighed.
            is_planned: Whether it makes an available instance unavailable.
            **fields: Fields that change; `pool` stands for the spec's.

        Returns:
            The new record.
        """
        if "pool" in fields:
            pool = fields.pop("pool")
            fields["spec"] = dataclasses.replace(instance.spec, pool=pool)
        if fields.get("state", instance.state) is not instance.state:
            fields["since_ms"] = self.view.wall_ms
        after = dataclasses.replace(instance, reason=reason, **fields)
        guard = instance.spec.pool or after.spec.pool
        change = changes.InstanceChange(instance, after, guard, is_planned)
        self.changes[instance.name] = change
        self.instances[instance.name] = after
        self._record_decision(change, reason, alternatives)
        pool = instance.spec.pool
        if is_planned:
            self.budgets[pool] = budgets.reserve(self.budgets[pool], instance)
        else:
            self.recompute_budget(pool)
        return after

    def _record_decision(
        self, change: changes.InstanceChange, reason: str, alternatives: str
    ) -> None:
        numbers: dict[str, int | float] = {}
        budget = self.budgets.get(change.guard_pool)
        if budget is not None:
            numbers = {
                "available": budget.available,
                "budget": budget.pool.spec.max_unavailable,
                "used": budget.count_used(),
            }
        before, after = change.before, change.after
        action = f"{before.state.value} to {after.state.value}"
        if before.spec.pool != after.spec.pool:
            action = f"pool {before.spec.pool!r} to {after.spec.pool!r}"
        self.decisions.append(
            changes.Decision(
                f"instance/{after.name}", action, reason, alternatives, numbers
            )
        )

    def resume(self, instance: records.Instance, reason: str) -> None:
        """Drafts the return of a drained instance to its pool.

        Args:
            instance: The instance, which has not been rebooted.
            reason: Why its planned act is given up.
        """
        self.change(
            instance,
            reason,
            state=resources.InstanceState.SERVING,
            wave="",
            moving_to="",
            retry_after_ms=self.view.wall_ms + self.view.tuning.retry_ms,
        )
