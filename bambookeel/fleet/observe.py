"""Updates instances from reports, missing reports and timeouts.

An instance without a fresh report is in doubt at once, and has failed when the
last lease that may have been granted to it has expired. A drain is confirmed
only by a report that nothing runs, a reboot only by a healthy report of a newer
incarnation.
"""

import math

from bambookeel.core import resources
from bambookeel.fleet import draft
from bambookeel.fleet import records

_State = resources.InstanceState


def has_lease_expired(view: records.FleetView, name: str) -> bool:
    """Returns whether every lease of an instance has certainly expired.

    Args:
        view: Gives the time and the ends of leases.
        name: Name of the instance.

    Returns:
        True if it has expired; False also if its end is unknown.
    """
    return view.now_ms >= view.lease_until_ms.get(name, math.inf)


def is_confirmed_stopped(
    view: records.FleetView, instance: records.Instance
) -> bool:
    """Returns whether a failed instance certainly runs nothing.

    Args:
        view: Gives the reports and the ends of leases.
        instance: An instance in any state.

    Returns:
        Whether it has failed, has no fresh report, and its lease has expired.
    """
    if instance.state is not _State.FAILED:
        return False
    if records.find_fresh_report(view, instance) is not None:
        return False
    return has_lease_expired(view, instance.name)


def is_confirmed_healthy(report: records.Report | None) -> bool:
    """Returns whether a report confirms that an instance can serve.

    Args:
        report: A fresh report, or None.

    Returns:
        Whether the instance serves and passed its health check.
    """
    if report is None:
        return False
    return report.healthy and report.phase is records.Phase.SERVING


def may_serve_other_pool(
    instance: records.Instance, report: records.Report
) -> bool:
    """Returns whether an instance may work for a pool other than its own.

    A restarted instance serves the pool that the platform last assigned it to,
    also if an earlier incarnation had been confirmed empty.

    Args:
        instance: The instance.
        report: A fresh report of it.

    Returns:
        Whether it reports another pool and is not confirmed empty.
    """
    if report.pool in ("", instance.spec.pool):
        return False
    return report.phase is not records.Phase.DRAINED or report.running > 0


def _observe_serving(
    plan: draft.Draft,
    instance: records.Instance,
    report: records.Report | None,
) -> None:
    if report is None:
        plan.change(instance, "silent", state=_State.IN_DOUBT)
        return
    if not report.healthy or report.phase in (
        records.Phase.DOWN,
        records.Phase.REBOOTING,
    ):
        reason = f"reported {report.phase.value} or unhealthy"
        plan.change(instance, reason, state=_State.IN_DOUBT)
        return
    if report.incarnation == instance.incarnation:
        return
    if is_confirmed_healthy(report):
        reason = "restarted by itself under its old name"
        plan.change(instance, reason, incarnation=report.incarnation)


def _is_fenced(instance: records.Instance, report: records.Report) -> bool:
    """Returns whether orders from before the failure can have no effect.

    A newer incarnation ignores them. Otherwise the instance must have stopped
    all work, since its lease has expired, and must have received an order with
    a higher sequence than all orders sent before the failure, since it drops
    older ones.
    """
    if report.incarnation > instance.incarnation:
        return True
    return report.running == 0 and report.sequence >= instance.version


def _is_drained_between_pools(
    instance: records.Instance, report: records.Report
) -> bool:
    """Returns whether an instance that is in no pool is drained."""
    if instance.spec.pool or report.running:
        return False
    return report.phase is records.Phase.DRAINED


