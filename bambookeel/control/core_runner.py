"""Runs the consensus core of one replica and carries out its effects.

Holds the core's state, the disk and the applied state. Effects are carried out
in order. The results of a step that other tasks need are collected in `outputs`
until the replica task has published its view.
"""

from collections.abc import Callable
import dataclasses
import typing

from returns import result

from bambookeel.consensus import core
from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import events as core_events
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.control import replica_disk
from bambookeel.control import replicated_state
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import supervisor
from bambookeel.storage import snapshot_format
from bambookeel.storage import store as replica_store

_SNAPSHOT_PART_BYTES = 256 * 1024
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A command in the log has been applied.

    Attributes:
        index: Index of its log entry.
        outcome: Outcome of the command.
        committed: Event for the listeners that describes the change.
    """

    index: int
    outcome: typing.Any
    committed: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class StateReplaced:
    """A received snapshot has replaced the state.

    Attributes:
        committed: Event for the listeners that describes the change.
    """

    committed: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The known leader has changed; there may be none now."""


Output = (
    Applied
    | StateReplaced
    | LeaderChanged
    | core_effects.ReadConfirmed
    | core_effects.ReadRefused
    | core_effects.RoleChanged
)


def build_core_settings(
    timings: core_settings.ConsensusTimings,
) -> records.CoreSettings:
    """Derives the core's settings from the deployment's timings.

    Args:
        timings: Consensus timings from the settings.

    Returns:
        The core's settings; a tenth of the shortest election timeout is the
        margin for clock drift.
    """
    return records.CoreSettings(
        heartbeat_ms=timings.heartbeat_ms,
        election_min_ms=timings.election_min_ms,
        election_max_ms=timings.election_max_ms,
        drift_margin_ms=timings.election_min_ms // 10,
        retained_entries=timings.snapshot_every // 4,
        max_voters=timings.max_voters,
        lost_voter_ms=timings.lost_voter_ms,
    )


