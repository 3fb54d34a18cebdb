"""Validation rules for a command and for each of its changes.

They go beyond the types of fields: who may change a resource, which names are
accepted, and which values can never be changed back. Each function returns the
faults that it finds. `state.references` checks references between resources.
"""

import re

from bambookeel.core import resources
from bambookeel.state import commands

# Limit on the changes in one command.
MAX_CHANGES = 2_000
MAX_CONFIGURATION_VALUES = 200
MAX_CONFIGURATION_CHARS = 4_096
_NAME = re.compile(resources.NAME_PATTERN)
# Kinds that only system components may change.
_SYSTEM_KINDS = frozenset((resources.Kind.DISPATCHER,))


def check_command(command: commands.Command) -> list[commands.CommandFault]:
    """Checks a command's id and number of changes.

    Args:
        command: The command to validate.

    Returns:
        The faults found.
    """
    found = []
    if not command.changes:
        message = "no changes (accepted: one or more)"
        found.append(commands.CommandFault("changes", message))
    if len(command.changes) > MAX_CHANGES:
        message = (
            f"{len(command.changes)} changes (accepted: at most {MAX_CHANGES})"
        )
        found.append(commands.CommandFault("changes", message))
    if not command.command_id:
        message = "empty (accepted: an id of the sender's choice)"
        found.append(commands.CommandFault("command_id", message))
    return found


def check_change(
    actor: str, change: commands.Change, place: str
) -> list[commands.CommandFault]:
    """Checks a resource's name and whether the actor may change it.

    Args:
        actor: The sender of the command, as in `commands.Command.actor`.
        change: The change to validate.
        place: Path of the change.

    Returns:
        The faults found.
    """
    found = []
    if not _NAME.match(change.name):
        message = (
            f"name {change.name[:80]!r} is malformed (accepted: 1 to 63 of"
            " a-z, 0-9 and -, not - at either end)"
        )
        found.append(commands.CommandFault(f"{place}.name", message))
    if not actor.startswith(commands.OPERATOR_PREFIX):
        return found
    if change.kind in _SYSTEM_KINDS:
        message = f"only the system changes resources of {change.kind.value!r}"
        found.append(commands.CommandFault(f"{place}.kind", message))
    if isinstance(change, commands.PutStatus):
        message = "only the system writes a status; change the spec"
        found.append(commands.CommandFault(f"{place}.status", message))
    return found


def check_spec(
    spec: resources.Spec, replaced: resources.Spec | None, place: str
) -> list[commands.CommandFault]:
    """Checks a spec by the rules of its kind.

    Args:
        spec: The new spec.
        replaced: The current spec, or None for a new resource.
        place: Path of the spec.

    Returns:
        The faults found.
    """
    match spec:
        case resources.KeySpec():
            old = replaced if isinstance(replaced, resources.KeySpec) else None
            return _check_key(spec, old, place)
        case resources.ConfigurationSpec(values=values):
            return _check_values(values, place)
        case resources.DispatcherSpec(epoch=epoch):
            if not isinstance(replaced, resources.DispatcherSpec):
                return []
            if epoch >= replaced.epoch:
                return []
            message = f"epoch {epoch} (accepted: {replaced.epoch} or more)"
            return [commands.CommandFault(f"{place}.epoch", message)]
    return []


def _check_key(
    spec: resources.KeySpec, old: resources.KeySpec | None, place: str
) -> list[commands.CommandFault]:
    """Checks that a key has one owner, and that no final value changes.

    Owner, secret and withdrawal of a key are final.

    Args:
        spec: The new spec.
        old: The current spec, or None for a new key.
        place: Path of the spec.

    Returns:
        The faults found.
    """
    found = []
    if bool(spec.team) == bool(spec.operator):
        message = (
            f"team {spec.team!r} and operator {spec.operator!r}"
            " (accepted: exactly one of the two)"
        )
        found.append(commands.CommandFault(place, message))
    if old is None:
        return found
    for field in ("team", "operator", "salt_hex", "hash_hex"):
        if getattr(spec, field) == getattr(old, field):
            continue
        message = "a key's owner and secret never change; create another key"
        found.append(commands.CommandFault(f"{place}.{field}", message))
    if old.withdrawn and not spec.withdrawn:
        message = "a withdrawn key stays withdrawn; create another key"
        found.append(commands.CommandFault(f"{place}.withdrawn", message))
    return found


def _check_values(
    values: dict[str, str], place: str
) -> list[commands.CommandFault]:
    found = []
    if len(values) > MAX_CONFIGURATION_VALUES:
        message = (
            f"{len(values)} values (accepted: {MAX_CONFIGURATION_VALUES} at"
            " most)"
        )
        found.append(commands.CommandFault(f"{place}.values", message))
    for name in sorted(values):
        length = len(name) + len(values[name])
        if name and length <= MAX_CONFIGURATION_CHARS:
            continue
        message = (
            f"name and value of {length} characters (accepted: a name and up"
            f" to {MAX_CONFIGURATION_CHARS} characters together)"
        )
        found.append(
            commands.CommandFault(f"{place}.values.{name[:40]}", message)
        )
    return found
