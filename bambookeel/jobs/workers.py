"""Workers as the leader knows them from their reports.

Nothing here is replicated: a new leader learns it from the next reports. The
job book says which runs are assigned to a worker; this table adds the time
until which they may continue, and the free resources.
"""

import dataclasses

import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import health as worker_health
from bambookeel.jobs import pacing
from bambookeel.jobs import specs

# Maximum drift of a worker's clock behind the leader's, in thousandths.
CLOCK_DRIFT_MILLI = 20
# Covers rounding of the leader's own clock.
LEASE_MARGIN_MS = 50
# Maximum number of runs on a worker. Its reports list them all, and nodes take
# reports of up to 4 MiB.
MAX_RUNS = 20_000
# A report is not delayed for longer than this.
MAX_REPORT_DELAY_MS = 60_000
# Time after the sending of a report within which its answer is obeyed.
_ANSWER_LIFETIME_MS = 1_000


@dataclasses.dataclass(slots=True)
class Worker:
    """One incarnation of a worker, as last reported.

    Attributes:
        report: The newest report.
        last_report_ms: Steady-clock time in milliseconds at which it was
            received.
        lease_until_ms: Steady-clock time in milliseconds at which all its runs
            are known to have ended, unless it reports again.
        first_report_ms: Steady-clock time in milliseconds of its first report
            to this leader.
        reserved: Resources of its assigned runs and of unknown runs on it.
        run_count: Number of these runs.
        running: Runs of the newest report, by task.
        begun_after_ms: Steady-clock time in milliseconds of the last report
            that did not list a run of `running`, by task and run; none for runs
            that its first report to this leader listed.
        ordered: Runs that the last answer told it to start.
        withheld: Assigned runs that the answer to the newest report must not
            start.
        unassigned: Runs of the newest report that are not assigned to it.
        acknowledges: Whether the answer to the newest report acknowledges ends.
        health: Health of the worker, judged by its runs.
        pace: Pace of the filler tasks on the worker.
        is_new: Whether its first report has not been logged yet.
        is_lease_expired: Whether its lease has expired without a new report.
        was_named: Whether a configuration has named its service since it
            reported.
        settled_clock_ms: Reading of its own clock at which no answer to a
            former life can be obeyed any more; 0 if none was on its way.
        settled_ms: Steady-clock time in milliseconds at which the same holds
            whatever its own clock shows.
    """

    report: calls.WorkerReport
    last_report_ms: int
    lease_until_ms: int
    first_report_ms: int
    reserved: specs.Resources = specs.Resources()
    run_count: int = 0
    running: dict[specs.TaskRef, calls.RunningRun] = dataclasses.field(
        default_factory=dict
    )
    begun_after_ms: dict[tuple[specs.TaskRef, int], int] = dataclasses.field(
        default_factory=dict
    )
    ordered: set[tuple[specs.TaskRef, int]] = dataclasses.field(
        default_factory=set
    )
    withheld: set[tuple[specs.TaskRef, int]] = dataclasses.field(
        default_factory=set
    )
    unassigned: set[tuple[specs.TaskRef, int]] = dataclasses.field(
        default_factory=set
    )
    acknowledges: bool = False
    health: worker_health.HealthRecord = dataclasses.field(
        default_factory=worker_health.HealthRecord
    )
    pace: pacing.Pace = dataclasses.field(default_factory=pacing.Pace)
    is_new: bool = True
    is_lease_expired: bool = False
    was_named: bool = False
    settled_clock_ms: int = 0
    settled_ms: int = 0

    @property
    def is_settling(self) -> bool:
        """Whether answers to a former life may still have affected it."""
        return (
            self.report.clock_ms < self.settled_clock_ms
            and self.last_report_ms < self.settled_ms
        )

    def begin_settling(self) -> None:
        """Begins to wait until no answer to a former life can be obeyed.

        Such an answer is to a report that was sent before this life began.
        """
        self.settled_clock_ms = compute_answers_end(self.report.clock_ms)
        self.settled_ms = compute_answers_end(
            self.last_report_ms + MAX_REPORT_DELAY_MS
        )

    def end_settling(self) -> None:
        """Notes that its lease, and so any earlier answer, has expired."""
        self.settled_clock_ms = 0

    @property
    def incarnation(self) -> specs.WorkerIncarnation:
        """Id and start time of the worker."""
        return self.report.life

    @property
    def free(self) -> specs.Resources:
        """Capacity that is not reserved."""
        return self.report.capacity - self.reserved

    def leave(self) -> None:
        """Notes that the worker shuts down, so that it gets no new runs."""
        self.report = msgspec.structs.replace(self.report, is_leaving=True)

    def note_begun(self, report: calls.WorkerReport) -> None:
        """Notes which runs have begun since the last report.

        Args:
            report: The next report, before it replaces the last one.
        """
        listed = {(run.task, run.run) for run in self.report.running}
        begun = {}
        for run in report.running:
            key = (run.task, run.run)
            if key not in listed:
                begun[key] = self.last_report_ms
            elif key in self.begun_after_ms:
                begun[key] = self.begun_after_ms[key]
        self.begun_after_ms = begun

    def is_suspect(self, now_ms: int) -> bool:
        """Returns whether the worker's health is in doubt.

        Args:
            now_ms: Steady-clock time in milliseconds.

        Returns:
            True while the worker should get no new runs.
        """
        return now_ms < self.health.suspect_until_ms

    @property
    def rack(self) -> str:
        """Rack of the worker: the last of its labels."""
        labels = self.report.labels
        return labels[-1] if labels else ""


