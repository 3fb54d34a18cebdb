"""Gives waiting tasks to workers, in the order of need, within teams' caps."""

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import objectives
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state


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
    for service, steps in by_service.items():
        if steps:
            _plan_service(term, service, steps, now)


def _plan_service(
    term: term_state.Term,
    service: str,
    steps: list[book_records.StepRun],
    now: term_state.Now,
) -> None:
    usable = [
        worker
        for worker in term.workers.by_id.values()
        if worker.report.service == service
        and not worker.report.is_leaving
        and now.steady_ms - worker.heard_ms <= term.settings.fresh_ms
        and term.steering.is_usable(worker.report.instance)
    ]
    if not usable:
        return
    rooms = placing.build_rooms(usable, term.book)
    steps.sort(key=lambda step: _rank(term, step, now))
    chosen: dict[specs.WorkerLife, list[commands.Assignment]] = {}
    planned: dict[str, specs.Resources] = {}
    for step in steps:
        if step.spec.is_gang:
            _plan_gang(term, step, rooms, planned, chosen, now)
            continue
        for number in list(step.waiting):
            if not _is_within_cap(term, step, 1, planned):
                break
            room = placing.choose_room(rooms, step, now.steady_ms)
            if room is None:
                break
            room.take(step.key, step.spec.reserved)
            _choose(term, step, step.tasks[number], room, planned, chosen)
    for life, runs in chosen.items():
        worker = term.workers.by_id[life.worker]
        term.decide(
            commands.AssignRuns(life, worker.report.number, tuple(runs))
        )
        term.count_reserved(worker)
        for run in runs:
            term.assigned_ms[run.task, run.run] = now.steady_ms
            term.note(
                "run_assigned",
                job=run.task.job,
                task=f"{run.task.occurrence}.{run.task.step}"
                f".{run.task.place}",
                run=run.run,
                worker=life.worker,
                heard_age_ms=now.steady_ms - worker.heard_ms,
            )


def _rank(
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
    queue = term.book.find_queue(job.queue)
    objective_ms = objectives.compute_objective_ms(queue, job.spec)
    begin_ms = step.due_wall_ms or job.admitted_wall_ms
    slack_ms = begin_ms + objective_ms - now.wall_ms
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


def _choose(
    term: term_state.Term,
    step: book_records.StepRun,
    task: book_records.Task,
    room: placing.Room,
    planned: dict[str, specs.Resources],
    chosen: dict[specs.WorkerLife, list[commands.Assignment]],
) -> None:
    job = term.book.jobs[step.key[0]]
    used = planned.get(job.team, specs.Resources())
    planned[job.team] = used + step.spec.needs
    run = task.last_run + 1
    if step.spec.is_gang:
        run = max(each.last_run for each in step.tasks) + 1
    chosen.setdefault(room.worker.life, []).append(
        commands.Assignment(task.ref, run)
    )


def _plan_gang(
    term: term_state.Term,
    step: book_records.StepRun,
    rooms: list[placing.Room],
    planned: dict[str, specs.Resources],
    chosen: dict[specs.WorkerLife, list[commands.Assignment]],
    now: term_state.Now,
) -> None:
    """Places a gang, once none of an earlier run is left.

    Args:
        term: The leader's term.
        step: The step.
        rooms: The rooms of its service.
        planned: What the teams were given in this plan.
        chosen: The runs by worker.
        now: The time.
    """
    if len(step.waiting) < len(step.tasks):
        return
    if not _is_within_cap(term, step, len(step.tasks), planned):
        return
    places = placing.place_gang(rooms, step, now.steady_ms)
    if places is None:
        return
    for task, room in zip(step.tasks, places):
        _choose(term, step, task, room, planned, chosen)
