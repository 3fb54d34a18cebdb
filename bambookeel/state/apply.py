"""Applies one committed command to the state.

`apply_command` is a pure function that every control replica calls in log
order. It returns the new state, the command's outcome and the changed
resources. A refused command changes no resource. The first outcome of each
command id is stored, so that a retried command has no second effect.
"""

import dataclasses
import typing

import msgspec
import pyrsistent

from bambookeel.core import ids
from bambookeel.state import commands
from bambookeel.state import drafting
from bambookeel.state import model

# Number of stored outcomes; a retry whose outcome has been evicted is applied
# again.
MAX_OUTCOMES = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The result of applying one command.

    Attributes:
        state: The state after the command.
        outcome: The command's outcome.
        changed: Changed resources; a deleted one has a spec of None.
    """

    state: model.State
    outcome: commands.CommandOutcome
    changed: tuple[model.StoredResource, ...]


def _build_outcome(
    draft: drafting.Draft, version: ids.StateVersion
) -> commands.CommandOutcome:
    current = None
    if draft.conflicting is not None:
        stored = model.to_stored(draft.conflicting)
        current = msgspec.to_builtins(stored)
    return commands.CommandOutcome(draft.code, version, draft.faults, current)


def _record_outcome(
    state: model.State,
    version: ids.StateVersion,
    command_id: ids.CommandId,
    outcome: commands.CommandOutcome,
) -> model.State:
    """Stores a command's outcome.

    Args:
        state: The state after the command's changes.
        version: The command's log index.
        command_id: The command's idempotency id.
        outcome: The outcome to return for retries.

    Returns:
        The state with the outcome and without the oldest outcomes beyond
        `MAX_OUTCOMES`.
    """
    known = typing.cast(pyrsistent.PMap, state.outcomes)
    outcomes = known.set(command_id, outcome)
    order = state.outcome_order.append(command_id)
    while len(order) > MAX_OUTCOMES:
        outcomes = outcomes.discard(order.left)
        order = order.popleft()
    return dataclasses.replace(
        state, version=version, outcomes=outcomes, outcome_order=order
    )


def apply_command(
    state: model.State, version: ids.StateVersion, command: commands.Command
) -> Applied:
    """Applies one command.

    Args:
        state: The state before the command.
        version: The command's log index, larger than `state.version`.
        command: A committed command.

    Returns:
        The new state, the outcome and the changed resources.
    """
    first_outcome = state.outcomes.get(command.command_id)
    if first_outcome is not None:
        state = dataclasses.replace(state, version=version)
        return Applied(state, first_outcome, ())
    draft = drafting.draft_command(state, version, command)
    outcome = _build_outcome(draft, version)
    changed: tuple[model.StoredResource, ...] = ()
    if draft.code is commands.OutcomeCode.APPLIED:
        state = dataclasses.replace(state, by_key=draft.by_key)
        changed = draft.changed
    state = _record_outcome(state, version, command.command_id, outcome)
    return Applied(state, outcome, changed)


def dry_run_command(
    state: model.State, command: commands.Command
) -> commands.CommandOutcome:
    """Validates a command without applying it.

    Args:
        state: The current state.
        command: The command; its id is not looked up in earlier outcomes.

    Returns:
        The outcome that the command would have.
    """
    version = ids.StateVersion(state.version)
    draft = drafting.draft_command(state, version, command)
    return _build_outcome(draft, version)
