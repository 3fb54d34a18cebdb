"""A deployment in simulated time that checks what really runs."""

import collections
import dataclasses
import zlib

from bambookeel.control import lease_keeper
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.dispatch import allotments
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from features.fakes import dispatch_entry
from features.fakes import dispatch_network

_LEASE_MS = 1_200
_ALLOTMENT_MS = 1_500
_DEADLINE_MS = 5_000


@dataclasses.dataclass(frozen=True)
class DeploymentShape:
    entries: int = 4
    centres: int = 2
    services: tuple = ("orders", "labels")
    backends: int = 3
    slots: int = 4
    teams: tuple = (("coach", 1.0, 9), ("school", 2.0, 14))


class Control:
    """The control leader: the real decisions on a state in memory."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._clock = simulation.clock
        self.name = "control"
        self.state = model.State()
        self.term = 1
        self.is_leaderless = False
        self._start_term()
        self._clock.after(100, self._tick)

    def _start_term(self):
        self.leases = lease_keeper.LeaseKeeper(_LEASE_MS, _LEASE_MS)
        self.allotments = allotments.AllotmentLedger()

    def is_running(self):
        return True

    def change_leader(self):
        """Ends the leader's term; the next leader starts without its state."""
        self.is_leaderless = True

        def start_next_term():
            self.is_leaderless = False
            self.term += 1
            self._start_term()

        self._clock.after(1_500, start_next_term)

    def put(self, kind, name, spec):
        current = self.state.by_key.get((kind, name))
        version = current.version if current else commands.MUST_NOT_EXIST
        self.commit(commands.PutSpec(kind, name, version, spec))

    def commit(self, change):
        version = self.state.version + 1
        command = commands.Command(
            f"c{version}", "test", (commands.wrap_change(change),)
        )
        self.state = apply.apply_command(self.state, version, command).state
        for entry in self._simulation.entries.values():
            self.send_view(entry)

    def send_view(self, entry):
        version, by_key = self.state.version, self.state.by_key
        name = entry.name

        def deliver():
            pair = frozenset((self.name, name))
            if self._simulation.network.is_open(pair):
                entry.post(("view", version, by_key))

        self._clock.after(self._clock.random.choice((1, 2, 30)), deliver)

    def post(self, event):
        now_ms = self._clock.now_ms
        if self.is_leaderless:
            return
        match event:
            case ("message", peer, messages.EntryHeartbeat() as heartbeat):
                lease_keeper.start_term_if_new(self.leases, self.term, now_ms)
                renewed = lease_keeper.handle_heartbeat(
                    self.leases, self.state, peer, heartbeat, now_ms
                )
                reply = messages.EntryHeartbeatReply(
                    heartbeat.nonce,
                    True,
                    self.name,
                    self.state.version,
                    _LEASE_MS,
                    renewed,
                )
                self._simulation.network.send(self.name, peer, reply)
                if heartbeat.applied_version < self.state.version:
                    self.send_view(self._simulation.entries[peer])
            case ("message", peer, messages.AllotmentRequest() as request):
                self._allot(peer, request)

    def _allot(self, peer, request):
        if self.allotments.term != self.term:
            allotments.become_leader(self.allotments, self.term)
        limits = {}
        epochs = {}
        holders = {}
        for (_, name), resource in self.state.by_key.items():
            match resource.spec:
                case resources.TeamSpec(upper_limit=limit):
                    limits[name] = limit
                case resources.DispatcherSpec(holder=holder, epoch=epoch):
                    epochs[name] = epoch
                    holders[name] = holder
        reports = tuple(
            report
            for report in request.services
            if holders.get(report.service) == peer
            and epochs[report.service] == report.epoch
        )
        checked = dataclasses.replace(request, services=reports)
        reply = allotments.handle_request(
            self.allotments,
            allotments.AllotmentInputs(limits, epochs),
            checked,
            _ALLOTMENT_MS,
        )
        if reply is not None:
            self._simulation.network.send(self.name, peer, reply)

    def _tick(self):
        self._clock.after(100, self._tick)
        if self.is_leaderless:
            return
        now_ms = self._clock.now_ms
        lease_keeper.start_term_if_new(self.leases, self.term, now_ms)
        for change in lease_keeper.plan_assignments(
            self.leases, self.state, now_ms
        ):
            # Heartbeats continue to arrive until the change is committed.
            self._clock.after(30, lambda change=change: self.commit(change))