def _observe_lost(
    plan: draft.Draft,
    instance: records.Instance,
    report: records.Report | None,
) -> None:
    if is_confirmed_healthy(report):
        assert report is not None
        if instance.state is _State.FAILED and not _is_fenced(instance, report):
            return
        is_member = instance.spec.pool and report.pool == instance.spec.pool
        plan.change(
            instance,
            "proved healthy",
            state=_State.SERVING if is_member else _State.EMPTY,
            incarnation=report.incarnation,
            wave="",
            # A new instance counts as maintained when it first proves healthy.
            last_maintained_ms=instance.last_maintained_ms or plan.view.wall_ms,
        )
        return
    if report is not None and _is_drained_between_pools(instance, report):
        plan.change(
            instance,
            "found empty",
            state=_State.EMPTY,
            incarnation=report.incarnation,
        )
        return
    if instance.state is _State.FAILED:
        return
    if report is None and has_lease_expired(plan.view, instance.name):
        plan.change(
            instance, "silent until its lease ended", state=_State.FAILED
        )
        return
    waited_ms = plan.view.wall_ms - instance.since_ms
    if report is not None and waited_ms > plan.view.tuning.boot_timeout_ms:
        plan.change(instance, "unhealthy for too long", state=_State.FAILED)


def _observe_draining(
    plan: draft.Draft,
    instance: records.Instance,
    report: records.Report | None,
) -> None:
    if report is None:
        if has_lease_expired(plan.view, instance.name):
            plan.change(
                instance,
                "silent until its lease ended",
                state=_State.FAILED,
                wave="",
                moving_to="",
            )
        return
    if report.incarnation > instance.incarnation:
        if report.running == 0:
            reason = "restarted while it drained"
            plan.change(instance, reason, incarnation=report.incarnation)
        return
    # An instance may report that it has drained while work still runs on it.
    if report.phase is records.Phase.DRAINED and report.running == 0:
        if instance.moving_to:
            plan.change(
                instance, "confirmed empty", state=_State.EMPTY, pool=""
            )
            return
        plan.change(instance, "confirmed empty", state=_State.EMPTY)
        return
    waited_ms = plan.view.wall_ms - instance.since_ms
    if waited_ms > plan.view.tuning.drain_timeout_ms:
        minutes = waited_ms // 60_000
        plan.resume(
            instance,
            f"{report.running} still running after {minutes} minutes of drain",
        )


def _observe_empty(
    plan: draft.Draft,
    instance: records.Instance,
    report: records.Report | None,
) -> None:
    if report is None:
        if has_lease_expired(plan.view, instance.name):
            plan.change(
                instance,
                "silent until its lease ended",
                state=_State.FAILED,
                wave="",
            )
        return
    if instance.wave and report.phase is records.Phase.SERVING:
        plan.change(
            instance,
            "serves again before its reboot",
            state=_State.DRAINING,
            incarnation=report.incarnation,
        )
        return
    is_joining = instance.spec.pool and not instance.wave
    if not is_joining or not is_confirmed_healthy(report):
        return
    if report.pool != instance.spec.pool:
        return
    plan.change(
        instance,
        f"joined {instance.spec.pool}",
        state=_State.SERVING,
        incarnation=report.incarnation,
    )


def _observe_rebooting(
    plan: draft.Draft,
    instance: records.Instance,
    report: records.Report | None,
) -> None:
    if is_confirmed_healthy(report):
        assert report is not None
        if report.incarnation > instance.incarnation:
            plan.change(
                instance,
                f"maintained by wave {instance.wave}",
                state=_State.SERVING,
                incarnation=report.incarnation,
                last_maintained_ms=plan.view.wall_ms,
                wave="",
            )
            return
    waited_ms = plan.view.wall_ms - instance.since_ms
    if waited_ms > plan.view.tuning.boot_timeout_ms:
        # `wave` is kept, so that the failure counts against the wave.
        plan.change(
            instance,
            f"not back after {waited_ms // 60_000} minutes",
            state=_State.FAILED,
        )


def observe_instances(plan: draft.Draft) -> None:
    """Drafts the changes that follow from reports, silence and timeouts.

    Args:
        plan: Receives the changes.
    """
    for instance in plan.view.instances.values():
        report = records.find_fresh_report(plan.view, instance)
        match instance.state:
            case _State.SERVING:
                _observe_serving(plan, instance, report)
            case _State.IN_DOUBT | _State.FAILED:
                _observe_lost(plan, instance, report)
            case _State.DRAINING:
                _observe_draining(plan, instance, report)
            case _State.EMPTY:
                _observe_empty(plan, instance, report)
            case _State.REBOOTING:
                _observe_rebooting(plan, instance, report)
