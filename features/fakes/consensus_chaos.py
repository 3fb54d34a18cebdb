"""Injects random faults into a simulated cluster and checks it afterwards."""

from bambookeel.consensus import events
from bambookeel.consensus import membership
from bambookeel.core import faults

_CHECK_EVERY = 500
_REPAIR_MS = 2_000
# Interval at which a node repeats the notice of its stop.
_NOTICE_MS = 25


# Faults listed more than once are drawn more often. `heal` lets later faults
# start from a working cluster.
_FAULTS = (
    "heal heal heal kill start start freeze thaw cut cut_one_way"
    " cut_leader_from_one cut_leader_from_one restart restart restart_all"
    " reconnect disturb_network slow_disk slow_leader_disk fail_syncs"
    " end_disturbances lose_disk lose_disk hand_over hand_over remove"
    " kill_leader freeze_leader"
).split()


class Chaos:
    """Runs a simulated cluster under faults drawn from its random generator."""

    def __init__(self, cluster, extra_faults=()):
        self.cluster = cluster
        self.faults = (*_FAULTS, *extra_faults)
        self.rng = cluster.rng
        self.counts = {}
        self.proposed = 0

    def run(self, steps):
        """Runs steps under faults, ends the faults and checks all replicas."""
        cluster = self.cluster
        next_fault_ms = cluster.now_ms + 1_000
        next_check = _CHECK_EVERY
        while cluster.steps < steps:
            cluster.run_one()
            if cluster.rng.random() < 0.05:
                self._send_load()
            if cluster.now_ms >= next_fault_ms:
                next_fault_ms = cluster.now_ms + self.rng.randint(20, 1_500)
                self._do_fault()
            if cluster.steps >= next_check:
                next_check += _CHECK_EVERY
                cluster.check_logs_match()
        cluster.heal()
        cluster.run_until(cluster.has_converged, 60_000)
        cluster.check_logs_match()
        faults.check_invariant(
            len(cluster.committed) == cluster.max_committed,
            "entries are missing below the highest committed index",
        )

    def _send_load(self):
        cluster = self.cluster
        leader = cluster.find_leader()
        if leader is None:
            return
        if self.rng.random() < 0.3:
            cluster.request_read(leader)
            return
        batch = []
        for _ in range(self.rng.randint(1, 4)):
            self.proposed += 1
            batch.append(b"command %d" % self.proposed)
        leader.run(events.ProposalsMade(tuple(batch)))

    def _do_fault(self):
        name = self.rng.choice(self.faults)
        if getattr(self, f"_{name}")() is not False:
            self.counts[name] = self.counts.get(name, 0) + 1

    def _pick(self, is_wanted):
        nodes = [n for n in self.cluster.nodes.values() if is_wanted(n)]
        return self.rng.choice(nodes) if nodes else None

    def _kill(self):
        node = self._pick(lambda n: n.is_up)
        if node is None:
            return False
        node.stop()
        return True

    def _kill_leader(self):
        leader = self.cluster.find_leader()
        if leader is None:
            return False
        leader.stop()
        return True

    def _heal(self):
        self.cluster.heal()

    def _restart(self):
        node = self._pick(lambda n: n.is_up)
        if node is None:
            return False
        node.stop()
        node.start()
        return True

    def _restart_all(self):
        for node in self.cluster.nodes.values():
            if node.is_up:
                node.stop()
            node.start()

    def _cut_leader_from_one(self):
        leader = self.cluster.find_leader()
        other = self._pick(lambda n: n is not leader)
        if leader is None:
            return False
        pairs = ((leader, other), (other, leader))
        self.cluster.cuts |= {(a.process, b.process) for a, b in pairs}
        return True

    def _freeze_leader(self):
        leader = self.cluster.find_leader()
        if leader is None:
            return False
        leader.is_frozen = True
        return True

    def _slow_leader_disk(self):
        leader = self.cluster.find_leader()
        if leader is None:
            return False
        self.cluster.slow_disks = {leader.process}
        return True

    def _start(self):
        node = self._pick(lambda n: not n.is_up)
        if node is None:
            return False
        node.start()
        return True

    def _freeze(self):
        node = self._pick(lambda n: n.is_up and not n.is_frozen)
        if node is None:
            return False
        node.is_frozen = True
        return True

    def _thaw(self):
        node = self._pick(lambda n: n.is_up and n.is_frozen)
        if node is None:
            return False
        self.cluster.thaw(node)
        return True

    def _cut(self):
        one, two = self.rng.sample(sorted(self.cluster.nodes), 2)
        self.cluster.cuts |= {(one, two), (two, one)}

    def _cut_one_way(self):
        one, two = self.rng.sample(sorted(self.cluster.nodes), 2)
        self.cluster.cuts.add((one, two))

    def _reconnect(self):
        if not self.cluster.cuts:
            return False
        self.cluster.cuts.clear()
        return True

    def _disturb_network(self):
        self.cluster.loss_probability, self.cluster.duplicate_probability = (
            0.1,
            0.1,
        )
        self.cluster.delay_ms = (1, self.rng.choice((5, 50, 300)))

    def _slow_disk(self):
        self.cluster.sync_ms = (1, self.rng.choice((20, 200, 600)))

    def _fail_syncs(self):
        self.cluster.sync_failure_probability = 0.02

    def _end_disturbances(self):
        self.cluster.loss_probability = self.cluster.duplicate_probability = 0.0
        self.cluster.sync_failure_probability = 0.0
        self.cluster.delay_ms, self.cluster.sync_ms = (1, 5), (1, 4)

    def _lose_disk(self):
        # Losing more disks than a quorum can spare loses data by definition.
        self.cluster.heal()
        self.cluster.run_for(_REPAIR_MS)
        if not self.cluster.has_full_membership():
            return False
        node = self._pick(lambda n: True)
        node.stop()
        node.wipe()
        node.start()
        return True

    def _hand_over(self):
        leader = self.cluster.find_leader()
        if leader is None:
            return False
        leader.run(events.HandOverRequested())
        return True

    def _stop_as_planned(self):
        # The process announces its stop up to 50 times before it ends, and may
        # be started again.
        node = self._pick(lambda n: n.is_up and not n.is_frozen)
        if node is None:
            return False
        for _ in range(self.rng.randint(1, 50)):
            node.run(events.StopRequested())
            self.cluster.run_for(_NOTICE_MS)
            if not node.is_up or node.is_frozen:
                return True
        node.stop()
        if self.rng.random() < 0.7:
            node.start()
        return True

    def _remove(self):
        # The removed process is started again with a new disk.
        if (
            len(self.cluster.nodes) < 5
            or not self.cluster.has_full_membership()
        ):
            return False
        leader = self.cluster.find_leader()
        node = self._pick(lambda n: n is not leader)
        change = membership.Remove(node.member)
        leader.run(events.MembershipChangeRequested(change))
        if node.member in leader.core.membership.members:
            return False
        node.stop()
        node.wipe()
        node.start()
        return True
