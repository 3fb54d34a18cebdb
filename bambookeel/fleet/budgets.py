"""The availability budget of each pool.

Every unavailable instance counts against its pool's budget: failed, in doubt,
draining, rebooting or quarantined ones, and those missing from the wanted size.
A planned disruption may start only while the budget allows one more and while
the pool would still tolerate the loss of as many failure domains as its spec
requires. Failures count against the budget too, even beyond its limit.
"""

from collections import Counter
from collections.abc import Iterable
import dataclasses

from bambookeel.core import resources
from bambookeel.fleet import records


@dataclasses.dataclass(frozen=True, slots=True)
class PoolBudget:
    """Availability of a pool's instances and use of its budget.

    Attributes:
        pool: The pool.
        members: Number of instances in the pool.
        available: Number of members that serve according to a fresh report.
        unavailable: Numbers of the other members by state.
        racks: Numbers of available members by rack.
        data_centres: Numbers of available members by data centre.
        domains: Racks and data centres of all members.
    """

    pool: records.Pool
    members: int
    available: int
    unavailable: dict[str, int]
    racks: Counter[str]
    data_centres: Counter[str]
    domains: frozenset[str]

    def count_used(self) -> int:
        """Counts the instances that use up the budget.

        Returns:
            The larger of two numbers: unavailable members, and instances
            missing from the wanted size.
        """
        missing = self.pool.spec.wanted_size - self.available
        # A joining instance was not available before, so it uses no budget.
        joining = self.unavailable.get("joining", 0)
        lost = self.members - self.available - joining
        return max(missing, lost, 0)

    def count_remaining(self) -> int:
        """Counts the planned disruptions that the budget still allows.

        Returns:
            The number; negative if failures exceed the budget.
        """
        return self.pool.spec.max_unavailable - self.count_used()


def _classify_unavailable(
    view: records.FleetView, instance: records.Instance
) -> str:
    """Returns the category of unavailability; empty if it is available."""
    if records.is_available(view, instance):
        return ""
    if instance.state is resources.InstanceState.SERVING:
        return resources.InstanceState.IN_DOUBT.value
    is_empty = instance.state is resources.InstanceState.EMPTY
    if is_empty and not instance.wave:
        return "joining"
    return instance.state.value


def compute_budget(
    view: records.FleetView,
    pool: records.Pool,
    members: Iterable[records.Instance],
) -> PoolBudget:
    """Computes the budget of a pool from its members.

    Args:
        view: Gives the time and the latest reports.
        pool: The pool whose budget is computed.
        members: All instances in the pool.

    Returns:
        The budget with its current use.
    """
    total = 0
    unavailable: Counter[str] = Counter()
    racks: Counter[str] = Counter()
    data_centres: Counter[str] = Counter()
    domains: set[str] = set()
    for member in members:
        total += 1
        domains.update((member.spec.rack, member.spec.data_centre))
        category = _classify_unavailable(view, member)
        if category:
            unavailable[category] += 1
            continue
        racks[member.spec.rack] += 1
        data_centres[member.spec.data_centre] += 1
    available = total - sum(unavailable.values())
    return PoolBudget(
        pool,
        total,
        available,
        dict(unavailable),
        racks,
        data_centres,
        frozenset(domains),
    )


def group_members(
    instances: Iterable[records.Instance],
) -> dict[str, list[records.Instance]]:
    """Groups instances by pool.

    Args:
        instances: Instances of all pools.

    Returns:
        Members by pool, sorted by name; the key "" holds instances that are
        in no pool.
    """
    groups: dict[str, list[records.Instance]] = {}
    for instance in sorted(instances, key=lambda item: item.name):
        groups.setdefault(instance.spec.pool, []).append(instance)
    return groups


def count_after_loss(domains: Counter[str], losses: int) -> int:
    """Counts the available instances left if the largest domains fail.

    Args:
        domains: Numbers of available instances by failure domain.
        losses: Number of domains that fail at once.

    Returns:
        The number of instances outside these domains.
    """
    largest = sum(count for _, count in domains.most_common(losses))
    return domains.total() - largest


def _tolerates_loss(
    domains: Counter[str], domain: str, losses: int, min_left: int
) -> bool:
    """Returns whether enough instances survive if one more is unavailable."""
    if losses == 0:
        return True
    left_before = count_after_loss(domains, losses)
    after = domains.copy()
    after[domain] -= 1
    left = count_after_loss(after, losses)
    # Draining an instance of the largest domain does not make the worst case
    # worse, so it is allowed even in a pool too small for min_after_loss.
    return left >= min_left or left == left_before


def find_blocking_reason(
    budget: PoolBudget,
    instance: records.Instance,
    suspect_domains: frozenset[str],
) -> str:
    """Explains why a planned disruption of an instance must wait.

    Args:
        budget: The pool's budget, with all disruptions started so far.
        instance: The available instance that would become unavailable.
        suspect_domains: Racks and data centres that look lost as a whole.

    Returns:
        The reason; empty if the disruption may start.
    """
    spec = budget.pool.spec
    if budget.count_remaining() < 1:
        used = budget.count_used()
        return f"the budget is used: {used} of {spec.max_unavailable}"
    affected = suspect_domains & budget.domains
    if affected:
        return f"failures are spreading in {min(affected)}"
    min_left = spec.min_after_loss
    rack = instance.spec.rack
    if not _tolerates_loss(budget.racks, rack, spec.survive_racks, min_left):
        return f"losing {spec.survive_racks} racks would leave too few"
    data_centre = instance.spec.data_centre
    if not _tolerates_loss(
        budget.data_centres, data_centre, spec.survive_data_centres, min_left
    ):
        count = spec.survive_data_centres
        return f"losing {count} data centres would leave too few"
    return ""


def reserve(budget: PoolBudget, instance: records.Instance) -> PoolBudget:
    """Counts an available instance as draining.

    Args:
        budget: The pool's budget before the disruption.
        instance: The instance that a planned disruption makes unavailable.

    Returns:
        The budget with the instance counted as unavailable.
    """
    racks = budget.racks.copy()
    racks[instance.spec.rack] -= 1
    data_centres = budget.data_centres.copy()
    data_centres[instance.spec.data_centre] -= 1
    unavailable = dict(budget.unavailable)
    draining = resources.InstanceState.DRAINING.value
    unavailable[draining] = unavailable.get(draining, 0) + 1
    return dataclasses.replace(
        budget,
        available=budget.available - 1,
        unavailable=unavailable,
        racks=+racks,
        data_centres=+data_centres,
    )
