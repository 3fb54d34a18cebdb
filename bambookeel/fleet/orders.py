"""Orders to the platform, derived from the committed state and reports only.

An order is repeated with every plan until a report shows its effect. A new
leader derives the same orders from the same state, so the planner need not
remember orders that were lost or that took effect after a timeout.
"""

from bambookeel.core import resources
from bambookeel.fleet import changes
from bambookeel.fleet import observe
from bambookeel.fleet import records

_State = resources.InstanceState


def _find_joining_order(
    instance: records.Instance, report: records.Report | None
) -> changes.OrderKind | None:
    """Returns the order that an empty instance needs to join its pool."""
    if report and observe.may_serve_other_pool(instance, report):
        return changes.OrderKind.DRAIN
    return changes.OrderKind.ASSIGN if instance.spec.pool else None


def _find_order_kind(
    instance: records.Instance, report: records.Report | None
) -> changes.OrderKind | None:
    """Returns the order that an instance still needs; None if none."""
    phase = report.phase if report else None
    match instance.state:
        case _State.DRAINING:
            # The order is repeated to an instance that reports to be drained
            # while work still runs on it.
            is_drained = phase is records.Phase.DRAINED
            if not is_drained or (report and report.running):
                return changes.OrderKind.DRAIN
        case _State.REBOOTING:
            # A later incarnation means that the reboot has happened.
            if report is None or report.incarnation <= instance.incarnation:
                return changes.OrderKind.REBOOT
        case _State.EMPTY if not instance.wave:
            return _find_joining_order(instance, report)
        case _State.FAILED if report is not None:
            if report.sequence < instance.version:
                return changes.OrderKind.RESUME
        case _State.SERVING | _State.IN_DOUBT:
            if not instance.spec.pool:
                return None
            if phase in (records.Phase.DRAINING, records.Phase.DRAINED):
                return changes.OrderKind.RESUME
    return None


def list_orders(view: records.FleetView) -> tuple[changes.Order, ...]:
    """Lists the orders that follow from the committed state.

    Args:
        view: The view without any change of the new plan.

    Returns:
        At most one order for each instance, sorted by instance name.
    """
    orders: list[changes.Order] = []
    for name in sorted(view.instances):
        instance = view.instances[name]
        report = records.find_fresh_report(view, instance)
        kind = _find_order_kind(instance, report)
        if kind is None:
            continue
        incarnation = instance.incarnation
        if report is not None and kind is not changes.OrderKind.REBOOT:
            incarnation = report.incarnation
        orders.append(
            changes.Order(
                kind,
                name,
                incarnation,
                instance.version,
                instance.spec.pool,
            )
        )
    return tuple(orders)
