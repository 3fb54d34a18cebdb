"""Runs the dispatchers of the services whose lease this process holds.

Owns the pure state of each such service, feeds it messages and the time, and
sends what it asks for. A service whose lease has ended grants nothing until
control renews it.
"""

from collections.abc import Callable

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.dispatch import dispatcher
from bambookeel.dispatch import effects
from bambookeel.entry import events
from bambookeel.entry import view
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers

_TICK_MS = 100
_RETRY_AFTER_MS = 300
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


class DispatcherTask:
    """Owns the states of the services that this process dispatches."""

    def __init__(self, process_id: ids.ProcessId) -> None:
        self.mailbox = mailbox.Mailbox("dispatcher")
        self._process_id = process_id
        self._services: dict[ids.ServiceName, dispatcher.ServiceState] = {}
        self._lease_until_ms: dict[ids.ServiceName, int] = {}
        self._send: SendMessage = lambda peer, message: False

    def connect(self, send: SendMessage) -> None:
        """Gives the task its way out.

        Args:
            send: Sends a message to a process, the own one included.
        """
        self._send = send

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Asks for this task's regular messages.

        Args:
            service: The timer service.
        """
        service.subscribe(self.mailbox, _TICK_MS, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self._handle(self.mailbox.get(), clock.read_now_ms())

    def _handle(self, event: object, now_ms: int) -> None:
        match event:
            case events.FromPeer(peer, message):
                self._handle_message(peer, message, now_ms)
            case events.Tick():
                for state in self._services.values():
                    if self._has_lease(state.service, now_ms):
                        self._perform(dispatcher.handle_tick(state, now_ms))
            case events.ViewChanged(current):
                self._take_view(current)
            case events.LeaseRenewed(service, epoch, until_ms):
                held = self._services.get(service)
                if held is not None and held.epoch == epoch:
                    self._lease_until_ms[service] = until_ms

    def _has_lease(self, service: ids.ServiceName, now_ms: int) -> bool:
        return now_ms < self._lease_until_ms.get(service, 0)

    def _take_view(self, current: view.View) -> None:
        """Starts and ends dispatchers as assigned by control.

        Args:
            current: The new view.
        """
        held: dict[ids.ServiceName, dispatcher.ServiceState] = {}
        for kind, name in current.by_key:
            if kind is not resources.Kind.SERVICE:
                continue
            service = ids.ServiceName(name)
            spec = view.get_service(current, service)
            assigned = view.get_dispatcher(current, service)
            if spec is None or assigned is None:
                continue
            if assigned.holder != self._process_id:
                continue
            state = self._services.get(service)
            if state is None or state.epoch != assigned.epoch:
                epoch = ids.Epoch(assigned.epoch)
                state = dispatcher.ServiceState(service, epoch, spec)
                self._lease_until_ms.pop(service, None)
                logs.log_event("dispatch_start", service=service, epoch=epoch)
            state.spec = spec
            held[service] = state
        self._services = held

    def _handle_message(
        self, peer: ids.ProcessId, message: messages.Message, now_ms: int
    ) -> None:
        service = message.service
        state = self._services.get(service)
        if state is None or not self._has_lease(service, now_ms):
            self._refuse(peer, message)
            return
        match message:
            case messages.AcquireSlot():
                self._perform(
                    dispatcher.handle_acquire(state, peer, message, now_ms)
                )
            case messages.SlotReleased():
                self._perform(dispatcher.handle_release(state, message, now_ms))
            case messages.CancelWaiting():
                dispatcher.handle_cancel(state, message)
            case messages.BackendAnnouncement():
                self._perform(
                    dispatcher.handle_announcement(state, message, now_ms)
                )

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
        self._send(peer, refusal)

    def _perform(self, asked: list[effects.Effect]) -> None:
        for effect in asked:
            match effect:
                case effects.Send(to, message):
                    self._send(to, message)
                case effects.Record(event, fields):
                    logs.log_event(event, **fields)
