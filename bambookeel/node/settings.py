"""Settings that a node needs at its start."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import json_input
from bambookeel.core import settings as core_settings
from bambookeel.jobs import scheduler


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
    channel_heartbeat_ms: int
    channel_timeout_ms: int
    machine: Machine = Machine()
