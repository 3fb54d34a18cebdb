"""Judges reports that contradict what other workers have reported.

Other writers may send reports, too. A report from which a worker cannot be used
does not replace one that can, and no report replaces a worker for good: if what
replaced it is silent, and the worker still reports, the worker is back.
"""

from collections.abc import Container
import dataclasses

from bambookeel.jobs import calls
from bambookeel.jobs import workers as worker_table

MAX_DELAY_MS = worker_table.MAX_REPORT_DELAY_MS
# Maximum lead of a worker's wall clock over the leader's.
_MAX_CLOCK_LEAD_MS = 60_000
# A worker sends at most one report in each millisecond; reports that were
# delayed differently arrive closer together than they were sent.
_MAX_NUMBER_LEAD = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What reports are compared with.

    Attributes:
        now_ms: Steady-clock time in milliseconds.
        wall_ms: Unix time in milliseconds.
        services: Names of the configured services.
        goal_pool: Pool to which the sender's instance is being moved; empty if
            it is not.
    """

    now_ms: int
    wall_ms: int
    services: Container[str]
    goal_pool: str

    def is_named(self, service: str) -> bool:
        """Returns whether workers of a service can be expected.

        Args:
            service: Name of the service.

        Returns:
            Whether it is configured, or the goal of the instance's move.
        """
        return service in self.services or service == self.goal_pool


def starts_in_future(born_wall_ms: int, wall_ms: int) -> bool:
    """Returns whether a start is later than clocks can explain.

    Args:
        born_wall_ms: Start of a worker, as Unix time in milliseconds.
        wall_ms: Unix time in milliseconds.

    Returns:
        Whether no worker can have started then.
    """
    return born_wall_ms > wall_ms + _MAX_CLOCK_LEAD_MS


def _is_doubtful(
    report: calls.WorkerReport, context: Context, was_named: bool = False
) -> bool:
    is_named = was_named or context.is_named(report.service)
    return not is_named or starts_in_future(
        report.life.born_wall_ms, context.wall_ms
    )


def find_conflict(
    report: calls.WorkerReport, rival: worker_table.Worker, context: Context
) -> str:
    """Checks a report against a worker that cannot run beside its sender.

    Args:
        report: Report that has been received.
        rival: Another life with the same id, instance or address.
        context: What they are compared with.

    Returns:
        One sentence on why the report is stale; empty if the rival is.
    """
    if context.now_ms - rival.last_report_ms >= MAX_DELAY_MS:
        return ""
    is_doubtful = _is_doubtful(report, context)
    if is_doubtful != _is_doubtful(rival.report, context, rival.was_named):
        return "a worker that can be used is known" if is_doubtful else ""
    if rival.incarnation.born_wall_ms <= report.life.born_wall_ms:
        return ""
    if rival.incarnation.worker == report.life.worker:
        return "a later life of the worker is known"
    return "a later worker of the instance is known"


def find_gap(
    report: calls.WorkerReport, known: worker_table.Worker, context: Context
) -> str:
    """Checks a report against the last one of the same life.

    Args:
        report: Report that has been received.
        known: The worker as last reported.
        context: What they are compared with.

    Returns:
        One sentence on why the report is refused; empty if it is not.
    """
    last = known.report
    if last.number >= report.number:
        return "a later report is known"
    elapsed_ms = context.now_ms - known.last_report_ms
    if report.number - last.number > _MAX_NUMBER_LEAD + elapsed_ms:
        return "its number is too far ahead of the last one"
    is_named = context.is_named(report.service)
    if not is_named and context.is_named(last.service):
        return "no configuration names its service"
    return ""


def find_stale_reason(
    table: worker_table.WorkerTable,
    report: calls.WorkerReport,
    context: Context,
) -> str:
    """Checks whether other information holds instead of a report.

    Args:
        table: Workers that have reported to this leader.
        report: Report that has been received.
        context: What the report is compared with.

    Returns:
        One sentence on why the report is refused; empty if it is not.
    """
    ended_ms = table.get_ended_ms(report.life)
    if ended_ms is not None and context.now_ms - ended_ms < MAX_DELAY_MS:
        return "this life of the worker has ended"
    known = table.by_id.get(report.life.worker)
    if known is not None and known.incarnation == report.life:
        gap = find_gap(report, known, context)
        if gap:
            return gap
    for rival in table.list_rivals(report):
        conflict = find_conflict(report, rival, context)
        if conflict:
            return conflict
    if _is_doubtful(report, context):
        at_address = table.find_at_address(report)
        if at_address is not None and at_address is not known:
            return find_conflict(report, at_address, context)
    return ""
