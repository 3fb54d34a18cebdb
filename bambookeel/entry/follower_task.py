"""Follows the replicated state and renews this entry's leases with control.

Subscribes to a control replica, applies changes in increasing order of version,
stores the version and publishes a new view. Sends heartbeats to the leader, and
now and then to all control processes; the leader's reply shows how fresh the
view is and renews the dispatch leases that this process holds.
"""

from collections.abc import Callable
import dataclasses
import secrets

import gevent

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.entry import events
from bambookeel.entry import freshness
from bambookeel.entry import subscription
from bambookeel.entry import version_file
from bambookeel.entry import view
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers

SendMessage = Callable[[ids.ProcessId, messages.Message], bool]
# Unanswered heartbeats that are remembered; beyond this the oldest is dropped.
_MAX_PENDING = 64
# The number of the first heartbeat is random and below 2 to this power.
_NONCE_BASE_BITS = 48
# Every n-th heartbeat goes to all control processes, the others to the leader.
_ALL_CONTROL_EVERY = 4
# After more heartbeat periods than this without a reply from the leader,
# heartbeats go to all control processes again.
_LEADER_SILENCE_PERIODS = 2
# Messages after which a changed view is published even if more are queued.
_MAX_UNPUBLISHED = 100


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingHeartbeat:
    sent_at_ms: int
    held: tuple[messages.HeldLease, ...]


