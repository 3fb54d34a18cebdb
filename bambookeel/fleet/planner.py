"""Makes one plan for the whole fleet from one view.

The stages run by priority: record what has happened, cancel drains, continue
moves and reboots, repair short pools, and only then start new drains. The plan
depends on the view alone, so a new leader continues where the old one stopped.
"""

import dataclasses

from bambookeel.core import resources
from bambookeel.fleet import attribution
from bambookeel.fleet import changes
from bambookeel.fleet import crashes
from bambookeel.fleet import draft
from bambookeel.fleet import explain
from bambookeel.fleet import invariants
from bambookeel.fleet import moves
from bambookeel.fleet import observe
from bambookeel.fleet import operator_drains
from bambookeel.fleet import orders
from bambookeel.fleet import placement
from bambookeel.fleet import quarantine
from bambookeel.fleet import records
from bambookeel.fleet import task_orders
from bambookeel.fleet import task_steps
from bambookeel.fleet import waves

_State = resources.InstanceState
# Weight of the latest duration in the moving average of a wave's time for
# one instance.
_ROUND_GAIN = 0.3


def _list_adoptions(
    view: records.FleetView,
) -> tuple[changes.Adoption, ...]:
    """Lists reported instances that the state does not contain yet."""
    found: list[changes.Adoption] = []
    for name in sorted(view.reports.keys() - view.instances.keys()):
        report = view.reports[name]
        pool = report.pool if report.pool in view.pools else ""
        spec = dataclasses.replace(report.spec, pool=pool)
        found.append(changes.Adoption(name, spec))
    return tuple(found)


def _find_short_since(
    plan: draft.Draft, pool: records.Pool, shortage: int
) -> int:
    if shortage <= 0:
        return 0
    return pool.short_since_ms or plan.view.wall_ms


def _list_pool_statuses(plan: draft.Draft) -> list[changes.StatusChange]:
    """Lists new statuses of the pools whose status has changed."""
    found: list[changes.StatusChange] = []
    projected = moves.count_projected(plan)
    affected: set[str] = set()
    for change in plan.changes.values():
        affected.update((change.before.spec.pool, change.after.spec.pool))
    for name in affected:
        plan.recompute_budget(name)
    for pool in plan.view.pools.values():
        conditions = explain.describe_pool(plan, pool)
        shortage = pool.spec.wanted_size - projected[pool.name]
        short_since_ms = _find_short_since(plan, pool, shortage)
        details = {
            name: text
            for name, text in pool.status.details.items()
            if name != "short_since_ms"
        }
        if short_since_ms:
            details["short_since_ms"] = str(short_since_ms)
        is_met = conditions[0].holds
        status = dataclasses.replace(
            pool.status,
            state="short" if shortage > 0 else "held" if is_met else "impaired",
            conditions=conditions,
            details=details,
        )
        if status == pool.status:
            continue
        found.append(
            changes.StatusChange(
                resources.Kind.POOL, pool.name, pool.version, status
            )
        )
    return found


def _estimate_round_ms(plan: draft.Draft, wave: records.Wave) -> int:
    """Updates a wave's time per instance from reboots that ended just now."""
    estimate_ms = float(wave.round_ms)
    for change in plan.changes.values():
        before = change.before
        if before.wave != wave.name or before.state is not _State.REBOOTING:
            continue
        if change.after.state is not _State.SERVING or not before.act_since_ms:
            continue
        took_ms = plan.view.wall_ms - before.act_since_ms
        gain = _ROUND_GAIN if estimate_ms else 1.0
        estimate_ms += gain * (took_ms - estimate_ms)
    return int(estimate_ms)


def _list_failed(plan: draft.Draft, wave: records.Wave) -> tuple[str, ...]:
    failed = set(wave.failures)
    for instance in plan.instances.values():
        if instance.wave == wave.name and instance.state is _State.FAILED:
            failed.add(instance.name)
    return tuple(sorted(failed))


def _list_wave_statuses(plan: draft.Draft) -> list[changes.StatusChange]:
    """Lists new statuses of the declared waves whose status has changed."""
    found: list[changes.StatusChange] = []
    for wave in plan.view.waves.values():
        updated = dataclasses.replace(
            wave,
            started_ms=wave.started_ms or plan.view.wall_ms,
            round_ms=_estimate_round_ms(plan, wave),
            failures=_list_failed(plan, wave),
        )
        state, conditions = explain.describe_wave(plan, updated)
        details = {
            "started_ms": str(updated.started_ms),
            "round_ms": str(updated.round_ms),
            "failures": " ".join(updated.failures),
        }
        status = dataclasses.replace(
            wave.status, state=state, conditions=conditions, details=details
        )
        if status == wave.status:
            continue
        found.append(
            changes.StatusChange(
                resources.Kind.WAVE, wave.name, wave.version, status
            )
        )
    return found


def _plan_jobs(plan: draft.Draft) -> tuple[changes.JobChange, ...]:
    """Updates jobs, quarantines faulty workers and places tasks."""
    view = plan.view
    quarantine.end_quarantines(plan)
    if not view.job_records:
        return ()
    reports = task_steps.index_reports(view)
    # Evidence is collected twice: attempts that end in this plan count for
    # quarantine and placement in the same plan.
    before = attribution.gather_evidence(
        view.job_records.values(), view.instances
    )
    current = {
        name: task_steps.observe_job(view, job, reports, before)
        for name, job in view.job_records.items()
    }
    current = crashes.park_crashing_jobs(view, current)
    evidence = attribution.gather_evidence(current.values(), view.instances)
    quarantine.start_quarantines(plan, evidence)
    drafted = dataclasses.replace(view, instances=plan.instances)
    placement.Placer(drafted, current, evidence).place_all()
    return tuple(
        changes.JobChange(job, current[name])
        for name, job in view.job_records.items()
        if current[name] is not job
    )


def plan_fleet(view: records.FleetView) -> changes.Plan:
    """Makes one plan.

    Args:
        view: The committed state with the latest reports and lease ends.

    Returns:
        Changes to commit, orders to send and the decisions with their reasons.

    Raises:
        faults.InvariantError: If the plan would break an invariant.
    """
    plan = draft.Draft(view)
    observe.observe_instances(plan)
    waves.cancel_drains(plan)
    moves.release_replaced(plan)
    moves.advance_moves(plan)
    waves.start_reboots(plan)
    moves.start_moves(plan)
    operator_drains.start_drains(plan)
    waves.start_maintenance(plan)
    updated = _plan_jobs(plan)
    statuses = _list_pool_statuses(plan) + _list_wave_statuses(plan)
    finished = changes.Plan(
        instances=tuple(plan.changes.values()),
        statuses=tuple(statuses),
        adoptions=_list_adoptions(view),
        jobs=updated,
        orders=orders.list_orders(view) + task_orders.list_task_orders(view),
        decisions=tuple(plan.decisions),
    )
    invariants.check_plan(view, finished)
    return finished
