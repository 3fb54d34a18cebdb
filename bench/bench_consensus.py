"""Measures the consensus core: leaderless time, messages, bytes and syncs.

The cores run with a fake clock and stores in memory, so that the figures are
counts and ratios that do not depend on the machine.
"""

from bambookeel.consensus import events
from bambookeel.net import codec
from bench import lines
from features.fakes import consensus_cluster

_RUNS = 200
_CHANGES = 200
_BATCH = 50
_BATCHES = 20
_SIZES = (3, 5)


class _CountingCluster(consensus_cluster.SimulatedCluster):
    """A simulated cluster that counts the bytes of its messages."""

    sent_bytes = 0

    def send(self, node, to, message):
        self.sent_bytes += len(codec.encode_message(message))
        super().send(node, to, message)


def measure_leaderless(runs: int, size: int) -> list[float]:
    """Kills leaders and measures the time until another one can commit.

    Args:
        runs: Number of clusters, with seeds from 1.
        size: Number of cores in each cluster.

    Returns:
        The time of each run, as a multiple of the longest election timeout.
    """
    gaps = []
    for seed in range(1, runs + 1):
        cluster = consensus_cluster.SimulatedCluster(seed, size)
        cluster.run_until(cluster.has_stable_leader)
        # Vary the time of the kill between two heartbeats.
        cluster.run_for(500 + seed % 100)
        cluster.find_leader().stop()
        killed_ms = cluster.now_ms
        cluster.run_until(cluster.has_stable_leader)
        gap_ms = cluster.now_ms - killed_ms
        gaps.append(gap_ms / cluster.settings.election_max_ms)
    return gaps


def _measure_gaps(size: int) -> list[str]:
    gaps = sorted(measure_leaderless(_RUNS, size))
    median = gaps[len(gaps) // 2]
    more = {"replicas": size, "runs": _RUNS}
    return [
        lines.render_line(
            "consensus", "leaderless_median_timeouts", median, 1.5, **more
        ),
        lines.render_line(
            "consensus", "leaderless_max_timeouts", gaps[-1], 3, **more
        ),
    ]


def _measure_changes(size: int, batch: int, batches: int) -> list[str]:
    """Commits batches and counts messages, bytes and syncs per change.

    Args:
        size: Number of cores.
        batch: Number of changes in a batch.
        batches: Number of batches, committed one after the other.

    Returns:
        Result lines.
    """
    cluster = _CountingCluster(1, size, snapshot_every=1_000_000)
    cluster.run_until(cluster.has_converged)
    idle = (cluster.messages, cluster.sent_bytes)
    cluster.run_for(10_000)
    idle_messages = (cluster.messages - idle[0]) / 10_000
    idle_bytes = (cluster.sent_bytes - idle[1]) / 10_000
    began_ms = cluster.now_ms
    before = (cluster.messages, cluster.sent_bytes, cluster.syncs)
    for _ in range(batches):
        leader = cluster.find_leader()
        leader.run(events.ProposalsMade((b"x" * 200,) * batch))
        wanted = leader.core.log.last_index
        cluster.run_until(lambda wanted=wanted: cluster.max_committed >= wanted)
    cluster.run_until(cluster.has_converged)
    duration_ms = cluster.now_ms - began_ms
    changes = batch * batches
    messages = cluster.messages - before[0] - idle_messages * duration_ms
    sent_bytes = cluster.sent_bytes - before[1] - idle_bytes * duration_ms
    syncs = cluster.syncs - before[2]
    more = {"replicas": size, "batch": batch, "changes": changes}
    # One request and one reply for each follower and batch.
    least_messages = 2 * (size - 1) / batch
    least_bytes = (size - 1) * 200
    return [
        lines.render_line(
            "consensus",
            "messages_a_change",
            messages / changes,
            least_messages,
            **more,
        ),
        lines.render_line(
            "consensus",
            "bytes_a_change",
            sent_bytes / changes,
            least_bytes,
            **more,
        ),
        lines.render_line(
            "consensus",
            "syncs_a_replica_a_batch",
            syncs / size / batches,
            1,
            **more,
        ),
    ]


def measure() -> list[str]:
    """Measures the consensus core.

    Returns:
        Result lines.
    """
    found = []
    for size in _SIZES:
        found += _measure_gaps(size)
        found += _measure_changes(size, 1, _CHANGES)
        found += _measure_changes(size, _BATCH, _BATCHES)
    return found
