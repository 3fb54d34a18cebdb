"""Quarantines faulty workers and later tries them again.

Quarantining a worker is a planned disruption within its pool's budget; while
the budget is exhausted the worker stays in service but gets no tasks. After a
time it may run a few tasks again: a success restores it fully, failures put it
back into quarantine.
"""

from collections.abc import Mapping

from bambookeel.core import resources
from bambookeel.fleet import attribution
from bambookeel.fleet import budgets
from bambookeel.fleet import draft
from bambookeel.fleet import observe
from bambookeel.fleet import records

_State = resources.InstanceState


def start_quarantines(
    plan: draft.Draft, evidence: Mapping[str, attribution.WorkerEvidence]
) -> None:
    """Quarantines faulty workers as far as the budgets of pools allow.

    Args:
        plan: Receives the changes.
        evidence: Evidence by worker.
    """
    for name, found in sorted(evidence.items()):
        if not found.is_faulty() or plan.has_change(name):
            continue
        instance = plan.instances.get(name)
        if instance is None or instance.spec.pool not in plan.budgets:
            continue
        if not records.is_available(plan.view, instance):
            continue
        budget = plan.budgets[instance.spec.pool]
        if budgets.find_blocking_reason(budget, instance, plan.suspect_domains):
            continue
        job_names = ", ".join(sorted(found.succeeded_elsewhere))
        plan.change(
            instance,
            f"jobs that failed here succeeded elsewhere: {job_names}",
            alternatives="parking the jobs",
            is_planned=True,
            state=_State.QUARANTINED,
        )


def end_quarantines(plan: draft.Draft) -> None:
    """Returns workers to service after `probe_after_ms` in quarantine.

    Earlier failures of such a worker no longer count. While it has no success
    on record it gets few tasks at once.

    Args:
        plan: Receives the changes.
    """
    for instance in plan.view.instances.values():
        if instance.state is not _State.QUARANTINED:
            continue
        if plan.has_change(instance.name):
            continue
        report = records.find_fresh_report(plan.view, instance)
        if report is None:
            if observe.has_lease_expired(plan.view, instance.name):
                plan.change(
                    instance,
                    "silent until its lease ended",
                    state=_State.FAILED,
                )
            continue
        waited_ms = plan.view.wall_ms - instance.since_ms
        if waited_ms < plan.view.tuning.probe_after_ms:
            continue
        if not observe.is_confirmed_healthy(report):
            continue
        plan.change(
            instance,
            "tried again after its time in quarantine",
            state=_State.SERVING,
            incarnation=report.incarnation,
            trusted_since_ms=plan.view.wall_ms,
        )
