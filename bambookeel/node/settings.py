"""What a node needs to know at its start."""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import settings as core_settings
from bambookeel.jobs import scheduler


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of a node.

    Attributes:
        name: Its name, for logs.
        data_centre: Where it is.
        address: Where other nodes reach it, `ip:port`; also its process id.
        listen: Its own socket; differs from `address` behind a forwarder.
        seeds: Addresses of other nodes, as `address`.
        is_first_start: Whether the deployment starts with empty disks.
        data_folder: Its disk; empty for a node that keeps no state.
        consensus: Timings of the replicated log.
        scheduling: Bounds of the scheduler.
        channel_heartbeat_ms: Time between heartbeats of a channel.
        channel_timeout_ms: Silence after which a channel is replaced.
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
