"""Tells why the step that has waited longest has no worker."""

import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import caps
from bambookeel.jobs import crashes
from bambookeel.jobs import isolating
from bambookeel.jobs import placing
from bambookeel.jobs import planning
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# Interval between two log lines about each service.
_LOG_INTERVAL_MS = 1_000
# A step that has waited for less than this is not logged.
_MIN_AGE_MS = 1_000


class Reason(enum.Enum):
    """Why no task of a step is assigned."""

    NO_WORKER = "no_worker"
    GANG_ENDS = "gang_ends"
    TEAM_CAP = "team_cap"
    NO_TICKET = "no_ticket"
    TOO_LARGE = "too_large"
    NO_ROOM = "no_room"
    APART = "apart"
    ORDER = "order"


def _find_reason(
    term: term_state.Term,
    step: book_records.Step,
    workers: list[worker_table.Worker],
    now: term_state.Now,
) -> Reason:
    if not workers:
        return Reason.NO_WORKER
    is_gang = step.spec.is_gang
    if is_gang and len(step.waiting) < len(step.tasks):
        return Reason.GANG_ENDS
    if not caps.allows(term, step, len(step.tasks) if is_gang else 1, {}):
        return Reason.TEAM_CAP
    tickets = term.list_tickets(step, now.steady_ms)
    if tickets is not None and not tickets:
        return Reason.NO_TICKET
    needs = step.spec.reserved
    if not any(needs.fits_in(worker.report.capacity) for worker in workers):
        return Reason.TOO_LARGE
    now_ms = now.steady_ms
    place = placing.place_gang if is_gang else placing.choose_worker
    capacities = placing.measure_free(workers, {})
    if place(capacities, step, now_ms, tickets=tickets) is None:
        return Reason.NO_ROOM
    tasks = [step.tasks[index] for index in step.waiting]
    isolation = isolating.choose_isolation(term, tasks)
    suspects = crashes.list_suspects(term)
    isolated = isolating.list_isolated_jobs(term, suspects, now)
    capacities = placing.measure_free(workers, isolated)
    if not place(
        capacities, step, now_ms, tickets=tickets, isolation=isolation
    ):
        return Reason.APART
    return Reason.ORDER


def log_waiting_steps(term: term_state.Term, now: term_state.Now) -> None:
    """Logs, once a second, the step of each service that has waited longest.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    if now.steady_ms - term.waiting_logged_ms < _LOG_INTERVAL_MS:
        return
    term.waiting_logged_ms = now.steady_ms
    by_service: dict[str, list[tuple[int, book_records.Step]]] = {}
    for name, ready in term.book.ready.items():
        queue = term.book.find_queue(name)
        if queue is None:
            continue
        for step in ready.values():
            job = term.book.jobs[step.key[0]]
            since_wall_ms = step.due_wall_ms or job.admitted_wall_ms
            age_ms = now.wall_ms - since_wall_ms
            if age_ms >= _MIN_AGE_MS:
                steps = by_service.setdefault(queue.service, [])
                steps.append((age_ms, step))
    for service, steps in by_service.items():
        age_ms, step = max(steps, key=lambda pair: pair[0])
        workers = planning.list_usable_workers(term, service, now.steady_ms)
        job_id, occurrence, number = step.key
        term.log_event(
            "step_waiting",
            service=service,
            steps=len(steps),
            job=job_id,
            step=f"{occurrence}.{number}",
            tasks=len(step.waiting),
            age_ms=age_ms,
            reason=_find_reason(term, step, workers, now).value,
        )
