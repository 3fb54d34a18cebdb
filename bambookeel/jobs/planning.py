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
from bambookeel.jobs import bulkheads
from bambookeel.jobs import commands
from bambookeel.jobs import crashes
from bambookeel.jobs import deferring
from bambookeel.jobs import due_work
from bambookeel.jobs import full_services
from bambookeel.jobs import isolating
from bambookeel.jobs import kept_workers
from bambookeel.jobs import no_room
from bambookeel.jobs import place_waits
from bambookeel.jobs import placing
from bambookeel.jobs import plan_budget
from bambookeel.jobs import rack_choice
from bambookeel.jobs import ranking
from bambookeel.jobs import service_plan
from bambookeel.jobs import shares as team_shares
from bambookeel.jobs import specs
from bambookeel.jobs import starving
from bambookeel.jobs import storms
from bambookeel.jobs import term as term_state
from bambookeel.jobs import usable_workers
from bambookeel.jobs import workers as worker_table


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspects:
    """Tasks that may have crashed a worker, of all services.

    Attributes:
        tasks: Open tasks with evidence against them.
        isolated_jobs: Jobs of those that have just started on each worker.
        queues: Queues whose jobs crash their workers, by service.
    """

    tasks: list[book_records.Task]
    isolated_jobs: Mapping[
        specs.WorkerIncarnation, Mapping[str, placing.Isolation]
    ]
    queues: Mapping[str, frozenset[str]]


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
    suspects = _Suspects(tasks, isolated, storms.find_queues(term, now))
    budget = plan_budget.Budget()
    for service, work in sorted(
        by_service.items(), key=lambda pair: not _has_skipped(term, pair[1])
    ):
        if work.steps or work.tasks_to_copy:
            _plan_service(term, service, work, suspects, budget, now)
    steps = [step for work in by_service.values() for step in work.steps]
    term.skipped_steps = budget.list_skipped(steps)
    if term.skipped_steps:
        term.log_event(
            "plan_stopped",
            steps=len(steps),
            skipped=len(term.skipped_steps),
        )


def _has_skipped(term: term_state.Term, work: due_work.Work) -> bool:
    return any(step.key in term.skipped_steps for step in work.steps)


def _plan_service(
    term: term_state.Term,
    service: str,
    work: due_work.Work,
    suspects: _Suspects,
    budget: plan_budget.Budget,
    now: term_state.Now,
) -> None:
    usable, reserve = usable_workers.list_by_trust(term, service, now.steady_ms)
    if not usable and not reserve:
        return
    current = service_plan.Plan(
        placing.measure_free(usable, suspects.isolated_jobs), now, budget
    )
    current.queues = suspects.queues.get(service, frozenset())
    culprits: frozenset[str] = frozenset()
    if current.queues:
        current.suspected = frozenset(task.ref.job for task in suspects.tasks)
        culprits = isolating.list_culprits(term, suspects.tasks)
        bulkheads.note_occupants(term, current.capacities, current.queues)
    else:
        kept_workers.keep_workers(
            term, service, suspects.tasks, current.capacities, now
        )
        current.racks = rack_choice.begin(
            term, service, work.steps, current.capacities, now
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
            (
                _rank_step(term, current, step, deferred, culprits),
                step,
            )
            for step in work.steps
        ),
        key=lambda pair: pair[0],
    )
    for _, group in itertools.groupby(ranked, key=lambda pair: pair[0][:2]):
        members = [step for _, step in group]
        skipped = _place_steps(term, current, members, within_shares=True)
        _place_steps(term, current, skipped, within_shares=False)
    for task in work.tasks_to_copy:
        if budget.is_spent:
            break
        copied_step = term.book.get_step(task.ref)
        if copied_step is not None:
            service_plan.place_task(term, current, copied_step, task)
    ranked_steps = [step for _, step in ranked]
    _place_starving(term, current, service, ranked_steps, reserve)
    place_waits.finish(term, service, current.racks, current.placed, now)
    _assign(term, current)


def _rank_step(
    term: term_state.Term,
    current: service_plan.Plan,
    step: book_records.Step,
    deferred: frozenset[str],
    culprits: frozenset[str],
) -> tuple[bool, int, bool, float, int]:
    """Ranks a step by urgency; while workers crash, jobs that have begun first.

    Steps that the last plan has not reached come before all others.

    Args:
        term: State of the leader's term.
        current: The plan.
        step: A step with waiting tasks.
        deferred: Jobs that come after those that can meet their objective.
        culprits: Jobs that come after all others.

    Returns:
        Sort key; steps with smaller keys are placed first.
    """
    urgency, slack_ms, admitted_wall_ms = ranking.rank_step(
        term, step, current.now, deferred, culprits
    )
    # A job that has done something is less likely to crash its worker than a
    # new one, and what it has done would be lost.
    is_new = (
        bool(current.queues) and not term.book.jobs[step.key[0]].has_done_task
    )
    is_reached = step.key not in term.skipped_steps
    return (is_reached, urgency, is_new, slack_ms, admitted_wall_ms)


