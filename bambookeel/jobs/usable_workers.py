"""Lists the workers that may get work."""

from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def list_usable_workers(
    term: term_state.Term, service: str, now_ms: int
) -> list[worker_table.Worker]:
    """Lists the workers of a service that may get work.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The workers that are not suspect; all of them if every one is suspect.
    """
    trusted, doubtful = list_by_trust(term, service, now_ms)
    return trusted or doubtful


def list_by_trust(
    term: term_state.Term, service: str, now_ms: int
) -> tuple[list[worker_table.Worker], list[worker_table.Worker]]:
    """Lists the workers of a service that report and have no goal, by trust.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The trusted workers, and those whose health is in doubt.
    """
    trusted = []
    doubtful = []
    for worker in term.workers.by_id.values():
        if (
            worker.report.service != service
            or worker.report.is_leaving
            or now_ms - worker.last_report_ms
            > term.settings.assign_max_silence_ms
            or not term.instance_controller.is_usable(worker.report.instance)
        ):
            continue
        if worker.is_suspect(now_ms):
            doubtful.append(worker)
        else:
            trusted.append(worker)
    return trusted, doubtful
