"""A run in which voters are lost and replaced while commands keep coming.

Cores and faults are given by the words in the tables of the features, such as
`leader,follower` and `frozen`.
"""

from bambookeel.consensus import events
from features.fakes import consensus_cluster
from features.fakes import core_timings

_WARM_UP_MS = 1_000
_WATCH_MS = 20
# Time after which a wiped or stopped core is started again.
_OUTAGE_MS = 1_000
_AFTER_MS = 2_000
# Maximum age of the newest committed command.
_FRESH_MS = 500
_ELECTIONS = 3
# Time between the first notice of a planned stop and the end of the process.
_NOTICE_MS = 1_500
_SLOW_LINK_MS = (40, 60)


class ReplacementRun:
    """A simulated cluster under load, with the settings of the platform."""

    def __init__(self, losses, catch_up_s, seed, gap_ms=20):
        timings = core_timings.build_timings(losses, catch_up_s)
        self.catch_up_ms = int(catch_up_s * 1_000)
        self.cluster = consensus_cluster.SimulatedCluster(
            seed,
            2 * losses + 1,
            timings.snapshot_every,
            settings=core_timings.build_settings(timings),
        )
        self.newcomers = []
        self.started_ms = 0
        # The leader at the time when the first newcomer got its vote.
        self.promoter = None
        self._hands_over_once_promoted = False
        self.cluster.run_until(self.cluster.has_stable_leader)
        self.cluster.call_every(gap_ms, self._propose)
        self.cluster.call_every(_WATCH_MS, self._watch)
        self.cluster.run_for(_WARM_UP_MS)

    def _propose(self):
        leader = self.cluster.find_leader()
        if leader is not None:
            payload = b"%d" % self.cluster.now_ms
            leader.run(events.ProposalsMade((payload,)))

    def _watch(self):
        leader = self.cluster.find_leader()
        if leader is None or self.promoter is not None:
            return
        voters = leader.core.membership.voters
        if any(node.member in voters for node in self.newcomers):
            self.promoter = leader
            if self._hands_over_once_promoted:
                leader.run(events.HandOverRequested())

    # --- Choice of cores ---

    def pick(self, words):
        """Finds the cores that a list such as `leader,follower` names."""
        wanted = words.split(",")
        leader = self.cluster.find_leader()
        assert leader is not None, "there is no leader before the loss"
        picked = []
        if "promoter" in wanted:
            picked.append(self.promoter or leader)
        if "leader" in wanted:
            picked.append(leader)
        if "newcomer" in wanted:
            picked.append(self.newcomers[0])
        followers = [
            node
            for node in self.cluster.nodes.values()
            if node.is_up
            and not node.is_frozen
            and node is not leader
            and node not in picked
            and node not in self.newcomers
        ]
        picked += followers[: wanted.count("follower")]
        assert len(picked) == len(wanted), "too few cores are running"
        return picked

    # --- Faults and replacements ---

    def add_core(self):
        """Starts a core with an empty disk as a new process."""
        node = self.cluster.add_node(f"p{len(self.cluster.nodes)}")
        node.start()
        return node

    def _start_newcomers(self, count, is_slow=False):
        self.started_ms = self.cluster.now_ms
        self.newcomers = [self.add_core() for _ in range(count)]
        for node in self.newcomers:
            if is_slow:
                self.cluster.link_delays_ms[node.process] = _SLOW_LINK_MS

    def replace(self, first, after_ms, is_slow=False):
        """Stops cores permanently and later starts as many new ones."""
        lost = self.pick(first)
        for node in lost:
            node.stop()
        self.cluster.run_for(after_ms)
        self._start_newcomers(len(lost), is_slow)

    def replace_as_planned(self, first, after_ms):
        """Starts new cores first and stops the old ones after `after_ms`."""
        self._start_newcomers(len(first.split(",")))
        self.cluster.run_for(after_ms)
        self._stop_as_planned(self.pick(first))

    def wipe(self, first):
        """Wipes the disks of cores and starts them again after an outage."""
        lost = self.pick(first)
        for node in lost:
            node.stop()
            node.wipe()
        self.cluster.run_for(_OUTAGE_MS)
        self.started_ms = self.cluster.now_ms
        for node in lost:
            node.start()
        self.newcomers = lost

    def _stop_as_planned(self, nodes):
        ends_ms = self.cluster.now_ms + _NOTICE_MS
        while self.cluster.now_ms < ends_ms:
            for node in nodes:
                node.run(events.StopRequested())
            self.cluster.run_for(_WATCH_MS)
        for node in nodes:
            node.stop()

    def change_leader(self, at_ms):
        """Hands leadership over `at_ms` after the newcomers' start."""
        self.cluster.run_for(self.started_ms + at_ms - self.cluster.now_ms)
        self.cluster.run_until(self.cluster.has_stable_leader)
        self.cluster.find_leader().run(events.HandOverRequested())

    def restart_leader(self, at_ms):
        """Stops the leader as planned `at_ms` after the newcomers' start.

        Returns:
            Time when it was started again.
        """
        self.cluster.run_for(self.started_ms + at_ms - self.cluster.now_ms)
        self.cluster.run_until(self.cluster.has_stable_leader)
        leader = self.cluster.find_leader()
        self._stop_as_planned([leader])
        self.cluster.run_for(_OUTAGE_MS)
        leader.start()
        return self.cluster.now_ms

    def hand_over_once_promoted(self):
        """Lets the leader hand over as soon as a newcomer has its vote."""
        self._hands_over_once_promoted = True

    def wait_for_next_loss(self, since_ms=None):
        """Runs until the time by which the newcomers must have their votes."""
        since_ms = self.started_ms if since_ms is None else since_ms
        due_ms = since_ms + self.catch_up_ms
        self.cluster.run_for(due_ms - self.cluster.now_ms)

    def lose(self, second, fault):
        """Kills, wipes or freezes further cores."""
        for node in self.pick(second):
            match fault:
                case "killed":
                    node.stop()
                case "wiped":
                    node.stop()
                    node.wipe()
                    self.cluster.call_in(_OUTAGE_MS, node.start)
                case "frozen":
                    node.is_frozen = True

    def lose_power(self, second):
        """Stops all cores for an outage; those named lose their disks."""
        wiped = self.pick(second)
        stopped = [n for n in self.cluster.nodes.values() if n.is_up]
        for node in stopped:
            node.stop()
        for node in wiped:
            node.wipe()
        self.cluster.run_for(_OUTAGE_MS)
        for node in stopped:
            node.start()

    def disturb(self, node, fault, duration_ms):
        """Freezes a core or cuts it off from the others for a time."""
        if fault == "frozen":
            node.is_frozen = True
        else:
            for other in self.cluster.nodes:
                self.cluster.cuts |= {
                    (node.process, other),
                    (other, node.process),
                }
        self.cluster.run_for(duration_ms)
        self.cluster.cuts.clear()
        if node.is_frozen:
            self.cluster.thaw(node)

    def partition_with_leader(self, first, duration_ms):
        """Cuts the leader and a newcomer off from the other cores for a time.

        The newcomer starts during the partition. If cores are named, they are
        stopped before, and the newcomer takes their place; otherwise it waits
        to join.
        """
        for node in self.pick(first) if first else []:
            node.stop()
        self._start_newcomers(1)
        leader = self.cluster.find_leader()
        side = {leader.process, self.newcomers[0].process}
        for one in side:
            for other in self.cluster.nodes.keys() - side:
                self.cluster.cuts |= {(one, other), (other, one)}
        self.cluster.run_for(duration_ms)
        self.cluster.cuts.clear()

    # --- Checks ---

    def check_votes(self):
        """Checks that all newcomers are voters."""
        leader = self.cluster.find_leader()
        assert leader is not None, "there is no leader"
        voters = leader.core.membership.voters
        missing = [n for n in self.newcomers if n.member not in voters]
        assert not missing, f"newcomers without a vote: {self._describe()}"

    def count_changes(self):
        """Counts the membership changes committed after the first entry."""
        return len(self.cluster.memberships) - 1

    def check_same_voters(self):
        """Checks that the voters have not changed since the first entry."""
        found = {
            tuple(sorted(m.voters)) for m in self.cluster.memberships.values()
        }
        assert len(found) == 1, f"the voters changed: {self._describe()}"

    def check_service(self):
        """Checks that commits resume soon and continue, and none is lost."""
        cluster = self.cluster
        since_ms = cluster.now_ms
        acknowledged = cluster.max_committed
        limit_ms = _ELECTIONS * cluster.settings.election_max_ms
        while not self._has_committed_since(since_ms):
            in_time = cluster.now_ms < since_ms + limit_ms
            assert (
                in_time
            ), f"no commit within {limit_ms} ms: {self._describe()}"
            cluster.run_one()
        cluster.run_for(_AFTER_MS)
        continues = self._has_committed_since(cluster.now_ms - _FRESH_MS)
        assert continues, f"commits stopped: {self._describe()}"
        leader = cluster.find_leader()
        assert leader.applied >= acknowledged, "acknowledged commands are lost"
        cluster.check_digest(leader.applied, leader.digest)
        cluster.check_logs_match()

    def _has_committed_since(self, since_ms):
        payload = self.cluster.committed[self.cluster.max_committed][1]
        return payload.isdigit() and int(payload) >= since_ms

    def _describe(self):
        found = []
        for node in self.cluster.nodes.values():
            if not node.is_up or node.is_frozen:
                continue
            members = node.core.membership
            found.append(
                f"{node.process} {node.core.role.value}"
                f" voters={_name(members.voters)}"
                f" learners={_name(members.learners)}"
            )
        return "; ".join(found)


def _name(members):
    return ",".join(member.partition("/")[0] for member in members) or "none"
