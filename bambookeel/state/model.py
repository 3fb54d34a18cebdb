"""The replicated state, and the encoding of its changes for followers.

The state is one immutable record over persistent maps: the cost of a change
does not grow with the number of resources, and a reader may keep an old state
for any length of time. Applying a command returns a new state and the list of
changed resources, which followers receive and apply in the same order.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any

import msgspec
import pyrsistent

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import commands

ResourceKey = tuple[resources.Kind, str]


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """All replicated resources.

    Mappings of any type are accepted and converted to persistent maps. Their
    iteration order differs between processes, so code whose result depends on
    the order must sort.

    Attributes:
        version: Log index of the last command applied.
        by_key: Resources by kind and name.
        outcomes: Outcomes of recent commands by command id.
        outcome_order: Ids of these commands, oldest first; derived from the
            outcomes' versions unless given.
    """

    version: ids.StateVersion = ids.StateVersion(0)
    by_key: Mapping[ResourceKey, resources.Resource] = pyrsistent.pmap()
    outcomes: Mapping[ids.CommandId, commands.CommandOutcome] = (
        pyrsistent.pmap()
    )
    outcome_order: pyrsistent.PDeque = pyrsistent.pdeque()

    def __post_init__(self) -> None:
        """Converts plain mappings to persistent maps."""
        if not isinstance(self.by_key, pyrsistent.PMap):
            object.__setattr__(self, "by_key", pyrsistent.pmap(self.by_key))
        if not isinstance(self.outcomes, pyrsistent.PMap):
            object.__setattr__(self, "outcomes", pyrsistent.pmap(self.outcomes))
        if len(self.outcome_order) == len(self.outcomes):
            return
        # Each command has a version of its own, so this order is total.
        ordered = sorted(
            self.outcomes, key=lambda item: self.outcomes[item].version
        )
        object.__setattr__(self, "outcome_order", pyrsistent.pdeque(ordered))


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResource:
    """A resource as it is sent to followers and stored in snapshots.

    Attributes:
        kind: Kind of the resource.
        name: Name of the resource.
        version: State version of its last change.
        spec_version: State version of the last change of its spec.
        spec: The spec as plain data; None if the resource was deleted.
        status: Its status; empty if the resource was deleted.
    """

    kind: resources.Kind
    name: str
    version: ids.StateVersion
    spec_version: ids.StateVersion
    spec: dict[str, Any] | None
    status: resources.Status


def to_stored(resource: resources.Resource) -> StoredResource:
    """Converts a resource to its form for followers and snapshots.

    Args:
        resource: A resource of the state.

    Returns:
        The stored form, with the spec as plain data.
    """
    return StoredResource(
        kind=resource.kind,
        name=resource.name,
        version=resource.version,
        spec_version=resource.spec_version,
        spec=msgspec.to_builtins(resource.spec),
        status=resource.status,
    )


def to_stored_deletion(
    key: ResourceKey, version: ids.StateVersion
) -> StoredResource:
    """Builds the record that tells followers of a deletion.

    Args:
        key: Kind and name of the deleted resource.
        version: State version of the delete.

    Returns:
        A stored form with a spec of None.
    """
    return StoredResource(
        kind=key[0],
        name=key[1],
        version=version,
        spec_version=version,
        spec=None,
        status=resources.Status(),
    )


def from_stored(stored: StoredResource) -> resources.Resource:
    """Converts a stored form back to a resource.

    Args:
        stored: The stored form of a resource that was not deleted.

    Returns:
        The resource, with the spec as the type of its kind.
    """
    spec_type = resources.SPEC_TYPES[stored.kind]
    return resources.Resource(
        kind=stored.kind,
        name=stored.name,
        version=stored.version,
        spec_version=stored.spec_version,
        spec=msgspec.convert(stored.spec, spec_type),
        status=stored.status,
    )


def encode_changes(changed: tuple[StoredResource, ...]) -> bytes:
    """Encodes the resources that one command changed.

    Args:
        changed: Stored forms of the resources.

    Returns:
        JSON bytes, the payload of `messages.StateChange`.
    """
    return msgspec.json.encode(changed)


def decode_changes(payload: bytes) -> tuple[StoredResource, ...]:
    """Decodes the resources that one command changed.

    Args:
        payload: The result of `encode_changes`.

    Returns:
        Stored forms of the resources.
    """
    return msgspec.json.decode(payload, type=tuple[StoredResource, ...])
