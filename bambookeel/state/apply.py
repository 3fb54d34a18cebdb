"""Applies one committed command to the state.

A pure step that every control replica runs in log order: it takes the state and
a command and gives the new state, the command's outcome and the resources that
changed. A refused command leaves all resources as they are.
"""

import dataclasses

import msgspec
from returns import result

from bambookeel.core import checking
from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model

# Outcomes that are remembered for repeats of a command's id.
MAX_OUTCOMES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The result of one step.

    Attributes:
        state: The state after the command.
        outcome: The command's outcome.
        changed: Changed resources, deleted ones with a spec of None.
    """

    state: model.State
    outcome: commands.CommandOutcome
    changed: tuple[model.StoredResource, ...]


def _check_version(
    current: resources.Resource | None,
    expected: ids.StateVersion,
    place: str,
) -> commands.CommandFault | None:
    """Compares a change's expected version with what holds.

    Args:
        current: The resource that holds, if any.
        expected: The expected version.
        place: Path of the change.

    Returns:
        A fault when they differ.
    """
    if expected == commands.ANY_VERSION:
        return None
    held = current.version if current else commands.MUST_NOT_EXIST
    if held == expected:
        return None
    message = f"expected version {expected}, but version {held} holds"
    return commands.CommandFault(f"{place}.expected_version", message)


def _change_resource(
    current: resources.Resource | None,
    change: commands.Change,
    version: ids.StateVersion,
    place: str,
) -> tuple[resources.Resource | None, tuple[commands.CommandFault, ...]]:
    """Applies one change to one resource.

    Args:
        current: The resource that holds, if any.
        change: The change.
        version: The state version of the command.
        place: Path of the change.

    Returns:
        The new resource, or None when deleted; and the faults.
    """
    match change:
        case commands.PutSpec(kind, name, _, spec):
            match checking.check_record(spec, resources.SPEC_TYPES[kind]):
                case result.Success(checked):
                    status = current.status if current else resources.Status()
                    changed = resources.Resource(
                        kind, name, version, version, checked, status
                    )
                    return changed, ()
                case result.Failure(found):
                    return None, tuple(
                        commands.CommandFault(
                            f"{place}.spec.{fault.place}", fault.message
                        )
                        for fault in found
                    )
        case commands.PutStatus(_, _, _, status) if current is not None:
            changed = dataclasses.replace(
                current, version=version, status=status
            )
            return changed, ()
        case commands.Delete() if current is not None:
            return None, ()
    message = "the resource does not exist"
    return None, (commands.CommandFault(place, message),)


def _store_deleted(
    change: commands.Change, version: ids.StateVersion
) -> model.StoredResource:
    return model.StoredResource(
        kind=change.kind,
        name=change.name,
        version=version,
        spec_version=version,
        spec=None,
        status=resources.Status(),
    )


def _remember(
    state: model.State,
    version: ids.StateVersion,
    command_id: ids.CommandId,
    outcome: commands.CommandOutcome,
) -> model.State:
    """Records a command's outcome.

    Args:
        state: The state.
        version: The state version of the command.
        command_id: The command's id.
        outcome: Its outcome.

    Returns:
        The state with the outcome, the oldest dropped when there are many.
    """
    remembered = dict(state.outcomes)
    remembered[command_id] = outcome
    while len(remembered) > MAX_OUTCOMES:
        del remembered[next(iter(remembered))]
    return dataclasses.replace(state, version=version, outcomes=remembered)


def apply_command(
    state: model.State, version: ids.StateVersion, command: commands.Command
) -> Applied:
    """Applies one command.

    Args:
        state: The state before it.
        version: Its log index, larger than `state.version`.
        command: The command.

    Returns:
        The new state, the outcome and the changed resources.
    """
    first_outcome = state.outcomes.get(command.command_id)
    if first_outcome is not None:
        state = dataclasses.replace(state, version=version)
        return Applied(state, first_outcome, ())
    changed_resources = dict(state.by_key)
    changed: list[model.StoredResource] = []
    for i, tagged in enumerate(command.changes):
        change = commands.unwrap_change(tagged)
        place = f"changes[{i}]"
        key = (change.kind, change.name)
        current = changed_resources.get(key)
        conflict = _check_version(current, change.expected_version, place)
        if conflict is not None:
            held = None
            if current is not None:
                held = msgspec.to_builtins(model.store_resource(current))
            outcome = commands.CommandOutcome(
                commands.OutcomeCode.CONFLICT, version, (conflict,), held
            )
            state = _remember(state, version, command.command_id, outcome)
            return Applied(state, outcome, ())
        resource, found = _change_resource(current, change, version, place)
        if found:
            outcome = commands.CommandOutcome(
                commands.OutcomeCode.INVALID, version, found
            )
            state = _remember(state, version, command.command_id, outcome)
            return Applied(state, outcome, ())
        if resource is None:
            changed_resources.pop(key, None)
            changed.append(_store_deleted(change, version))
            continue
        changed_resources[key] = resource
        changed.append(model.store_resource(resource))
    outcome = commands.CommandOutcome(commands.OutcomeCode.APPLIED, version)
    state = dataclasses.replace(state, by_key=changed_resources)
    state = _remember(state, version, command.command_id, outcome)
    return Applied(state, outcome, tuple(changed))
