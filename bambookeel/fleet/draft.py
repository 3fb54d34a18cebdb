"""The plan under construction during one call of the planner.

A draft collects at most one change for each instance and updates the budgets of
pools with each change, so that a planning stage sees what earlier stages have
reserved.
"""

import dataclasses
import typing

from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import changes
from bambookeel.fleet import domains
from bambookeel.fleet import records


class Draft:
    """The changes so far and the fleet as it would be after them."""

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
        """Recomputes a pool's budget from the drafted records of its members.

        Args:
            pool: Name of the pool; an unknown one is ignored.
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
        """Lists the drafted records of a pool's members, sorted by name.

        Args:
            pool: Name of the pool; empty for instances that are in no pool.

        Returns:
            The instances that were in the pool before the plan and still are.
        """
        return [
            self.instances[member.name]
            for member in self.members_by_pool.get(pool, ())
            if self.instances[member.name].spec.pool == pool
        ]

    def has_change(self, name: str) -> bool:
        """Returns whether the plan already changes an instance.

        Args:
            name: Name of the instance.

        Returns:
            True if no further change may be drafted for it.
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
        """Drafts the only change of an instance in this plan.

        Args:
            instance: The current record.
            reason: Why the change is made; stored in the instance's status.
            alternatives: Other options that were considered, for the log.
            is_planned: Whether it is a planned disruption, which makes an
                available instance unavailable.
            **fields: Fields that change; `pool` changes the pool in the spec.

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
        """Drafts the return of a draining or drained instance to service.

        Args:
            instance: An instance that has not been rebooted.
            reason: Why the drain is cancelled.
        """
        self.change(
            instance,
            reason,
            state=resources.InstanceState.SERVING,
            wave="",
            moving_to="",
            retry_after_ms=self.view.wall_ms + self.view.tuning.retry_ms,
        )
