"""Tells why tasks and steps that should run have no worker."""

from collections.abc import Mapping
import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import bulkheads
from bambookeel.jobs import caps
from bambookeel.jobs import crashes
from bambookeel.jobs import evacuations
from bambookeel.jobs import gang_placing
from bambookeel.jobs import isolating
from bambookeel.jobs import kept_workers
from bambookeel.jobs import place_waits
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import usable_workers
from bambookeel.jobs import workers as worker_table

# Interval between two log lines about each service.
_LOG_INTERVAL_MS = 1_000
# A step that has waited for less than this is not logged.
_MIN_AGE_MS = 1_000
# A standing task that has not run for less than this is not logged.
_MIN_STANDING_AGE_MS = 3_000
# Maximum number of standing tasks that are logged for each service.
_MAX_STANDING_LOGGED = 3


class Reason(enum.Enum):
    """Why a task does not run."""

    NOT_OPEN = "not_open"
    NOT_DUE = "not_due"
    RUNS = "runs"
    WORKER_UNHEARD = "worker_unheard"
    WORKER_SILENT = "worker_silent"
    WITHDRAWN = "withdrawn"
    NOT_STARTED = "not_started"
    NO_WORKER = "no_worker"
    HELD = "held"
    GANG_ENDS = "gang_ends"
    TEAM_CAP = "team_cap"
    NO_TICKET = "no_ticket"
    TOO_LARGE = "too_large"
    NO_ROOM = "no_room"
    SPREAD = "spread"
    WORKERS_SUSPECT = "workers_suspect"
    INSTANCE_GOAL = "instance_goal"
    EVACUATED = "evacuated"
    APART = "apart"
    KEPT = "kept"
    ALONE = "alone"
    NEAR_DATA = "near_data"
    NEAR_GROUP = "near_group"
    ORDER = "order"


def find_reason(
    term: term_state.Term, ref: specs.TaskRef, now: term_state.Now
) -> Reason:
    """Finds why a task does not run.

    Args:
        term: State of the leader's term.
        ref: Identifies the task.
        now: Current time.

    Returns:
        The first reason that applies; `RUNS` if its worker reports it.
    """
    task = term.book.get_task(ref)
    step = term.book.get_step(ref)
    if task is None or step is None or not term.is_task_open(ref):
        return Reason.NOT_OPEN
    if step.unfinished_dependencies or step.due_wall_ms > now.wall_ms:
        return Reason.NOT_DUE
    if task.runs:
        return _find_run_reason(term, task, now)
    queue = term.book.find_queue(term.book.jobs[ref.job].queue)
    if queue is None:
        return Reason.NO_WORKER
    tasks = step.tasks if step.spec.is_gang else [task]
    wait = place_waits.find_wait(term, queue.service, tasks[0].ref)
    if wait is not None:
        return Reason(wait.reason.value)
    return _find_wait_reason(term, queue.service, step, tasks, now)


def _find_run_reason(
    term: term_state.Term, task: book_records.Task, now: term_state.Now
) -> Reason:
    """Finds why a task with assigned runs does not run.

    Args:
        term: State of the leader's term.
        task: The task.
        now: Current time.

    Returns:
        The reason of its newest run.
    """
    run, life = max(task.runs.items())
    worker = term.workers.by_id.get(life.worker)
    if worker is None or worker.incarnation != life:
        return Reason.WORKER_UNHEARD
    silent_ms = now.steady_ms - worker.last_report_ms
    if silent_ms > term.settings.assign_max_silence_ms:
        return Reason.WORKER_SILENT
    if (task.ref, run) in term.withdrawn:
        return Reason.WITHDRAWN
    listed = worker.running.get(task.ref)
    if listed is None or listed.run != run:
        return Reason.NOT_STARTED
    return Reason.RUNS


def _list_heard_workers(
    term: term_state.Term, service: str, now_ms: int
) -> list[worker_table.Worker]:
    """Lists all workers of a service that could get work, were they trusted."""
    return [
        worker
        for worker in term.workers.by_id.values()
        if worker.report.service == service
        and not worker.report.is_leaving
        and now_ms - worker.last_report_ms
        <= term.settings.assign_max_silence_ms
    ]


def _fits(
    capacities: list[placing.FreeCapacity],
    step: book_records.Step,
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
    now_ms: int,
    isolation: placing.Isolation = placing.Isolation.NONE,
) -> bool:
    place = placing.choose_worker
    if step.spec.is_gang:
        return bool(
            gang_placing.place_gang(
                capacities, step, now_ms, tickets, isolation
            )
        )
    found = place(
        capacities, step, now_ms, tickets=tickets, isolation=isolation
    )
    return found is not None


