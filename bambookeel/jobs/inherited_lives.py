"""Lives of workers to which an earlier leader has assigned runs.

A report that was delayed may reach a new leader before any report of a later
life from the same instance. The job book then knows that the sender has ended,
although no worker has said so in this term.
"""

from bambookeel.jobs import book as job_book
from bambookeel.jobs import calls
from bambookeel.jobs import specs


class InheritedLives:
    """Latest lives with runs at the start of a term."""

    def __init__(self, book: job_book.Book) -> None:
        self._book = book
        self._by_worker: dict[str, specs.WorkerIncarnation] = {}
        self._by_instance: dict[str, specs.WorkerIncarnation] = {}
        lives = sorted(book.assigned_runs, key=lambda each: each.born_wall_ms)
        for life in lives:
            self._by_worker[life.worker] = life
            for run in book.assigned_runs[life].values():
                if run.instance:
                    self._by_instance[run.instance] = life

    def has_later(self, report: calls.WorkerReport) -> bool:
        """Returns whether the sender of a report is known to have ended.

        Args:
            report: Report of a worker that has not reported in this term.

        Returns:
            True if a later life of the worker or of its instance has runs;
            those of a life that does not report are removed when the leases of
            the earlier leader have expired.
        """
        found = (
            self._by_worker.get(report.life.worker),
            self._by_instance.get(report.instance),
        )
        return any(
            life is not None
            and life.born_wall_ms > report.life.born_wall_ms
            and life in self._book.assigned_runs
            for life in found
        )
