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


class ReplacementRun:
    """A world under load, with the settings of the users' platform."""

    def __init__(self, losses, catch_up_s, seed, gap_ms=20):
        timings = core_timings.build_timings(losses, catch_up_s)
        self.catch_up_ms = int(catch_up_s * 1_000)
        self.world = consensus_world.World(
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
        self.world.run_until(self.world.has_stable_leader)
        self.world.call_every(gap_ms, self._propose)
        self.world.call_every(_WATCH_MS, self._watch)
        self.world.run_for(_WARM_UP_MS)

    def _propose(self):
        leader = self.world.find_leader()
        if leader is not None:
            payload = b"%d" % self.world.now_ms
            leader.run(events.ProposalsMade((payload,)))

    def _watch(self):
        leader = self.world.find_leader()
        if leader is None or self.promoter is not None:
            return
        voters = leader.core.membership.voters
        if any(node.member in voters for node in self.newcomers):
            self.promoter = leader
            if self._hands_over_then:
                leader.run(events.HandOverAsked())

    # --- Who ---

    def pick(self, words):
        """Finds the cores of a list such as `leader,follower`."""
        wanted = words.split(",")
        leader = self.world.find_leader()
        assert leader is not None, "nobody leads before the loss"
        picked = []
        if "promoter" in wanted:
            picked.append(self.promoter or leader)
        if "leader" in wanted:
            picked.append(leader)
        followers = [
            node
            for node in self.world.nodes.values()
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
        node = self.world.add_node(f"p{len(self.world.nodes)}")
        node.start()
        return node

    def replace(self, first, after_ms):
        """Loses cores for good and starts as many others after a time."""
        lost = self.pick(first)
        for node in lost:
            node.stop()
        self.world.run_for(after_ms)
        self.started_ms = self.world.now_ms
        self.newcomers = [self.add_core() for _ in lost]

    def hand_over_once_promoted(self):
        """Moves leadership on as soon as a newcomer has its vote."""
        self._hands_over_then = True

    def wait_for_next_loss(self):
        """Runs until the newcomers must have their votes."""
        due_ms = self.started_ms + self.catch_up_ms
        self.world.run_for(due_ms - self.world.now_ms)

    def lose(self, second, fault):
        """Loses further cores."""
        for node in self.pick(second):
            match fault:
                case "killed":
                    node.stop()
                case "wiped":
                    node.stop()
                    node.wipe()
                    self.world.call_in(_OUTAGE_MS, node.start)
                case "frozen":
                    node.is_frozen = True

    # --- What must hold ---

    def check_service(self):
        """Checks that a leader commits soon, goes on, and has lost nothing."""
        world = self.world
        since_ms = world.now_ms
        acknowledged = world.max_committed
        limit_ms = _ELECTIONS * world.settings.election_max_ms
        while not self._has_committed_since(since_ms):
            in_time = world.now_ms < since_ms + limit_ms
            assert in_time, f"no commit in {limit_ms} ms: {self._describe()}"
            world.run_one()
        world.run_for(_AFTER_MS)
        goes_on = self._has_committed_since(world.now_ms - _FRESH_MS)
        assert goes_on, f"commits stopped: {self._describe()}"
        leader = world.find_leader()
        assert leader.applied >= acknowledged, "acknowledged commands are lost"
        world.check_digest(leader.applied, leader.digest)
        world.check_logs_match()

    def _has_committed_since(self, since_ms):
        payload = self.world.committed[self.world.max_committed][1]
        return payload.isdigit() and int(payload) >= since_ms

    def _describe(self):
        found = []
        for node in self.world.nodes.values():
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
