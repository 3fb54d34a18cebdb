"""Measures the time from the start of a replaced voter until it has a vote.

A voter is lost, and the platform replaces it by a machine with an empty disk at
another address, while commands keep coming. The settings are those that the
adapter derives from a site's settings file. As the clock is fake, the times are
exact; they do not include the time that a real machine needs to reach the
leader.
"""

import json
import pathlib
import statistics
import sys

from bambookeel.consensus import events
from bambookeel.consensus import records
from bambookeel.consensus import tolerance
from bambookeel.control import core_runner
from bench import lines
from features.fakes import consensus_cluster

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# At the end of the path, as the folder's name shadows a standard module.
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_settings  # noqa: E402

_RUNS = 50
_SIZES = (3, 5)
# The bound that the user documentation states.
_CATCH_UP_S = 4
_COMMAND_EVERY_MS = 20
_NEWCOMER_AFTER_MS = 1_000
# Longer than any election and change of voters takes.
_LIMIT_MS = 30_000
_NEWCOMER = "newcomer"
_MS_PER_S = 1_000


class NotInTimeError(Exception):
    """The vote or the promised margin was not reached in time."""


def _read_timings(size):
    """Derives the consensus timings of a site.

    Args:
        size: Number of voters of the site.

    Returns:
        The timings as the adapter derives them.
    """
    settings = {
        "node_name": "bench",
        "ip": "127.0.0.1",
        "zone": "bench",
        "bind_addrs": {"control_plane": "127.0.0.1:1"},
        "port_range": [1, 2],
        "seed_nodes": [],
        "fault_tolerance": {"machines": size // 2},
        "bounds": {"catch_up_s": _CATCH_UP_S},
    }
    converted = adapter_settings.convert_settings(json.dumps(settings).encode())
    return converted.node.consensus


def _run_with_commands(cluster, duration_ms, is_done):
    """Runs a cluster under commands until a condition holds.

    Args:
        cluster: Cluster to run.
        duration_ms: Maximum duration on the fake clock.
        is_done: Function that checks the condition.

    Returns:
        Whether the condition held in time.
    """
    ends_ms = cluster.now_ms + duration_ms
    while cluster.now_ms < ends_ms:
        leader = cluster.find_leader()
        if leader is not None:
            leader.run(events.ProposalsMade((b"x" * 200,)))
        next_ms = min(cluster.now_ms + _COMMAND_EVERY_MS, ends_ms)
        while cluster.now_ms < next_ms:
            cluster.run_one()
            if is_done():
                return True
    return False


def _has_vote(cluster, member):
    leader = cluster.find_leader()
    if leader is None:
        return False
    core = leader.core
    committed = records.get_membership_at(core, core.commit_index)
    return member in committed.voters


def _has_promised_margin(cluster):
    leader = cluster.find_leader()
    if leader is None:
        return False
    found = tolerance.measure_tolerance(leader.core, leader.read_clock())
    return found is not None and found.margin >= found.promised


def measure_replacement(seed, size, is_leader_lost):
    """Replaces one voter of one simulated cluster.

    Args:
        seed: Seed of the cluster.
        size: Number of voters.
        is_leader_lost: Whether the lost voter is the leader.

    Returns:
        Times in ms from the newcomer's start to its committed vote, and until
        the voters tolerate the promised losses again.

    Raises:
        NotInTimeError: If either did not happen within `_LIMIT_MS`.
    """
    timings = _read_timings(size)
    cluster = consensus_cluster.SimulatedCluster(
        seed,
        size,
        snapshot_every=timings.snapshot_every,
        settings=core_runner.build_core_settings(timings),
    )
    cluster.run_until(cluster.has_stable_leader)
    # With so many entries the newcomer needs a snapshot.
    cluster.find_leader().run(
        events.ProposalsMade((b"x" * 200,) * timings.snapshot_every)
    )
    cluster.run_until(cluster.has_converged)
    _run_with_commands(cluster, cluster.rng.randint(500, 1_500), lambda: False)
    leader = cluster.find_leader()
    lost = leader
    if not is_leader_lost:
        others = [node for node in cluster.nodes.values() if node is not leader]
        lost = cluster.rng.choice(others)
    lost.stop()
    _run_with_commands(cluster, _NEWCOMER_AFTER_MS, lambda: False)
    newcomer = cluster.add_node(_NEWCOMER)
    newcomer.start()
    began_ms = cluster.now_ms
    member = newcomer.member
    if not _run_with_commands(
        cluster, _LIMIT_MS, lambda: _has_vote(cluster, member)
    ):
        raise NotInTimeError(f"seed {seed}: the newcomer got no vote")
    vote_ms = cluster.now_ms - began_ms
    if not _run_with_commands(
        cluster, _LIMIT_MS, lambda: _has_promised_margin(cluster)
    ):
        raise NotInTimeError(f"seed {seed}: margin below the promised one")
    return vote_ms, cluster.now_ms - began_ms


def _measure_case(size, is_leader_lost):
    found = [
        measure_replacement(seed, size, is_leader_lost)
        for seed in range(1, _RUNS + 1)
    ]
    more = {
        "voters": size,
        "lost": "leader" if is_leader_lost else "follower",
        "runs": _RUNS,
    }
    bound_ms = _CATCH_UP_S * _MS_PER_S
    result = []
    for name, times in zip(("vote", "margin_back"), zip(*found)):
        for part, value in (
            ("median", statistics.median(times)),
            ("max", max(times)),
        ):
            result.append(
                lines.render_line(
                    "votes", f"{name}_{part}_ms", value, bound_ms, **more
                )
            )
    return result


def measure():
    """Measures the replacement of voters.

    Returns:
        Result lines.
    """
    result = []
    for size in _SIZES:
        for is_leader_lost in (False, True):
            result += _measure_case(size, is_leader_lost)
    return result