@dataclasses.dataclass(frozen=True, slots=True)
class EndedWorker:
    """A worker that has ended, as last reported.

    Attributes:
        service: Its service.
        rack: Its rack.
        instance: Instance that it ran on.
        last_report_ms: Steady-clock time in milliseconds of its last report.
        ended_ms: Steady-clock time in milliseconds at which its end was known.
    """

    service: str
    rack: str
    instance: str
    last_report_ms: int
    ended_ms: int


@dataclasses.dataclass(slots=True)
class FormerLife:
    """An ended life of a worker with runs that its next life may have received.

    Attributes:
        instance: Instance that it ran on; empty if unknown.
        leases_until_ms: Steady-clock time in milliseconds at which the leases
            that its answers granted have expired, and those of the later lives
            that have reported.
    """

    instance: str
    leases_until_ms: int


def compute_lease_end(report_ms: int, lease_ms: int) -> int:
    """Computes when the lease granted for a report has certainly expired.

    Args:
        report_ms: Steady-clock time in milliseconds at which the report was
            received, which is not before it was sent.
        lease_ms: Duration of the lease in milliseconds.

    Returns:
        Steady-clock time of the leader in milliseconds.
    """
    return _compute_latest_end(report_ms, lease_ms)


def compute_answers_end(report_ms: int) -> int:
    """Computes when the answer to a report is certainly not obeyed any more.

    Args:
        report_ms: Time in milliseconds, on any steady clock, that is not before
            the report was sent.

    Returns:
        Time on the same clock in milliseconds.
    """
    return _compute_latest_end(report_ms, _ANSWER_LIFETIME_MS)


def _compute_latest_end(start_ms: int, span_ms: int) -> int:
    """Computes when a span has ended that a worker's clock has measured.

    Args:
        start_ms: Time in milliseconds that is not before its start.
        span_ms: Duration of the span in milliseconds.

    Returns:
        Time in milliseconds.
    """
    drift_ms = span_ms * CLOCK_DRIFT_MILLI // 1000
    return start_ms + span_ms + drift_ms + LEASE_MARGIN_MS