class FollowerTask:
    """Owns the view; other tasks only read `view` and `fresh_until_ms`."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        control: tuple[ids.ProcessId, ...],
        leases: core_settings.LeaseTimings,
        send: SendMessage,
        dispatcher: mailbox.Mailbox,
        data_folder: str = "",
    ) -> None:
        self.mailbox = mailbox.Mailbox("follower")
        self.view = view.View()
        self._process_id = process_id
        self._control = control
        self._leases = leases
        self._send = send
        self._dispatcher = dispatcher
        self._version_file = version_file.VersionFile(data_folder)
        self._stored_version = self._version_file.load()
        self._freshness = freshness.Freshness(
            leases.freshness_ms, self._stored_version
        )
        self._subscription = subscription.Subscription(self.view)
        # A reply to a heartbeat from before a restart must match none of these.
        self._nonce = secrets.randbits(_NONCE_BASE_BITS)
        self._pending: dict[int, _PendingHeartbeat] = {}
        self._stopping = False
        # The process that last replied as the leader, and when it did.
        self._leader: ids.ProcessId | None = None
        self._leader_replied_at_ms = 0
        # Messages handled while the newest view has not been published.
        self._unpublished_count = 0
        # The committed version in the leader's first reply to this process. A
        # dispatch lease assigned at that version or before was assigned to the
        # process before its restart, and is reported as released.
        self._first_committed_version: ids.StateVersion | None = None

    @property
    def fresh_until_ms(self) -> int:
        """Until when the view may be trusted, in ms on the monotonic clock."""
        return self._freshness.until_ms

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Subscribes to this task's regular messages.

        Args:
            service: The timer service.
        """
        service.subscribe(self.mailbox, self._leases.report_ms, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self.handle_event(self.mailbox.get())

    def handle_event(self, event: object) -> None:
        """Handles one message and publishes the view if it has changed.

        While more messages are queued, publishing is postponed by up to
        `_MAX_UNPUBLISHED` messages, so that the version is stored only once
        for a burst of changes.

        Args:
            event: The message.
        """
        self._handle(event)
        current = self._subscription.view
        if current is self.view:
            return
        self._unpublished_count += 1
        if (
            self.mailbox.get_depth()
            and self._unpublished_count < _MAX_UNPUBLISHED
        ):
            return
        self._unpublished_count = 0
        self._publish(current)

    def _handle(self, event: object) -> None:
        match event:
            case events.Tick():
                self._send_heartbeats()
            case events.PeerUp(peer, messages.ProcessRole.CONTROL):
                self._subscribe(
                    subscription.handle_peer_up(self._subscription, peer)
                )
            case events.PeerDown(peer) if peer in self._control:
                self._subscribe(
                    subscription.handle_peer_down(self._subscription, peer)
                )
            case events.FromPeer(peer, messages.ChangeBatch() as batch):
                subscription.handle_batch(self._subscription, peer, batch)
            case events.FromPeer(peer, messages.EntryHeartbeatReply() as reply):
                self._handle_heartbeat_reply(reply)
            case events.StopDispatching():
                self._stopping = True
                self._send_heartbeats()

    def _subscribe(
        self, requests: tuple[subscription.SubscribeRequest, ...]
    ) -> None:
        for request in requests:
            # If the message is lost with its link, the entry subscribes again
            # when the link is back.
            self._send(request.peer, request.message)
            logs.log_event(
                "subscribed",
                to=request.peer,
                from_version=request.message.from_version,
            )

    def _publish(self, current: view.View) -> None:
        """Stores the version of a view, then publishes the view.

        Args:
            current: The new view.
        """
        if current.version > self._stored_version:
            # In a thread, since syncing a file may take long.
            pool = gevent.get_hub().threadpool
            pool.apply(self._version_file.store, (current.version,))
            self._stored_version = current.version
        self.view = current
        freshness.handle_applied_version(self._freshness, current.version)
        logs.log_event("state_applied", version=current.version)
        self._dispatcher.put(events.ViewChanged(current))

    def _list_held_leases(self) -> tuple[messages.HeldLease, ...]:
        held: list[messages.HeldLease] = []
        if self._first_committed_version is None:
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
                    self._stopping
                    or resource.version <= self._first_committed_version,
                )
            )
        return tuple(held)

    def _send_heartbeats(self) -> None:
        """Sends a heartbeat to the leader or to all control processes."""
        self._nonce += 1
        held = self._list_held_leases()
        heartbeat = messages.EntryHeartbeat(
            self._nonce, self.view.version, self._stopping, held
        )
        now_ms = clock.read_now_ms()
        self._pending[self._nonce] = _PendingHeartbeat(now_ms, held)
        while len(self._pending) > _MAX_PENDING:
            del self._pending[next(iter(self._pending))]
        for peer in self._choose_receivers(now_ms):
            self._send(peer, heartbeat)

    def _choose_receivers(self, now_ms: int) -> tuple[ids.ProcessId, ...]:
        """Chooses the control processes that receive the next heartbeat.

        Args:
            now_ms: Current time in ms on this process's clock.

        Returns:
            The leader; all control processes if no leader replies, if it is
            their turn, or if this process is stopping.
        """
        max_silence_ms = _LEADER_SILENCE_PERIODS * self._leases.report_ms
        is_silent = now_ms - self._leader_replied_at_ms > max_silence_ms
        is_for_all = self._nonce % _ALL_CONTROL_EVERY == 0
        if self._leader is None or is_silent or is_for_all or self._stopping:
            return self._control
        return (self._leader,)

    def _handle_heartbeat_reply(
        self, reply: messages.EntryHeartbeatReply
    ) -> None:
        """Handles a reply to a heartbeat.

        Args:
            reply: The reply; one from a process that is not the leader only
                names the leader and is ignored.
        """
        pending = self._pending.get(reply.nonce)
        if pending is None or not reply.is_leader:
            return
        self._leader = reply.leader
        self._leader_replied_at_ms = clock.read_now_ms()
        if self._first_committed_version is None:
            self._first_committed_version = reply.committed_version
        freshness.handle_confirmation(
            self._freshness,
            pending.sent_at_ms,
            reply.committed_version,
            self.view.version,
        )
        self._subscribe(
            subscription.handle_committed_version(
                self._subscription,
                reply.leader,
                reply.committed_version,
                clock.read_now_ms(),
            )
        )
        for lease in reply.renewed:
            self._dispatcher.put(
                events.LeaseRenewed(
                    lease.service,
                    lease.epoch,
                    pending.sent_at_ms + reply.lease_ms,
                )
            )

    def is_fresh(self) -> bool:
        """Checks whether the view may be trusted now.

        Returns:
            Whether the leader has confirmed it within the freshness lease.
        """
        return clock.read_now_ms() < self._freshness.until_ms
