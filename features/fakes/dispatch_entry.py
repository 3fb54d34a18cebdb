"""A fake entry process around the real dispatcher task, in simulated time.

It does what a real entry must: it rejects grants of older epochs, starts a
request only while its grant is valid, and answers recovery queries.
"""

import dataclasses

from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.core import settings
from bambookeel.dispatch import service as dispatch_service
from bambookeel.entry import dispatcher_task
from bambookeel.entry import events
from bambookeel.entry import view

HEARTBEAT_MS = 250
# The sender gives up a request that a cut delays for longer than this.
SEND_TIMEOUT_MS = 800


@dataclasses.dataclass(eq=False)
class Request:
    request_id: str
    service: str
    team: str
    work_ms: int
    deadline_ms: int
    urgent: bool = False
    key: str = ""
    requested_at_ms: int = 0
    holder: str = ""
    outcome: str = ""


class Entry:
    """An entry process that can be frozen, killed and started again."""

    def __init__(self, simulation, name, centres):
        self._simulation = simulation
        self._clock = simulation.clock
        self.name = name
        self._centres = centres
        self.alive = True
        self.frozen = False
        self._inbox = []
        self._start_process()

    def _start_process(self):
        self.incarnation = object()
        self.waiting = {}
        self.running = {}
        self.records = {}
        self._unsent_releases = []
        self._epochs = {}
        self._view = view.View()
        self._first_version = None
        self._heartbeat_sent_ms = {}
        self._nonce = 0
        self._linked = set()
        deployment = dispatch_service.Deployment(self.name, self._centres)
        self.task = dispatcher_task.DispatcherTask(
            deployment,
            ("control",),
            settings.LeaseTimings(),
            self._clock.now_ms,
        )
        self.task.connect(self._send)
        incarnation = self.incarnation
        self._clock.after(1, lambda: self._tick(incarnation))
        self._clock.after(2, lambda: self._send_heartbeat(incarnation))
        self._clock.after(20, lambda: self._allotment_tick(incarnation))

    def is_running(self):
        return self.alive and not self.frozen

    def post(self, event):
        if not self.alive:
            return
        self._inbox.append(event)
        if not self.frozen:
            self._drain()

    def _drain(self):
        while self._inbox and self.is_running():
            self._handle(self._inbox.pop(0))

    def freeze(self):
        self.frozen = True
        self._clock.after(1_000, self._drop_links_if_frozen)

    def _drop_links_if_frozen(self):
        if self.frozen:
            self._simulation.network.drop_all(self.name)

    def unfreeze(self):
        self.frozen = False
        self._drain()
        self._clock.after(
            50, lambda: self._simulation.network.connect_all(self.name)
        )

    def kill(self):
        self.alive = False
        self._inbox.clear()
        self._simulation.network.drop_all(self.name)
        for request in self.waiting.values():
            request.outcome = "lost"
        for request, _ in self.running.values():
            request.outcome = "lost"

    def start(self):
        self.alive = True
        self.frozen = False
        self._start_process()
        self._simulation.network.connect_all(self.name)

    def stop_gracefully(self):
        self._stopping = True
        self.task.handle(events.StopDispatching(), self._clock.now_ms)

    _stopping = False

    def _send(self, to, message):
        return self._simulation.network.send(self.name, to, message)

    def _every(self, incarnation, period_ms, step, action):
        if self.incarnation is not incarnation or not self.alive:
            return
        self._clock.after(period_ms, lambda: step(incarnation))
        if not self.frozen:
            action()

    def _tick(self, incarnation):
        def act():
            self.task.handle(events.Tick(), self._clock.now_ms)
            self._retry_waiting()
            for release in list(self._unsent_releases):
                self._unsent_releases.remove(release)
                self._send_release(release)

        self._every(incarnation, 100, self._tick, act)

    def _allotment_tick(self, incarnation):
        def act():
            tick = dispatcher_task.AllotmentTick()
            self.task.handle(tick, self._clock.now_ms)

        self._every(incarnation, 20, self._allotment_tick, act)

    def _send_heartbeat(self, incarnation):
        def send():
            self._nonce += 1
            self._heartbeat_sent_ms[self._nonce] = self._clock.now_ms
            leases = []
            for resource in self._view.by_key.values():
                spec = resource.spec
                if not isinstance(spec, resources.DispatcherSpec):
                    continue
                if self._first_version is None or spec.holder != self.name:
                    continue
                is_stale = resource.version <= self._first_version
                leases.append(
                    messages.HeldLease(
                        resource.name, spec.epoch, is_stale or self._stopping
                    )
                )
            heartbeat = messages.EntryHeartbeat(
                self._nonce, self._view.version, self._stopping, tuple(leases)
            )
            self._send("control", heartbeat)

        self._every(incarnation, HEARTBEAT_MS, self._send_heartbeat, send)

    def _handle(self, event):
        now_ms = self._clock.now_ms
        match event:
            case ("up", peer):
                self._linked.add(peer)
                role = messages.ProcessRole.ENTRY
                if peer == "control":
                    role = messages.ProcessRole.CONTROL
                self.task.handle(events.PeerUp(peer, role), now_ms)
                self._retry_waiting(peer)
            case ("down", peer):
                self._linked.discard(peer)
                self.task.handle(events.PeerDown(peer), now_ms)
                self._retry_waiting(peer)
            case ("view", version, state):
                if version > self._view.version:
                    self._view = view.View(version, state)
                    self.task.handle(events.ViewChanged(self._view), now_ms)
            case ("message", peer, message):
                self._handle_message(peer, message)

    def _handle_message(self, peer, message):
        match message:
            case messages.EntryHeartbeatReply():
                self._handle_heartbeat_reply(message)
            case messages.SlotGranted():
                self._handle_grant(message)
            case messages.SlotRefused():
                self._handle_refusal(message)
            case messages.SlotDuplicate():
                request = self.waiting.pop(message.request_id, None)
                if request is not None:
                    request.outcome = "duplicate"
            case messages.RecoverRequest():
                self._answer_recovery(peer, message)
            case _:
                event = events.FromPeer(peer, message)
                self.task.handle(event, self._clock.now_ms)

    def _handle_heartbeat_reply(self, reply):
        if self._first_version is None:
            self._first_version = reply.committed_version
        sent_at_ms = self._heartbeat_sent_ms.pop(reply.nonce, None)
        if sent_at_ms is None:
            return
        for lease in reply.renewed:
            renewed = events.LeaseRenewed(
                lease.service, lease.epoch, sent_at_ms + reply.lease_ms
            )
            self.task.handle(renewed, self._clock.now_ms)

    def submit(self, request):
        """Submits a caller's request to this entry."""
        key = (request.service, request.key)
        if request.key:
            if key in self.records:
                request.outcome = "duplicate"
                return
            self.records[key] = [request.request_id, False]
        self.waiting[request.request_id] = request
        self._request_slot(request)

    def _find_holder(self, service):
        assigned = view.get_dispatcher(self._view, service)
        return assigned if assigned is not None and assigned.holder else None

    def _request_slot(self, request):
        now_ms = self._clock.now_ms
        holder = self._find_holder(request.service)
        if holder is None:
            return
        acquire = messages.AcquireSlot(
            request.request_id,
            request.service,
            request.team,
            request.urgent,
            max(1, request.deadline_ms - now_ms),
            request.key,
            0,
        )
        request.requested_at_ms = now_ms
        if self._send(holder.holder, acquire):
            request.holder = (holder.holder, holder.epoch)

    def _retry_waiting(self, peer=None):
        now_ms = self._clock.now_ms
        for request in list(self.waiting.values()):
            if now_ms >= request.deadline_ms:
                self._end_waiting(request, "not-run")
                cancel = messages.CancelWaiting(
                    request.service, (request.request_id,)
                )
                if request.holder:
                    self._send(request.holder[0], cancel)
                continue
            holder = self._find_holder(request.service)
            known = holder and (holder.holder, holder.epoch)
            moved = request.holder != known
            if moved or (peer is not None and known and known[0] == peer):
                request.holder = ""
                self._request_slot(request)

    def _end_waiting(self, request, outcome):
        self.waiting.pop(request.request_id, None)
        request.outcome = outcome
        if request.key and outcome == "not-run":
            self.records.pop((request.service, request.key), None)

    def _handle_refusal(self, refusal):
        request = self.waiting.get(refusal.request_id)
        if request is None:
            return
        if refusal.reason is outcomes.Reason.NO_DISPATCHER:
            request.holder = ""
            return
        self._end_waiting(request, "not-run")

    def _handle_grant(self, grant):
        now_ms = self._clock.now_ms
        request = self.waiting.pop(grant.request_id, None)
        key = (grant.epoch, grant.grant_id, grant.service)
        if request is None:
            if key not in self.running:
                self._release(grant, outcomes.OutcomeKind.NOT_RUN, 0)
            return
        granted_at_ms = request.requested_at_ms + grant.waited_ms
        too_late = now_ms >= min(
            granted_at_ms + grant.start_within_ms, request.deadline_ms
        )
        holder = self._find_holder(grant.service)
        newest = max(
            self._epochs.get(grant.service, 0), holder.epoch if holder else 0
        )
        self._epochs[grant.service] = max(newest, grant.epoch)
        if too_late or grant.epoch < newest:
            self._release(grant, outcomes.OutcomeKind.NOT_RUN, 0)
            self.waiting[request.request_id] = request
            request.holder = ""
            return
        self.running[key] = (request, grant)
        self._simulation.send_to_backend(self, request, grant)
        incarnation = self.incarnation

        def time_out():
            if self.incarnation is incarnation and key in self.running:
                self._simulation.run_when_unfrozen(
                    self, lambda: self._finish(key, "unknown", 1_000)
                )

        self._clock.after(max(1, request.deadline_ms - now_ms), time_out)

    def handle_answer(self, incarnation, request, grant):
        if self.incarnation is not incarnation or not self.alive:
            return
        key = (grant.epoch, grant.grant_id, grant.service)
        self._simulation.run_when_unfrozen(
            self, lambda: self._finish(key, "answered", 0)
        )

    def _finish(self, key, outcome, hold_ms):
        if key not in self.running:
            return
        request, grant = self.running.pop(key)
        request.outcome = outcome
        if request.key:
            self.records[(request.service, request.key)][1] = True
        kind = outcomes.OutcomeKind.ANSWERED
        if outcome == "unknown":
            kind = outcomes.OutcomeKind.UNKNOWN
        self._release(grant, kind, hold_ms)

    def _release(self, grant, kind, hold_ms):
        release = messages.SlotReleased(
            grant.request_id,
            grant.service,
            grant.epoch,
            grant.grant_id,
            kind,
            kind is outcomes.OutcomeKind.UNKNOWN,
            10,
            hold_ms,
        )
        self._send_release(release)

    def _send_release(self, release):
        holder = self._find_holder(release.service)
        if holder is None or not self._send(holder.holder, release):
            self._unsent_releases.append(release)

    def _answer_recovery(self, peer, question):
        known = self._epochs.get(question.service, 0)
        if question.epoch < known:
            return
        self._epochs[question.service] = question.epoch
        now_ms = self._clock.now_ms
        outstanding = tuple(
            messages.OutstandingRequest(
                grant.request_id,
                request.team,
                grant.backend_id,
                grant.incarnation,
                grant.epoch,
                grant.grant_id,
                max(0, request.deadline_ms - now_ms),
                request.key,
            )
            for request, grant in self.running.values()
            if grant.service == question.service
        )
        records = tuple(
            messages.IdempotencyRecord(
                key,
                request_id,
                self.name,
                finished,
                outcomes.OutcomeKind.UNKNOWN,
                600_000,
            )
            for (service, key), (request_id, finished) in self.records.items()
            if service == question.service
        )
        reply = messages.RecoverReply(
            question.service, question.epoch, outstanding, (), records
        )
        self._send(peer, reply)
