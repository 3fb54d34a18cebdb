"""Builds the view that a fleet plan is made from.

A resource is converted again only if its version has changed, since most of a
large fleet stays the same from one plan to the next. Each leader collects
reports and lease ends for itself. A new leader assumes that every lease lasts
as long as an earlier leader may have granted it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import typing

from bambookeel.core import resources
from bambookeel.fleet import jobs
from bambookeel.fleet import records

_READERS = {
    resources.Kind.POOL: records.read_pool,
    resources.Kind.INSTANCE: records.read_instance,
    resources.Kind.WAVE: records.read_wave,
    resources.Kind.JOB: jobs.read_job,
}
_TUNING_NAME = "fleet"
# Longest assumed delay until an earlier leader's renewal reaches a worker.
_LEASE_MARGIN_MS = 2_000
_ResourceMap = Mapping[tuple[resources.Kind, str], resources.Resource]


def _read_tuning(by_key: _ResourceMap) -> records.Tuning:
    resource = by_key.get((resources.Kind.CONFIGURATION, _TUNING_NAME))
    if resource is None:
        return records.Tuning()
    assert isinstance(resource.spec, resources.ConfigurationSpec)
    return records.Tuning.from_config(resource.spec)


class ViewBuilder:
    """Keeps reports, lease ends and the records of the last view."""

    def __init__(self) -> None:
        self._known_records: dict[resources.Kind, dict[str, typing.Any]] = {
            kind: {} for kind in _READERS
        }
        self._reports: dict[str, records.Report] = {}
        self._lease_until_ms: dict[str, int] = {}
        self._first_report_ms: int | None = None

    def discard_reports(self) -> None:
        """Drops the reports and lease ends collected in an earlier term."""
        self._reports = {}
        self._lease_until_ms = {}
        self._first_report_ms = None

    def add_reports(
        self, reports: Mapping[str, records.Report], now_ms: int
    ) -> None:
        """Adds reports; a report that is older than a known one is dropped.

        Args:
            reports: Reports by instance.
            now_ms: Current time on the leader's monotonic clock.
        """
        if self._first_report_ms is None:
            self._first_report_ms = now_ms
        for name, report in reports.items():
            known = self._reports.get(name)
            if known is not None:
                if report.incarnation < known.incarnation:
                    continue
                is_older = report.heard_ms < known.heard_ms
                if is_older and report.incarnation == known.incarnation:
                    continue
            self._reports[name] = report

    def extend_leases(self, names: list[str], until_ms: int) -> None:
        """Records that leases may have been extended.

        Args:
            names: Instances with a lease.
            until_ms: Latest end of these leases, on the leader's monotonic
                clock.
        """
        for name in names:
            known_until_ms = self._lease_until_ms.get(name, 0)
            self._lease_until_ms[name] = max(known_until_ms, until_ms)

    def build_view(
        self,
        by_key: _ResourceMap,
        now_ms: int,
        wall_ms: int,
        task_limits: Mapping[str, int] | None = None,
    ) -> records.FleetView:
        """Builds the view from the replicated state and the latest reports.

        Args:
            by_key: All resources of the state.
            now_ms: Current time on the leader's monotonic clock.
            wall_ms: Current wall time.
            task_limits: Number of tasks that each team may run; None if only
                the upper limits count.

        Returns:
            The view.
        """
        current_records: dict[resources.Kind, dict[str, typing.Any]] = {
            kind: {} for kind in _READERS
        }
        teams: dict[str, resources.TeamSpec] = {}
        for (kind, name), resource in by_key.items():
            reader = _READERS.get(kind)
            if reader is None:
                if kind is resources.Kind.TEAM:
                    assert isinstance(resource.spec, resources.TeamSpec)
                    teams[name] = resource.spec
                continue
            known = self._known_records[kind].get(name)
            if known is None or known.version != resource.version:
                known = reader(resource)
            current_records[kind][name] = known
        self._known_records = current_records
        tuning = _read_tuning(by_key)
        names = set(current_records[resources.Kind.INSTANCE])
        # A deleted instance may run tasks until its lease ends.
        for job in current_records[resources.Kind.JOB].values():
            names.update(jobs.list_active_workers(job))
        leases = self._build_leases(names, tuning.worker_lease_ms)
        return records.FleetView(
            now_ms=now_ms,
            wall_ms=wall_ms,
            pools=current_records[resources.Kind.POOL],
            instances=current_records[resources.Kind.INSTANCE],
            waves=current_records[resources.Kind.WAVE],
            reports=dict(self._reports),
            lease_until_ms=leases,
            tuning=tuning,
            job_records=current_records[resources.Kind.JOB],
            teams=teams,
            task_limits=task_limits,
        )

    def _build_leases(
        self, names: Iterable[str], lease_ms: int
    ) -> dict[str, int]:
        """Returns the latest possible end of each instance's lease."""
        first_report_ms = self._first_report_ms or 0
        return {
            name: max(
                self._lease_until_ms.get(name, 0),
                first_report_ms + lease_ms + _LEASE_MARGIN_MS,
            )
            for name in names
        }


def hash_inputs(view: records.FleetView) -> int:
    """Hashes the reports, leases and task limits, without times and usage.

    Two views of the same state with the same hash differ only in time. If the
    plan of the first one was empty, that of the second one is empty too, unless
    a deadline has passed between them.

    Args:
        view: View to hash.

    Returns:
        A hash, comparable only within this process.
    """
    parts: list[tuple[object, ...]] = []
    for name, report in view.reports.items():
        is_fresh = view.now_ms - report.heard_ms <= view.tuning.silent_ms
        has_lease = view.now_ms < view.lease_until_ms.get(name, 0)
        tasks = tuple((task.task_id, task.phase) for task in report.tasks)
        parts.append(
            (
                name,
                report.incarnation,
                report.phase,
                report.healthy,
                report.pool,
                report.running == 0,
                report.sequence,
                is_fresh,
                has_lease,
                tasks,
            )
        )
    limits = tuple(sorted((view.task_limits or {}).items()))
    return hash((tuple(parts), limits))
