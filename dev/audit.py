"""Compares what callers were told with what backend servers ran.

Takes the callers' records and the run counts of the fake backend servers, and
counts what breaks a promise: lost, doubled and crossed requests, and refusals
that were not true.
"""

from collections import Counter
import dataclasses
import enum


class Told(enum.Enum):
    """What a caller was told."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    # No answer at all, or an answer without a known outcome.
    LOST = "lost"
    # The answer of another request.
    CROSSED = "crossed"


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """One request as its caller saw it.

    Attributes:
        work_id: Unique id of the work.
        told: What the caller was told.
        reason: The refusal's reason, if any.
        duration_ms: Time until the answer.
    """

    work_id: str
    told: Told
    reason: str
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """Counts over all requests.

    Attributes:
        sent: Requests sent.
        answered: Whole answers.
        refused_not_run: True refusals.
        unknown: Truthful unknown outcomes.
        lost: Requests without an outcome, or answered without a run.
        doubled: Work that ran more than once.
        crossed: Answers of other requests.
        false_not_run: Work that ran although its caller was told "not run".
        p50_ms: Median time of answers.
        p99_ms: 99th percentile of the time of answers.
    """

    sent: int
    answered: int
    refused_not_run: int
    unknown: int
    lost: int
    doubled: int
    crossed: int
    false_not_run: int
    p50_ms: float
    p99_ms: float

    def holds(self) -> bool:
        """Tells whether no promise was broken."""
        return not (
            self.lost or self.doubled or self.crossed or self.false_not_run
        )

    def render(self) -> str:
        """Renders the counts as key=value pairs."""
        return " ".join(
            f"{field.name}={getattr(self, field.name)}"
            for field in dataclasses.fields(self)
        )


def audit_calls(records: list[CallRecord], runs: Counter[str]) -> Audit:
    """Audits all calls.

    Args:
        records: What callers saw.
        runs: How often each work id was run, over all backend servers.

    Returns:
        The counts.
    """
    told = Counter(record.told for record in records)
    lost = told[Told.LOST]
    false_not_run = 0
    for record in records:
        ran = runs[record.work_id]
        if record.told is Told.ANSWERED and ran == 0:
            lost += 1
        if record.told is Told.NOT_RUN and ran > 0:
            false_not_run += 1
    times = sorted(r.duration_ms for r in records if r.told is Told.ANSWERED)
    return Audit(
        sent=len(records),
        answered=told[Told.ANSWERED],
        refused_not_run=told[Told.NOT_RUN],
        unknown=told[Told.UNKNOWN],
        lost=lost,
        doubled=sum(1 for record in records if runs[record.work_id] > 1),
        crossed=told[Told.CROSSED],
        false_not_run=false_not_run,
        p50_ms=_get_quantile(times, 0.5),
        p99_ms=_get_quantile(times, 0.99),
    )


def _get_quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(len(ordered) * quantile))
    return round(ordered[index], 2)
