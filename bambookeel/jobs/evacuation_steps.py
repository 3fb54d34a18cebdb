"""Carries out evacuations: gangs, standing tasks, moves of instances, logs.

Load pattern: a data centre is evacuated while gangs are on their way to its
workers, and while standing tasks run there that would not end by themselves.
What the planner must not assign there follows from the job book alone.
"""

from collections.abc import Iterator

from bambookeel.jobs import availability
from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import delivery
from bambookeel.jobs import evacuations
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import placing
from bambookeel.jobs import pool_demand
from bambookeel.jobs import run_records
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import undelivered
from bambookeel.jobs import usable_workers
from bambookeel.jobs import workers as worker_table

# Interval between two checks, each of which looks at all runs. It is well below
# the time for which members of a gang wait, and that of a move.
_CHECK_INTERVAL_MS = 250
# Interval between two log lines about each evacuation.
_LOG_INTERVAL_MS = 1_000
# Time after which room is looked for again for a standing task without any.
_NO_ROOM_MS = 2_000
# Maximum number of standing tasks for which room is looked for in a check.
_MAX_SEARCHES = 20


def carry_out(term: term_state.Term, now: term_state.Now) -> None:
    """Carries out the evacuations in force.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    state = term.evacuations
    if not term.book.instances.evacuations:
        if state.phases:
            term.evacuations = evacuations.TermState()
        return
    if now.steady_ms - state.checked_ms < _CHECK_INTERVAL_MS:
        return
    state.checked_ms = now.steady_ms
    withdraw_gangs(term)
    _drop_moves(term)
    _move_standing_tasks(term, now)
    _note_progress(term, now)


def _list_known_runs(
    term: term_state.Term,
) -> Iterator[tuple[worker_table.Worker, run_records.AssignedRun]]:
    """Lists the runs of the workers that have reported, with their worker."""
    for worker in term.workers.by_id.values():
        runs = term.book.assigned_runs.get(worker.incarnation, {})
        for run in runs.values():
            yield worker, run


def withdraw_gangs(term: term_state.Term) -> None:
    """Withdraws gangs of which a member can no longer start.

    The others would wait for it until they end. A member that an earlier leader
    has taken back shows in the job book.

    Args:
        term: State of the leader's term.
    """
    records = term.book.instances
    for worker, run in _list_known_runs(term):
        step = term.book.get_step(run.task)
        if step is None or not step.spec.is_gang:
            continue
        if (run.task, run.run) in term.withdrawn:
            continue
        if not term.is_task_open(run.task):
            continue
        cannot_start = evacuations.is_evacuated(records, worker) and not (
            delivery.is_reported(worker, run)
            or delivery.may_be_on_way(term, worker, run)
        )
        if cannot_start or not step.is_gang_complete(run.run):
            undelivered.withdraw_gang(term, worker, run, step)


def _drop_moves(term: term_state.Term) -> None:
    """Drops moves out of evacuated data centres that have not been ordered.

    Their instances would be no capacity for the pool that needs it.

    Args:
        term: State of the leader's term.
    """
    fleet = term.instance_controller.fleet
    spare_pool = term.book.configuration.find_spare_pool()
    evacuated = term.book.instances.evacuations
    for name, goal in list(fleet.goals.items()):
        status = fleet.statuses.get(name)
        if status is None or status.data_centre not in evacuated:
            continue
        match goal.order:
            case instances.Move(_, pool) if pool != spare_pool:
                is_draining = goal.phase is fleet_view.GoalPhase.DRAINING
                if is_draining and not goal.has_earlier_order:
                    del fleet.goals[name]
                    term.log_event("move_dropped", instance=name, pool=pool)


def _list_standing_tasks(
    term: term_state.Term, now_ms: int
) -> dict[str, list[tuple[worker_table.Worker, book_records.Step, int]]]:
    """Lists the standing tasks in evacuated data centres that may be moved.

    Args:
        term: State of the leader's term.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Worker, step and index of each task, by service.
    """
    by_service: dict[
        str, list[tuple[worker_table.Worker, book_records.Step, int]]
    ] = {}
    until_ms = term.evacuations.no_room_until_ms
    for worker, run in _list_known_runs(term):
        if not evacuations.is_evacuated(term.book.instances, worker):
            continue
        step = term.book.get_step(run.task)
        if step is None or not evacuations.is_movable(step):
            continue
        if not term.is_task_open(run.task):
            continue
        if now_ms < until_ms.get(step.key, now_ms):
            continue
        entry = (worker, step, run.task.task_index)
        by_service.setdefault(worker.report.service, []).append(entry)
    return by_service


def _move_standing_tasks(term: term_state.Term, now: term_state.Now) -> None:
    """Stops standing tasks that have room elsewhere, where they run next.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    state = term.evacuations
    state.moving = {ref for ref in state.moving if _is_moving(term, ref)}
    by_service = _list_standing_tasks(term, now.steady_ms)
    if not by_service:
        return
    under_order = term.instance_controller.list_under_order(
        term.book, term.workers, now.steady_ms, now.wall_ms
    )
    min_report_ms = now.steady_ms - term.settings.available_max_silence_ms

    def is_available(task: book_records.Task) -> bool:
        return availability.is_available(
            term.workers, task, under_order, min_report_ms, term.withdrawn
        )

    for service, entries in by_service.items():
        by_step: dict[
            book_records.StepKey, tuple[book_records.Step, list[int]]
        ] = {}
        for _, step, index in entries:
            by_step.setdefault(step.key, (step, []))[1].append(index)
        movable = {
            key: evacuations.find_movable(step, indices, is_available)
            for key, (step, indices) in by_step.items()
        }
        ready = [
            (worker, step, index)
            for worker, step, index in entries
            if index in movable[step.key]
        ]
        if ready:
            _move_with_room(term, service, ready[:_MAX_SEARCHES], now)


