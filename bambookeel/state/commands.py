"""Commands on the replicated state, and their encoding in the log.

A command is a list of changes that take effect wholly or not at all. Its id
makes it idempotent: an id that is applied again gives its first outcome. Bytes
in the log are JSON of these data classes.
"""

import dataclasses
import enum
from typing import Any

import msgspec

from bambookeel.core import ids
from bambookeel.core import resources

# Expected versions with a special meaning in compare-and-set.
ANY_VERSION = ids.StateVersion(-1)
MUST_NOT_EXIST = ids.StateVersion(0)
# Actors with this prefix are operators; others are parts of the system.
OPERATOR_PREFIX = "operator:"


@dataclasses.dataclass(frozen=True, slots=True)
class PutSpec:
    """Creates a resource or replaces its spec.

    Attributes:
        kind: The resource's kind.
        name: Its name.
        expected_version: The version that it must have now; `ANY_VERSION` and
            `MUST_NOT_EXIST` are special.
        spec: The new spec as plain data.
    """

    kind: resources.Kind
    name: str
    expected_version: ids.StateVersion
    spec: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class PutStatus:
    """Replaces a resource's status; the system's own change.

    Attributes:
        kind: The resource's kind.
        name: Its name.
        expected_version: The version that it must have now.
        status: The new status.
    """

    kind: resources.Kind
    name: str
    expected_version: ids.StateVersion
    status: resources.Status


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a resource.

    Attributes:
        kind: The resource's kind.
        name: Its name.
        expected_version: The version that it must have now.
    """

    kind: resources.Kind
    name: str
    expected_version: ids.StateVersion


Change = PutSpec | PutStatus | Delete


@dataclasses.dataclass(frozen=True, slots=True)
class TaggedChange:
    """One change, with exactly one field set, as the log stores it."""

    put_spec: PutSpec | None = None
    put_status: PutStatus | None = None
    delete: Delete | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Changes that take effect together.

    Attributes:
        command_id: Idempotent id, chosen by whoever sends the command.
        actor: Who sends it: an operator's name after `OPERATOR_PREFIX`, or a
            part of the system.
        changes: The changes, in order.
    """

    command_id: ids.CommandId
    actor: str
    changes: tuple[TaggedChange, ...]


class OutcomeCode(enum.Enum):
    """What became of a command."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not-found"


@dataclasses.dataclass(frozen=True, slots=True)
class CommandFault:
    """Why a command was refused.

    Attributes:
        place: The change and field, such as `changes[0].spec.upper_limit`.
        message: The value found and what would be accepted.
    """

    place: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommandOutcome:
    """The outcome of a command, kept for repeats of its id.

    Attributes:
        code: What became of it.
        version: The state version after it, or that holds on a conflict.
        faults: Reasons of a refusal.
        current: On a conflict the resource that holds, as plain data.
    """

    code: OutcomeCode
    version: ids.StateVersion
    faults: tuple[CommandFault, ...] = ()
    current: dict[str, Any] | None = None


def wrap_change(change: Change) -> TaggedChange:
    """Tags a change for the log.

    Args:
        change: Any of the changes.

    Returns:
        The tagged change.
    """
    match change:
        case PutSpec():
            return TaggedChange(put_spec=change)
        case PutStatus():
            return TaggedChange(put_status=change)
        case Delete():
            return TaggedChange(delete=change)


def unwrap_change(tagged: TaggedChange) -> Change:
    """Undoes `wrap_change`.

    Args:
        tagged: The tagged change.

    Returns:
        The change.

    Raises:
        ValueError: If no field is set.
    """
    for change in (tagged.put_spec, tagged.put_status, tagged.delete):
        if change is not None:
            return change
    raise ValueError("a change needs one of put_spec, put_status and delete")


def encode_command(command: Command) -> bytes:
    """Encodes a command for the log.

    Args:
        command: The command.

    Returns:
        JSON bytes.
    """
    return msgspec.json.encode(command)


def decode_command(payload: bytes) -> Command:
    """Decodes a command from the log.

    Args:
        payload: What `encode_command` gave.

    Returns:
        The command.
    """
    return msgspec.json.decode(payload, type=Command)


def encode_outcome(outcome: CommandOutcome) -> bytes:
    """Encodes an outcome for a reply.

    Args:
        outcome: The outcome.

    Returns:
        JSON bytes.
    """
    return msgspec.json.encode(outcome)


def decode_outcome(payload: bytes) -> CommandOutcome:
    """Decodes an outcome.

    Args:
        payload: What `encode_outcome` gave.

    Returns:
        The outcome.
    """
    return msgspec.json.decode(payload, type=CommandOutcome)
