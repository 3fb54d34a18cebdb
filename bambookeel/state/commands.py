"""Commands on the replicated state, and their encoding in the log.

A command is a list of changes that is applied atomically. Its id makes it
idempotent: a second command with the same id returns the outcome of the first.
The log stores these data classes as JSON.
"""

import dataclasses
import enum
from typing import Any

import msgspec

from bambookeel.core import ids
from bambookeel.core import resources

# Special values of an expected version in a compare-and-set.
ANY_VERSION = ids.StateVersion(-1)
MUST_NOT_EXIST = ids.StateVersion(0)
# Prefix of actors that are operators; other actors are system components.
OPERATOR_PREFIX = "operator:"


@dataclasses.dataclass(frozen=True, slots=True)
class PutSpec:
    """Creates a resource or replaces its spec.

    Attributes:
        kind: The resource's kind.
        name: The resource's name.
        expected_version: The version that the resource must have, or
            `ANY_VERSION` or `MUST_NOT_EXIST`.
        spec: The new spec as plain data.
    """

    kind: resources.Kind
    name: str
    expected_version: ids.StateVersion
    spec: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class PutStatus:
    """Replaces a resource's status; only system components may send it.

    Attributes:
        kind: The resource's kind.
        name: The resource's name.
        expected_version: The version that the resource must have, or
            `ANY_VERSION`.
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
        name: The resource's name.
        expected_version: The version that the resource must have, or
            `ANY_VERSION`.
    """

    kind: resources.Kind
    name: str
    expected_version: ids.StateVersion


Change = PutSpec | PutStatus | Delete


@dataclasses.dataclass(frozen=True, slots=True)
class TaggedChange:
    """One change as the log stores it; exactly one field is set."""

    put_spec: PutSpec | None = None
    put_status: PutStatus | None = None
    delete: Delete | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Changes that are applied atomically.

    Attributes:
        command_id: Idempotency id chosen by the sender.
        actor: The sender: `OPERATOR_PREFIX` and an operator's name, or the
            name of a system component.
        changes: The changes, in order.
    """

    command_id: ids.CommandId
    actor: str
    changes: tuple[TaggedChange, ...]


class OutcomeCode(enum.Enum):
    """Result class of a command."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"
    NOT_FOUND = "not-found"


@dataclasses.dataclass(frozen=True, slots=True)
class CommandFault:
    """One reason why a command was refused.

    Attributes:
        place: Path of the faulty field, such as `changes[0].spec.upper_limit`.
        message: The value found and the values that are accepted.
    """

    place: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommandOutcome:
    """The outcome of a command, stored for retries with the same id.

    Attributes:
        code: Whether the command was applied, or why it was refused.
        version: State version after the command, also after a refused one.
        faults: All reasons for a refusal.
        current: On a conflict the current resource, as plain data.
    """

    code: OutcomeCode
    version: ids.StateVersion
    faults: tuple[CommandFault, ...] = ()
    current: dict[str, Any] | None = None


def wrap_change(change: Change) -> TaggedChange:
    """Wraps a change in the form that the log stores.

    Args:
        change: A change of any type.

    Returns:
        A `TaggedChange` with the field of the change's type set.
    """
    match change:
        case PutSpec():
            return TaggedChange(put_spec=change)
        case PutStatus():
            return TaggedChange(put_status=change)
        case Delete():
            return TaggedChange(delete=change)


def unwrap_change(tagged: TaggedChange) -> Change:
    """Returns the change that `wrap_change` wrapped.

    Args:
        tagged: A change from the log.

    Returns:
        The change in the one field that is set.

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
        command: The command to append.

    Returns:
        JSON bytes.
    """
    return msgspec.json.encode(command)


def decode_command(payload: bytes) -> Command:
    """Decodes a command from the log.

    Args:
        payload: The result of `encode_command`.

    Returns:
        An equal command.
    """
    return msgspec.json.decode(payload, type=Command)


def encode_outcome(outcome: CommandOutcome) -> bytes:
    """Encodes an outcome for a reply.

    Args:
        outcome: The outcome to send.

    Returns:
        JSON bytes.
    """
    return msgspec.json.encode(outcome)


def decode_outcome(payload: bytes) -> CommandOutcome:
    """Decodes an outcome from a reply.

    Args:
        payload: The result of `encode_outcome`.

    Returns:
        An equal outcome.
    """
    return msgspec.json.decode(payload, type=CommandOutcome)