def _place_starving(
    term: term_state.Term,
    current: service_plan.Plan,
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
    current.budget = plan_budget.Budget(plan_budget.MAX_STARVING_COST)
    found.sort(
        key=lambda step: (
            not step.spec.is_standing,
            step.key[0] in current.suspected,
        )
    )
    if current.racks is not None:
        current.racks.may_wait = False
    more = placing.measure_free(reserve, {})
    bulkheads.note_occupants(term, more, current.queues)
    current.capacities += more
    current.is_sharing = True
    for capacity in current.capacities:
        if not current.queues:
            capacity.isolated_jobs.clear()
        capacity.kept_for = ""
        capacity.is_shared = True
    # What has fitted on no worker before may fit on one of these.
    current.too_large = no_room.NoRoom()
    current.too_large.note_kept(current.capacities)
    silent = starving.measure_silent(term, service, now_ms)
    for step in found:
        if step.spec.is_standing:
            _place_starving_step(term, current, step)
            continue
        if current.queues:
            is_full = starving.is_busy(term, current.capacities, now_ms)
        else:
            is_full = starving.is_half_used(
                term, current.capacities, silent, now_ms
            )
        if is_full:
            return
        _place_starving_step(term, current, step)


def _place_starving_step(
    term: term_state.Term, current: service_plan.Plan, step: book_records.Step
) -> None:
    """Places tasks of one starving step.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        step: The step.
    """
    # While workers crash, suspects are kept apart from those that have just
    # started.
    allowed = {
        task.ref
        for task in step.tasks
        if current.queues or isolating.may_share(task)
    }
    if step.spec.is_gang:
        if len(allowed) == len(step.tasks):
            service_plan.place_gang(term, current, step)
        return
    for index in step.waiting:
        if current.budget.is_spent:
            return
        task = step.tasks[index]
        if task.ref in current.placed or task.ref not in allowed:
            continue
        is_placed = service_plan.place_task(term, current, step, task)
        if step.spec.is_standing or current.queues:
            continue
        # One run is enough for a job that ends.
        if is_placed:
            return


def _place_steps(
    term: term_state.Term,
    current: service_plan.Plan,
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
        if not current.budget.begin_step(step):
            break
        # Most steps of a long queue fit on no worker; they are skipped without
        # a check of every worker.
        if not step.spec.reserved.fits_in(maximum):
            continue
        team = term.book.jobs[step.key[0]].team
        if step.spec.is_gang:
            if shares is not None and not shares.is_below(team):
                skipped.append(step)
                continue
            service_plan.place_gang(term, current, step)
            continue
        step_shares = None if step.spec.is_standing else shares
        if not _place_tasks(term, current, step, step_shares):
            skipped.append(step)
        if len(current.placed) != placed:
            maximum = placing.find_maximum(current.capacities)
            placed = len(current.placed)
    return skipped


def _place_tasks(
    term: term_state.Term,
    current: service_plan.Plan,
    step: book_records.Step,
    shares: team_shares.Shares | None,
) -> bool:
    """Places the waiting tasks of a step that is no gang, as far as they fit.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        step: Step with waiting tasks.
        shares: The teams' shares, if they limit the step; None otherwise.

    Returns:
        False if it was left because of its team's share.
    """
    job = term.book.jobs[step.key[0]]
    for index in step.waiting:
        task = step.tasks[index]
        if task.ref in current.placed:
            continue
        if current.budget.is_spent:
            break
        if shares is not None and not shares.is_below(job.team):
            return False
        if service_plan.place_task(term, current, step, task):
            continue
        isolation = service_plan.get_isolation(term, current, step, [task])
        is_unproven = not bulkheads.is_proven(job, current.queues)
        if isolation is placing.Isolation.NONE or (
            is_unproven and isolation is placing.Isolation.ALONE
        ):
            # The others of the step fit nowhere either.
            break
    return True


def _assign(term: term_state.Term, current: service_plan.Plan) -> None:
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
                born=incarnation.born_wall_ms,
                heard_age_ms=now_ms - worker.last_report_ms,
            )