class WorkerTable:
    """Workers that have reported to this leader."""

    def __init__(self) -> None:
        self.by_id: dict[str, Worker] = {}
        # Steady-clock time in milliseconds at which incarnations were taken to
        # have ended; their reports are stale for a time.
        self._ended: dict[specs.WorkerIncarnation, int] = {}
        self._by_instance: dict[str, str] = {}
        self._by_address: dict[str, str] = {}

    def get_ended_ms(self, life: specs.WorkerIncarnation) -> int | None:
        """Returns when an incarnation was taken to have ended.

        Args:
            life: Incarnation of a worker.

        Returns:
            Steady-clock time in milliseconds; None if it has not ended.
        """
        return self._ended.get(life)

    def list_rivals(self, report: calls.WorkerReport) -> list[Worker]:
        """Lists the workers that cannot run at the same time as a sender.

        Args:
            report: Report of a worker.

        Returns:
            Another life of the same worker, and workers with the same instance,
            or with the same address if an instance is unknown.
        """
        rivals = self._find_conflicting(report)
        known = self.by_id.get(report.life.worker)
        if known is not None and known.incarnation != report.life:
            rivals.append(known)
        return rivals

    def _find_conflicting(self, report: calls.WorkerReport) -> list[Worker]:
        """Finds other workers that cannot run at the same time as this one.

        Args:
            report: Report of a worker.

        Returns:
            Workers with the same instance, or with the same address if an
            instance is unknown.
        """
        found = []
        at_address = self.find_at_address(report)
        if at_address and at_address.report.instance and report.instance:
            # The clocks of two instances do not show which worker is later.
            at_address = None
        for other in (self.find_by_instance(report.instance), at_address):
            if other is None or other in found:
                continue
            if other.incarnation.worker != report.life.worker:
                found.append(other)
        return found

    def find_at_address(self, report: calls.WorkerReport) -> Worker | None:
        """Finds the worker that last reported the address of a sender.

        Args:
            report: Report of a worker.

        Returns:
            The worker, which may be the sender; None if there is none.
        """
        found = self.by_id.get(self._by_address.get(report.address, ""))
        if found is None or found.report.address != report.address:
            return None
        return found

    def update(
        self, report: calls.WorkerReport, now_ms: int
    ) -> tuple[Worker, list[Worker]]:
        """Updates the table from a report that is not stale.

        Args:
            report: Report that has been received.
            now_ms: Steady-clock time in milliseconds of its receipt.

        Returns:
            The worker, and the earlier workers that must have ended since this
            one reports.
        """
        ended = self.list_rivals(report)
        known = self.by_id.get(report.life.worker)
        if known is not None and known.incarnation != report.life:
            known = None
        self._ended.pop(report.life, None)
        for other in ended:
            self.remove_ended(other, now_ms)
        if known is None:
            known = Worker(report, now_ms, now_ms, now_ms)
            self.by_id[report.life.worker] = known
        else:
            known.note_begun(report)
        known.report = report
        known.is_lease_expired = False
        known.last_report_ms = now_ms
        known.running = {run.task: run for run in report.running}
        if report.instance:
            self._by_instance[report.instance] = report.life.worker
        self._by_address[report.address] = report.life.worker
        return known, ended

    def remove(self, worker: Worker) -> None:
        """Removes a worker, unless a later incarnation has replaced it.

        Args:
            worker: Worker to remove.
        """
        if self.by_id.get(worker.incarnation.worker) is worker:
            del self.by_id[worker.incarnation.worker]

    def remove_ended(self, worker: Worker, now_ms: int) -> None:
        """Removes a worker that is known to have ended.

        Args:
            worker: Worker to remove.
            now_ms: Steady-clock time in milliseconds.
        """
        self._ended[worker.incarnation] = now_ms
        self.remove(worker)

    def find_by_instance(self, instance: str) -> Worker | None:
        """Finds the worker that runs on an instance.

        Args:
            instance: Name of the instance.

        Returns:
            The worker, or None if none has reported from there.
        """
        found = self.by_id.get(self._by_instance.get(instance, ""))
        if found is None or found.report.instance != instance:
            # A later life under that id runs on another instance.
            return None
        return found
