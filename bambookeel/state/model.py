"""The replicated state and what changed in it.

The state is one immutable record over persistent maps, so that a change costs
the same however many resources there are, and a reader may keep an old state
for as long as it likes. Applying a command gives a new state and the list of
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

    Any mapping may be given; it is kept as a persistent map. The order of
    iteration differs between processes, so decisions must sort.

    Attributes:
        version: Log index of the last command applied.
        by_key: Resources by kind and name.
        outcomes: Outcomes of recent commands by id.
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
        """Turns plain mappings into persistent ones."""
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
    """A resource as followers and snapshots receive it.

    Attributes:
        kind: The kind.
        name: The name.
        version: State version of its last change.
        spec_version: State version of the last change of its spec.
        spec: The spec as plain data; None once deleted.
        status: The status.
    """

    kind: resources.Kind
    name: str
    version: ids.StateVersion
    spec_version: ids.StateVersion
    spec: dict[str, Any] | None
    status: resources.Status


def to_stored(resource: resources.Resource) -> StoredResource:
    """Converts a resource for followers and snapshots.

    Args:
        resource: The resource.

    Returns:
        Its stored form.
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
    """Tells followers that a resource is deleted.

    Args:
        key: Its kind and name.
        version: State version of the delete.

    Returns:
        A stored form without a spec.
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
    """Undoes `to_stored`.

    Args:
        stored: The stored form of a resource that is not deleted.

    Returns:
        The resource.
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
        changed: Their stored forms.

    Returns:
        JSON bytes, the payload of `messages.StateChange`.
    """
    return msgspec.json.encode(changed)


def decode_changes(payload: bytes) -> tuple[StoredResource, ...]:
    """Decodes what `encode_changes` gave.

    Args:
        payload: JSON bytes.

    Returns:
        The stored resources.
    """
    return msgspec.json.decode(payload, type=tuple[StoredResource, ...])
