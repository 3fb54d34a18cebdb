"""Prometheus metrics of the daemons.

Most metrics are defined here, so that their names and labels are in one place.
Children of metrics with labels are cached, since looking one up costs more than
incrementing it.
"""

from collections.abc import Callable
from collections.abc import Mapping
import functools

import prometheus_client

from bambookeel.core import ids
from bambookeel.core import outcomes

_DURATION_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)

_OUTCOMES = prometheus_client.Counter(
    "bambookeel_requests_total",
    "Requests by service and outcome.",
    ["service", "outcome"],
)
_QUEUE_WAIT = prometheus_client.Histogram(
    "bambookeel_queue_wait_seconds",
    "Time from asking for a slot to its grant.",
    ["service"],
    buckets=_DURATION_BUCKETS_S,
)
_LATENCY = prometheus_client.Histogram(
    "bambookeel_request_seconds",
    "Time from a request's admission to its outcome.",
    ["service"],
    buckets=_DURATION_BUCKETS_S,
)
_CALLS = prometheus_client.Histogram(
    "bambookeel_leader_call_seconds",
    "Time of a call to the scheduling leader, by call and answer.",
    ["call", "answer"],
    buckets=_DURATION_BUCKETS_S,
)
_TURNS = prometheus_client.Histogram(
    "bambookeel_leader_turn_seconds",
    "Time of a turn of the scheduling leader, its plan included.",
    buckets=_DURATION_BUCKETS_S,
)
_PLANS = prometheus_client.Histogram(
    "bambookeel_leader_plan_seconds",
    "Time in which the scheduling leader assigns waiting tasks, each turn.",
    buckets=_DURATION_BUCKETS_S,
)
_DECISIONS = prometheus_client.Counter(
    "bambookeel_decisions_total",
    "Decisions of the scheduling leader, by the name of their log line.",
    ["decision"],
)
_PLACE_WAITS = prometheus_client.Counter(
    "bambookeel_place_waits_total",
    "Tasks that waited for a rack, by outcome; those of `paid` gained time.",
    ["outcome"],
)
_PLACE_WAIT_SECONDS = prometheus_client.Counter(
    "bambookeel_place_wait_seconds_total",
    "Time that tasks waited for a rack; all but `paid` is lost.",
    ["outcome"],
)
_EVACUATIONS = prometheus_client.Gauge(
    "bambookeel_evacuations",
    "Evacuations of data centres in force, at the scheduling leader.",
)
_EVACUATION_TASKS = prometheus_client.Gauge(
    "bambookeel_evacuation_tasks",
    "Runs left in a data centre that is evacuated.",
    ["data_centre"],
)
_EVACUATION_SECONDS = prometheus_client.Gauge(
    "bambookeel_evacuation_seconds_until_empty",
    "Estimated time until no run is left; -1 if one does not end by itself.",
    ["data_centre"],
)
_REFUSALS = prometheus_client.Counter(
    "bambookeel_refusals_total",
    "Requests without an answer, by reason.",
    ["reason"],
)
_SECOND_TRIES = prometheus_client.Counter(
    "bambookeel_second_tries_total",
    "Requests sent again, by the reason of the first failure.",
    ["reason"],
)
ANSWERS_WITHOUT_ECHO = prometheus_client.Counter(
    "bambookeel_answers_without_echo_total",
    "Answers of backend servers that did not echo X-Request-Id.",
)
GRANTS_RETURNED = prometheus_client.Counter(
    "bambookeel_grants_returned_total",
    "Grants given back unused because they were late or of an older epoch.",
)
RELEASES_RESENT = prometheus_client.Counter(
    "bambookeel_releases_resent_total",
    "Returned slots told again after a link or holder change.",
)

# Gauges whose values are read when the metrics are collected, by name.
_GAUGES: dict[str, prometheus_client.Gauge] = {}


@functools.lru_cache(maxsize=4_096)
def _get_outcome_child(
    service: ids.ServiceName, kind: outcomes.OutcomeKind
) -> prometheus_client.Counter:
    return _OUTCOMES.labels(service=service, outcome=kind.name.lower())


@functools.lru_cache(maxsize=1_024)
def _get_latency_child(
    service: ids.ServiceName,
) -> prometheus_client.Histogram:
    return _LATENCY.labels(service=service)


@functools.lru_cache(maxsize=1_024)
def _get_queue_wait_child(
    service: ids.ServiceName,
) -> prometheus_client.Histogram:
    return _QUEUE_WAIT.labels(service=service)


