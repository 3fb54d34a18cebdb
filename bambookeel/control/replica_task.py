"""The task of a control replica, which owns the replicated log and state.

Its mailbox receives commands, reads, messages of peers, timer events and
notices of finished syncs. Each turn runs steps of the consensus core and
publishes the view; only then are listeners notified and requests answered.
"""

import gevent.event

from bambookeel.consensus import events as core_events
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.control import core_runner
from bambookeel.control import events
from bambookeel.control import formation
from bambookeel.control import joining
from bambookeel.control import leader_requests
from bambookeel.control import margin_watch
from bambookeel.control import replica_disk
from bambookeel.control import replica_view
from bambookeel.control import replicated_state
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.runtime import clock
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers
from bambookeel.storage import store as replica_store

_TICKS_PER_HEARTBEAT = 5
_MAX_BATCH_COMMANDS = 500
SendMessage = core_runner.SendMessage


class ReplicaTask:
    """Owns the replicated state; other tasks read `view`."""

    def __init__(
        self,
        control: tuple[ids.ProcessId, ...],
        timings: core_settings.ConsensusTimings,
        store: replica_store.ReplicaStore,
        loaded: replica_store.LoadedReplica,
        seed: int,
    ) -> None:
        self.mailbox = mailbox.Mailbox("replica")
        self.disk = replica_disk.ReplicaDisk(store, self.mailbox)
        self._timings = timings
        self._listeners: list[mailbox.Mailbox] = []
        self._state = replicated_state.restore(loaded.snapshot)
        self._runner = core_runner.CoreRunner(
            timings, loaded, self.disk, seed, self._state
        )
        self._joining = joining.Joining(
            self._runner, loaded.member, control, is_first_start=True
        )
        self._requests = leader_requests.LeaderRequests(
            self._runner, self._state, timings.election_max_ms, seed
        )
        self.margin = margin_watch.MarginWatch(self._runner)
        self._reported_leading = False
        self._stop_wanted = False
        self._handed_over = gevent.event.Event()
        self.view = self._build_view()

    def connect(
        self, send: SendMessage, listeners: list[mailbox.Mailbox]
    ) -> None:
        """Connects the task to the links and to other tasks.

        Args:
            send: Function that sends a message to a process.
            listeners: Mailboxes that receive `Committed` and
                `LeadershipChanged` events.
        """
        self._runner.send = send
        self._listeners = listeners

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Subscribes this task to its periodic timer.

        Args:
            service: Timer service of the process.
        """
        period_ms = max(4, self._timings.heartbeat_ms // _TICKS_PER_HEARTBEAT)
        service.subscribe(self.mailbox, period_ms, events.Tick())

    def find_unready_reason(self) -> str:
        """Returns why this replica cannot serve operators.

        Returns:
            The reason; empty if a leader is known.
        """
        core = self._runner.core
        if core.leader:
            return ""
        if not self._runner.has_membership():
            return formation.describe_wait(self._joining.formation)
        voters = len(core.membership.voters)
        return f"no leader is known in term {core.term} of {voters} voters"

    def hand_over(self) -> None:
        """Hands over leadership before a planned stop.

        Waits for at most twice the longest election timeout.
        """
        self.mailbox.put(events.StopReplica())
        self._handed_over.wait(2 * self._timings.election_max_ms / 1000.0)

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            event = self.mailbox.get()
            if isinstance(event, events.LocalCommand):
                event = self._submit_batch(event)
            if event is not None:
                self._handle_event(event, clock.read_now_ms())
            self._finish_turn()

    def _submit_batch(self, first: events.LocalCommand) -> object | None:
        """Submits the commands at the front of the mailbox as one batch.

        Args:
            first: The first command, already removed from the mailbox.

        Returns:
            The first message after them that is not a command, also removed
            from the mailbox; None if there is none.
        """
        batch = [first]
        other = None
        while other is None and len(batch) < _MAX_BATCH_COMMANDS:
            if self.mailbox.get_depth() == 0:
                break
            event = self.mailbox.get()
            if isinstance(event, events.LocalCommand):
                batch.append(event)
            else:
                other = event
        self._requests.submit_local_commands(batch, clock.read_now_ms())
        return other

    def _handle_event(self, event: object, now_ms: int) -> None:
        match event:
            case core_events.LogSynced():
                self._runner.run_step(event)
            case events.Tick():
                self._tick(now_ms)
            case events.FromPeer(peer, messages.ReplicaIdentity() as identity):
                self._joining.handle_identity(peer, identity)
            case events.FromPeer(peer, message):
                self._handle_message(peer, message, now_ms)
            case events.PeerDown(peer):
                self._joining.formation.identities.pop(peer, None)
                self._requests.handle_peer_down(peer)
            case events.LocalRead(reply):
                self._requests.submit_local_read(reply, now_ms)
            case events.StopReplica():
                self._stop_wanted = True
                self._runner.run_step(core_events.StopRequested())

    def _handle_message(
        self, peer: ids.ProcessId, message: messages.Message, now_ms: int
    ) -> None:
        match message:
            case (
                messages.Propose()
                | messages.ProposeReply()
                | messages.ReadIndexRequest()
                | messages.ReadIndexReply()
            ):
                self._requests.handle_message(peer, message, now_ms)
            case messages.ReplicaRetired(member):
                self._joining.end_if_retired(member)
            case _:
                if isinstance(message, messages.AppendReply):
                    self._joining.notify_if_retired(message)
                self._runner.run_step(core_events.MessageReceived(message))

    def _tick(self, now_ms: int) -> None:
        self._runner.run_step(core_events.TimerDue())
        if self._stop_wanted:
            self._runner.run_step(core_events.StopRequested())
        self._joining.try_to_join(now_ms)
        self.margin.check(now_ms)
        self._requests.retry_parked(now_ms, self.find_unready_reason())

    def _build_view(self) -> replica_view.ReplicaView:
        state = self._runner.core
        is_established = state.role is records.Role.LEADER
        is_established &= state.commit_index >= state.term_start_index
        return replica_view.ReplicaView(
            self._state.state,
            membership.get_process(state.leader),
            state.term,
            is_established,
            replication.compute_lease_until(state),
        )

    def _finish_turn(self) -> None:
        """Publishes the view, notifies listeners and answers requests."""
        self.view = self._build_view()
        outputs = self._runner.outputs
        self._runner.outputs = []
        for output in outputs:
            match output:
                case core_runner.Applied(_, _, committed):
                    self._notify_listeners(committed)
                case core_runner.StateReplaced(committed):
                    self._notify_listeners(committed)
            self._requests.handle_output(output)
        self._requests.send_answers()
        is_leader = self.view.is_leader
        if is_leader != self._reported_leading:
            self._reported_leading = is_leader
            self._notify_listeners(
                events.LeadershipChanged(self.view.term, is_leader)
            )
        is_leading = self._runner.core.role is records.Role.LEADER
        if self._stop_wanted and not is_leading:
            self._handed_over.set()

    def _notify_listeners(self, event: object) -> None:
        for listener in self._listeners:
            listener.put(event)
