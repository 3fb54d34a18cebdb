"""Encodes the whole replicated state as JSON for snapshots.

Stored command outcomes are included, so that a command that is retried after a
snapshot still gets its first outcome.
"""

import dataclasses

import msgspec
import pyrsistent

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredState:
    version: ids.StateVersion
    resources: tuple[model.StoredResource, ...]
    # Pairs instead of a mapping: the order decides which outcome is evicted.
    outcomes: tuple[tuple[ids.CommandId, commands.CommandOutcome], ...]


def encode_state(state: model.State) -> bytes:
    """Encodes a state.

    Args:
        state: The state to write to a snapshot.

    Returns:
        JSON bytes; equal on all replicas that applied the same commands.
    """
    # Iteration order differs between replicas; their snapshots must not.
    keys = sorted(state.by_key, key=lambda key: (key[0].value, key[1]))
    stored = _StoredState(
        state.version,
        tuple(model.to_stored(state.by_key[key]) for key in keys),
        tuple((name, state.outcomes[name]) for name in state.outcome_order),
    )
    return msgspec.json.encode(stored)


def decode_state(payload: bytes) -> model.State:
    """Decodes a state.

    Args:
        payload: The result of `encode_state`.

    Returns:
        An equal state.
    """
    stored = msgspec.json.decode(payload, type=_StoredState)
    restored = [model.from_stored(item) for item in stored.resources]
    return model.State(
        stored.version,
        {(resource.kind, resource.name): resource for resource in restored},
        dict(stored.outcomes),
        pyrsistent.pdeque([name for name, _ in stored.outcomes]),
    )


def find_changes(
    before: model.State, after: model.State
) -> tuple[model.StoredResource, ...]:
    """Lists the differences when a snapshot has replaced the state.

    Args:
        before: The state that was replaced.
        after: The newer state, from the snapshot.

    Returns:
        Changed resources; a deleted one has a spec of None.
    """
    changed = []
    for key, resource in after.by_key.items():
        if before.by_key.get(key) != resource:
            changed.append(model.to_stored(resource))
    for kind, name in before.by_key:
        if (kind, name) in after.by_key:
            continue
        # The exact version of the deletion is unknown; the snapshot's version
        # is not below it.
        deleted = model.StoredResource(
            kind, name, after.version, after.version, None, resources.Status()
        )
        changed.append(deleted)
    return tuple(changed)
