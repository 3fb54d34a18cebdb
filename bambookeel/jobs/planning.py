"""Assigns waiting tasks to workers by urgency, within the teams' caps.

Standing tasks come first, then standing fillers, then other steps by their
jobs' slack; steps of jobs that will miss their objective or are deferred come
last. While a service is full, teams below their share come first within each
group of steps that are not standing.
"""

from collections.abc import Mapping
import dataclasses
import itertools

from bambookeel.jobs import book_records
from bambookeel.jobs import caps
from bambookeel.jobs import commands
from bambookeel.jobs import crashes
from bambookeel.jobs import deferring
from bambookeel.jobs import due_work
from bambookeel.jobs import full_services
from bambookeel.jobs import isolating
from bambookeel.jobs import kept_workers
from bambookeel.jobs import no_room
from bambookeel.jobs import placing
from bambookeel.jobs import ranking
from bambookeel.jobs import shares as team_shares
from bambookeel.jobs import specs
from bambookeel.jobs import starving
from bambookeel.jobs import term as term_state
from bambookeel.jobs import usable_workers
from bambookeel.jobs import workers as worker_table


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspects:
    """Tasks that may have crashed a worker, of all services.

    Attributes:
        tasks: Open tasks with evidence against them.
        isolated_jobs: Jobs of those that have just started on each worker.
    """

    tasks: list[book_records.Task]
    isolated_jobs: Mapping[
        specs.WorkerIncarnation, Mapping[str, placing.Isolation]
    ]


@dataclasses.dataclass(slots=True)
class _Plan:
    """A plan for one service while it is made.

    Attributes:
        capacities: Free capacities of the service's workers.
        now: Current time.
        team_usage: Resources that the plan has assigned to each team.
        assignments: Runs that the plan has assigned, by worker.
        shares: The teams' shares of the service; None while all waiting tasks
            fit.
        placed: Tasks that the plan has assigned.
        too_large: Needs that fit on no worker any more.
    """

    capacities: list[placing.FreeCapacity]
    now: term_state.Now
    team_usage: dict[str, specs.Resources] = dataclasses.field(
        default_factory=dict
    )
    assignments: dict[specs.WorkerIncarnation, list[commands.Assignment]] = (
        dataclasses.field(default_factory=dict)
    )
    shares: team_shares.Shares | None = None
    placed: set[specs.TaskRef] = dataclasses.field(default_factory=set)
    too_large: no_room.NoRoom = dataclasses.field(
        default_factory=no_room.NoRoom
    )


