"""Renders resources and outcomes as documents for operators.

Salts and hashes of keys are left out; all other fields are rendered as stored.
"""

import typing

import msgspec

from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model

_WHOLE_RESOURCE = "resource"
_HIDDEN_FIELDS = ("salt_hex", "hash_hex")


def _hide_secrets(document: dict[str, typing.Any]) -> dict[str, typing.Any]:
    spec = document.get("spec")
    if document.get("kind") != resources.Kind.KEY.value or not spec:
        return document
    shown = {k: v for k, v in spec.items() if k not in _HIDDEN_FIELDS}
    return {**document, "spec": shown}


def render_stored(stored: model.StoredResource) -> dict[str, typing.Any]:
    """Renders a stored resource.

    Args:
        stored: The resource; without a spec if it was deleted.

    Returns:
        The document as plain data.
    """
    if stored.spec is None:
        return {
            "kind": stored.kind.value,
            "name": stored.name,
            "version": stored.version,
            "deleted": True,
        }
    return _hide_secrets(msgspec.to_builtins(stored))


def render_resource(resource: resources.Resource) -> dict[str, typing.Any]:
    """Renders a resource.

    Args:
        resource: The resource to render.

    Returns:
        The document as plain data.
    """
    return render_stored(model.to_stored(resource))


def render_outcome(
    outcome: commands.CommandOutcome, is_bundle: bool
) -> dict[str, typing.Any]:
    """Renders the outcome of a command.

    Args:
        outcome: The outcome to render.
        is_bundle: Whether the request was a bundle; the places of faults then
            keep the index of the resource.

    Returns:
        The document as plain data.
    """
    document = msgspec.to_builtins(outcome)
    if outcome.current is not None:
        document["current"] = _hide_secrets(outcome.current)
    for fault in document["faults"]:
        place = fault["place"]
        if is_bundle:
            fault["place"] = place.replace("changes[", "resources[", 1)
            continue
        _, _, rest = place.partition(".")
        is_field = place.startswith("changes[0].")
        fault["place"] = rest if is_field else _WHOLE_RESOURCE
    return document
