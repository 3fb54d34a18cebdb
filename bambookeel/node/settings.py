"""Settings that a node needs at its start."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import json_input
from bambookeel.core import settings as core_settings
from bambookeel.jobs import scheduler

# Time without a leader's message before an election; well above the pauses of
# a busy node.
_ELECTION_MIN_MS = 900
_ELECTION_MAX_MS = 1_500
_HEARTBEAT_MS = 150
_SNAPSHOT_EVERY = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """Sizes of a node's machine.

    Attributes:
        memory_mb: Memory in MB; 0 if it is not known.
        max_fds: Number of descriptors that the process may open; 0 if it is
            not known.
    """

    memory_mb: json_input.Amount = 0
    max_fds: json_input.Whole = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    Attributes:
        name: Name of the node, under which it also gives orders to the
            provider.
        data_centre: Data centre of the node.
        address: Address at which other nodes reach the node, `ip:port`; also
            its process id.
        listen: Address of its own socket; differs from `address` behind a
            forwarder.
        seeds: Addresses of other nodes, in the form of `address`.
        is_first_start: Whether the deployment starts for the first time, with
            empty disks.
        data_folder: Path of the data folder; empty for a node without a disk.
        consensus: Timings of the replicated log.
        scheduling: Time limits of the scheduler.
        channel_heartbeat_ms: Time in milliseconds between heartbeats of a
            channel.
        channel_timeout_ms: Time in milliseconds without a message after which
            a channel is replaced.
        machine: The machine of the node.
    """

    name: str
    data_centre: ids.DataCentre
    address: ids.ProcessId
    listen: str
    seeds: tuple[ids.ProcessId, ...]
    is_first_start: bool
    data_folder: str
    consensus: core_settings.ConsensusTimings
    scheduling: scheduler.SchedulerSettings
    channel_heartbeat_ms: int = 250
    channel_timeout_ms: int = 1_000
    machine: Machine = Machine()


def derive_timings(
    tolerated_losses: int, catch_up_ms: int
) -> core_settings.ConsensusTimings:
    """Derives the timings of the replicated log from a deployment's bounds.

    Args:
        tolerated_losses: Number of nodes whose loss must be tolerated.
        catch_up_ms: Time in milliseconds from a new node's start until it no
            longer counts as lost.

    Returns:
        Timings with which the log keeps the bounds.
    """
    return core_settings.ConsensusTimings(
        heartbeat_ms=_HEARTBEAT_MS,
        election_min_ms=_ELECTION_MIN_MS,
        election_max_ms=_ELECTION_MAX_MS,
        snapshot_every=_SNAPSHOT_EVERY,
        max_voters=2 * tolerated_losses + 1,
        lost_voter_ms=core_settings.compute_lost_voter_ms(
            catch_up_ms, _ELECTION_MAX_MS
        ),
    )
