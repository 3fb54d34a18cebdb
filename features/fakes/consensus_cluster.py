"""A simulated cluster of cores with a fake clock, network and disks.

All random choices depend on a seed. The simulation checks invariants over all
replicas: one leader per term, one committed entry per index, no lease that
overlaps a commit of a later leader, and reads that include every earlier
commit.
"""

import heapq
import itertools
import random

from bambookeel.consensus import events
from bambookeel.consensus import log as core_log
from bambookeel.consensus import membership
from bambookeel.consensus import records
from features.fakes import consensus_node

_TICK_MS = 20


class SimulatedCluster:
    """The replicas with their network, disks and clock."""

    def __init__(
        self, seed, size, snapshot_every=40, max_voters=0, settings=None
    ):
        self.rng = random.Random(seed)
        self.now_ms = 1_000
        self.steps = 0
        self.syncs = 0
        self.messages = 0
        self.snapshots_installed = 0
        self.snapshot_every = snapshot_every
        self.settings = settings or records.CoreSettings(
            retained_entries=10, max_voters=max_voters, lost_voter_ms=2_000
        )
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.delay_ms = (1, 5)
        # Ranges of message delays of single processes, instead of `delay_ms`.
        self.link_delays_ms = {}
        self.sync_ms = (1, 4)
        self.sync_failure_probability = 0.0
        self.cuts = set()
        self.slow_disks = set()
        # Range of the time that a slow disk adds to each sync.
        self.extra_sync_ms = (100, 2_000)
        # Time added to each message from or to a process.
        self.extra_link_delay_ms = {}
        self.leaders = {}
        self.committed = {}
        self.max_committed = 0
        # Committed memberships by log index.
        self.memberships = {}
        self.reads = {}
        self.handed_over = 0
        # Whether leaders are told of new disks without any message.
        self.announces_disks = True
        # Told of each start and stop of a core, if set.
        self.observer = None
        self._read_ids = itertools.count(1)
        self._heap = []
        self._order = itertools.count()
        self.nodes = {}
        for i in range(size):
            self.add_node(f"p{i}")
        members = []
        for node in self.nodes.values():
            node.start()
            members.append(node.member)
        first = membership.Membership(tuple(sorted(members)))
        for node in self.nodes.values():
            node.start(first)

    def add_node(self, process):
        # The rates of the clocks differ by less than `drift_margin_ms` allows.
        rate = self.rng.uniform(0.98, 1.02)
        node = consensus_node.CoreNode(self, process, rate)
        self.nodes[process] = node
        self._push(self.rng.randint(1, _TICK_MS), self._tick, node)
        return node

    # --- Time ---

    def _push(self, delay_ms, action, *arguments):
        due = self.now_ms + delay_ms
        item = (due, next(self._order), action, arguments)
        heapq.heappush(self._heap, item)

    def call_in(self, delay_ms, action):
        """Schedules an action once, after a delay."""
        self._push(delay_ms, action)

    def call_every(self, period_ms, action):
        """Schedules an action periodically."""

        def call():
            self._push(period_ms, call)
            action()

        self._push(period_ms, call)

    def run_one(self):
        """Runs the next scheduled action."""
        due, _, action, arguments = heapq.heappop(self._heap)
        self.now_ms = max(self.now_ms, due)
        action(*arguments)

    def run_for(self, duration_ms):
        ends_ms = self.now_ms + duration_ms
        while self._heap[0][0] <= ends_ms:
            self.run_one()
        self.now_ms = ends_ms

    def run_until(self, is_done, limit_ms=20_000):
        ends_ms = self.now_ms + limit_ms
        while not is_done():
            assert self.now_ms < ends_ms, "the condition did not hold in time"
            self.run_one()

    def _tick(self, node):
        self._push(_TICK_MS, self._tick, node)
        if not node.is_up or node.is_frozen:
            return
        is_member = records.is_committed_member(node.core)
        if self.announces_disks and not is_member:
            for other in self.nodes.values():
                if other.leads() and not other.is_frozen:
                    other.run(events.NonMemberSeen(node.member))
        node.run(events.TimerDue())

    # --- Network and disks ---

    def send(self, node, to, message):
        self.messages += 1
        copies = 1
        if self.rng.random() < self.loss_probability:
            copies = 0
        elif self.rng.random() < self.duplicate_probability:
            copies = 2
        process = membership.get_process(to)
        for _ in range(copies):
            delay_ms = self.rng.randint(
                *self._get_delays(node.process, process)
            )
            delay_ms += self.extra_link_delay_ms.get(node.process, 0)
            delay_ms += self.extra_link_delay_ms.get(process, 0)
            self._push(delay_ms, self._deliver, node.process, process, message)

    def _get_delays(self, source, process):
        for end in (source, process):
            if end in self.link_delays_ms:
                return self.link_delays_ms[end]
        return self.delay_ms

    def _deliver(self, source, process, message):
        node = self.nodes[process]
        if (source, process) in self.cuts or not node.is_up:
            return
        if node.is_frozen:
            node.inbox.append(message)
            return
        node.run(events.MessageReceived(message))

    def thaw(self, node):
        node.is_frozen = False
        inbox, node.inbox = node.inbox, []
        for message in inbox:
            if node.is_up:
                node.run(events.MessageReceived(message))

    def schedule_sync(self, node, synced):
        delay_ms = self.rng.randint(*self.sync_ms)
        if node.process in self.slow_disks:
            delay_ms += self.rng.randint(*self.extra_sync_ms)
        self._push(
            delay_ms, self._end_sync, node, node.core.member, synced, node.store
        )

    def _end_sync(self, node, member, synced, store):
        if not node.is_up or node.member != member or node.store is not store:
            return
        if self.rng.random() < self.sync_failure_probability:
            node.stop()
            return
        if node.is_frozen:
            self._push(_TICK_MS, self._end_sync, node, member, synced, store)
            return
        node.end_sync(synced)

    # --- Checks ---

    def check_leader(self, term, member):
        known = self.leaders.setdefault(term, member)
        assert (
            known == member
        ), f"term {term} has two leaders: {known} and {member}"

    def check_commit(self, node, entry, digest):
        value = (entry.term, entry.payload, digest)
        if entry.is_membership:
            decoded = membership.decode_membership(entry.payload)
            self.memberships[entry.index] = decoded
        known = self.committed.setdefault(entry.index, value)
        assert (
            known == value
        ), f"two entries are committed at index {entry.index}"
        self.max_committed = max(self.max_committed, entry.index)
        if not node.leads():
            return
        for other in self.nodes.values():
            if other is node or not other.holds_lease():
                continue
            assert (
                other.core.term >= node.core.term
            ), "a lease overlaps a commit of a later leader"

    def check_digest(self, index, digest):
        if index:
            assert (
                self.committed[index][2] == digest
            ), "a snapshot differs from the committed state"

    def request_read(self, node):
        read_id = next(self._read_ids)
        self.reads[read_id] = self.max_committed
        node.run(events.ReadRequested(read_id))

    def check_read(self, read_id, index):
        assert (
            index >= self.reads[read_id]
        ), "a read does not include an earlier commit"

    def check_logs_match(self):
        running = [node.core.log for node in self.nodes.values() if node.is_up]
        for i, first in enumerate(running):
            for second in running[i + 1 :]:
                _check_prefix(first, second)

    # --- Queries ---

    def find_leader(self):
        leading = [node for node in self.nodes.values() if node.leads()]
        leading = [node for node in leading if not node.is_frozen]
        return max(leading, key=lambda node: node.core.term, default=None)

    def has_stable_leader(self):
        leader = self.find_leader()
        if leader is None:
            return False
        return leader.core.commit_index >= leader.core.term_start_index

    def has_full_membership(self):
        """Checks that each process is a voter and no change is uncommitted."""
        if self.settings.max_voters:
            return self._has_all_bounded_votes()
        leader = self.find_leader()
        if leader is None or not self.has_stable_leader():
            return False
        core = leader.core
        if (
            core.membership_index > core.commit_index
            or core.membership.learners
        ):
            return False
        own = {node.member for node in self.nodes.values() if node.is_up}
        return own == set(core.membership.voters) and len(own) == len(
            self.nodes
        )

    def _has_all_bounded_votes(self):
        """Checks the same where the number of voters is limited.

        All processes are up, as many of them are voters as the limit allows,
        and no change is uncommitted.
        """
        if not self.has_stable_leader():
            return False
        core = self.find_leader().core
        if core.membership_index > core.commit_index:
            return False
        own = {node.member for node in self.nodes.values() if node.is_up}
        voters = set(core.membership.voters)
        is_full = len(voters) == self.settings.max_voters
        return is_full and voters <= own and len(own) == len(self.nodes)

    def has_converged(self):
        if not self.has_full_membership():
            return False
        leader = self.find_leader()
        # The leader must know all other replicas, as they may replace voters.
        known = leader.core.membership.members + leader.core.non_members
        if any(node.member not in known for node in self.nodes.values()):
            return False
        wanted = leader.core.log.last_index
        return all(
            node.applied == wanted and node.digest == leader.digest
            for node in self.nodes.values()
            if node.member in leader.core.membership.members
        )

    def heal(self):
        self.cuts.clear()
        self.slow_disks.clear()
        self.loss_probability = self.duplicate_probability = (
            self.sync_failure_probability
        ) = 0.0
        self.delay_ms, self.sync_ms = (1, 5), (1, 4)
        for node in self.nodes.values():
            if not node.is_up:
                node.start()
            if node.is_frozen:
                self.thaw(node)


def _check_prefix(first, second):
    common = min(first.last_index, second.last_index)
    lowest = max(first.base_index, second.base_index)
    while common > lowest:
        term = core_log.get_term(first, common)
        if term == core_log.get_term(second, common):
            break
        common -= 1
    if common <= lowest:
        return
    ours = core_log.get_entries(first, lowest + 1, common)
    theirs = core_log.get_entries(second, lowest + 1, common)
    assert ours == theirs, "logs differ before an entry that they share"