def _is_moving(term: term_state.Term, ref: specs.TaskRef) -> bool:
    """Returns whether a stopped standing task still needs its next run."""
    task = term.book.get_task(ref)
    return (
        task is not None
        and term.is_task_open(ref)
        and all((ref, run) in term.withdrawn for run in task.runs)
    )


def _move_with_room(
    term: term_state.Term,
    service: str,
    ready: list[tuple[worker_table.Worker, book_records.Step, int]],
    now: term_state.Now,
) -> None:
    """Stops the standing tasks of a service that have room elsewhere.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        ready: Worker, step and index of each task that may be stopped.
        now: Current time.
    """
    state = term.evacuations
    now_ms = now.steady_ms
    usable = usable_workers.list_usable_workers(term, service, now_ms)
    capacities = placing.measure_free(usable, {})
    for ref in sorted(state.moving):
        moved = term.book.get_step(ref)
        if moved is not None:
            _reserve(capacities, moved, now_ms)
    begun = set()
    for worker, step, index in ready:
        if step.key in begun:
            continue
        begun.add(step.key)
        if not _reserve(capacities, step, now_ms):
            state.no_room_until_ms[step.key] = now_ms + _NO_ROOM_MS
            continue
        ref = step.tasks[index].ref
        state.moving.add(ref)
        _stop(term, worker, ref, now)


def _reserve(
    capacities: list[placing.FreeCapacity],
    step: book_records.Step,
    now_ms: int,
) -> bool:
    """Reserves room for a task of a step; returns whether there is any."""
    chosen = placing.choose_worker(capacities, step, now_ms)
    if chosen is None:
        return False
    chosen.reserve(
        step.key,
        step.spec.reserved,
        placing.Isolation.NONE,
        step.spec.is_standing,
    )
    return True


def _stop(
    term: term_state.Term,
    worker: worker_table.Worker,
    ref: specs.TaskRef,
    now: term_state.Now,
) -> None:
    run = term.book.assigned_runs[worker.incarnation][ref].run
    term.withdrawn.add((ref, run))
    if worker.report.instance:
        # A new leader then knows that the worker may be stopping a task.
        term.decide(commands.RecordOrder(worker.report.instance, now.wall_ms))
    term.log_event(
        "run_evicted",
        job=ref.job,
        task=ref.position,
        run=run,
        worker=worker.incarnation.worker,
        reason="evacuation of its data centre",
    )


def _measure_progress(
    term: term_state.Term, data_centre: str
) -> evacuations.Progress:
    """Measures what is left in a data centre.

    Args:
        term: State of the leader's term.
        data_centre: Name of the data centre.

    Returns:
        Its progress. Runs of a worker that has not reported to this leader may
        be there unless the list of instances shows another data centre.
    """
    tasks = undelivered_runs = standing = 0
    longest_ms = 0.0
    statuses = term.instance_controller.fleet.statuses
    for life, runs in term.book.assigned_runs.items():
        worker = term.workers.by_id.get(life.worker)
        if worker is None or worker.incarnation != life:
            for run in runs.values():
                status = statuses.get(run.instance)
                place = status.data_centre if status is not None else ""
                if place in ("", data_centre):
                    tasks += 1
                    undelivered_runs += 1
            continue
        if worker.report.data_centre != data_centre:
            continue
        drain_ms = pool_demand.compute_drain_ms(term, worker)
        longest_ms = max(longest_ms, drain_ms)
        for run in runs.values():
            step = term.book.get_step(run.task)
            tasks += 1
            undelivered_runs += not delivery.is_reported(worker, run)
            standing += step is not None and step.spec.is_standing
    empty_in_ms = int(longest_ms) if longest_ms < float("inf") else -1
    return evacuations.Progress(tasks, undelivered_runs, standing, empty_in_ms)


def _note_progress(term: term_state.Term, now: term_state.Now) -> None:
    """Notes and logs how far each evacuation is.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    state = term.evacuations
    begun = term.book.instances.evacuations
    is_logged = now.steady_ms - state.logged_ms >= _LOG_INTERVAL_MS
    if is_logged:
        state.logged_ms = now.steady_ms
    state.progress = {}
    phases = {}
    for name, begun_wall_ms in begun.items():
        progress = _measure_progress(term, name)
        state.progress[name] = progress
        earlier = state.phases.get(name, evacuations.Phase.BEGUN)
        reached = evacuations.list_reached(earlier, progress)
        phases[name] = reached[-1] if reached else earlier
        for phase in reached:
            term.log_event(
                f"evacuation_{phase.value}",
                data_centre=name,
                since_ms=now.wall_ms - begun_wall_ms,
                tasks=progress.tasks,
                standing=progress.standing,
            )
        if is_logged and progress.tasks:
            term.log_event(
                "evacuation_state",
                data_centre=name,
                tasks=progress.tasks,
                undelivered=progress.undelivered,
                standing=progress.standing,
                empty_in_ms=progress.empty_in_ms,
            )
    state.phases = phases
