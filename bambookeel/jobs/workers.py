"""What the leader knows of workers from their reports.

Nothing here is replicated: a new leader learns it from the next reports. What
a worker may still be running is in the book; this table adds how long that can
last, and how much room there is.
"""

import dataclasses

from bambookeel.jobs import calls
from bambookeel.jobs import health as worker_health
from bambookeel.jobs import pacing
from bambookeel.jobs import specs

# A worker's clock may run this much slower than the leader's, in thousandths.
CLOCK_DRIFT_MILLI = 20
# Covers rounding of the leader's own clock.
LEASE_MARGIN_MS = 50


@dataclasses.dataclass(slots=True)
class Worker:
    """One life of a worker, as it was last heard.

    Attributes:
        report: Its newest report.
        last_report_ms: When that came.
        lease_until_ms: When everything on it has surely ended, if it is not
            heard again.
        reserved: What its held runs and unknown ones take.
        running: Runs of its newest report, by task.
        health: What its runs say of it.
        pace: The pace of the tasks that fill there.
        is_new: Whether its first report has not been told yet.
        is_lease_expired: Whether its lease has run out.
    """

    report: calls.WorkerReport
    last_report_ms: int
    lease_until_ms: int
    reserved: specs.Resources = specs.Resources()
    running: dict[specs.TaskRef, calls.RunningRun] = dataclasses.field(
        default_factory=dict
    )
    health: worker_health.HealthRecord = dataclasses.field(
        default_factory=worker_health.HealthRecord
    )
    pace: pacing.Pace = dataclasses.field(default_factory=pacing.Pace)
    is_new: bool = True
    is_lease_expired: bool = False

    @property
    def incarnation(self) -> specs.WorkerIncarnation:
        """Its id and start."""
        return self.report.life

    @property
    def free(self) -> specs.Resources:
        """What is left of its capacity."""
        return self.report.capacity - self.reserved

    def is_suspect(self, now_ms: int) -> bool:
        """Tells whether it is under suspicion.

        Args:
            now_ms: The time.

        Returns:
            Whether it should get nothing new.
        """
        return now_ms < self.health.suspect_until_ms

    @property
    def rack(self) -> str:
        """Its rack: the last of its labels."""
        labels = self.report.labels
        return labels[-1] if labels else ""


def compute_lease_end(heard_ms: int, lease_ms: int) -> int:
    """Computes when a lease that a report gets has surely run out.

    Args:
        heard_ms: When the report came, which is not before it was sent.
        lease_ms: The lease.

    Returns:
        The time on the leader's clock.
    """
    drift_ms = lease_ms * CLOCK_DRIFT_MILLI // 1000
    return heard_ms + lease_ms + drift_ms + LEASE_MARGIN_MS


class WorkerTable:
    """The workers that this leader has heard."""

    def __init__(self) -> None:
        self.by_id: dict[str, Worker] = {}
        # Lives that have surely ended; a report of theirs is late.
        self._ended: set[specs.WorkerIncarnation] = set()
        self._by_instance: dict[str, str] = {}
        self._by_address: dict[str, str] = {}

    def find_newer(self, report: calls.WorkerReport) -> str:
        """Tells why a report is not of the present.

        Args:
            report: The report.

        Returns:
            One sentence; empty when the report is news.
        """
        if report.life in self._ended:
            return "this life of the worker has ended"
        known = self.by_id.get(report.life.worker)
        if known is not None:
            if known.incarnation.born_wall_ms > report.life.born_wall_ms:
                return "a later life of the worker is known"
            is_same = known.incarnation == report.life
            if is_same and known.report.number >= report.number:
                return "a later report is known"
        for other in self._find_neighbours(report):
            if other.incarnation.born_wall_ms > report.life.born_wall_ms:
                return "a later worker of the instance is known"
        return ""

    def _find_neighbours(self, report: calls.WorkerReport) -> list[Worker]:
        """Finds other workers that cannot be up together with this one.

        Args:
            report: A worker's report.

        Returns:
            Workers of the same instance or address.
        """
        names = (
            self._by_instance.get(report.instance),
            self._by_address.get(report.address),
        )
        found = []
        for name in names:
            if name is None or name == report.life.worker:
                continue
            if name in self.by_id:
                found.append(self.by_id[name])
        return found

    def take_report(
        self, report: calls.WorkerReport, now_ms: int
    ) -> tuple[Worker, list[Worker]]:
        """Takes a report that is news.

        Args:
            report: The report.
            now_ms: When it came.

        Returns:
            The worker, and earlier ones that the report shows to be gone.
        """
        gone = self._find_neighbours(report)
        known = self.by_id.get(report.life.worker)
        if known is not None and known.incarnation != report.life:
            gone.append(known)
            known = None
        for other in gone:
            self.remove_ended(other)
        if known is None:
            known = Worker(report, now_ms, now_ms)
            self.by_id[report.life.worker] = known
        known.report = report
        known.is_lease_expired = False
        known.last_report_ms = now_ms
        known.running = {run.task: run for run in report.running}
        if report.instance:
            self._by_instance[report.instance] = report.life.worker
        self._by_address[report.address] = report.life.worker
        return known, gone

    def remove(self, worker: Worker) -> None:
        """Forgets a worker.

        Args:
            worker: The worker.
        """
        if self.by_id.get(worker.incarnation.worker) is worker:
            del self.by_id[worker.incarnation.worker]

    def remove_ended(self, worker: Worker) -> None:
        """Forgets a worker whose life has surely ended.

        Args:
            worker: The worker.
        """
        self._ended.add(worker.incarnation)
        self.remove(worker)

    def find_by_instance(self, instance: str) -> Worker | None:
        """Finds the worker of an instance.

        Args:
            instance: The instance.

        Returns:
            Its worker, or None.
        """
        return self.by_id.get(self._by_instance.get(instance, ""))
