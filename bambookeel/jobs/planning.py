"""Gives waiting tasks to workers, in the order of need, within teams' caps.

Standing tasks come first, then steps by their jobs' slack, and those that are
late already last; within these groups teams below their share of a full service
go first.
"""

from collections.abc import Mapping
import dataclasses
import enum
import itertools

from bambookeel.jobs import book_records
from bambookeel.jobs import caps
from bambookeel.jobs import commands
from bambookeel.jobs import copies
from bambookeel.jobs import placing
from bambookeel.jobs import shares as team_shares
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


class _Urgency(enum.IntEnum):
    """Groups of steps; those of a later one get what the earlier ones leave."""

    STANDING = 0
    FILLING = 1
    IN_TIME = 2
    LATE = 3


@dataclasses.dataclass(slots=True)
class _Plan:
    """What one plan for a service has given out.

    Attributes:
        rooms: What its workers have left.
        now: The time.
        given: What each team was given.
        chosen: Runs by worker.
        shares: The teams' shares while there is less room than work.
        placed: Tasks that it has given out.
    """

    rooms: list[placing.Room]
    now: term_state.Now
    given: dict[str, specs.Resources] = dataclasses.field(default_factory=dict)
    chosen: dict[specs.WorkerLife, list[commands.Assignment]] = (
        dataclasses.field(default_factory=dict)
    )
    shares: team_shares.Shares | None = None
    placed: set[specs.TaskRef] = dataclasses.field(default_factory=set)


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
    for task in copies.find_doubtful(term, now.steady_ms):
        queue = term.book.find_queue(term.book.jobs[task.ref.job].queue)
        if queue is not None:
            copied.setdefault(queue.service, []).append(task)
    for service in dict.fromkeys((*by_service, *copied)):
        steps = by_service.get(service, [])
        doubtful = copied.get(service, [])
        if steps or doubtful:
            _plan_service(term, service, steps, doubtful, now)


def list_usable_workers(
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
        and term.instance_controller.is_usable(worker.report.instance)
    ]
    trusted = [worker for worker in usable if not worker.is_suspect(now_ms)]
    return trusted or usable


def _plan_service(
    term: term_state.Term,
    service: str,
    steps: list[book_records.StepRun],
    doubtful: list[book_records.Task],
    now: term_state.Now,
) -> None:
    usable = list_usable_workers(term, service, now.steady_ms)
    if not usable:
        return
    current = _Plan(placing.build_rooms(usable), now)
    ranked = sorted(
        ((rank_step(term, step, now), step) for step in steps),
        key=lambda pair: pair[0],
    )
    current.shares = _find_shares(term, service, steps, current.rooms)
    for _, group in itertools.groupby(ranked, key=lambda pair: pair[0][0]):
        members = [step for _, step in group]
        over = _place_steps(term, current, members, within_shares=True)
        _place_steps(term, current, over, within_shares=False)
    for task in doubtful:
        copied = term.book.get_step(task.ref)
        if copied is not None:
            _place_task(term, current, copied, task)
    _assign(term, current)


def _find_shares(
    term: term_state.Term,
    service: str,
    steps: list[book_records.StepRun],
    rooms: list[placing.Room],
) -> team_shares.Shares | None:
    """Finds the teams' shares of a service that is full.

    Args:
        term: The leader's term.
        service: The service.
        steps: Its steps with waiting tasks.
        rooms: What its workers have left.

    Returns:
        The shares; None while all that waits has room.
    """
    free_milli = sum(room.cpu_milli for room in rooms)
    left_milli = free_milli
    for step in steps:
        left_milli -= len(step.waiting) * step.spec.reserved.cpu_milli
        if left_milli < 0:
            break
    if left_milli >= 0:
        return None
    used: dict[str, int] = {}
    for name, teams in term.book.use.by_queue.items():
        queue = term.book.find_queue(name)
        if queue is None or queue.service != service:
            continue
        for team, cpu_milli in teams.items():
            used[team] = used.get(team, 0) + cpu_milli
    waiting = {term.book.jobs[step.key[0]].team for step in steps}
    known = term.book.view.teams
    weights = {
        team: known[team].weight if team in known else 1.0
        for team in waiting | set(used)
    }
    capacity_milli = free_milli + sum(used.values())
    return team_shares.Shares.from_weights(capacity_milli, weights, used)


def _place_steps(
    term: term_state.Term,
    current: _Plan,
    steps: list[book_records.StepRun],
    within_shares: bool,
) -> list[book_records.StepRun]:
    """Places the waiting tasks of steps in their order.

    Args:
        term: The leader's term.
        current: The plan.
        steps: The steps.
        within_shares: Whether to leave out teams that have their share.

    Returns:
        The steps that were left out for that.
    """
    left_out = []
    shares = current.shares if within_shares else None
    largest = placing.find_largest(current.rooms)
    for step in steps:
        # Most steps of a long queue find no room anywhere; that must not cost
        # a look at every worker.
        if not step.spec.reserved.fits_in(largest):
            continue
        team = term.book.jobs[step.key[0]].team
        if step.spec.is_gang:
            if shares is not None and not shares.is_below(team):
                left_out.append(step)
                continue
            _plan_gang(term, current, step)
            continue
        counted = None if step.spec.is_standing else shares
        for number in step.waiting:
            task = step.tasks[number]
            if task.ref in current.placed:
                continue
            if counted is not None and not counted.is_below(team):
                left_out.append(step)
                break
            if not _place_task(term, current, step, task):
                break
        largest = placing.find_largest(current.rooms)
    return left_out


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
    if not caps.allows(term, step, 1, current.given):
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
    _choose(term, current, step, task, room, tickets)
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
    tickets: Mapping[specs.WorkerLife, str] | None,
) -> None:
    current.placed.add(task.ref)
    job = term.book.jobs[step.key[0]]
    used = current.given.get(job.team, specs.Resources())
    current.given[job.team] = used + step.spec.needs
    if current.shares is not None and not step.spec.is_standing:
        current.shares.take(job.team, step.spec.needs.cpu_milli)
    run = task.last_run + 1
    if step.spec.is_gang:
        run = max(each.last_run for each in step.tasks) + 1
    life = room.worker.life
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
    if not caps.allows(term, step, len(step.tasks), current.given):
        return
    now_ms = current.now.steady_ms
    tickets = _list_tickets(term, step, now_ms)
    places = placing.place_gang(current.rooms, step, now_ms, tickets)
    if places is None:
        return
    for task, room in zip(step.tasks, places):
        _choose(term, current, step, task, room, tickets)


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
        urgency = _Urgency.FILLING if step.spec.is_filler else _Urgency.STANDING
        return (urgency, 0.0, job.admitted_wall_ms)
    slack_ms = term.find_due_wall_ms(job, step) - now.wall_ms
    is_late = slack_ms < step.spec.estimate_ms
    urgency = _Urgency.LATE if is_late else _Urgency.IN_TIME
    return (urgency, slack_ms, job.admitted_wall_ms)
