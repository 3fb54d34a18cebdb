"""The availability account of each pool.

Everything that is not available counts against the pool's budget: failed, in
doubt, draining, rebooting, quarantined, or simply missing from its wanted size.
A planned act may start only while the account has room for it and while the
pool would still survive the loss of the failure domains that it promises to
survive. Failures take from the account without asking.
"""

from collections import Counter
from collections.abc import Iterable
import dataclasses

from bambookeel.core import resources
from bambookeel.fleet import records


@dataclasses.dataclass(frozen=True, slots=True)
class PoolBudget:
    """What a pool has and what it may still give up.

    Attributes:
        pool: The pool.
        members: Instances whose pool it is.
        available: Those that serve, proved by a fresh report.
        unavailable: Numbers of the others by state.
        racks: Available instances by rack.
        data_centres: Available instances by data centre.
        places: Racks and data centres of all members.
    """

    pool: records.Pool
    members: int
    available: int
    unavailable: dict[str, int]
    racks: Counter[str]
    data_centres: Counter[str]
    domains: frozenset[str]

    def count_used(self) -> int:
        """Counts what is taken from the budget.

        Returns:
            The larger of the instances that are unavailable and of those
            missing from the wanted size.
        """
        missing = self.pool.spec.wanted_size - self.available
        # One that is joining was not available before, so it takes nothing.
        joining = self.unavailable.get("joining", 0)
        lost = self.members - self.available - joining
        return max(missing, lost, 0)

    def count_remaining(self) -> int:
        """Counts planned acts that the budget allows now.

        Returns:
            The number; negative when failures exceed the budget.
        """
        return self.pool.spec.max_unavailable - self.count_used()


def _classify_unavailable(
    view: records.FleetView, instance: records.Instance
) -> str:
    """Names why an instance is unavailable; empty when it is available."""
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
    """Draws up the account of a pool.

    Args:
        view: The view.
        pool: The pool.
        members: The instances whose pool it is.

    Returns:
        The account.
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
        instances: All instances.

    Returns:
        Members by pool in name order; those between pools under "".
    """
    groups: dict[str, list[records.Instance]] = {}
    for instance in sorted(instances, key=lambda item: item.name):
        groups.setdefault(instance.spec.pool, []).append(instance)
    return groups


def count_after_loss(domains: Counter[str], losses: int) -> int:
    """Counts instances left after the largest domains are lost.

    Args:
        domains: Available instances by domain.
        losses: Domains that are lost at once.

    Returns:
        The number left.
    """
    largest = sum(count for _, count in domains.most_common(losses))
    return domains.total() - largest


def _tolerates_loss(
    domains: Counter[str], domain: str, losses: int, min_left: int
) -> bool:
    """Tells whether the promise holds after one instance is taken away."""
    if losses == 0:
        return True
    left_before = count_after_loss(domains, losses)
    after = domains.copy()
    after[domain] -= 1
    left = count_after_loss(after, losses)
    # Taking from the domain whose loss is the worst case changes nothing, and
    # must stay possible in a pool that is too small for its promise.
    return left >= min_left or left == left_before


def find_blocking_reason(
    budget: PoolBudget,
    instance: records.Instance,
    suspect_domains: frozenset[str],
) -> str:
    """Tells why a planned act on an available instance must wait.

    Args:
        account: The pool's account, with all acts that were started.
        instance: The instance that would become unavailable.
        suspects: Racks and data centres that look lost as a whole.

    Returns:
        The reason; empty when the act may start.
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
    """Takes an available instance out of the account.

    Args:
        account: The account.
        instance: The instance that a planned act makes unavailable.

    Returns:
        The new account.
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
