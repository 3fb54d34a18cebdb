"""Referential integrity between resources.

A key refers to a team or an operator, a service or an instance to a pool, a
wave to pools, and a job to a team and a pool. A command is refused if it would
leave a reference to a resource that does not exist, because the resource was
never created or because the command deletes it.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model

# Referring resources listed in the fault of a refused delete.
_MAX_LISTED = 5
_REFERENCED_KINDS = frozenset(
    (resources.Kind.TEAM, resources.Kind.OPERATOR, resources.Kind.POOL)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """A reference from a field of a spec to another resource.

    Attributes:
        place: Path of the field within the spec.
        kind: Kind of the referenced resource.
        name: Name of the referenced resource.
    """

    place: str
    kind: resources.Kind
    name: str


def list_references(spec: resources.Spec) -> tuple[Reference, ...]:
    """Lists the references of a spec.

    Args:
        spec: A spec of any kind.

    Returns:
        The references; empty fields are left out.
    """
    kind = resources.Kind
    match spec:
        case resources.KeySpec(team=team, operator=operator):
            found = [
                Reference("team", kind.TEAM, team),
                Reference("operator", kind.OPERATOR, operator),
            ]
        case resources.ServiceSpec(pool=pool) | resources.InstanceSpec(
            pool=pool
        ):
            found = [Reference("pool", kind.POOL, pool)]
        case resources.WaveSpec(pools=pools):
            found = [
                Reference(f"pools[{i}]", kind.POOL, pool)
                for i, pool in enumerate(pools)
            ]
        case resources.JobSpec(team=team, pool=pool):
            found = [
                Reference("team", kind.TEAM, team),
                Reference("pool", kind.POOL, pool),
            ]
        case _:
            found = []
    return tuple(reference for reference in found if reference.name)


def find_missing(
    spec: resources.Spec,
    by_key: Mapping[model.ResourceKey, resources.Resource],
    refused: Set[model.ResourceKey],
    place: str,
) -> list[commands.CommandFault]:
    """Finds references of a spec to resources that do not exist.

    Args:
        spec: The new spec of a resource.
        by_key: All resources after the command.
        refused: Resources whose own change has faults; references to them are
            not reported again.
        place: Path of the change that puts the spec.

    Returns:
        One fault for each such reference.
    """
    found = []
    for reference in list_references(spec):
        target = (reference.kind, reference.name)
        if target in by_key or target in refused:
            continue
        found.append(
            commands.CommandFault(
                f"{place}.spec.{reference.place}",
                f"{reference.kind.value} {reference.name!r} does not exist"
                f" (accepted: the name of a {reference.kind.value} that holds"
                " or is in the same bundle)",
            )
        )
    return found


def find_dangling(
    deleted: Mapping[model.ResourceKey, str],
    by_key: Mapping[model.ResourceKey, resources.Resource],
) -> list[commands.CommandFault]:
    """Finds deletes of resources that other resources still refer to.

    Args:
        deleted: Paths of the deletes, by deleted resource.
        by_key: All resources after the command.

    Returns:
        One fault for each delete that must be refused.
    """
    referenced = {key for key in deleted if key[0] in _REFERENCED_KINDS}
    if not referenced:
        return []
    referring: dict[model.ResourceKey, list[str]] = {}
    for resource in by_key.values():
        for reference in list_references(resource.spec):
            target = (reference.kind, reference.name)
            if target not in referenced:
                continue
            text = f"{resource.kind.value}/{resource.name}"
            referring.setdefault(target, []).append(text)
    found = []
    for target in sorted(referring, key=lambda key: deleted[key]):
        # Sorted, since replicas iterate over the state in different orders.
        names = sorted(referring[target])
        shown = ", ".join(names[:_MAX_LISTED])
        more = len(names) - _MAX_LISTED
        rest = f" and {more} more" if more > 0 else ""
        message = (
            f"{target[0].value} {target[1]!r} is referred to by {shown}{rest};"
            " delete or change these first, or in the same bundle"
        )
        found.append(commands.CommandFault(deleted[target], message))
    return found
