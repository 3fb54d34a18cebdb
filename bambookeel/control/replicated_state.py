"""The applied state of one replica, and its snapshots.

Applies committed entries in log order, gives what changed, and turns the state
into snapshots and back.
"""

import dataclasses

from bambookeel.control import events
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import logs
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from bambookeel.state import snapshot as state_snapshot
from bambookeel.storage import snapshot_format


@dataclasses.dataclass(slots=True)
class ReplicatedState:
    """The applied state.

    Attributes:
        state: The state.
        applied_index: Last index that was applied.
        applied_term: Its term.
    """

    state: model.State = model.State()
    applied_index: int = 0
    applied_term: int = 0


def restore(snapshot: snapshot_format.Snapshot | None) -> ReplicatedState:
    """Builds the state that a snapshot holds.

    Args:
        snapshot: The snapshot; None before the first.

    Returns:
        The applied state.
    """
    if snapshot is None or not snapshot.payload:
        return ReplicatedState()
    head = snapshot.head
    state = state_snapshot.decode_state(snapshot.payload)
    return ReplicatedState(state, head.last_index, head.last_term)


def replace_state(
    replicated: ReplicatedState, snapshot: snapshot_format.Snapshot
) -> events.Committed:
    """Replaces the state by that of a received snapshot.

    Args:
        replicated: The applied state.
        snapshot: The snapshot, which is newer.

    Returns:
        What differs, for listeners.
    """
    before = replicated.state
    restored = restore(snapshot)
    replicated.state = restored.state
    replicated.applied_index = snapshot.head.last_index
    replicated.applied_term = snapshot.head.last_term
    changed = state_snapshot.find_changes(before, replicated.state)
    return events.Committed(replicated.state, changed, replaces=True)


def apply_entry(
    replicated: ReplicatedState, entry: messages.LogEntry
) -> tuple[commands.CommandOutcome, events.Committed] | None:
    """Applies one committed entry.

    Args:
        replicated: The applied state.
        entry: The next entry.

    Returns:
        The command's outcome and what changed; None where there is no command.
    """
    faults.check_invariant(
        entry.index == replicated.applied_index + 1,
        f"entry {entry.index} is applied after {replicated.applied_index}",
    )
    replicated.applied_index = entry.index
    replicated.applied_term = entry.term
    if entry.is_membership or not entry.payload:
        return None
    command = commands.decode_command(entry.payload)
    version = ids.StateVersion(entry.index)
    applied = apply.apply_command(replicated.state, version, command)
    replicated.state = applied.state
    logs.log_event(
        "command_applied",
        command=command.command_id,
        actor=command.actor,
        version=version,
        outcome=applied.outcome.code.value,
    )
    return applied.outcome, events.Committed(applied.state, applied.changed)
