"""Applies one committed command to the state.

A pure step that every control replica runs in log order: it takes the state and
a command and gives the new state, the command's outcome and the resources that
changed. A refused command leaves all resources as they are. The first outcome
of a command's id is kept, so that a repeat of the id changes nothing.
"""

import dataclasses
import typing

import msgspec
import pyrsistent

from bambookeel.core import ids
from bambookeel.state import commands
from bambookeel.state import drafting
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


def _build_outcome(
    draft: drafting.Draft, version: ids.StateVersion
) -> commands.CommandOutcome:
    current = None
    if draft.conflicting is not None:
        stored = model.to_stored(draft.conflicting)
        current = msgspec.to_builtins(stored)
    return commands.CommandOutcome(draft.code, version, draft.faults, current)


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
    held = typing.cast(pyrsistent.PMap, state.outcomes)
    remembered = held.set(command_id, outcome)
    order = state.outcome_order.append(command_id)
    while len(order) > MAX_OUTCOMES:
        remembered = remembered.discard(order.left)
        order = order.popleft()
    return dataclasses.replace(
        state, version=version, outcomes=remembered, outcome_order=order
    )


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
    draft = drafting.draft_command(state, version, command)
    outcome = _build_outcome(draft, version)
    changed: tuple[model.StoredResource, ...] = ()
    if draft.code is commands.OutcomeCode.APPLIED:
        state = dataclasses.replace(state, by_key=draft.by_key)
        changed = draft.changed
    state = _remember(state, version, command.command_id, outcome)
    return Applied(state, outcome, changed)


def dry_run_command(
    state: model.State, command: commands.Command
) -> commands.CommandOutcome:
    """Tells what would become of a command, without applying it.

    Args:
        state: The state that holds.
        command: The command; its id is not looked up.

    Returns:
        The outcome that it would have.
    """
    version = ids.StateVersion(state.version)
    draft = drafting.draft_command(state, version, command)
    return _build_outcome(draft, version)
