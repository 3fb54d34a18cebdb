"""Runs the dispatchers of the services whose dispatch lease this process holds.

Owns the state of each such service, passes messages and the current time to its
event handlers and performs the effects that they return. A service whose lease
has ended grants nothing until control renews the lease. Every entry's task also
stores data for holders in other processes: announcements of backend servers and
copies of idempotency records.
"""

from collections.abc import Callable
import dataclasses
import typing

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.dispatch import announcement_store
from bambookeel.dispatch import announcing
from bambookeel.dispatch import dispatcher
from bambookeel.dispatch import effects
from bambookeel.dispatch import recovery
from bambookeel.dispatch import service as dispatch_service
from bambookeel.entry import allotment_client
from bambookeel.entry import events
from bambookeel.entry import record_keeper
from bambookeel.entry import view
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers

_TICK_MS = 100
_RETRY_AFTER_MS = 300
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentTick:
    """The timer's message to check whether an allotment request is due."""


class DispatcherTask:
    """Runs the dispatchers of this process and owns their states."""

    def __init__(
        self,
        deployment: dispatch_service.Deployment,
        control: tuple[ids.ProcessId, ...],
        leases: core_settings.LeaseTimings,
        started_at_ms: int,
    ) -> None:
        self.mailbox = mailbox.Mailbox("dispatcher")
        self._deployment = deployment
        self._process_id = deployment.process_id
        self.services: dict[ids.ServiceName, dispatch_service.ServiceState] = {}
        self._holders: dict[ids.ServiceName, ids.ProcessId] = {}
        self._linked: set[ids.ProcessId] = set()
        self._announcements = announcement_store.AnnouncementStore()
        self._records = record_keeper.RecordKeeper(started_at_ms)
        self._allotments = allotment_client.AllotmentClient(
            control, leases.report_ms
        )
        self._stopping = False
        self._follower: mailbox.Mailbox | None = None
        self._send_message: SendMessage = lambda peer, message: False

    @classmethod
    def from_config(
        cls, settings: core_settings.EntrySettings
    ) -> "DispatcherTask":
        """Builds the task from settings.

        Args:
            settings: The entry's settings.

        Returns:
            The task, which sends nothing until `connect` is called.
        """
        data_centre_by_entry = {
            ids.ProcessId(peer.process_id): ids.DataCentre(peer.data_centre)
            for peer in settings.entries
        }
        own_id = ids.ProcessId(settings.process_id)
        data_centre_by_entry[own_id] = ids.DataCentre(settings.data_centre)
        deployment = dispatch_service.Deployment(
            own_id, data_centre_by_entry, settings.limits.probe_connections
        )
        control = tuple(ids.ProcessId(p.process_id) for p in settings.control)
        return cls(deployment, control, settings.leases, clock.read_now_ms())

    def connect(self, send: SendMessage) -> None:
        """Sets the function that sends messages.

        Args:
            send: Sends a message to another process or to this one.
        """
        self._send_message = send

    def connect_follower(self, follower: mailbox.Mailbox) -> None:
        """Sets the mailbox that is notified when this task stops granting.

        Args:
            follower: The follower task's mailbox.
        """
        self._follower = follower

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Subscribes to this task's regular messages.

        Args:
            service: The timer service.
        """
        service.subscribe(self.mailbox, _TICK_MS, events.Tick())
        service.subscribe(
            self.mailbox, allotment_client.MIN_INTERVAL_MS, AllotmentTick()
        )

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            event = self.mailbox.get()
            self.handle(event, clock.read_now_ms())

    def handle(self, event: object, now_ms: int) -> None:
        """Handles one message.

        Args:
            event: The message; types without a handler are ignored.
            now_ms: Current time in ms, read immediately before the call.
        """
        match event:
            case events.FromPeer(peer, message):
                self._handle_message(peer, message, now_ms)
            case events.Tick():
                for state in self.services.values():
                    self._perform(dispatcher.handle_tick(state, now_ms))
            case AllotmentTick():
                self._request_allotments(now_ms)
            case events.ViewChanged(current):
                self._handle_view(current, now_ms)
            case events.LeaseRenewed(service, epoch, until_ms):
                held = self.services.get(service)
                if held is not None and held.epoch == epoch:
                    reachable = self._linked | {self._process_id}
                    self._perform(
                        dispatcher.renew_lease(
                            held, until_ms, reachable, now_ms
                        )
                    )
            case events.PeerUp(peer, messages.ProcessRole.ENTRY):
                self._handle_entry_up(peer, now_ms)
            case events.PeerDown(peer):
                self._linked.discard(peer)
                for state in self.services.values():
                    recovery.handle_link_down(state, peer)
            case events.StopDispatching():
                self._stop_dispatching()

    def _stop_dispatching(self) -> None:
        """Releases every lease, then has the follower report it to control."""
        self._stopping = True
        for state in self.services.values():
            self._perform(dispatcher.release_lease(state))
        if self._follower is not None:
            self._follower.put(events.StopDispatching())

    def _handle_entry_up(self, peer: ids.ProcessId, now_ms: int) -> None:
        self._linked.add(peer)
        for state in self.services.values():
            self._perform(recovery.handle_link_up(state, peer, now_ms))
        for service, holder in self._holders.items():
            if holder == peer:
                self._send_announcements(service, holder, now_ms)

    def _send_announcements(
        self, service: ids.ServiceName, holder: ids.ProcessId, now_ms: int
    ) -> None:
        fresh = announcement_store.list_fresh(
            self._announcements, service, now_ms
        )
        for announcement in fresh:
            self._send_message(holder, announcement)

    def _handle_view(self, current: view.View, now_ms: int) -> None:
        """Starts and ends dispatchers as control has assigned them.

        Args:
            current: The new view.
            now_ms: Current time in ms on this process's clock.
        """
        teams: dict[ids.TeamName, resources.TeamSpec] = {}
        services = []
        for (kind, name), resource in current.by_key.items():
            if isinstance(resource.spec, resources.TeamSpec):
                teams[ids.TeamName(name)] = resource.spec
            elif kind is resources.Kind.SERVICE:
                services.append(ids.ServiceName(name))
        held: dict[ids.ServiceName, dispatch_service.ServiceState] = {}
        for service in services:
            state = self._update_service(current, service, now_ms)
            if state is None:
                continue
            held[service] = state
            dispatcher.set_teams(state, teams)
        for service, state in self.services.items():
            if held.get(service) is not state:
                self._end_dispatch(state)
        added = [s for n, s in held.items() if self.services.get(n) is not s]
        self.services = held
        for state in added:
            for announcement in announcement_store.list_fresh(
                self._announcements, state.service, now_ms
            ):
                self._perform(
                    announcing.handle_announcement(state, announcement, now_ms)
                )

    def _update_service(
        self, current: view.View, service: ids.ServiceName, now_ms: int
    ) -> dispatch_service.ServiceState | None:
        """Updates the holder and the state of one service from a new view.

        Args:
            current: The new view.
            service: The service.
            now_ms: Current time in ms on this process's clock.

        Returns:
            The service's state, a new one for a new epoch; None if this process
            is not the holder.
        """
        spec = view.get_service(current, service)
        assigned = view.get_dispatcher(current, service)
        if spec is None or assigned is None:
            return None
        holder = ids.ProcessId(assigned.holder)
        if holder != self._process_id:
            if self._holders.get(service) != holder:
                self._holders[service] = holder
                self._send_announcements(service, holder, now_ms)
            return None
        self._holders[service] = holder
        state = self.services.get(service)
        if state is None or state.epoch != assigned.epoch:
            held_epoch = state.epoch if state else 0
            dispatcher.check_epoch(held_epoch, assigned.epoch)
            state = dispatch_service.ServiceState(
                service, ids.Epoch(assigned.epoch), spec, self._deployment
            )
            state.released = self._stopping
            logs.log_event(
                "dispatch_start", service=service, epoch=assigned.epoch
            )
        state.spec = spec
        return state

    def _end_dispatch(self, state: dispatch_service.ServiceState) -> None:
        """Ends a dispatcher whose lease was reassigned or service was deleted.

        Args:
            state: The service's state; its idempotency records are stored as
                copies.
        """
        self._perform(dispatcher.release_lease(state))
        self._records.add_own_records(state)
        logs.log_event("dispatch_end", service=state.service, epoch=state.epoch)

    def _handle_message(
        self, peer: ids.ProcessId, message: messages.Message, now_ms: int
    ) -> None:
        match message:
            case messages.BackendAnnouncement():
                self._handle_announcement(message, now_ms)
            case messages.AllotmentReply():
                self._handle_allotments(peer, message, now_ms)
            case messages.KeepRecords():
                self._perform(self._records.store_copies(peer, message, now_ms))
            case messages.RecordsRequest():
                state = self.services.get(message.service)
                reply = self._records.build_reply(peer, message, state, now_ms)
                self._perform([reply])
            case _:
                self._handle_service_message(peer, message, now_ms)

    def _handle_service_message(
        self, peer: ids.ProcessId, message: messages.Message, now_ms: int
    ) -> None:
        state = self.services.get(message.service)
        if state is None:
            self._refuse(peer, message)
            self._forward_release(message)
            return
        self._perform(dispatcher.handle_message(state, peer, message, now_ms))

    def _forward_release(self, message: messages.Message) -> None:
        """Forwards a release that was sent to this process as a former holder.

        Args:
            message: The message; only releases are forwarded.
        """
        if not isinstance(message, messages.SlotReleased):
            return
        holder = self._holders.get(message.service)
        if holder is not None and holder != self._process_id:
            self._send_message(holder, message)

    def _refuse(self, peer: ids.ProcessId, message: messages.Message) -> None:
        if not isinstance(message, messages.AcquireSlot):
            return
        refusal = messages.SlotRefused(
            message.request_id,
            message.service,
            outcomes.Reason.NO_DISPATCHER,
            "this process does not hold the dispatch lease",
            _RETRY_AFTER_MS,
        )
        self._send_message(peer, refusal)

    def _handle_announcement(
        self, announcement: messages.BackendAnnouncement, now_ms: int
    ) -> None:
        """Stores an announcement and passes it to the service's holder.

        Args:
            announcement: The announcement; one that is not newer than the
                stored one is ignored.
            now_ms: Current time in ms on this process's clock.
        """
        if not announcement_store.add(
            self._announcements, announcement, now_ms
        ):
            return
        state = self.services.get(announcement.service)
        if state is not None:
            self._perform(
                announcing.handle_announcement(state, announcement, now_ms)
            )
            return
        holder = self._holders.get(announcement.service, ids.ProcessId(""))
        self._perform(
            announcement_store.forward(announcement, holder, self._linked)
        )

    def _request_allotments(self, now_ms: int) -> None:
        self._perform(
            self._allotments.build_request(list(self.services.values()), now_ms)
        )

    def _handle_allotments(
        self,
        peer: ids.ProcessId,
        reply: messages.AllotmentReply,
        now_ms: int,
    ) -> None:
        until_ms = self._allotments.handle_reply(peer, reply)
        if until_ms is None:
            return
        for state in self.services.values():
            self._perform(
                dispatcher.handle_allotments(state, reply, until_ms, now_ms)
            )

    def _perform(self, emitted: typing.Sequence[effects.Effect]) -> None:
        for effect in emitted:
            match effect:
                case effects.Send(to, message):
                    self._send_message(to, message)
                case effects.LogEvent(event, fields):
                    logs.log_event(event, **fields)
                case effects.RequestAllotments():
                    self._allotments.request_soon()
