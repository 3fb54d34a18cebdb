"""Follows the replicated state and keeps this entry's leases with control.

Subscribes to a control replica, applies changes upwards only and publishes a
new view after each batch. Sends heartbeats to every control process it has a
link to; the leader's answer proves how fresh the view is and renews the
dispatch leases that this process holds.
"""

from collections.abc import Callable
import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.entry import events
from bambookeel.entry import view
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers
from bambookeel.state import model

SendMessage = Callable[[ids.ProcessId, messages.Message], bool]
# Heartbeats that may be unanswered at once.
_MAX_PENDING = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingHeartbeat:
    sent_at_ms: int
    held: tuple[messages.HeldLease, ...]


class FollowerTask:
    """Owns the view; everyone else reads `view` and `fresh_until_ms`."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        control: tuple[ids.ProcessId, ...],
        leases: core_settings.LeaseTimings,
        send: SendMessage,
        dispatcher: mailbox.Mailbox,
    ) -> None:
        self.mailbox = mailbox.Mailbox("follower")
        self.view = view.View()
        self.fresh_until_ms = 0
        self._process_id = process_id
        self._control = control
        self._leases = leases
        self._send = send
        self._dispatcher = dispatcher
        self._source: ids.ProcessId | None = None
        self._leader: ids.ProcessId | None = None
        self._nonce = 0
        self._pending: dict[int, _PendingHeartbeat] = {}
        self._stopping = False
        # The state version that control told first. An assignment up to it
        # was made to an earlier life of this process and is given up.
        self._born_version: ids.StateVersion | None = None
        self._snapshot: list[messages.StateChange] = []

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Asks for this task's regular messages.

        Args:
            service: The timer service.
        """
        service.subscribe(self.mailbox, self._leases.report_ms, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self._handle(self.mailbox.get())

    def _handle(self, event: object) -> None:
        match event:
            case events.Tick():
                self._send_heartbeats()
            case events.PeerUp(peer, messages.ProcessRole.CONTROL):
                self._choose_source(peer)
            case events.PeerDown(peer) if peer == self._source:
                self._source = None
                self._choose_any_source()
            case events.FromPeer(peer, messages.ChangeBatch() as batch):
                self._apply_batch(peer, batch)
            case events.FromPeer(peer, messages.EntryHeartbeatReply() as reply):
                self._take_reply(reply)
            case events.StopDispatching():
                self._stopping = True
                self._send_heartbeats()

    def _choose_source(self, peer: ids.ProcessId) -> None:
        if self._source is not None and peer != self._leader:
            return
        self._source = peer
        self._send(peer, messages.Subscribe(self.view.version))

    def _choose_any_source(self) -> None:
        for peer in self._control:
            if self._send(peer, messages.Subscribe(self.view.version)):
                self._source = peer
                return

    def _apply_batch(
        self, peer: ids.ProcessId, batch: messages.ChangeBatch
    ) -> None:
        """Applies a batch of changes and publishes the new view.

        Args:
            peer: The control process that sent it.
            batch: The batch.
        """
        if peer != self._source:
            return
        before = self.view
        current = before
        if batch.is_snapshot:
            # Parts are gathered, so that nobody sees half of a snapshot.
            self._snapshot.extend(batch.changes)
            if not batch.is_last:
                return
            parts, self._snapshot = self._snapshot, []
            if batch.to_version < before.version:
                return
            current = _build_view(batch.to_version, parts)
        else:
            for change in batch.changes:
                changed = model.decode_changes(change.payload)
                current = view.apply_changes(current, change.version, changed)
            if batch.to_version > current.version:
                current = dataclasses.replace(current, version=batch.to_version)
        if current.version == before.version:
            return
        self.view = current
        logs.log_event("state_applied", version=current.version)
        self._dispatcher.put(events.ViewChanged(current))

    def _list_held(self) -> tuple[messages.HeldLease, ...]:
        held: list[messages.HeldLease] = []
        if self._born_version is None:
            return ()
        for resource in self.view.by_key.values():
            spec = resource.spec
            if not isinstance(spec, resources.DispatcherSpec):
                continue
            if spec.holder != self._process_id:
                continue
            held.append(
                messages.HeldLease(
                    ids.ServiceName(resource.name),
                    ids.Epoch(spec.epoch),
                    self._stopping or resource.version <= self._born_version,
                )
            )
        return tuple(held)

    def _send_heartbeats(self) -> None:
        """Sends one heartbeat to every control process."""
        self._nonce += 1
        held = self._list_held()
        heartbeat = messages.EntryHeartbeat(
            self._nonce, self.view.version, self._stopping, held
        )
        now_ms = clock.read_now_ms()
        self._pending[self._nonce] = _PendingHeartbeat(now_ms, held)
        while len(self._pending) > _MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        for peer in self._control:
            self._send(peer, heartbeat)

    def _take_reply(self, reply: messages.EntryHeartbeatReply) -> None:
        """Takes in the leader's answer to a heartbeat.

        Args:
            reply: The answer; one of a non-leader only names the leader.
        """
        pending = self._pending.get(reply.nonce)
        if pending is None or not reply.is_leader:
            return
        self._leader = reply.leader
        if self._born_version is None:
            self._born_version = reply.committed_version
        if self._source != reply.leader:
            self._choose_source(reply.leader)
        if self.view.version >= reply.committed_version:
            fresh_until_ms = pending.sent_at_ms + self._leases.freshness_ms
            self.fresh_until_ms = max(self.fresh_until_ms, fresh_until_ms)
        for lease in reply.renewed:
            self._dispatcher.put(
                events.LeaseRenewed(
                    lease.service,
                    lease.epoch,
                    pending.sent_at_ms + reply.lease_ms,
                )
            )

    def is_fresh(self) -> bool:
        """Tells whether the view may be trusted now.

        Returns:
            Whether control confirmed it within the freshness lease.
        """
        return clock.read_now_ms() < self.fresh_until_ms


def _build_view(
    version: ids.StateVersion, parts: list[messages.StateChange]
) -> view.View:
    """Builds a view from the parts of a snapshot.

    Args:
        version: The snapshot's version.
        parts: Its parts.

    Returns:
        The view.
    """
    current = {}
    for part in parts:
        for stored in model.decode_changes(part.payload):
            key = (stored.kind, stored.name)
            current[key] = model.restore_resource(stored)
    return view.View(version, current)
