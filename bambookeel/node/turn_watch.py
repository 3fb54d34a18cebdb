"""Measures how long the leader's turns take.

While a turn lasts, no report is answered and no run is assigned. The load that
it answers for is the number of calls, workers and ready steps.
"""

from bambookeel.jobs import evacuations
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

# A turn that takes longer than this delays the reports of the next interval.
_SLOW_TURN_MS = 100
# Interval between two log lines.
_LOG_INTERVAL_MS = 1_000


class TurnWatch:
    """Observes the duration of turns and logs the slowest one of a second."""

    def __init__(self) -> None:
        self._slowest_ms = 0
        self._slowest: dict[str, int] = {}
        self._count = 0
        self._logged_ms = 0
        # What the metrics show of evacuations.
        self._shown: dict[str, evacuations.Progress] = {}

    def observe(
        self,
        scheduler: job_scheduler.Scheduler,
        call_count: int,
        begun_ms: int,
        planned_from_ms: int,
        ended_ms: int,
    ) -> None:
        """Observes a turn that has ended.

        Args:
            scheduler: Scheduler of the current term.
            call_count: Number of calls that were handled.
            begun_ms: Start of the turn, on the steady clock in milliseconds.
            planned_from_ms: Start of its plan.
            ended_ms: End of its plan.
        """
        plan_ms = ended_ms - planned_from_ms
        took_ms = ended_ms - begun_ms
        metrics.observe_leader_turn(took_ms, plan_ms)
        self._show_evacuations(scheduler)
        if took_ms < _SLOW_TURN_MS:
            return
        self._count += 1
        if took_ms > self._slowest_ms:
            self._slowest_ms = took_ms
            self._slowest = {
                "plan_ms": plan_ms,
                "calls": call_count,
                "workers": len(scheduler.term.workers.by_id),
                "ready_steps": sum(
                    len(ready) for ready in scheduler.book.ready.values()
                ),
                "suspects": len(scheduler.book.crashes.suspects),
            }

    def _show_evacuations(self, scheduler: job_scheduler.Scheduler) -> None:
        progress = scheduler.term.evacuations.progress
        if progress is not self._shown:
            self._shown = progress
            metrics.set_evacuations(
                {
                    name: (left.tasks, left.empty_in_ms)
                    for name, left in progress.items()
                }
            )

    def hide_evacuations(self) -> None:
        """Clears the metrics of evacuations of a node that no longer leads."""
        if self._shown:
            self._shown = {}
            metrics.set_evacuations({})

    def log_if_due(self, term: int, now_ms: int) -> None:
        """Logs the slowest turn since the last line, at most once a second.

        Args:
            term: Term of the leader.
            now_ms: Steady-clock time in milliseconds.
        """
        if not self._count or now_ms - self._logged_ms < _LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        logs.log_event(
            "turns_slow",
            term=term,
            turns=self._count,
            longest_ms=self._slowest_ms,
            **self._slowest,
        )
        self._slowest_ms = 0
        self._slowest = {}
        self._count = 0