def count_outcome(
    service: ids.ServiceName, kind: outcomes.OutcomeKind, duration_ms: int
) -> None:
    """Counts a request's outcome and observes its duration.

    Args:
        service: Service of the request; must be a known one, to limit the
            number of label values.
        kind: Kind of the request's outcome.
        duration_ms: Time from the request's admission to its outcome.
    """
    _get_outcome_child(service, kind).inc()
    _get_latency_child(service).observe(duration_ms / 1000.0)


def count_refusal(reason: outcomes.Reason) -> None:
    """Counts a request that ended without an answer.

    Args:
        reason: Why there is no answer.
    """
    _REFUSALS.labels(reason=reason.name.lower()).inc()


def count_second_try(reason: outcomes.Reason) -> None:
    """Counts a request that is sent a second time.

    Args:
        reason: Why the first try failed.
    """
    _SECOND_TRIES.labels(reason=reason.name.lower()).inc()


def observe_queue_wait(service: ids.ServiceName, wait_ms: int) -> None:
    """Observes how long a request waited for its slot.

    Args:
        service: Service of the request.
        wait_ms: Time from asking for a slot to its grant.
    """
    _get_queue_wait_child(service).observe(wait_ms / 1000.0)


def register_gauge(
    name: str, help_text: str, read: Callable[[], float]
) -> None:
    """Registers a gauge whose value is read when the metrics are collected.

    A gauge that is registered again reads its value from the new function.

    Args:
        name: Name of the metric, without the prefix `bambookeel_`.
        help_text: Description of the metric.
        read: Function that returns the current value.
    """
    gauge = _GAUGES.get(name)
    if gauge is None:
        gauge = prometheus_client.Gauge(f"bambookeel_{name}", help_text)
        _GAUGES[name] = gauge
    gauge.set_function(read)


def render_metrics() -> bytes:
    """Renders all metrics.

    Returns:
        The metrics in the Prometheus text format.
    """
    return prometheus_client.generate_latest()


@functools.cache
def _get_call_child(call: str, answer: str) -> prometheus_client.Histogram:
    return _CALLS.labels(call, answer)


def observe_leader_call(call: str, answer: str, duration_ms: int) -> None:
    """Observes the duration of a call to the scheduling leader.

    Args:
        call: Kind of the call.
        answer: Kind of the answer.
        duration_ms: Time from the call to its answer.
    """
    _get_call_child(call, answer).observe(duration_ms / 1000.0)


@functools.cache
def _get_decision_child(decision: str) -> prometheus_client.Counter:
    return _DECISIONS.labels(decision)


def count_decision(decision: str) -> None:
    """Counts a decision of the scheduling leader.

    Args:
        decision: Name of the log event of the decision.
    """
    _get_decision_child(decision).inc()


def count_place_waits(ended: Mapping[str, tuple[int, int]]) -> None:
    """Counts tasks that have waited for a rack.

    Args:
        ended: Number of tasks and the time in milliseconds, by outcome.
    """
    for outcome, (tasks, waited_ms) in ended.items():
        _PLACE_WAITS.labels(outcome).inc(tasks)
        _PLACE_WAIT_SECONDS.labels(outcome).inc(waited_ms / 1000.0)


def observe_leader_turn(turn_ms: int, plan_ms: int) -> None:
    """Observes the duration of a turn of the scheduling leader.

    Args:
        turn_ms: Time from the start of the turn to the end of its plan.
        plan_ms: Time of the plan.
    """
    _TURNS.observe(turn_ms / 1000.0)
    _PLANS.observe(plan_ms / 1000.0)


def set_evacuations(left: Mapping[str, tuple[int, int]]) -> None:
    """Sets the gauges of the evacuations in force.

    Args:
        left: Number of runs that are left in each data centre, and the
            estimated time in milliseconds until it is empty, -1 for never;
            empty on a node that does not lead.
    """
    _EVACUATIONS.set(len(left))
    _EVACUATION_TASKS.clear()
    _EVACUATION_SECONDS.clear()
    for data_centre, (tasks, empty_in_ms) in left.items():
        seconds = empty_in_ms / 1000.0 if empty_in_ms >= 0 else -1.0
        _EVACUATION_TASKS.labels(data_centre).set(tasks)
        _EVACUATION_SECONDS.labels(data_centre).set(seconds)
