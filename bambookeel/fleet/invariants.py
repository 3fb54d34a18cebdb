"""Invariants of every plan, checked before it is committed.

The checks are independent of the planning stages: an instance is in at most one
pool at every step, planned disruptions never exceed a budget, an instance is
changed at most once in a plan, no instance is reused while its lease may be
valid, and no attempt of a task is replaced before it has ended.
"""

from collections import Counter

from bambookeel.core import faults
from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import changes
from bambookeel.fleet import jobs
from bambookeel.fleet import observe
from bambookeel.fleet import records
from bambookeel.fleet import task_steps

_State = resources.InstanceState


def _check_pool_change(
    view: records.FleetView, change: changes.InstanceChange
) -> None:
    """Checks that an instance leaves its pool empty before it joins another."""
    before, after = change.before, change.after
    if before.spec.pool == after.spec.pool:
        return
    faults.check_invariant(
        not before.spec.pool or not after.spec.pool,
        f"{before.name} goes from {before.spec.pool} to {after.spec.pool}",
    )
    if not before.spec.pool:
        faults.check_invariant(
            before.state is _State.EMPTY, f"{before.name} is not empty"
        )
        return
    if observe.is_confirmed_stopped(view, before):
        return
    report = records.find_fresh_report(view, before)
    faults.check_invariant(
        before.state is _State.DRAINING
        and report is not None
        and report.phase is records.Phase.DRAINED
        and report.running == 0,
        f"{before.name} leaves its pool without being confirmed empty",
    )


def _check_state_change(
    view: records.FleetView, change: changes.InstanceChange
) -> None:
    """Checks the preconditions of a change of state."""
    before, after = change.before, change.after
    if before.state is after.state:
        return
    match after.state:
        case _State.FAILED:
            report = records.find_fresh_report(view, before)
            faults.check_invariant(
                report is not None
                or before.state is _State.REBOOTING
                or observe.has_lease_expired(view, before.name),
                f"{before.name} is marked failed within its lease",
            )
        case _State.REBOOTING:
            faults.check_invariant(
                before.state is _State.EMPTY,
                f"{before.name} reboots before it is empty",
            )
        case _State.DRAINING if change.is_planned:
            faults.check_invariant(
                records.is_available(view, before),
                f"{before.name} is drained while it is not available",
            )


def _check_jobs(view: records.FleetView, plan: changes.Plan) -> None:
    """Checks that no attempt replaces one that may run, and teams' limits."""
    running: Counter[str] = Counter()
    started: set[str] = set()
    updated = {change.after.name: change.after for change in plan.jobs}
    reports = task_steps.index_reports(view)
    for name, before in view.job_records.items():
        after = updated.get(name, before)
        for old, new in zip(before.tasks, after.tasks, strict=True):
            is_active = new.state in jobs.ACTIVE_STATES
            running[after.spec.team] += is_active
            if new.attempt == old.attempt:
                continue
            started.add(after.spec.team)
            report = reports.get(jobs.render_task_id(name, old))
            faults.check_invariant(
                old.state not in jobs.ACTIVE_STATES
                or (
                    report is not None
                    and report.phase is not jobs.TaskPhase.RUNNING
                )
                or task_steps.is_attempt_lost(view, old),
                f"task {old.index} of {name} starts before its end is known",
            )
    for team in sorted(started):
        limit = view.teams[team].upper_limit
        if view.task_limits is not None:
            limit = min(limit, view.task_limits.get(team, 0))
        faults.check_invariant(
            running[team] <= limit,
            f"team {team} runs {running[team]} of at most {limit}",
        )


def check_plan(view: records.FleetView, plan: changes.Plan) -> None:
    """Checks a plan against the view that it was made from.

    Args:
        view: The view that the planner was given.
        plan: The plan to commit.

    Raises:
        faults.InvariantError: If the plan would break an invariant.
    """
    drafted = dict(view.instances)
    planned_pools: set[str] = set()
    for change in plan.instances:
        name = change.before.name
        faults.check_invariant(
            drafted[name] is change.before, f"{name} is changed twice"
        )
        drafted[name] = change.after
        _check_pool_change(view, change)
        _check_state_change(view, change)
        if change.is_planned:
            planned_pools.add(change.guard_pool)
    _check_jobs(view, plan)
    groups = budgets.group_members(drafted.values())
    for name in sorted(planned_pools):
        budget = budgets.compute_budget(
            view, view.pools[name], groups.get(name, ())
        )
        faults.check_invariant(
            budget.count_remaining() >= 0,
            f"planned disruptions exceed the budget of {name}:"
            f" {budget.unavailable}",
        )
