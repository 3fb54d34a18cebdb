"""Metrics of a control process: its replica, followers and watches."""

from bambookeel.control import replica_task
from bambookeel.control import stream_task
from bambookeel.runtime import clock
from bambookeel.runtime import metrics


def register_control_metrics(
    replica: replica_task.ReplicaTask, streams: stream_task.StreamTask
) -> None:
    """Registers the metrics of a control process.

    Args:
        replica: The process's replica.
        streams: The process's streams to followers and watches.
    """
    metrics.register_gauge(
        "state_version",
        "State version that this replica has applied.",
        lambda: replica.view.state.version,
    )
    metrics.register_gauge(
        "resources",
        "Resources in the replicated state.",
        lambda: len(replica.view.state.by_key),
    )
    metrics.register_gauge(
        "kept_outcomes",
        "Outcomes of commands kept for repeats.",
        lambda: len(replica.view.state.outcomes),
    )
    metrics.register_gauge(
        "term", "Term of the replicated log.", lambda: replica.view.term
    )
    metrics.register_gauge(
        "leads",
        "Whether this replica leads within its lease.",
        lambda: replica.view.leads(clock.read_now_ms()),
    )
    replica.margin.register_metrics()
    metrics.register_gauge(
        "entries_behind",
        "Entries that have not applied what holds for 3 s or more.",
        streams.count_behind,
    )
    metrics.register_gauge(
        "watches", "Open watches of operators.", streams.count_watches
    )
