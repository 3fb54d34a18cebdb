"""Gives waiting tasks to workers, in the order of need, within teams' caps.

Standing tasks come first, then steps by their jobs' slack, and those that are
late already last. A task that may run twice gets a copy elsewhere when its
worker falls silent or under suspicion.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# A worker that has missed this much of its reports may be gone; its tasks that
# allow copies do not wait for its lease.
_COPY_AFTER_MS = 900


@dataclasses.dataclass(slots=True)
class _Plan:
    """What one plan for a service has given out.

    Attributes:
        rooms: What its workers have left.
        now: The time.
        given: What each team was given.
        chosen: Runs by worker.
    """

    rooms: list[placing.Room]
    now: term_state.Now
    given: dict[str, specs.Resources] = dataclasses.field(default_factory=dict)
    chosen: dict[specs.WorkerLife, list[commands.Assignment]] = (
        dataclasses.field(default_factory=dict)
    )


def plan(term: term_state.Term, now: term_state.Now) -> None:
    """Gives waiting tasks to workers.

    Args:
        term: The leader's term.
        now: The time.
    """
    by_service: dict[str, list[book_records.StepRun]] = {}
    for name, ready in term.book.ready.items():
        queue = term.book.find_queue(name)
        if queue is None or not ready:
            continue
        due = [s for s in ready.values() if s.due_wall_ms <= now.wall_ms]
        by_service.setdefault(queue.service, []).extend(due)
    copied: dict[str, list[book_records.Task]] = {}
    for task in _find_doubtful(term, now.steady_ms):
        queue = term.book.find_queue(term.book.jobs[task.ref.job].queue)
        if queue is not None:
            copied.setdefault(queue.service, []).append(task)
    for service in dict.fromkeys((*by_service, *copied)):
        steps = by_service.get(service, [])
        copies = copied.get(service, [])
        if steps or copies:
            _plan_service(term, service, steps, copies, now)


def _find_doubtful(
    term: term_state.Term, now_ms: int
) -> Iterator[book_records.Task]:
    """Finds tasks that allow copies and whose only worker is in doubt.

    Args:
        term: The leader's term.
        now_ms: The time.

    Yields:
        Each task.
    """
    for life, held in term.book.held.items():
        worker = term.workers.by_id.get(life.worker)
        if worker is None or worker.life != life:
            continue
        is_silent = now_ms - worker.heard_ms > _COPY_AFTER_MS
        if not is_silent and not worker.is_suspect(now_ms):
            continue
        for run in held.values():
            step = term.book.get_step(run.task)
            if step is None or not step.spec.allows_copies:
                continue
            task = step.tasks[run.task.place]
            if len(task.runs) == 1 and term.is_task_wanted(run.task):
                yield task


def list_usable(
    term: term_state.Term, service: str, now_ms: int
) -> list[worker_table.Worker]:
    """Lists the workers of a service that may get work.

    Args:
        term: The leader's term.
        service: The service.
        now_ms: The time.

    Returns:
        The workers; those under suspicion only when there are no others.
    """
    usable = [
        worker
        for worker in term.workers.by_id.values()
        if worker.report.service == service
        and not worker.report.is_leaving
        and now_ms - worker.heard_ms <= term.settings.fresh_ms
        and term.steering.is_usable(worker.report.instance)
    ]
    trusted = [worker for worker in usable if not worker.is_suspect(now_ms)]
    return trusted or usable


def _plan_service(
    term: term_state.Term,
    service: str,
    steps: list[book_records.StepRun],
    copies: list[book_records.Task],
    now: term_state.Now,
) -> None:
    usable = list_usable(term, service, now.steady_ms)
    if not usable:
        return
    current = _Plan(placing.build_rooms(usable), now)
    largest = placing.find_largest(current.rooms)
    steps.sort(key=lambda step: rank_step(term, step, now))
    for step in steps:
        # Most steps of a long queue find no room anywhere; that must not cost
        # a look at every worker.
        if not step.spec.reserved.fits_in(largest):
            continue
        if step.spec.is_gang:
            _plan_gang(term, current, step)
            continue
        for number in list(step.waiting):
            if not _place_task(term, current, step, step.tasks[number]):
                break
        largest = placing.find_largest(current.rooms)
    for task in copies:
        copied = term.book.get_step(task.ref)
        if copied is not None:
            _place_task(term, current, copied, task)
    _assign(term, current)


def _place_task(
    term: term_state.Term,
    current: _Plan,
    step: book_records.StepRun,
    task: book_records.Task,
) -> bool:
    """Places one task.

    Args:
        term: The leader's term.
        current: The plan.
        step: The task's step.
        task: The task.

    Returns:
        Whether there was room within the team's cap.
    """
    if not _is_within_cap(term, step, 1, current.given):
        return False
    avoided = set(term.failed_on.get(task.ref, ()))
    avoided.update(life.worker for life in task.runs.values())
    now_ms = current.now.steady_ms
    tickets = _list_tickets(term, step, now_ms)
    room = placing.choose_room(
        current.rooms, step, now_ms, frozenset(avoided), tickets
    )
    if room is None:
        return False
    if room.worker.life in task.runs.values():
        return True
    room.take(step.key, step.spec.reserved)
    _choose(term, current, step, task, room)
    return True


def _list_tickets(
    term: term_state.Term, step: book_records.StepRun, now_ms: int
) -> Mapping[specs.WorkerLife, str] | None:
    """Lists the workers that the advisor allows for a step.

    Args:
        term: The leader's term.
        step: The step.
        now_ms: The time.

    Returns:
        Their tickets; None where no advice is needed.
    """
    queue = term.book.find_queue(term.book.jobs[step.key[0]].queue)
    if queue is None or not queue.ticket_ms:
        return None
    return term.advice.list_tickets(step.key, now_ms)


def _choose(
    term: term_state.Term,
    current: _Plan,
    step: book_records.StepRun,
    task: book_records.Task,
    room: placing.Room,
) -> None:
    job = term.book.jobs[step.key[0]]
    used = current.given.get(job.team, specs.Resources())
    current.given[job.team] = used + step.spec.needs
    run = task.last_run + 1
    if step.spec.is_gang:
        run = max(each.last_run for each in step.tasks) + 1
    life = room.worker.life
    tickets = _list_tickets(term, step, current.now.steady_ms)
    ticket = tickets[life] if tickets is not None else ""
    current.chosen.setdefault(life, []).append(
        commands.Assignment(task.ref, run, ticket)
    )


def _plan_gang(
    term: term_state.Term, current: _Plan, step: book_records.StepRun
) -> None:
    """Places a gang, once none of an earlier run is left.

    Args:
        term: The leader's term.
        current: The plan.
        step: The step.
    """
    if len(step.waiting) < len(step.tasks):
        return
    if not _is_within_cap(term, step, len(step.tasks), current.given):
        return
    now_ms = current.now.steady_ms
    tickets = _list_tickets(term, step, now_ms)
    places = placing.place_gang(current.rooms, step, now_ms, tickets)
    if places is None:
        return
    for task, room in zip(step.tasks, places):
        _choose(term, current, step, task, room)


def _assign(term: term_state.Term, current: _Plan) -> None:
    """Puts a plan on record.

    Args:
        term: The leader's term.
        current: The plan.
    """
    now_ms = current.now.steady_ms
    for life, runs in current.chosen.items():
        worker = term.workers.by_id[life.worker]
        term.decide(
            commands.AssignRuns(life, worker.report.number, tuple(runs))
        )
        term.count_reserved(worker)
        for run in runs:
            term.assigned_ms[run.task, run.run] = now_ms
            term.note(
                "run_assigned",
                job=run.task.job,
                task=run.task.position,
                run=run.run,
                worker=life.worker,
                heard_age_ms=now_ms - worker.heard_ms,
            )


def rank_step(
    term: term_state.Term, step: book_records.StepRun, now: term_state.Now
) -> tuple[int, float, int]:
    """Ranks a step: standing ones, then by slack, late ones last.

    Args:
        term: The leader's term.
        step: The step.
        now: The time.

    Returns:
        A key; smaller ones come first.
    """
    job = term.book.jobs[step.key[0]]
    if step.spec.is_standing:
        return (1 if step.spec.is_filler else 0, 0.0, job.admitted_wall_ms)
    slack_ms = term.find_due_wall_ms(job, step) - now.wall_ms
    is_late = slack_ms < step.spec.estimate_ms
    return (3 if is_late else 2, slack_ms, job.admitted_wall_ms)


def _is_within_cap(
    term: term_state.Term,
    step: book_records.StepRun,
    count: int,
    planned: dict[str, specs.Resources],
) -> bool:
    """Tells whether a team may have more of a step running.

    Args:
        term: The leader's term.
        step: The step.
        count: How many tasks more.
        planned: What the teams were given in this plan.

    Returns:
        Whether it stays within its cap. A task larger than what is left
        of a cap that is less than half used may run too.
    """
    job = term.book.jobs[step.key[0]]
    team = term.book.view.teams.get(job.team)
    if team is None:
        return True
    nothing = specs.Resources()
    used = term.book.team_use.get(job.team, nothing)
    used = used + planned.get(job.team, nothing)
    needs = step.spec.needs
    triples = (
        (used.cpu_milli, needs.cpu_milli, team.cap.cpu_milli),
        (used.memory_mb, needs.memory_mb, team.cap.memory_mb),
        (used.gpus, needs.gpus, team.cap.gpus),
    )
    for has, need, cap in triples:
        if not cap or not need:
            continue
        if has + count * need > cap and (count > 1 or 2 * has >= cap):
            return False
    return True
