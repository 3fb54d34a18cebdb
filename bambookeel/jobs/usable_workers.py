"""Lists the workers that may get work."""

from bambookeel.jobs import fleet as fleet_view
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
    return list_by_trust(term, service, now_ms)[0]


def list_by_trust(
    term: term_state.Term, service: str, now_ms: int
) -> tuple[list[worker_table.Worker], list[worker_table.Worker]]:
    """Lists the workers of a service that may get work, and a reserve.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The workers that `list_usable_workers` lists, and those that are in
        doubt or whose instance works on although it has a goal.
    """
    trusted = []
    suspect = []
    working_on = []
    controller = term.instance_controller
    evacuated = term.book.instances.evacuations
    for worker in term.workers.by_id.values():
        if (
            worker.report.service != service
            or worker.report.is_leaving
            or worker.is_settling
            or now_ms - worker.last_report_ms
            > term.settings.assign_max_silence_ms
        ):
            continue
        if evacuated and worker.report.data_centre in evacuated:
            continue
        instance = worker.report.instance
        if not controller.is_usable(instance):
            if fleet_view.works_on(
                controller.fleet,
                worker,
                now_ms,
                term.settings.earlier_orders_ms,
            ):
                working_on.append(worker)
        elif worker.is_suspect(now_ms):
            suspect.append(worker)
        else:
            trusted.append(worker)
    if not trusted:
        return suspect, working_on
    return trusted, suspect + working_on