def plan(term: term_state.Term, now: term_state.Now) -> None:
    """Assigns waiting tasks to workers.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    by_service = due_work.list_work(term, now)
    if not by_service:
        return
    # The plan assigns no runs that change them for a later service.
    tasks = list(crashes.list_suspects(term))
    isolated = isolating.list_isolated_jobs(term, tasks, now)
    suspects = _Suspects(tasks, isolated)
    for service, work in by_service.items():
        if work.steps or work.tasks_to_copy:
            _plan_service(term, service, work, suspects, now)


def _plan_service(
    term: term_state.Term,
    service: str,
    work: due_work.Work,
    suspects: _Suspects,
    now: term_state.Now,
) -> None:
    usable, reserve = usable_workers.list_by_trust(term, service, now.steady_ms)
    if not usable and not reserve:
        return
    current = _Plan(placing.measure_free(usable, suspects.isolated_jobs), now)
    kept_workers.keep_workers(
        term, service, suspects.tasks, current.capacities, now
    )
    current.too_large.note_kept(current.capacities)
    current.shares = full_services.compute_shares(
        term, service, work.steps, current.capacities
    )
    deferred: frozenset[str] = frozenset()
    if usable and current.shares is not None:
        deferred = deferring.find_deferred(term, service, usable, now)
    ranked = sorted(
        (
            (ranking.rank_step(term, step, now, deferred), step)
            for step in work.steps
        ),
        key=lambda pair: pair[0],
    )
    for _, group in itertools.groupby(ranked, key=lambda pair: pair[0][0]):
        members = [step for _, step in group]
        skipped = _place_steps(term, current, members, within_shares=True)
        _place_steps(term, current, skipped, within_shares=False)
    for task in work.tasks_to_copy:
        copied_step = term.book.get_step(task.ref)
        if copied_step is not None:
            _place_task(term, current, copied_step, task)
    ranked_steps = [step for _, step in ranked]
    _place_starving(term, current, service, ranked_steps, reserve)
    _assign(term, current)


def _place_starving(
    term: term_state.Term,
    current: _Plan,
    service: str,
    steps: list[book_records.Step],
    reserve: list[worker_table.Worker],
) -> None:
    """Places tasks of starving steps wherever there is room.

    They may use the reserve, and workers on which suspects of other jobs have
    just started or that are kept for these. This is the last part of a plan.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        service: Name of the service.
        steps: Its steps with waiting tasks, by rank.
        reserve: Workers that get only what fits on no other.
    """
    now_ms = current.now.steady_ms
    found = starving.list_starving(term, service, steps, current.placed, now_ms)
    if not found:
        return
    current.capacities += placing.measure_free(reserve, {})
    for capacity in current.capacities:
        capacity.isolated_jobs.clear()
        capacity.kept_for = ""
    # What has fitted on no worker before may fit on one of these.
    current.too_large = no_room.NoRoom()
    silent = starving.measure_silent(term, service, now_ms)
    for step in found:
        # Standing steps have the first ranks.
        if not step.spec.is_standing and starving.is_half_used(
            term, current.capacities, silent, now_ms
        ):
            return
        if step.spec.is_gang:
            if all(isolating.may_share(task) for task in step.tasks):
                _plan_gang(term, current, step)
            continue
        for index in step.waiting:
            task = step.tasks[index]
            if task.ref in current.placed or not isolating.may_share(task):
                continue
            is_placed = _place_task(term, current, step, task)
            # One run is enough for a job that ends.
            if is_placed and not step.spec.is_standing:
                break


def _place_steps(
    term: term_state.Term,
    current: _Plan,
    steps: list[book_records.Step],
    within_shares: bool,
) -> list[book_records.Step]:
    """Places the waiting tasks of steps in the given order.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        steps: Steps with waiting tasks.
        within_shares: Whether to skip teams that have reached their share.

    Returns:
        The steps that were skipped because of their team's share.
    """
    skipped = []
    shares = current.shares if within_shares else None
    maximum = placing.find_maximum(current.capacities)
    placed = len(current.placed)
    for step in steps:
        # Most steps of a long queue fit on no worker; they are skipped without
        # a check of every worker.
        if not step.spec.reserved.fits_in(maximum):
            continue
        team = term.book.jobs[step.key[0]].team
        if step.spec.is_gang:
            if shares is not None and not shares.is_below(team):
                skipped.append(step)
                continue
            _plan_gang(term, current, step)
            continue
        step_shares = None if step.spec.is_standing else shares
        for index in step.waiting:
            task = step.tasks[index]
            if task.ref in current.placed:
                continue
            if step_shares is not None and not step_shares.is_below(team):
                skipped.append(step)
                break
            if _place_task(term, current, step, task):
                continue
            isolation = isolating.get_isolation(term, [task], current.now)
            if isolation is placing.Isolation.NONE:
                # The others of the step fit nowhere either.
                break
        if len(current.placed) != placed:
            maximum = placing.find_maximum(current.capacities)
            placed = len(current.placed)
    return skipped


def _place_task(
    term: term_state.Term,
    current: _Plan,
    step: book_records.Step,
    task: book_records.Task,
) -> bool:
    """Places one task.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        step: Step of the task.
        task: A waiting task, or one that needs a copy.

    Returns:
        False if the task exceeds the team's cap or fits on no worker. True if
        it was placed, or if only a worker that already runs it has room.
    """
    if not caps.allows(term, step, 1, current.team_usage):
        return False
    now_ms = current.now.steady_ms
    tickets = term.list_tickets(step, now_ms)
    isolation = isolating.get_isolation(term, [task], current.now)
    capacity = None
    if not current.too_large.includes(step, isolation):
        capacity = placing.choose_worker(
            current.capacities,
            step,
            now_ms,
            term.list_avoided(task),
            tickets,
            isolation,
        )
        if capacity is None and tickets is None:
            current.too_large.add(step, isolation)
    if capacity is None:
        isolating.note_unplaced(term, [task], isolation, now_ms)
        return False
    if capacity.worker.incarnation in task.runs.values():
        return True
    capacity.reserve(step.key, step.spec.reserved, isolation)
    current.too_large.note_placed(step, isolation)
    _add_assignment(term, current, step, task, capacity, tickets)
    return True


def _add_assignment(
    term: term_state.Term,
    current: _Plan,
    step: book_records.Step,
    task: book_records.Task,
    capacity: placing.FreeCapacity,
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
) -> None:
    current.placed.add(task.ref)
    term.apart_since_ms.pop(task.ref, None)
    job = term.book.jobs[step.key[0]]
    used = current.team_usage.get(job.team, specs.Resources())
    current.team_usage[job.team] = used + step.spec.needs
    if current.shares is not None and not step.spec.is_standing:
        current.shares.add_use(job.team, step.spec.needs.cpu_milli)
    run = task.last_run + 1
    if step.spec.is_gang:
        run = max(each.last_run for each in step.tasks) + 1
    incarnation = capacity.worker.incarnation
    ticket = tickets[incarnation] if tickets is not None else ""
    current.assignments.setdefault(incarnation, []).append(
        commands.Assignment(task.ref, run, ticket)
    )


def _plan_gang(
    term: term_state.Term, current: _Plan, step: book_records.Step
) -> None:
    """Places a gang if none of its tasks still has a run.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        step: Step of the gang.
    """
    if len(step.waiting) < len(step.tasks):
        return
    if not caps.allows(term, step, len(step.tasks), current.team_usage):
        return
    now_ms = current.now.steady_ms
    tickets = term.list_tickets(step, now_ms)
    isolation = isolating.get_isolation(term, step.tasks, current.now)
    places = None
    if not current.too_large.includes(step, isolation):
        places = placing.place_gang(
            current.capacities, step, now_ms, tickets, isolation
        )
    if places is None:
        isolating.note_unplaced(term, step.tasks, isolation, now_ms)
        return
    current.too_large.note_placed(step, isolation)
    for task, capacity in zip(step.tasks, places):
        _add_assignment(term, current, step, task, capacity, tickets)


def _assign(term: term_state.Term, current: _Plan) -> None:
    """Decides on the commands that assign the runs of a plan.

    Args:
        term: State of the leader's term.
        current: The finished plan.
    """
    now_ms = current.now.steady_ms
    for incarnation, runs in current.assignments.items():
        worker = term.workers.by_id[incarnation.worker]
        term.decide(
            commands.AssignRuns(
                incarnation,
                worker.report.number,
                tuple(runs),
                worker.report.instance,
                current.now.wall_ms,
            )
        )
        term.update_reserved(worker)
        for run in runs:
            term.assigned_ms[run.task, run.run] = now_ms
            term.log_event(
                "run_assigned",
                job=run.task.job,
                task=run.task.position,
                run=run.run,
                worker=incarnation.worker,
                heard_age_ms=now_ms - worker.last_report_ms,
            )
