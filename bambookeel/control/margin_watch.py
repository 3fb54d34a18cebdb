"""Reports the margin: how many more voters may be lost with a quorum left.

Only the leader can measure the margin. It logs each change of the reported
margin and shows it in metrics; on other replicas the metrics are NaN.
"""

import math

from bambookeel.consensus import records
from bambookeel.consensus import tolerance
from bambookeel.control import core_runner
from bambookeel.core import ids
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

_MS_PER_S = 1_000.0


class MarginWatch:
    """Watches the margin while this replica leads."""

    def __init__(self, runner: core_runner.CoreRunner) -> None:
        self._runner = runner
        self._term = ids.Term(0)
        self._report: tolerance.MarginReport | None = None
        self._checked_ms = 0

    def check(self, now_ms: int) -> None:
        """Measures the margin, and logs it if the reported one has changed.

        Args:
            now_ms: Current time; a periodic timer must make the calls, as a
                long gap between two of them counts as a pause of the process.
        """
        core = self._runner.core
        pause_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if core.role is not records.Role.LEADER or core.term != self._term:
            self._report = None
            self._term = core.term
        # If this replica itself was paused, replies are still waiting to be
        # handled, so voters only seem silent.
        if pause_ms > core.settings.election_min_ms // 2:
            return
        measured = tolerance.measure_tolerance(core, now_ms)
        if measured is None:
            return
        before = self._report
        report = tolerance.update_report(
            before, measured, now_ms, core.settings.election_max_ms
        )
        self._report = report
        if before is None or before.reported != report.reported:
            self._log_change(before, report, now_ms)

    def _log_change(
        self,
        before: tolerance.MarginReport | None,
        report: tolerance.MarginReport,
        now_ms: int,
    ) -> None:
        reported = report.reported
        below_since_ms = report.below_since_ms
        if below_since_ms is None and before is not None:
            below_since_ms = before.below_since_ms
        below_ms = 0
        if below_since_ms is not None:
            below_ms = report.since_ms - below_since_ms
        logs.log_event(
            "loss_margin",
            term=self._term,
            margin=reported.margin,
            promised=reported.promised,
            voters=reported.voters,
            silent=",".join(reported.silent) or "none",
            catching_up=reported.catching_up,
            below_ms=below_ms,
            held_ms=now_ms - report.since_ms,
        )

    def _get_report(self) -> tolerance.MarginReport | None:
        core = self._runner.core
        if core.role is not records.Role.LEADER or core.term != self._term:
            return None
        return self._report

    def read_margin(self) -> float:
        """Reads the reported margin.

        Returns:
            Number of further voters that may be lost; NaN on a replica that
            does not lead or has not measured yet.
        """
        report = self._get_report()
        return math.nan if report is None else report.reported.margin

    def read_promised(self) -> float:
        """Reads how many losses the deployment is meant to tolerate.

        Returns:
            Number of voters that may be lost; NaN on a replica that does not
            lead or has not measured yet.
        """
        report = self._get_report()
        return math.nan if report is None else report.reported.promised

    def read_below_s(self) -> float:
        """Reads for how long the margin has been below the promised one.

        Returns:
            Time in this term, in seconds; 0 while the margin is not below the
            promised one. NaN on a replica that does not lead or has not
            measured yet.
        """
        report = self._get_report()
        if report is None:
            return math.nan
        if report.below_since_ms is None:
            return 0.0
        return (clock.read_now_ms() - report.below_since_ms) / _MS_PER_S

    def register_metrics(self) -> None:
        """Registers the margin as metrics of this process."""
        metrics.register_gauge(
            "voter_losses_borne",
            "Further losses that the voters bear; NaN but on the leader.",
            self.read_margin,
        )
        metrics.register_gauge(
            "voter_losses_promised",
            "Losses that the voters should bear; NaN but on the leader.",
            self.read_promised,
        )
        metrics.register_gauge(
            "voter_losses_below_promised_seconds",
            "Time in this term with fewer borne than promised.",
            self.read_below_s,
        )