class DispatchSimulation:
    """The deployment, its load and a count of what really runs."""

    def __init__(self, seed, shape=DeploymentShape()):
        self.shape = shape
        self.clock = dispatch_network.Clock(seed)
        self.random = self.clock.random
        self.network = dispatch_network.Network(self.clock)
        self.entries = {}
        self.backend_cuts = set()
        self.requests = []
        self.runs = collections.Counter()
        self.key_runs = collections.Counter()
        self.running_by_team = collections.Counter()
        self.violations = []
        self.limits = {name: limit for name, _, limit in shape.teams}
        self.control = Control(self)
        self.network.add(self.control)
        names = [f"entry-{i}" for i in range(shape.entries)]
        centres = {
            name: f"dc-{i % shape.centres}" for i, name in enumerate(names)
        }
        self.centres = centres
        for name in names:
            entry = dispatch_entry.Entry(self, name, centres)
            self.entries[name] = entry
            self.network.add(entry)
        for name, weight, limit in shape.teams:
            spec = {"share_weight": weight, "upper_limit": limit}
            self.control.put(resources.Kind.TEAM, name, spec)
        self.backends = {}
        for service in shape.services:
            pool = {"wanted_size": shape.backends}
            self.control.put(resources.Kind.POOL, service, pool)
            spec = {"pool": service, "deadline_ms": _DEADLINE_MS}
            self.control.put(resources.Kind.SERVICE, service, spec)
            for i in range(shape.backends):
                backend = dispatch_network.Backend(
                    self.clock, self, service, f"{service}-{i}", shape.slots
                )
                self.backends[backend.name] = backend
                self.clock.after(self.random.randint(1, 500), backend.announce)

    def pick_entry(self):
        usable = [e for e in self.entries.values() if e.is_running()]
        return self.random.choice(usable) if usable else None

    def submit(self, **more):
        entry = self.pick_entry()
        if entry is None:
            return None
        team = self.random.choice(self.shape.teams)[0]
        fields = {
            "service": self.random.choice(self.shape.services),
            "team": team,
            "work_ms": self.random.choice((20, 100, 300, 1_500)),
            **more,
        }
        request = dispatch_entry.Request(
            request_id=f"r{len(self.requests)}",
            deadline_ms=self.clock.now_ms + self.random.randint(800, 4_900),
            **fields,
        )
        self.requests.append(request)
        entry.submit(request)
        return request

    def load(self, until_ms, gap_ms):
        """Submits requests until a time, some of them with repeated keys."""
        if self.clock.now_ms >= until_ms:
            return
        key = ""
        if self.random.random() < 0.3:
            key = f"key-{self.random.randint(0, len(self.requests) // 8 + 4)}"
        self.submit(key=key, service=self._pick_service(key))
        delay_ms = self.random.randint(1, 2 * gap_ms)
        self.clock.after(delay_ms, lambda: self.load(until_ms, gap_ms))

    def _pick_service(self, key):
        services = self.shape.services
        if key:
            return services[zlib.crc32(key.encode()) % len(services)]
        return self.random.choice(services)

    def run_when_unfrozen(self, entry, action):
        if entry.is_running():
            action()
        elif entry.alive:
            self.clock.after(50, lambda: self.run_when_unfrozen(entry, action))

    def send_to_backend(self, entry, request, grant):
        backend = self.backends[grant.backend_id]
        process_incarnation = entry.incarnation
        remaining_ms = request.deadline_ms - self.clock.now_ms
        sent_at_ms = self.clock.now_ms
        pair = (entry.name, backend.name)

        def reply(_request):
            if pair not in self.backend_cuts:
                entry.handle_answer(process_incarnation, request, grant)

        def arrive():
            waited_ms = self.clock.now_ms - sent_at_ms
            if pair in self.backend_cuts:
                if waited_ms < dispatch_entry.SEND_TIMEOUT_MS:
                    self.clock.after(50, arrive)
                return
            backend.run(request, grant.incarnation, remaining_ms, reply)

        self.clock.after(self.random.choice((0, 1, 3)), arrive)

    def record_start(self, backend, request):
        self.runs[request.request_id] += 1
        if request.key:
            self.key_runs[(request.service, request.key)] += 1
        self.running_by_team[request.team] += 1
        at = f"at {self.clock.now_ms}"
        if len(backend.running) > backend.slots:
            self.violations.append(f"{backend.name} runs too many {at}")
        if self.running_by_team[request.team] > self.limits[request.team]:
            self.violations.append(f"{request.team} exceeds its limit {at}")
        if self.runs[request.request_id] > 1:
            self.violations.append(f"{request.request_id} ran twice {at}")
        if request.key and self.key_runs[(request.service, request.key)] > 1:
            self.violations.append(f"{request.key} ran twice {at}")

    def record_end(self, backend, request):
        del backend
        self.running_by_team[request.team] -= 1

    def list_unreturned(self):
        """Lists grants and charges that remain in the holders' states."""
        unreturned = []
        for entry in self.entries.values():
            for state in entry.task.services.values():
                if state.grants.by_key:
                    unreturned.append((entry.name, list(state.grants.by_key)))
                for team, limit in state.limits.by_team.items():
                    if limit.charged or limit.unreported:
                        unreturned.append((entry.name, team, limit))
        return unreturned

    def count_outcomes(self):
        return collections.Counter(r.outcome or "open" for r in self.requests)