def _find_wait_reason(
    term: term_state.Term,
    service: str,
    step: book_records.Step,
    tasks: list[book_records.Task],
    now: term_state.Now,
) -> Reason:
    """Finds why tasks that have no run have no worker.

    Args:
        term: State of the leader's term.
        service: Service of their workers.
        step: Step of the tasks.
        tasks: A waiting task, or those of a gang.
        now: Current time.

    Returns:
        The first reason that applies.
    """
    now_ms = now.steady_ms
    heard = _list_heard_workers(term, service, now_ms)
    if not heard:
        return Reason.NO_WORKER
    records = term.book.instances
    if all(evacuations.is_evacuated(records, worker) for worker in heard):
        return Reason.EVACUATED
    count = len(step.tasks) if step.spec.is_gang else 1
    if step.spec.is_gang and len(step.waiting) < count:
        return Reason.GANG_ENDS
    if not caps.allows(term, step, count, {}):
        return Reason.TEAM_CAP
    tickets = term.list_tickets(step, now_ms)
    if tickets is not None and not tickets:
        return Reason.NO_TICKET
    needs = step.spec.reserved
    if not any(needs.fits_in(worker.report.capacity) for worker in heard):
        return Reason.TOO_LARGE
    usable = usable_workers.list_usable_workers(term, service, now_ms)
    if not _fits(placing.measure_free(usable, {}), step, tickets, now_ms):
        return _find_room_reason(term, heard, step, tickets, now_ms)
    if isolating.is_held(term, tasks, now):
        return Reason.HELD
    isolation = isolating.get_isolation(term, tasks, now)
    suspects = list(crashes.list_suspects(term))
    isolated = isolating.list_isolated_jobs(term, suspects, now)
    capacities = placing.measure_free(usable, isolated)
    if not _fits(capacities, step, tickets, now_ms, isolation):
        return Reason.APART
    queues = term.storms.queues.get(service, frozenset())
    if queues:
        bulkheads.note_occupants(term, capacities, queues)
        isolation = bulkheads.get_isolation(term, step, isolation, queues)
        is_alone = not _fits(capacities, step, tickets, now_ms, isolation)
        return Reason.ALONE if is_alone else Reason.ORDER
    kept_workers.keep_workers(term, service, suspects, capacities, now)
    if not _fits(capacities, step, tickets, now_ms, isolation):
        return Reason.KEPT
    return Reason.ORDER


def _find_room_reason(
    term: term_state.Term,
    heard: list[worker_table.Worker],
    step: book_records.Step,
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
    now_ms: int,
) -> Reason:
    """Finds why a step fits on no worker that may get work.

    Args:
        term: State of the leader's term.
        heard: All workers of its service that report, also evacuated ones.
        step: The step.
        tickets: Workers that the advisor allows; None if all are allowed.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        What keeps it from the workers that have room.
    """
    controller = term.instance_controller
    records = term.book.instances
    usable = [
        worker
        for worker in heard
        if not evacuations.is_evacuated(records, worker)
    ]
    without_goals = [
        worker
        for worker in usable
        if controller.is_usable(worker.report.instance)
    ]
    for workers, reason in (
        (without_goals, Reason.WORKERS_SUSPECT),
        (usable, Reason.INSTANCE_GOAL),
        (heard, Reason.EVACUATED),
    ):
        if _fits(placing.measure_free(workers, {}), step, tickets, now_ms):
            return reason
    if not step.spec.max_per_instance:
        return Reason.NO_ROOM
    label = step.spec.label
    fitting = sum(
        capacity.count_fitting(step.spec.reserved, step.spec.count)
        for capacity in placing.measure_free(heard, {})
        if not label or label in capacity.worker.report.labels
    )
    count = step.spec.count if step.spec.is_gang else 1
    return Reason.SPREAD if fitting >= count else Reason.NO_ROOM


def log_waiting_steps(term: term_state.Term, now: term_state.Now) -> None:
    """Logs, once a second, what has waited longest in each service.

    These are the oldest step with waiting tasks and the standing tasks that
    have not run for longest.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    if now.steady_ms - term.waiting_logged_ms < _LOG_INTERVAL_MS:
        return
    term.waiting_logged_ms = now.steady_ms
    _log_oldest_steps(term, now)
    _log_standing_tasks(term, now)


def _log_oldest_steps(term: term_state.Term, now: term_state.Now) -> None:
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
        job_id, occurrence, number = step.key
        index = next(iter(step.waiting))
        term.log_event(
            "step_waiting",
            service=service,
            steps=len(steps),
            job=job_id,
            step=f"{occurrence}.{number}",
            tasks=len(step.waiting),
            age_ms=age_ms,
            reason=find_reason(term, step.tasks[index].ref, now).value,
        )


def _list_idle_standing(
    term: term_state.Term, service: str, now: term_state.Now
) -> list[specs.TaskRef]:
    """Lists the standing tasks of a service that no worker reports."""
    idle = []
    for job in term.list_open_jobs(service):
        # Jobs on a timetable may have very many steps.
        if not any(spec.is_standing for spec in job.spec.steps):
            continue
        for step in job.steps.values():
            if not step.spec.is_standing or step.unfinished_dependencies:
                continue
            if step.due_wall_ms > now.wall_ms:
                continue
            for task in step.tasks:
                if task.runs:
                    reason = _find_run_reason(term, task, now)
                    if reason is Reason.RUNS:
                        continue
                idle.append(task.ref)
    return idle


def _log_standing_tasks(term: term_state.Term, now: term_state.Now) -> None:
    """Logs the standing tasks that have not run for some seconds."""
    now_ms = now.steady_ms
    since_ms: dict[specs.TaskRef, int] = {}
    for service in term.book.configuration.services:
        idle = _list_idle_standing(term, service, now)
        for ref in idle:
            since_ms[ref] = term.standing_idle_since_ms.get(ref, now_ms)
        waiting = [
            ref
            for ref in idle
            if now_ms - since_ms[ref] >= _MIN_STANDING_AGE_MS
        ]
        waiting.sort(key=lambda ref: since_ms[ref])
        for ref in waiting[:_MAX_STANDING_LOGGED]:
            term.log_event(
                "step_waiting",
                service=service,
                standing=len(waiting),
                job=ref.job,
                task=ref.position,
                age_ms=now_ms - since_ms[ref],
                reason=find_reason(term, ref, now).value,
            )
    term.standing_idle_since_ms = since_ms
