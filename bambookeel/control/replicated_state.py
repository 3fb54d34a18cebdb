"""The applied state of one replica, and its snapshots.

Applies committed entries in log order, returns the changes, and converts the
state to snapshots and back. `StateMachine` is the interface that the core
runner requires; `ReplicatedState` implements it for the operators' resources.
"""

import dataclasses
import typing

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


class StateMachine(typing.Protocol):
    """A state machine to which the replicated log is applied.

    Attributes:
        applied_index: Index of the last applied entry.
        applied_term: Term of the last applied entry.
    """

    applied_index: int
    applied_term: int

    def apply_entry(self, entry: messages.LogEntry) -> typing.Any:
        """Applies one committed entry.

        Args:
            entry: The next entry.

        Returns:
            The outcome and the event for listeners; None if the entry contains
            no command.
        """

    def replace_state(self, snapshot: snapshot_format.Snapshot) -> typing.Any:
        """Replaces the state by that of a received snapshot.

        Args:
            snapshot: A received snapshot, newer than the state.

        Returns:
            Event for the listeners that describes the differences.
        """

    def encode_state(self) -> bytes | None:
        """Encodes the state for a snapshot.

        Returns:
            The encoded state; None while it contains uncommitted changes.
        """


@dataclasses.dataclass(slots=True)
class ReplicatedState:
    """The applied state of the operators' resources.

    Attributes:
        state: The current state.
        applied_index: Index of the last applied entry.
        applied_term: Term of the last applied entry.
    """

    state: model.State = model.State()
    applied_index: int = 0
    applied_term: int = 0

    def replace_state(
        self, snapshot: snapshot_format.Snapshot
    ) -> events.Committed:
        """Replaces the state by that of a received snapshot.

        Args:
            snapshot: A received snapshot, newer than the state.

        Returns:
            Event for the listeners that describes the differences.
        """
        before = self.state
        restored = restore(snapshot)
        self.state = restored.state
        self.applied_index = snapshot.head.last_index
        self.applied_term = snapshot.head.last_term
        changed = state_snapshot.find_changes(before, self.state)
        return events.Committed(self.state, changed, replaces=True)

    def encode_state(self) -> bytes | None:
        """Encodes the state for a snapshot.

        Returns:
            The encoded state.
        """
        return state_snapshot.encode_state(self.state)

    def apply_entry(
        self, entry: messages.LogEntry
    ) -> tuple[commands.CommandOutcome, events.Committed] | None:
        """Applies one committed entry.

        Args:
            entry: The next entry.

        Returns:
            The command's outcome and the event for listeners; None if the
            entry contains no command.
        """
        record_applied(self, entry)
        if entry.is_membership or not entry.payload:
            return None
        command = commands.decode_command(entry.payload)
        version = ids.StateVersion(entry.index)
        applied = apply.apply_command(self.state, version, command)
        self.state = applied.state
        logs.log_event(
            "command_applied",
            command=command.command_id,
            actor=command.actor,
            version=version,
            outcome=applied.outcome.code.value,
        )
        return applied.outcome, events.Committed(applied.state, applied.changed)


def record_applied(
    state_machine: StateMachine, entry: messages.LogEntry
) -> None:
    """Advances the applied index to an entry, which must be the next one.

    Args:
        state_machine: State machine to which the entry is applied.
        entry: The next entry.
    """
    faults.check_invariant(
        entry.index == state_machine.applied_index + 1,
        f"entry {entry.index} does not follow the last applied entry"
        f" {state_machine.applied_index}",
    )
    state_machine.applied_index = entry.index
    state_machine.applied_term = entry.term


def restore(snapshot: snapshot_format.Snapshot | None) -> ReplicatedState:
    """Restores the state from a snapshot.

    Args:
        snapshot: The current snapshot; None if there is none yet.

    Returns:
        The state at the snapshot's last index; empty without a snapshot.
    """
    if snapshot is None or not snapshot.payload:
        return ReplicatedState()
    head = snapshot.head
    state = state_snapshot.decode_state(snapshot.payload)
    return ReplicatedState(state, head.last_index, head.last_term)
