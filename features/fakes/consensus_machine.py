"""A Hypothesis state machine over simulated clusters of 3 and 5 cores."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from bambookeel.consensus import events
from features.fakes import consensus_cluster

_NODES = strategies.integers(0, 4)


class ConsensusMachine(stateful.RuleBasedStateMachine):
    """Operations in any order; the cluster checks the invariants.

    Hypothesis sorts the rules by name: a renamed rule changes the examples.
    """

    def __init__(self):
        super().__init__()
        self.cluster = None

    @stateful.initialize(
        size=strategies.sampled_from((3, 5)),
        seed=strategies.integers(0, 1_000),
    )
    def build(self, size, seed):
        self.cluster = consensus_cluster.SimulatedCluster(
            seed, size, snapshot_every=8
        )
        self.cluster.run_for(2_000)

    def _get(self, number):
        names = sorted(self.cluster.nodes)
        return self.cluster.nodes[names[number % len(names)]]

    @stateful.rule(duration=strategies.integers(1, 1_500))
    def pass_time(self, duration):
        self.cluster.run_for(duration)

    @stateful.rule(count=strategies.integers(1, 12))
    def propose(self, count):
        for node in list(self.cluster.nodes.values()):
            if node.leads() and not node.is_frozen:
                node.run(events.ProposalsMade((b"command",) * count))

    @stateful.rule()
    def read(self):
        for node in list(self.cluster.nodes.values()):
            if node.leads() and not node.is_frozen:
                self.cluster.request_read(node)

    @stateful.rule(number=_NODES)
    def kill_or_start(self, number):
        node = self._get(number)
        if node.is_up:
            node.stop()
        else:
            node.start()

    @stateful.rule(number=_NODES)
    def freeze_or_thaw(self, number):
        node = self._get(number)
        if not node.is_up:
            return
        if node.is_frozen:
            self.cluster.thaw(node)
        else:
            node.is_frozen = True

    @stateful.rule(sender=_NODES, receiver=_NODES)
    def cut(self, sender, receiver):
        pair = (self._get(sender).process, self._get(receiver).process)
        self.cluster.cuts.add(pair)

    @stateful.rule()
    def mend(self):
        self.cluster.cuts.clear()

    @stateful.rule(delay=strategies.sampled_from((5, 100, 400)))
    def delay_messages(self, delay):
        self.cluster.delay_ms = (1, delay)
        self.cluster.duplicate_probability = 0.1 if delay > 5 else 0.0

    @stateful.rule(number=_NODES)
    def lose_disk(self, number):
        if not self.cluster.has_full_membership():
            return
        node = self._get(number)
        node.stop()
        node.wipe()
        node.start()

    @stateful.rule()
    def hand_over(self):
        leader = self.cluster.find_leader()
        if leader is not None:
            leader.run(events.HandOverRequested())

    @stateful.invariant()
    def check_logs(self):
        if self.cluster is not None:
            self.cluster.check_logs_match()

    def teardown(self):
        if self.cluster is not None:
            self.cluster.heal()
            self.cluster.run_until(self.cluster.has_converged, 60_000)


def run_machine():
    """Runs the state machine with a fixed seed."""
    settings = hypothesis.settings(max_examples=40, stateful_step_count=60)
    stateful.run_state_machine_as_test(ConsensusMachine, settings=settings)
