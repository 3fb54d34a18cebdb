"""Reports the state of the deployment as one control process knows it.

The status names the leader, the replicas and the applied version, and for each
entry the version that it has applied and for how long it has been behind. It
can be read while there is no leader.
"""

import typing

import msgspec

from bambookeel.control import follower_table
from bambookeel.control import replica_view
from bambookeel.core import settings as core_settings
from bambookeel.net import problem

# An entry is shown as silent if its last report is older than this.
_SILENCE_TIMEOUT_MS = 2_000


def _describe_entry(
    row: follower_table.FollowerRow, version: int
) -> dict[str, typing.Any]:
    document = msgspec.to_builtins(row)
    document["versions_behind"] = max(0, version - row.applied_version)
    silent = row.heard_ms_ago < 0 or row.heard_ms_ago > _SILENCE_TIMEOUT_MS
    document["condition"] = "current"
    if row.behind_ms > 0:
        document["condition"] = "behind"
    if silent:
        document["condition"] = "silent"
    return document


def build_status(
    settings: core_settings.ControlSettings,
    view: replica_view.ReplicaView,
    followers: list[follower_table.FollowerRow],
    now_ms: int,
) -> problem.Response:
    """Builds the status of the deployment.

    Args:
        settings: Settings of this process.
        view: State and role of this replica.
        followers: Last reports of the entries to this process.
        now_ms: Current time on this process's monotonic clock.

    Returns:
        The response with the status as JSON.
    """
    version = view.state.version
    replicas = [
        {
            "process_id": peer.process_id,
            "data_centre": peer.data_centre,
            "leader": peer.process_id == view.leader,
        }
        for peer in settings.control
    ]
    document = {
        "process_id": settings.process_id,
        "leader": view.leader,
        "term": view.term,
        "leads": view.leads(now_ms),
        "version": version,
        "resources": len(view.state.by_key),
        "replicas": replicas,
        "entries": [_describe_entry(row, version) for row in followers],
    }
    return problem.build_json_response("200 OK", document)
