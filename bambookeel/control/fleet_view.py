"""Builds the view that the fleet's decisions take.

Resources are read again only when their version has changed, since most of a
large fleet stays as it is from one plan to the next. Reports and lease ends are
what this leader has gathered; a new leader starts with every lease as long as
the old one can have granted it.
"""

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
# A renewal of an earlier leader may reach a worker this much later.
_LEASE_MARGIN_MS = 2_000
_ResourceMap = Mapping[tuple[resources.Kind, str], resources.Resource]


def _read_tuning(by_key: _ResourceMap) -> records.Tuning:
    resource = by_key.get((resources.Kind.CONFIGURATION, _TUNING_NAME))
    if resource is None:
        return records.Tuning()
    assert isinstance(resource.spec, resources.ConfigurationSpec)
    return records.Tuning.from_config(resource.spec)


class ViewBuilder:
    """Keeps reports, lease ends and the records read so far."""

    def __init__(self) -> None:
        self._read: dict[resources.Kind, dict[str, typing.Any]] = {
            kind: {} for kind in _READERS
        }
        self._reports: dict[str, records.Report] = {}
        self._lease_until_ms: dict[str, int] = {}
        self._first_heard_ms: int | None = None

    def forget_reports(self) -> None:
        """Forgets all that was gathered under another term."""
        self._reports = {}
        self._lease_until_ms = {}
        self._first_heard_ms = None

    def add_reports(
        self, reports: Mapping[str, records.Report], now_ms: int
    ) -> None:
        """Takes reports, each unless a later one is known.

        Args:
            reports: Reports by instance.
            now_ms: The time.
        """
        if self._first_heard_ms is None:
            self._first_heard_ms = now_ms
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
        """Records that leases may now be in force until later.

        Args:
            names: The instances.
            until_ms: The latest end.
        """
        for name in names:
            held_ms = self._lease_until_ms.get(name, 0)
            self._lease_until_ms[name] = max(held_ms, until_ms)

    def build_view(
        self,
        by_key: _ResourceMap,
        now_ms: int,
        wall_ms: int,
        task_limits: Mapping[str, int] | None = None,
    ) -> records.FleetView:
        """Builds the view.

        Args:
            by_key: All resources.
            now_ms: The leader's monotonic time.
            wall_ms: Wall time.
            task_limits: Tasks that each team may run; None where only its
                upper limit counts.

        Returns:
            The view.
        """
        fresh: dict[resources.Kind, dict[str, typing.Any]] = {
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
            known = self._read[kind].get(name)
            if known is None or known.version != resource.version:
                known = reader(resource)
            fresh[kind][name] = known
        self._read = fresh
        tuning = _read_tuning(by_key)
        leases = self._build_leases(
            fresh[resources.Kind.INSTANCE], tuning.worker_lease_ms
        )
        return records.FleetView(
            now_ms=now_ms,
            wall_ms=wall_ms,
            pools=fresh[resources.Kind.POOL],
            instances=fresh[resources.Kind.INSTANCE],
            waves=fresh[resources.Kind.WAVE],
            reports=dict(self._reports),
            lease_until_ms=leases,
            tuning=tuning,
            job_records=fresh[resources.Kind.JOB],
            teams=teams,
            task_limits=task_limits,
        )

    def _build_leases(
        self, instances: Mapping[str, records.Instance], lease_ms: int
    ) -> dict[str, int]:
        """Gives each instance the latest end that any leader granted it."""
        first_ms = self._first_heard_ms or 0
        return {
            name: max(
                self._lease_until_ms.get(name, 0),
                first_ms + lease_ms + _LEASE_MARGIN_MS,
            )
            for name in instances
        }


def hash_inputs(view: records.FleetView) -> int:
    """Signs what reports say, apart from times and usage.

    Two views of the same state with the same signature differ only in time, so
    a plan that found nothing to do finds nothing again until a date passes.

    Args:
        view: The view.

    Returns:
        A hash that is good within this process.
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
