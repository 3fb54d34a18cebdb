"""Random losses of power and disks in a deployment that finds its leader.

Cores, views of the leader and the admission of new disks are those of the
product; sockets and clocks are simulated. Machines know each other only by
their seeds and by messages.
"""

import functools

from bambookeel.consensus import membership
from bambookeel.control import joining
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.node import gateway
from bambookeel.node import leader_finder

_JOIN_TICK_MS = 25
_SEED_DELAY_MS = (0, 3_000)
# After the start of a process, channels to it are open only after this time
# unless it has dialled the other process itself.
_REDIAL_MS = (0, 1_300)
# How long a message waits for its channel.
_MAX_PENDING_MS = 800


class _Runner:
    """The parts of a core runner that the admission of a disk uses."""

    def __init__(self, machine):
        self._machine = machine

    @property
    def core(self):
        return self._machine.node.core

    def has_membership(self):
        return bool(self.core.membership.members)

    def run_step(self, event):
        self._machine.node.run(event)

    def send(self, process, message):
        self._machine.send(process, message)

    def form_membership(self, formed):
        raise AssertionError(f"formed a second membership: {formed}")


class Machine:
    """One machine with its view of the leader and, with a disk, a core."""

    def __init__(self, site, process, node=None):
        self.site = site
        self.process = ids.ProcessId(process)
        self.node = node
        self.is_up = False
        self.gateway = None
        self.joining = None
        self.epoch = 0

    def start(self):
        """Starts the process; its core, if any, has been started before."""
        cluster = self.site.cluster
        self.is_up = True
        self.epoch += 1
        seeds = self.site.seeds
        view = leader_finder.LeaderView(
            self.process, seeds, known_ms=cluster.now_ms
        )
        self.gateway = gateway.Gateway(view, self, self.node is not None)
        if self.node is not None:
            self.joining = joining.Joining(
                _Runner(self), self.node.member, seeds, False
            )
        self.site.note_start(self)
        self._tick(self.epoch)
        self._try_to_join(self.epoch)

    def stop(self):
        """Stops the process at once."""
        self.is_up = False

    def _tick(self, epoch):
        if not self.is_up or epoch != self.epoch:
            return
        self.gateway.ask_and_announce(self.site.cluster.now_ms)
        delay_ms = gateway.TICK_MS
        self.site.cluster.call_in(delay_ms, lambda: self._tick(epoch))

    def _try_to_join(self, epoch):
        is_current = self.is_up and epoch == self.epoch
        if self.joining is None or not is_current:
            return
        if self.node.is_up:
            self.joining.try_to_join(self.site.cluster.now_ms)
        self.site.cluster.call_in(
            _JOIN_TICK_MS, lambda: self._try_to_join(epoch)
        )

    def send(self, process, message):
        """Sends a message; called by the product's code as its channels."""
        self.site.send(self, process, message)
        return True

    def receive(self, peer, message):
        """Handles a message as a node does."""
        match message:
            case messages.LeaderKnown():
                view = self.gateway.leader_view
                leader_finder.update_view(
                    view, peer, message, self.site.cluster.now_ms
                )
                if self.joining is not None:
                    contacts = (view.leader,) if view.leader else ()
                    self.joining.contacts = contacts + view.voters
            case messages.LeaderQuestion() if self.node is not None:
                self.send(peer, self._describe_leader())
            case messages.LeaderQuestion():
                self.send(peer, self.gateway.describe_leader())
            case messages.ReplicaIdentity() if self.joining is not None:
                self.joining.handle_identity(peer, message)

    def _describe_leader(self):
        core = self.node.core
        voters = tuple(
            membership.get_process(member) for member in core.membership.voters
        )
        return messages.LeaderKnown(
            0,
            membership.get_process(core.leader),
            core.term,
            self.node.holds_lease(),
            voters,
        )

    def is_ready(self):
        """Whether the machine has a confirmed leader."""
        view = self.gateway.leader_view
        return view.is_confirmed(self.site.cluster.now_ms)


class Site:
    """All machines; those with a disk belong to a simulated cluster."""

    def __init__(self, cluster, rng, relays):
        self.cluster = cluster
        self.rng = rng
        self.seeds = tuple(ids.ProcessId(p) for p in list(cluster.nodes)[:3])
        self.machines = {}
        # Time from which messages on a channel arrive.
        self._opens_ms = {}
        cluster.announces_disks = False
        cluster.observer = self
        for node in cluster.nodes.values():
            self.handle_start(node)
        self.relays = [self._add_machine(f"r{i}") for i in range(relays)]
        for machine in self.relays:
            machine.start()

    def _add_machine(self, process, node=None):
        machine = Machine(self, process, node)
        self.machines[machine.process] = machine
        return machine

    def handle_start(self, node):
        """Starts the machine of a core."""
        machine = self.machines.get(node.process)
        if machine is None:
            machine = self._add_machine(node.process, node)
        machine.start()

    def handle_stop(self, node):
        """Stops the machine of a core."""
        self.machines[node.process].stop()

    def note_start(self, machine):
        """Resets the channels of a process that has started."""
        for other in self.machines:
            opens_ms = self.cluster.now_ms + self.rng.randint(*_REDIAL_MS)
            self._opens_ms[other, machine.process] = opens_ms
            self._opens_ms.pop((machine.process, other), None)

    def send(self, machine, process, message):
        """Sends a message, which is lost if the other process is down."""
        cluster = self.cluster
        other = self.machines.get(process)
        if other is None or not other.is_up:
            return
        epoch = other.epoch
        # A process that is dialled dials back at once.
        self._opens_ms.pop((process, machine.process), None)
        opens_ms = self._opens_ms.get((machine.process, process), 0)
        delay_ms = max(opens_ms - cluster.now_ms, 0)
        if delay_ms > _MAX_PENDING_MS:
            return
        delay_ms += self.rng.randint(1, 5)
        if process == machine.process:
            delay_ms = 0
        pair = (machine.process, process)

        def deliver():
            if not other.is_up or other.epoch != epoch:
                return
            if pair in cluster.cuts or pair[::-1] in cluster.cuts:
                return
            other.receive(machine.process, message)

        cluster.call_in(delay_ms, deliver)

    def change_seeds(self):
        """Names other seeds, which all running machines learn in time."""
        running = [m.process for m in self.machines.values() if m.is_up]
        self.seeds = tuple(self.rng.sample(running, 3))
        seeds = self.seeds

        def apply(machine):
            if machine.is_up:
                machine.gateway.leader_view.seeds = seeds

        for machine in self.machines.values():
            delay_ms = self.rng.randint(*_SEED_DELAY_MS)
            self.cluster.call_in(delay_ms, functools.partial(apply, machine))

    def list_unready(self):
        """Lists the running machines without a confirmed leader."""
        return [
            m.process
            for m in self.machines.values()
            if m.is_up and not m.is_ready()
        ]
