"""One run in which voters are lost and replaced while commands keep coming.

Who is lost and how is named by words, as they stand in the features' tables.
"""

from bambookeel.consensus import events
from features.fakes import consensus_world
from features.fakes import core_timings

_WARM_UP_MS = 1_000
_WATCH_MS = 20
# A wiped or cut-off machine is back after this time.
_OUTAGE_MS = 1_000
_AFTER_MS = 2_000
# The newest command that must be committed is at most this old.
_FRESH_MS = 500
_ELECTIONS = 3
# A stop is announced this long before the process ends.
_NOTICE_MS = 1_500
_SLOW_LINK_MS = (40, 60)


class ReplacementRun:
    """A world under load, with the settings of the users' platform."""

    def __init__(self, losses, catch_up_s, seed, gap_ms=20):
        timings = core_timings.build_timings(losses, catch_up_s)
        self.catch_up_ms = int(catch_up_s * 1_000)
        self.cluster = consensus_world.SimulatedCluster(
            seed,
            2 * losses + 1,
            timings.snapshot_every,
            settings=core_timings.build_settings(timings),
        )
        self.newcomers = []
        self.started_ms = 0
        # Who led when a newcomer got its vote.
        self.promoter = None
        self._hands_over_then = False
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
            if self._hands_over_then:
                leader.run(events.HandOverRequested())

    # --- Who ---

    def pick(self, words):
        """Finds the cores of a list such as `leader,follower`."""
        wanted = words.split(",")
        leader = self.cluster.find_leader()
        assert leader is not None, "nobody leads before the loss"
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
        assert len(picked) == len(wanted), "too few cores are left"
        return picked

    # --- What happens ---

    def add_core(self):
        """Starts a core with an empty disk at an address of its own."""
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
        """Loses cores for good and starts as many others after a time."""
        lost = self.pick(first)
        for node in lost:
            node.stop()
        self.cluster.run_for(after_ms)
        self._start_newcomers(len(lost), is_slow)

    def replace_as_planned(self, first, after_ms):
        """Starts other cores first, and stops the old ones after a time."""
        self._start_newcomers(len(first.split(",")))
        self.cluster.run_for(after_ms)
        self._stop_as_planned(self.pick(first))

    def wipe(self, first):
        """Takes the disks of cores, which start again after an outage."""
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
        """Moves leadership on, some time after the newcomers' start."""
        self.cluster.run_for(self.started_ms + at_ms - self.cluster.now_ms)
        self.cluster.run_until(self.cluster.has_stable_leader)
        self.cluster.find_leader().run(events.HandOverRequested())

    def restart_leader(self, at_ms):
        """Stops the leader as planned, some time after the newcomers' start.

        Returns:
            When it was started again.
        """
        self.cluster.run_for(self.started_ms + at_ms - self.cluster.now_ms)
        self.cluster.run_until(self.cluster.has_stable_leader)
        leader = self.cluster.find_leader()
        self._stop_as_planned([leader])
        self.cluster.run_for(_OUTAGE_MS)
        leader.start()
        return self.cluster.now_ms

    def hand_over_once_promoted(self):
        """Moves leadership on as soon as a newcomer has its vote."""
        self._hands_over_then = True

    def wait_for_next_loss(self, since_ms=None):
        """Runs until the newcomers must have their votes."""
        since_ms = self.started_ms if since_ms is None else since_ms
        due_ms = since_ms + self.catch_up_ms
        self.cluster.run_for(due_ms - self.cluster.now_ms)

    def lose(self, second, fault):
        """Loses further cores."""
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
        """Stops all cores for an outage in which some lose their disks."""
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
        """Freezes a core or cuts it off for a time."""
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

    def split_beside_leader(self, first, duration_ms):
        """Splits the leader and a newcomer from the rest for a time.

        The newcomer starts in the split. Cores that are named are lost before,
        and it takes their place; otherwise it waits.
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

    # --- What must hold ---

    def check_votes(self):
        """Checks that the newcomers vote."""
        leader = self.cluster.find_leader()
        assert leader is not None, "nobody leads"
        voters = leader.core.membership.voters
        missing = [n for n in self.newcomers if n.member not in voters]
        assert not missing, f"no vote: {self._describe()}"

    def count_changes(self):
        """Counts the committed changes of membership after the first entry."""
        return len(self.cluster.memberships) - 1

    def check_same_voters(self):
        """Checks that no vote has moved since the first entry."""
        found = {
            tuple(sorted(m.voters)) for m in self.cluster.memberships.values()
        }
        assert len(found) == 1, f"votes moved: {self._describe()}"

    def check_service(self):
        """Checks that a leader commits soon, goes on, and has lost nothing."""
        cluster = self.cluster
        since_ms = cluster.now_ms
        acknowledged = cluster.max_committed
        limit_ms = _ELECTIONS * cluster.settings.election_max_ms
        while not self._has_committed_since(since_ms):
            in_time = cluster.now_ms < since_ms + limit_ms
            assert in_time, f"no commit in {limit_ms} ms: {self._describe()}"
            cluster.run_one()
        cluster.run_for(_AFTER_MS)
        goes_on = self._has_committed_since(cluster.now_ms - _FRESH_MS)
        assert goes_on, f"commits stopped: {self._describe()}"
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
