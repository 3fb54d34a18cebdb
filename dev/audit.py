"""Compares the outcomes that callers saw with what backend servers ran.

Takes the callers' records and the runs that the fake backend servers recorded,
and counts violations: lost requests, work that ran twice, answers of other
requests, and "not run" refusals of work that did run.
"""

from collections import Counter
import dataclasses
import enum
import pathlib

CONNECTION_REFUSED = "connection-refused"


class CallOutcome(enum.Enum):
    """The outcome of a request as its caller saw it."""

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
        team: The team whose key was sent.
        entry: Name of the last entry that the request was sent to.
        outcome: The outcome that the caller saw.
        reason: The reason of a refusal or an error; empty for none.
        started_ms: When it was first sent, in wall-clock milliseconds.
        ended_ms: When it ended, in wall-clock milliseconds.
    """

    work_id: str
    team: str
    entry: str
    outcome: CallOutcome
    reason: str
    started_ms: int
    ended_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of work at a backend server.

    Attributes:
        work_id: Unique id of the work.
        team: The team that the caller named in the request's headers.
        key_team: The team that the entry found for the key and passed on; empty
            for none.
        backend: Name of the backend server.
        started_ms: When it started, in wall-clock milliseconds.
        ended_ms: When it ended, in wall-clock milliseconds; 0 if the backend
            server was killed before.
    """

    work_id: str
    team: str
    key_team: str
    backend: str
    started_ms: int
    ended_ms: int


def read_runs(path: pathlib.Path) -> list[Run]:
    """Reads the runs that a fake backend server recorded.

    Args:
        path: The file of runs, named after the backend server; it may be
            missing.

    Returns:
        The runs in the order of their starts.
    """
    started: list[list[str]] = []
    ended: dict[str, list[int]] = {}
    if not path.exists():
        return []
    for line in path.read_text(encoding="utf-8").splitlines():
        event, at_ms, work_id, *teams = line.split("\t")
        if event == "start":
            started.append([work_id, at_ms, *teams])
        else:
            ended.setdefault(work_id, []).append(int(at_ms))
    runs = []
    for work_id, at_ms, team, key_team in started:
        ends = ended.get(work_id, [])
        end_ms = ends.pop(0) if ends else 0
        runs.append(Run(work_id, team, key_team, path.stem, int(at_ms), end_ms))
    return runs


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """Counts over all requests.

    Attributes:
        sent: Requests sent.
        answered: Requests with a complete answer.
        refused_not_run: Requests refused as "not run", rightly or not.
        unknown: Requests whose outcome was reported as unknown.
        lost: Requests without an outcome at an entry that was not killed, and
            requests that were answered although no backend server ran them.
        cut_by_kill: Requests without an outcome at an entry that was killed.
        doubled: Requests whose work ran more than once.
        crossed: Requests that got the answer of another request.
        false_not_run: Requests that ran although they were refused as "not
            run".
        p50_ms: Median duration of answered requests.
        p99_ms: 99th percentile of the duration of answered requests.
    """

    sent: int
    answered: int
    refused_not_run: int
    unknown: int
    lost: int
    cut_by_kill: int
    doubled: int
    crossed: int
    false_not_run: int
    p50_ms: int
    p99_ms: int

    def has_no_violations(self) -> bool:
        """Returns whether no violation was counted."""
        return not (
            self.lost or self.doubled or self.crossed or self.false_not_run
        )

    def render(self) -> str:
        """Renders the counts as key=value pairs."""
        return " ".join(
            f"{field.name}={getattr(self, field.name)}"
            for field in dataclasses.fields(self)
        )


def audit_calls(
    records: list[CallRecord],
    runs: list[Run],
    killed_entries: frozenset[str] = frozenset(),
) -> Audit:
    """Compares all requests with the runs of their work.

    Args:
        records: The requests as their callers saw them.
        runs: The runs of all backend servers.
        killed_entries: Names of the entries that were killed; requests without
            an outcome there don't count as lost.

    Returns:
        The counts over all requests.
    """
    outcome_counts = Counter(record.outcome for record in records)
    run_counts = Counter(run.work_id for run in runs)
    lost = cut_by_kill = false_not_run = doubled = 0
    for record in records:
        run_count = run_counts[record.work_id]
        if run_count > 1:
            doubled += 1
        if record.outcome is CallOutcome.LOST:
            if record.entry in killed_entries:
                cut_by_kill += 1
            else:
                lost += 1
        if record.outcome is CallOutcome.ANSWERED and run_count == 0:
            lost += 1
        if record.outcome is CallOutcome.NOT_RUN and run_count > 0:
            false_not_run += 1
    answered = [r for r in records if r.outcome is CallOutcome.ANSWERED]
    times_ms = sorted(r.ended_ms - r.started_ms for r in answered)
    return Audit(
        sent=len(records),
        answered=len(answered),
        refused_not_run=outcome_counts[CallOutcome.NOT_RUN],
        unknown=outcome_counts[CallOutcome.UNKNOWN],
        lost=lost,
        cut_by_kill=cut_by_kill,
        doubled=doubled,
        crossed=outcome_counts[CallOutcome.CROSSED],
        false_not_run=false_not_run,
        p50_ms=_get_quantile(times_ms, 0.5),
        p99_ms=_get_quantile(times_ms, 0.99),
    )


def _get_quantile(ordered: list[int], quantile: float) -> int:
    if not ordered:
        return 0
    return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]


def find_max_concurrent(runs: list[Run], team: str, cut_off_end_ms: int) -> int:
    """Finds the largest number of a team's requests that ran at the same time.

    Args:
        runs: The runs of all backend servers.
        team: The team that the callers named.
        cut_off_end_ms: End of the runs that have none because their backend
            server was killed, in wall-clock milliseconds.

    Returns:
        The largest number of concurrent runs.
    """
    changes = []
    for run in runs:
        if run.team != team:
            continue
        # In the sort, ends (-1) precede starts (1) of the same millisecond.
        changes.append((run.started_ms, 1))
        changes.append((run.ended_ms or cut_off_end_ms, -1))
    max_running = running = 0
    for _, change in sorted(changes):
        running += change
        max_running = max(max_running, running)
    return max_running


def find_recovery_ms(
    records: list[CallRecord],
    team: str,
    fault_ms: int,
    share: float = 0.95,
    window_ms: int = 500,
) -> int | None:
    """Finds how long after a fault the goodput has recovered.

    Goodput is the share of the requests sent in a time window that were
    answered.

    Args:
        records: The requests as their callers saw them.
        team: The team whose requests count.
        fault_ms: When the fault began, in wall-clock milliseconds.
        share: The share of a window's requests that must be answered.
        window_ms: Length of a window.

    Returns:
        Milliseconds from the fault to the first window from which on every
        window reaches the share; None if the last one does not reach it.
    """
    team_records = [
        r for r in records if r.team == team and r.started_ms >= fault_ms
    ]
    if not team_records:
        return None
    answered_by_window: dict[int, list[bool]] = {}
    for record in team_records:
        window_number = (record.started_ms - fault_ms) // window_ms
        answered = record.outcome is CallOutcome.ANSWERED
        answered_by_window.setdefault(window_number, []).append(answered)
    recovered_window: int | None = None
    # The last window is left out, as the load may have ended within it.
    for window_number in sorted(answered_by_window)[:-1]:
        answers = answered_by_window[window_number]
        if sum(answers) >= share * len(answers):
            if recovered_window is None:
                recovered_window = window_number
        else:
            recovered_window = None
    return None if recovered_window is None else recovered_window * window_ms
