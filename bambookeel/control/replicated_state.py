"""The applied state of one replica, and its snapshots.

Applies committed entries in log order, gives what changed, and turns the state
into snapshots and back. `StateMachine` is what a runner of the consensus core
needs; `ReplicatedState` is the one of the operators' resources.
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
    """What the replicated log is applied to.

    Attributes:
        applied_index: Last index that was applied.
        applied_term: Its term.
    """

    applied_index: int
    applied_term: int

    def apply_entry(self, entry: messages.LogEntry) -> typing.Any:
        """Applies one committed entry.

        Args:
            entry: The next entry.

        Returns:
            What it brought about; None where there is no command.
        """

    def replace_state(self, snapshot: snapshot_format.Snapshot) -> typing.Any:
        """Replaces the state by that of a received snapshot.

        Args:
            snapshot: The snapshot, which is newer.

        Returns:
            What differs, for listeners.
        """

    def encode_state(self) -> bytes | None:
        """Encodes the state for a snapshot.

        Returns:
            The bytes; None while the state holds what is not committed.
        """


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

    def replace_state(
        self, snapshot: snapshot_format.Snapshot
    ) -> events.Committed:
        """Replaces the state by that of a received snapshot.

        Args:
            snapshot: The snapshot, which is newer.

        Returns:
            What differs, for listeners.
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
            The bytes.
        """
        return state_snapshot.encode_state(self.state)

    def apply_entry(
        self, entry: messages.LogEntry
    ) -> tuple[commands.CommandOutcome, events.Committed] | None:
        """Applies one committed entry.

        Args:
            entry: The next entry.

        Returns:
            The command's outcome and what changed; None where there is no
            command.
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


def record_applied(machine: StateMachine, entry: messages.LogEntry) -> None:
    """Notes that an entry is being applied, which must be the next one.

    Args:
        machine: What it is applied to.
        entry: The entry.
    """
    faults.check_invariant(
        entry.index == machine.applied_index + 1,
        f"entry {entry.index} is applied after {machine.applied_index}",
    )
    machine.applied_index = entry.index
    machine.applied_term = entry.term


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
