"""Finds failure domains that look lost as a whole.

Failures in the same rack or data centre are rarely independent: more are likely
to follow, and every drained instance then reduces capacity further. Planned
disruptions in pools with members in such a domain wait until it has recovered.
When a large part of the whole fleet is silent, the fault may be on the
observer's side, and all planned disruptions wait.
"""

from collections import Counter

from bambookeel.core import resources
from bambookeel.fleet import records

# Instances of a domain that must be lost for the domain to be suspect.
_MIN_LOST = 2
# Share of a domain that must be lost for the domain to be suspect.
_DOMAIN_SHARE = 0.5
# A loss older than this is no sign that failures are still spreading.
_RECENT_LOSS_MS = 600_000
# Share of the fleet whose loss stops all planned disruptions.
_FLEET_SHARE = 0.34

_LOST_STATES = frozenset(
    (
        resources.InstanceState.FAILED,
        resources.InstanceState.IN_DOUBT,
    )
)


def _is_lost(view: records.FleetView, instance: records.Instance) -> bool:
    if instance.state in _LOST_STATES:
        return True
    if instance.state is resources.InstanceState.REBOOTING:
        return False
    return records.find_fresh_report(view, instance) is None


def find_suspect_domains(view: records.FleetView) -> frozenset[str]:
    """Finds racks and data centres that look lost as a whole.

    Args:
        view: Instances with their latest reports.

    Returns:
        Names of these domains; all domains if much of the fleet is lost.
    """
    totals: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    lost_instances = 0
    for instance in view.instances.values():
        domains = (instance.spec.rack, instance.spec.data_centre)
        totals.update(domains)
        if not _is_lost(view, instance):
            continue
        is_recent = view.wall_ms - instance.since_ms < _RECENT_LOSS_MS
        if is_recent or instance.state not in _LOST_STATES:
            lost.update(domains)
            lost_instances += 1
    size = len(view.instances)
    if lost_instances >= _MIN_LOST and lost_instances > size * _FLEET_SHARE:
        return frozenset(totals)
    return frozenset(
        domain
        for domain, count in lost.items()
        if count >= _MIN_LOST and count >= totals[domain] * _DOMAIN_SHARE
    )
