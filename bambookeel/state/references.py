"""References between resources, and the faults of broken ones.

A key speaks for a team or an operator, a service runs in a pool, a job belongs
to a team and a pool. A change is refused when it would leave a reference to a
resource that does not exist, whether by naming one or by deleting one.
"""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model

# Referring resources that a refused delete names.
_MAX_NAMED = 5
_REFERRED_KINDS = frozenset(
    (resources.Kind.TEAM, resources.Kind.OPERATOR, resources.Kind.POOL)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Reference:
    """One field of a spec that names another resource.

    Attributes:
        place: The field.
        kind: Kind of the resource that it names.
        name: Name of that resource.
    """

    place: str
    kind: resources.Kind
    name: str


def list_references(spec: resources.Spec) -> tuple[Reference, ...]:
    """Lists what a spec refers to.

    Args:
        spec: Any spec.

    Returns:
        Its references; empty fields refer to nothing.
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
        spec: The spec.
        by_key: All resources after the change.
        refused: Resources whose own change has faults, told there.
        place: Path of the change.

    Returns:
        A fault for each.
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
    """Finds resources that refer to deleted ones.

    Args:
        deleted: Paths of the deletes by the resource that they delete.
        by_key: All resources after the change.

    Returns:
        A fault for each delete that must be refused.
    """
    watched = {key for key in deleted if key[0] in _REFERRED_KINDS}
    if not watched:
        return []
    referring: dict[model.ResourceKey, list[str]] = {}
    for resource in by_key.values():
        for reference in list_references(resource.spec):
            target = (reference.kind, reference.name)
            if target not in watched:
                continue
            text = f"{resource.kind.value}/{resource.name}"
            referring.setdefault(target, []).append(text)
    found = []
    for target in sorted(referring, key=lambda key: deleted[key]):
        # Sorted, since replicas iterate over the state in different orders.
        names = sorted(referring[target])
        shown = ", ".join(names[:_MAX_NAMED])
        more = len(names) - _MAX_NAMED
        rest = f" and {more} more" if more > 0 else ""
        message = (
            f"{target[0].value} {target[1]!r} is referred to by {shown}{rest};"
            " delete or change these first, or in the same bundle"
        )
        found.append(commands.CommandFault(deleted[target], message))
    return found
