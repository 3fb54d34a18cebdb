"""Metrics of the daemons, by prometheus_client.

All metrics live here, so that their names and labels are seen in one place.
Label children are kept, since looking one up costs more than counting.
"""

import prometheus_client

from bambookeel.core import outcomes

_OUTCOMES = prometheus_client.Counter(
    "bambookeel_requests_total", "Requests by outcome.", ["outcome"]
)
_OUTCOME_CHILDREN = {
    kind: _OUTCOMES.labels(outcome=kind.name.lower())
    for kind in outcomes.OutcomeKind
}


def count_outcome(kind: outcomes.OutcomeKind) -> None:
    """Counts one request.

    Args:
        kind: Its outcome.
    """
    _OUTCOME_CHILDREN[kind].inc()


def render_metrics() -> bytes:
    """Renders all metrics.

    Returns:
        The Prometheus text format.
    """
    return prometheus_client.generate_latest()
