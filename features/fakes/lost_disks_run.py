"""Random runs in which disks are lost before all cores lose power.

At no time are more disks lost than the settings promise to tolerate: a disk
counts as lost until `catch_up_s` after the last start of its replacement, and a
core that was cut off until the same time after it is back.
"""

import random

from bambookeel.consensus import events
from features.fakes import discovery_run
from features.fakes import replacement_run

_SETTLE_MS = 2_000
_OUTAGES_MS = (200, 2_500)
_POWER_OUTAGE_MS = 1_600
_START_SPREAD_MS = 700
_READY_MS = 2_000
_MAX_ROUNDS = 3
# Disturbances between the losses that cost no disk.
_HARMLESS = ("none", "none", "hand_over", "slow_disk", "kill_one", "kill_all")


class LostDisksRun:
    """A simulated cluster with more disks than voters, under load."""

    def __init__(self, seed, losses, disks, catch_up_s, relays=0):
        self.rng = random.Random(seed)
        self.losses = losses
        self.run = replacement_run.ReplacementRun(losses, catch_up_s, seed)
        self.cluster = self.run.cluster
        # Times until which a lost disk counts; None until its replacement runs.
        self._lost_until_ms = {}
        self._disk_numbers = 0
        self.history = []
        self.site = None
        if relays:
            self.site = discovery_run.Site(self.cluster, self.rng, relays)
        for _ in range(disks - len(self.cluster.nodes)):
            self.run.add_core()
        self.cluster.run_for(_SETTLE_MS)

    def _log(self, text):
        self.history.append(f"{self.cluster.now_ms} {text}")

    # --- Losses ---

    def count_lost(self):
        """Counts the disks that still count as lost."""
        now_ms = self.cluster.now_ms
        return sum(
            until_ms is None or now_ms <= until_ms
            for until_ms in self._lost_until_ms.values()
        )

    def _begin_loss(self):
        self._disk_numbers += 1
        self._lost_until_ms[self._disk_numbers] = None
        return self._disk_numbers

    def _end_loss(self, number):
        until_ms = self.cluster.now_ms + self.run.catch_up_ms
        self._lost_until_ms[number] = until_ms

    def _list_running(self):
        return [
            node
            for node in self.cluster.nodes.values()
            if node.is_up and not node.is_frozen
        ]

    def _choose(self, count):
        """Chooses cores, often with the leader among them."""
        running = self._list_running()
        chosen = self.rng.sample(running, min(count, len(running)))
        leader = self.cluster.find_leader()
        if leader and leader not in chosen and self.rng.random() < 0.4:
            chosen[0] = leader
        return chosen

    def _lose_disk(self, node):
        number = self._begin_loss()
        node.stop()
        node.wipe()
        moves = self.rng.random() < 0.4
        self._log(f"lose {node.process} moves={moves}")

        def replace():
            if moves:
                self.run.add_core()
            else:
                node.start()
            self._end_loss(number)

        self.cluster.call_in(self.rng.randint(*_OUTAGES_MS), replace)

    def _cut_off(self, node):
        number = self._begin_loss()
        pairs = set()
        for other in self.cluster.nodes:
            if other != node.process:
                pairs |= {(node.process, other)}
                if self.rng.random() < 0.7:
                    pairs |= {(other, node.process)}
        self._log(f"cut {node.process} pairs={len(pairs)}")
        self.cluster.cuts |= pairs

        def heal():
            self.cluster.cuts -= pairs
            self._end_loss(number)

        self.cluster.call_in(self.rng.randint(500, 6_000), heal)

    def _lose_some(self):
        room = self.losses - self.count_lost()
        if room <= 0:
            return
        for node in self._choose(self.rng.randint(1, room)):
            if self.rng.random() < 0.25:
                self._cut_off(node)
            else:
                self._lose_disk(node)

    def _disturb(self):
        name = self.rng.choice(_HARMLESS)
        if self.site and self.rng.random() < 0.4:
            self._log("seeds")
            self.site.change_seeds()
        leader = self.cluster.find_leader()
        self._log(name)
        match name:
            case "hand_over" if leader is not None:
                leader.run(events.HandOverRequested())
            case "slow_disk":
                node = self.rng.choice(self._list_running())
                self.cluster.slow_disks = {node.process}
                self.cluster.extra_sync_ms = (20, 200)
                self.cluster.call_in(2_000, self.cluster.slow_disks.clear)
            case "kill_one":
                node = self.rng.choice(self._list_running())
                node.stop()
                node.start()
            case "kill_all":
                self._lose_all_power(0)

    def _lose_all_power(self, lost_disks):
        chosen = self._choose(lost_disks) if lost_disks else []
        stopped = self._list_running()
        for node in stopped:
            node.stop()
        numbers = []
        for node in chosen:
            node.wipe()
            numbers.append(self._begin_loss())
        since_ms = self.cluster.now_ms
        self._log(f"power off, lost {[node.process for node in chosen]}")
        relays = []
        if self.site and self.rng.random() < 0.7:
            relays = [m for m in self.site.relays if m.is_up]
        for machine in relays:
            machine.stop()
        self.cluster.run_for(_POWER_OUTAGE_MS)
        for machine in relays:
            delay_ms = self.rng.randint(0, _START_SPREAD_MS)
            self.cluster.call_in(delay_ms, machine.start)
        for node in stopped:
            delay_ms = self.rng.randint(0, _START_SPREAD_MS)
            self.cluster.call_in(delay_ms, node.start)
        self.cluster.run_for(_START_SPREAD_MS)
        for number in numbers:
            self._end_loss(number)
        # A replacement that has lost power catches up anew.
        for number, until_ms in self._lost_until_ms.items():
            if until_ms is not None and until_ms >= since_ms:
                self._end_loss(number)

    # --- Runs ---

    def go(self):
        """Loses disks and then all power, several times.

        Returns:
            Longest time in milliseconds from a return of power to a commit.
        """
        longest_ms = 0
        for _ in range(self.rng.randint(1, _MAX_ROUNDS)):
            for _ in range(self.rng.randint(0, 3)):
                self._lose_some()
                self.cluster.run_for(self.rng.randint(0, 3_000))
                self._disturb()
                self.cluster.run_for(self.rng.randint(0, 1_500))
            if self.rng.random() < 0.7:
                self._wait_for_losses()
            room = max(self.losses - self.count_lost(), 0)
            self._lose_all_power(self.rng.randint(min(1, room), room))
            start_ms = self.cluster.now_ms
            self.run.check_service()
            if self.site:
                self._check_ready()
            longest_ms = max(longest_ms, self.cluster.now_ms - start_ms)
        return longest_ms

    def _check_ready(self):
        """Checks that all machines know who leads."""
        self.cluster.cuts.clear()
        ready_ms = self.cluster.now_ms + _READY_MS
        while unready := self.site.list_unready():
            in_time = self.cluster.now_ms < ready_ms
            assert in_time, f"not ready: {unready}"
            self.cluster.run_one()

    def _wait_for_losses(self):
        self.cluster.run_until(lambda: not self.count_lost(), 30_000)
        self.cluster.run_for(self.rng.choice((0, 1, 50, 500)))
