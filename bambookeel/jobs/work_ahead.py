"""Work that goes before a new job, by objective, in a service that is full.

Load pattern: a queue gets several times the work that its pool can complete,
small jobs and large ones. The sum of all open work, most of it that of large
jobs with a late objective or of jobs that are deferred, would have the small
jobs refused although their tasks are placed before those. A job that meets its
objective behind what goes before it is admitted.
"""

import bisect
from collections.abc import Iterable
import dataclasses
import itertools

from bambookeel.jobs import deferral


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Work of one job that is not deferred.

    Attributes:
        objective_wall_ms: Unix time in milliseconds of its objective.
        work: Remaining work, in thousandths of a core times milliseconds.
    """

    objective_wall_ms: float
    work: float


class WorkAhead:
    """Work of the jobs of a service that are not deferred."""

    def __init__(self, entries: Iterable[Entry]) -> None:
        """Takes the work, which is sorted once it is needed.

        Args:
            entries: One for each job; read at the first submission that needs
                them, as most choices are followed by none.
        """
        self._entries: Iterable[Entry] | None = entries
        self._objectives: list[float] = []
        self._sums = [0.0]
        # Jobs that were admitted since; few, until the next choice.
        self._added: list[Entry] = []

    def add(self, entry: Entry) -> None:
        """Adds the work of a job that was admitted.

        Args:
            entry: The job's.
        """
        self._added.append(entry)

    def sum_before(self, objective_wall_ms: float) -> float:
        """Sums the work that goes before a new job.

        Args:
            objective_wall_ms: Unix time in milliseconds of its objective.

        Returns:
            Work in thousandths of a core times milliseconds.
        """
        self._sort()
        count = bisect.bisect_right(self._objectives, objective_wall_ms)
        return self._sums[count] + sum(
            entry.work
            for entry in self._added
            if entry.objective_wall_ms <= objective_wall_ms
        )

    def _sort(self) -> None:
        if self._entries is None:
            return
        ordered = sorted(
            self._entries, key=lambda entry: entry.objective_wall_ms
        )
        self._entries = None
        self._objectives = [entry.objective_wall_ms for entry in ordered]
        works = (entry.work for entry in ordered)
        self._sums = [0.0, *itertools.accumulate(works)]


def is_in_time(
    work_ahead: float,
    work: float,
    chain_ms: float,
    slack_ms: float,
    capacity_milli: int,
) -> bool:
    """Returns whether a new job meets its objective behind the work ahead.

    Args:
        work_ahead: Work that goes before it, in thousandths of a core times
            milliseconds.
        work: Its own work, in the same unit.
        chain_ms: Run time of its longest chain of steps.
        slack_ms: Time from now until its objective.
        capacity_milli: Processor time of the service without that of standing
            tasks, in thousandths of a core.

    Returns:
        Whether it would not be deferred.
    """
    used_milli = capacity_milli * deferral.USED_SHARE
    if used_milli <= 0:
        return False
    ends_ms = work_ahead / used_milli + max(work / used_milli, chain_ms)
    return ends_ms + deferral.MARGIN_MS <= slack_ms
