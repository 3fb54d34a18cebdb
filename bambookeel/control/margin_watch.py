"""Tells operators how many further losses the voters bear.

The leader alone knows; it writes a line when the number changes and shows it
as metrics. Elsewhere the metrics are not a number (NaN).
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
    """Watches the margin of one replica's term as the leader."""

    def __init__(self, runner: core_runner.CoreRunner) -> None:
        self._runner = runner
        self._term = ids.Term(0)
        self._account: tolerance.MarginReport | None = None
        self._checked_ms = 0

    def check(self, now_ms: int) -> None:
        """Measures the margin, and tells when it has changed.

        Args:
            now_ms: The time; of a regular timer.
        """
        core = self._runner.core
        pause_ms = now_ms - self._checked_ms
        self._checked_ms = now_ms
        if core.role is not records.Role.LEADER or core.term != self._term:
            self._account = None
            self._term = core.term
        # After a pause of its own, answers still wait for this replica.
        if pause_ms > core.settings.election_min_ms // 2:
            return
        seen = tolerance.measure_tolerance(core, now_ms)
        if seen is None:
            return
        before = self._account
        account = tolerance.update_report(
            before, seen, now_ms, core.settings.election_max_ms
        )
        self._account = account
        if before is None or before.reported != account.reported:
            self._log_change(before, account, now_ms)

    def _log_change(
        self,
        before: tolerance.MarginReport | None,
        account: tolerance.MarginReport,
        now_ms: int,
    ) -> None:
        told = account.reported
        below_from_ms = account.below_since_ms
        if below_from_ms is None and before is not None:
            below_from_ms = before.below_since_ms
        below_ms = 0
        if below_from_ms is not None:
            below_ms = account.since_ms - below_from_ms
        logs.log_event(
            "loss_margin",
            term=self._term,
            margin=told.margin,
            promised=told.promised,
            voters=told.voters,
            silent=",".join(told.silent) or "none",
            catching_up=told.catching_up,
            below_ms=below_ms,
            held_ms=now_ms - account.since_ms,
        )

    def _get_account(self) -> tolerance.MarginReport | None:
        core = self._runner.core
        if core.role is not records.Role.LEADER or core.term != self._term:
            return None
        return self._account

    def read_margin(self) -> float:
        """Reads how many further losses the voters bear.

        Returns:
            The number; NaN where this replica does not know.
        """
        account = self._get_account()
        return math.nan if account is None else account.reported.margin

    def read_promised(self) -> float:
        """Reads how many losses are to be borne.

        Returns:
            The number; NaN where this replica does not know.
        """
        account = self._get_account()
        return math.nan if account is None else account.reported.promised

    def read_below_s(self) -> float:
        """Reads for how long fewer losses are borne than promised.

        Returns:
            The seconds in this term, 0 while it is not so; NaN where this
            replica does not know.
        """
        account = self._get_account()
        if account is None:
            return math.nan
        if account.below_since_ms is None:
            return 0.0
        return (clock.read_now_ms() - account.below_since_ms) / _MS_PER_S

    def register_metrics(self) -> None:
        """Shows the figures as metrics of this process."""
        metrics.watch_value(
            "voter_losses_borne",
            "Further losses that the voters bear; NaN but on the leader.",
            self.read_margin,
        )
        metrics.watch_value(
            "voter_losses_promised",
            "Losses that the voters should bear; NaN but on the leader.",
            self.read_promised,
        )
        metrics.watch_value(
            "voter_losses_below_promised_seconds",
            "Time in this term with fewer borne than promised.",
            self.read_below_s,
        )