class CoreRunner:
    """Owns a replica's core, disk and applied state."""

    def __init__(
        self,
        timings: core_settings.ConsensusTimings,
        loaded: replica_store.LoadedReplica,
        disk: replica_disk.ReplicaDisk,
        seed: int,
        state_machine: replicated_state.StateMachine,
    ) -> None:
        self.disk = disk
        self.send: SendMessage = lambda peer, message: False
        self.outputs: list[Output] = []
        self._timings = timings
        self._seed = seed
        self.core = self._start_core(loaded.member, loaded.recovered)
        self.replicated = state_machine
        self.replicated.applied_index = self.core.commit_index

    def _start_core(
        self, member: ids.MemberId, recovered: core.RecoveredState
    ) -> records.CoreState:
        return core.start_core(
            build_core_settings(self._timings),
            member,
            recovered,
            self._seed,
            clock.read_now_ms(),
        )

    def get_leader(self) -> ids.ProcessId:
        """Returns the known leader.

        Returns:
            The leader's process id; empty if no leader is known.
        """
        return membership.get_process(self.core.leader)

    def has_membership(self) -> bool:
        """Returns whether the log or a snapshot contains a membership.

        Returns:
            False on a new disk.
        """
        return bool(self.core.membership.members)

    def form_membership(self, formed: membership.Membership) -> None:
        """Saves the first membership and restarts the core with it.

        Nothing changes if the disk is full.

        Args:
            formed: The deployment's first membership.
        """
        head = snapshot_format.SnapshotHead(
            ids.LogIndex(0), ids.Term(0), formed
        )
        if not self.disk.save_snapshot(snapshot_format.Snapshot(head, b"")):
            return
        recovered = core.RecoveredState(
            self.core.term, self.core.vote, base_membership=formed
        )
        self.core = self._start_core(self.core.member, recovered)
        logs.log_event("membership_formed", voters=",".join(formed.voters))

    def run_step(self, event: core_events.Event) -> str:
        """Runs one step of the core and carries out its effects.

        Args:
            event: Input of the step.

        Returns:
            Why the step's proposals were refused, or why the step was undone
            on a full disk; empty if neither happened.
        """
        before = self.core
        self.core, effects = core.step(before, event, clock.read_now_ms())
        refusal = ""
        try:
            for effect in effects:
                refusal = self._carry_out(effect) or refusal
        except replica_disk.DiskFullError as error:
            self._undo_step(before, event, str(error))
            return f"the disk is full: {error}"
        except faults.InvariantError:
            raise
        # The core's state assumes that each effect was carried out, so a
        # failure of one ends the process.
        except Exception as error:  # pylint: disable=broad-exception-caught
            supervisor.end_process(f"an effect of a step failed: {error!r}")
        if before.leader != self.core.leader:
            leader = self.core.leader or "none"
            logs.log_event("leader_known", leader=leader, term=self.core.term)
            self.outputs.append(LeaderChanged())
        if before.membership != self.core.membership:
            self._log_membership()
        self._make_snapshot_if_due()
        return refusal

    def _log_membership(self) -> None:
        core_state = self.core
        logs.log_event(
            "membership",
            term=core_state.term,
            index=core_state.membership_index,
            committed=core_state.commit_index,
            voters=",".join(core_state.membership.voters),
            learners=",".join(core_state.membership.learners),
        )

    def _undo_step(
        self, before: records.CoreState, event: core_events.Event, error: str
    ) -> None:
        """Undoes a step that failed on a full disk.

        Args:
            before: State of the core before the step.
            event: Event of the step.
            error: Error text of the failed write.
        """
        logs.log_event("disk_full", error=error)
        self.core = before
        match event:
            case core_events.MessageReceived(
                messages.AppendRequest() as request
            ) if request.entries:
                # The request is handled without its entries, as it also shows
                # that the leader is alive.
                without_entries = messages.AppendRequest(
                    request.term,
                    request.leader,
                    request.previous_index,
                    request.previous_term,
                    (),
                    request.commit_index,
                    request.round_number,
                )
                self.run_step(core_events.MessageReceived(without_entries))

    def _carry_out(self, effect: core_effects.Effect) -> str:
        """Carries out one effect.

        Args:
            effect: An effect of the current step.

        Returns:
            Why the step's proposals were refused; empty if they were not.
        """
        match effect:
            case core_effects.Send(to, message):
                self.send(membership.get_process(to), message)
            case core_effects.Commit(entries):
                for entry in entries:
                    self._apply(entry)
            case core_effects.ReadConfirmed() | core_effects.ReadRefused():
                self.outputs.append(effect)
            case core_effects.ProposalsRefused(reason):
                return reason
            case core_effects.SendSnapshotPart():
                self._send_snapshot_part(effect)
            case core_effects.SaveSnapshotPart(part):
                self._save_snapshot_part(part)
            case core_effects.RoleChanged(term, is_leader):
                logs.log_event("role", term=term, is_leader=is_leader)
                self.outputs.append(effect)
            case _:
                self.disk.carry_out(effect)
        return ""

    def _apply(self, entry: messages.LogEntry) -> None:
        applied = self.replicated.apply_entry(entry)
        if applied is not None:
            outcome, committed = applied
            self.outputs.append(Applied(entry.index, outcome, committed))

    def _make_snapshot_if_due(self) -> None:
        applied = self.replicated
        unsaved_entries = applied.applied_index - self.core.snapshot_index
        if unsaved_entries < self._timings.snapshot_every:
            return
        payload = applied.encode_state()
        if payload is None:
            return
        head = snapshot_format.SnapshotHead(
            ids.LogIndex(applied.applied_index),
            ids.Term(applied.applied_term),
            records.get_membership_at(self.core, applied.applied_index),
        )
        if self.disk.save_snapshot(snapshot_format.Snapshot(head, payload)):
            logs.log_event("snapshot_made", index=head.last_index)
            self.run_step(core_events.SnapshotMade(head.last_index))

    def _send_snapshot_part(
        self, effect: core_effects.SendSnapshotPart
    ) -> None:
        size = _SNAPSHOT_PART_BYTES
        data = self.disk.read_snapshot_part(effect.offset, size + 1)
        part = messages.SnapshotPart(
            effect.term,
            self.core.member,
            ids.LogIndex(self.core.snapshot_index),
            ids.Term(self.core.snapshot_term),
            effect.offset,
            data[:size],
            len(data) <= size,
            effect.round_number,
        )
        self.send(membership.get_process(effect.to), part)

    def _save_snapshot_part(self, part: messages.SnapshotPart) -> None:
        self.disk.save_received_part(part.offset, part.data)
        if not part.is_last:
            return
        match self.disk.take_received():
            case result.Success(snapshot):
                self._install_snapshot(snapshot)
            case result.Failure(fault):
                logs.log_event("snapshot_rejected", reason=fault.message)
                self.run_step(core_events.SnapshotRejected())

    def _install_snapshot(self, snapshot: snapshot_format.Snapshot) -> None:
        head = snapshot.head
        committed = self.replicated.replace_state(snapshot)
        self.outputs.append(StateReplaced(committed))
        logs.log_event("snapshot_installed", index=head.last_index)
        self.run_step(
            core_events.SnapshotInstalled(
                head.last_index, head.last_term, head.members
            )
        )