FAULT_KINDS = (
    "kill",
    "freeze",
    "cut-entries",
    "cut-control",
    "cut-backend",
    "isolate",
    "restart-backend",
    "change-leader",
    "stop",
)


class FaultInjector:
    """Injects random faults, each of which ends after some time."""

    def __init__(self, simulation, kinds=FAULT_KINDS, period_ms=3_000):
        self._simulation = simulation
        self._kinds = kinds
        self._period_ms = period_ms
        self.injected = collections.Counter()

    def run(self, until_ms):
        simulation = self._simulation
        if simulation.clock.now_ms >= until_ms:
            return
        kind = simulation.random.choice(self._kinds)
        self.injected[kind] += 1
        duration_ms = simulation.random.choice((100, 700, 1_300, 4_000, 9_000))
        self._inject(kind, duration_ms)
        delay_ms = simulation.random.randint(200, 2 * self._period_ms)
        simulation.clock.after(delay_ms, lambda: self.run(until_ms))

    def _inject(self, kind, duration_ms):
        simulation = self._simulation
        after = simulation.clock.after
        name = simulation.random.choice(sorted(simulation.entries))
        entry = simulation.entries[name]
        other = simulation.random.choice(
            sorted(set(simulation.entries) - {name})
        )
        usable = [e for e in simulation.entries.values() if e.is_running()]
        match kind:
            case "kill" | "stop" if entry.is_running() and len(usable) > 2:
                if kind == "stop":
                    entry.stop_gracefully()
                    after(2_000, lambda: entry.alive and entry.kill())
                    duration_ms += 2_000
                else:
                    entry.kill()
                after(duration_ms, lambda: self._restart(entry))
            case "freeze" if entry.is_running() and len(usable) > 2:
                entry.freeze()
                after(duration_ms, lambda: entry.alive and entry.unfreeze())
            case "cut-entries":
                simulation.network.cut(name, other)
                after(duration_ms, lambda: simulation.network.heal(name, other))
            case "cut-control":
                simulation.network.cut(name, "control")
                after(
                    duration_ms,
                    lambda: simulation.network.heal(name, "control"),
                )
            case "isolate":
                for peer in [*sorted(simulation.entries), "control"]:
                    if peer != name:
                        simulation.network.cut(name, peer)
                after(duration_ms, lambda: self._heal_all(name))
            case "cut-backend":
                pair = (
                    name,
                    simulation.random.choice(sorted(simulation.backends)),
                )
                simulation.backend_cuts.add(pair)
                after(
                    duration_ms, lambda: simulation.backend_cuts.discard(pair)
                )
            case "restart-backend":
                chosen = simulation.random.choice(sorted(simulation.backends))
                simulation.backends[chosen].restart()
            case "change-leader" if not simulation.control.is_leaderless:
                simulation.control.change_leader()

    def _restart(self, entry):
        if not entry.alive:
            entry._stopping = False  # pylint: disable=protected-access
            entry.start()

    def _heal_all(self, name):
        for peer in [*sorted(self._simulation.entries), "control"]:
            if peer != name:
                self._simulation.network.heal(name, peer)
