"""Decides which tasks and gangs wait for a place near their data or group.

Load pattern: steps name the rack of their data, or want all their tasks in one
rack, and take several times as long elsewhere; many may name the same rack,
which is full while others have room. A task that finds room elsewhere waits if
its rack should have room sooner than the time that it would lose there,
counting what already waits for the same rack. No room is reserved for it, so
that others use what it does not take, and each plan decides anew. This is known
as delay scheduling.
"""

from collections.abc import Container

from bambookeel.jobs import book_records
from bambookeel.jobs import place_wait_state
from bambookeel.jobs import placing
from bambookeel.jobs import rack_choice
from bambookeel.jobs import specs
from bambookeel.jobs import starving
from bambookeel.jobs import term as term_state

# Longest wait, also for a job without any run. Such a job is starving after
# 2,000 ms beside room, from which one wait is still a second away.
MAX_WAIT_MS = 1_000
# Share of the time lost elsewhere for which it pays to wait: not all forecasts
# come true.
_WAITED_SHARE = 0.5
# Maximum number of waits of one plan, which bounds the time that it takes;
# tasks after them are placed at once.
_MAX_WAITS = 300
# Maximum number of log lines about ended waits within each interval.
_MAX_LINES = 20
_LOG_INTERVAL_MS = 1_000


def _compute_limit_ms(
    term: term_state.Term,
    choice: rack_choice.RackChoice,
    step: book_records.Step,
    earlier: place_wait_state.Wait | None,
) -> tuple[float, float]:
    """Computes for how long a task may wait, and what a remote place loses.

    Args:
        term: State of the leader's term.
        choice: What the plan knows of racks.
        step: Step of the task.
        earlier: Its wait so far; None if it has none.

    Returns:
        Both in milliseconds; the first may be negative.
    """
    now_ms = choice.now.steady_ms
    job = term.book.jobs[step.key[0]]
    loss_ms = (term.settings.remote_factor - 1) * term.run_times.estimate_ms(
        job.queue, step.spec
    )
    since_ms = starving.get_since_ms(term, choice.service, job.job_id, now_ms)
    waited_ms = now_ms - since_ms
    if earlier is not None:
        waited_ms = max(waited_ms, earlier.measure_ms(now_ms))
    slack_ms = (
        term.compute_objective_wall_ms(job, step)
        - choice.now.wall_ms
        - term.compute_chain_ms(job, step.key[2])
    )
    if slack_ms >= loss_ms:
        # A wait in vain must not make a job late that would be in time
        # elsewhere.
        slack_ms -= loss_ms
    longest_ms = MAX_WAIT_MS - waited_ms
    gain_ms = loss_ms if choice.is_scarce else _WAITED_SHARE * loss_ms
    return min(gain_ms, slack_ms, longest_ms), loss_ms


def _note_wait(
    choice: rack_choice.RackChoice,
    earlier: place_wait_state.Wait | None,
    step: book_records.Step,
    ref: specs.TaskRef,
    rack: str,
    loss_ms: float,
    forecast_ms: float,
) -> None:
    now_ms = choice.now.steady_ms
    reason = place_wait_state.Reason.GROUP
    if step.spec.data_rack:
        reason = place_wait_state.Reason.DATA
    choice.waiting[ref] = place_wait_state.Wait(
        0 if earlier is None else earlier.measure_ms(now_ms),
        now_ms,
        reason,
        rack,
        len(step.tasks) if step.spec.is_gang else 1,
        loss_ms,
        forecast_ms,
    )


def _get_earlier(
    term: term_state.Term, choice: rack_choice.RackChoice, ref: specs.TaskRef
) -> place_wait_state.Wait | None:
    return term.place_waits.waits.get(choice.service, {}).get(ref)


def find_wait(
    term: term_state.Term, service: str, ref: specs.TaskRef
) -> place_wait_state.Wait | None:
    """Finds the wait of a task if the last plan let it wait.

    Args:
        term: State of the leader's term.
        service: Service of the task.
        ref: The task, or the first of a gang.

    Returns:
        The wait; None if it does not wait.
    """
    wait = term.place_waits.waits.get(service, {}).get(ref)
    return wait if wait is not None and wait.is_current else None


def must_task_wait(
    term: term_state.Term,
    choice: rack_choice.RackChoice,
    step: book_records.Step,
    task: book_records.Task,
    rack: str,
) -> bool:
    """Decides whether a task waits for its rack, and notes it if so.

    Args:
        term: State of the leader's term.
        choice: What the plan knows of racks, which is changed.
        step: Step of the task, which needs no advice and may share workers.
        task: A task without a run.
        rack: Rack in which it takes least time.

    Returns:
        False if it should be placed now, in that rack or another, or if there
        is no room for it.
    """
    if len(choice.waiting) >= _MAX_WAITS:
        return False
    if not choice.is_scarce and _has_remote_task(term, choice, step):
        return False
    earlier = _get_earlier(term, choice, task.ref)
    limit_ms, loss_ms = _compute_limit_ms(term, choice, step, earlier)
    if limit_ms <= 0:
        return False
    avoided = term.list_avoided(task)
    forecast = choice.get_forecast(term, rack)
    forecast_ms, worker = forecast.find_room(step, avoided, limit_ms)
    if worker is None or not forecast_ms:
        return False
    if not _has_room_elsewhere(choice, step, avoided):
        return False
    run_ms = loss_ms / (term.settings.remote_factor - 1)
    worker.claim(step.spec.reserved, forecast_ms, run_ms)
    _note_wait(choice, earlier, step, task.ref, rack, loss_ms, forecast_ms)
    return True


def _has_remote_task(
    term: term_state.Term,
    choice: rack_choice.RackChoice,
    step: book_records.Step,
) -> bool:
    """Returns whether a task of a step has been placed in a remote rack.

    The step does not end before it, so that a wait of the others gains little,
    and one in vain makes the step longer.

    Args:
        term: State of the leader's term.
        choice: What the plan knows of racks.
        step: The step.

    Returns:
        True also if the plan has just placed it.
    """
    is_remote = choice.remote_steps.get(step.key)
    if is_remote is None:
        remote_runs = term.place_waits.remote_runs
        is_remote = any(
            (task.ref, run) in remote_runs
            for task in step.tasks
            for run in task.runs
        )
        choice.remote_steps[step.key] = is_remote
    return is_remote


def _has_room_elsewhere(
    choice: rack_choice.RackChoice,
    step: book_records.Step,
    avoided: frozenset[str],
) -> bool:
    """Returns whether a task without room in its rack has room elsewhere."""
    known = choice.elsewhere
    if (
        known is not None
        and known.fits(step.spec.reserved)
        and known.worker.incarnation.worker not in avoided
        and placing.is_allowed(known, step, None)
        and known.admits(step, placing.Isolation.NONE)
    ):
        return True
    choice.elsewhere = placing.choose_worker(
        choice.capacities, step, choice.now.steady_ms, avoided
    )
    return choice.elsewhere is not None


def must_gang_wait(
    term: term_state.Term,
    choice: rack_choice.RackChoice,
    step: book_records.Step,
) -> bool:
    """Decides whether a gang waits for one rack as a whole.

    Args:
        term: State of the leader's term.
        choice: What the plan knows of racks, which is changed.
        step: Step of the gang, which needs no advice, may share workers and has
            no run.

    Returns:
        False if it should be placed now, or if there is no room for it.
    """
    if len(choice.waiting) >= _MAX_WAITS:
        return False
    ref = step.tasks[0].ref
    earlier = _get_earlier(term, choice, ref)
    limit_ms, loss_ms = _compute_limit_ms(term, choice, step, earlier)
    if limit_ms <= 0:
        return False
    racks = [step.spec.data_rack] if step.spec.data_rack else choice.by_rack
    best_ms = limit_ms
    best = None
    best_rack = ""
    for rack in racks:
        forecast = choice.get_forecast(term, rack)
        room_ms = forecast.find_gang_room_ms(step, best_ms)
        if not room_ms:
            return False
        if room_ms <= best_ms:
            best_ms, best, best_rack = room_ms, forecast, rack
    if best is None:
        return False
    room = 0
    most = step.spec.max_per_instance or len(step.tasks)
    for capacity in choice.capacities:
        if not step.spec.label or (
            step.spec.label in capacity.worker.report.labels
        ):
            room += capacity.count_fitting(step.spec.reserved, most)
    if room < len(step.tasks):
        return False
    run_ms = loss_ms / (term.settings.remote_factor - 1)
    best.claim_gang(step, best_ms, run_ms)
    _note_wait(choice, earlier, step, ref, best_rack, loss_ms, best_ms)
    return True


def finish(
    term: term_state.Term,
    service: str,
    choice: rack_choice.RackChoice | None,
    placed: Container[specs.TaskRef],
    now: term_state.Now,
) -> None:
    """Ends the waits whose tasks the plan has placed, and keeps the others.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        choice: What the plan knows of racks; None if racks do not matter to it.
        placed: Tasks that the plan has assigned.
        now: Current time.
    """
    earlier = term.place_waits.waits.get(service, {})
    waiting = {} if choice is None else choice.waiting
    if not earlier and not waiting:
        return
    remote: Container[specs.TaskRef] = () if choice is None else choice.remote
    for ref, wait in earlier.items():
        if ref in waiting:
            continue
        if ref not in placed and _is_still_waiting(term, ref):
            # There is no room anywhere; the wait goes on with the room.
            wait.waited_ms = wait.measure_ms(now.steady_ms)
            wait.is_current = False
            waiting[ref] = wait
            continue
        outcome = place_wait_state.Outcome.PAID
        if ref not in placed:
            outcome = place_wait_state.Outcome.CLOSED
        elif ref in remote or choice is None:
            outcome = place_wait_state.Outcome.ELSEWHERE
        elif wait.measure_ms(now.steady_ms) > wait.loss_ms:
            outcome = place_wait_state.Outcome.LATE
        _end_wait(term, ref, wait, outcome, now)
    term.place_waits.waits[service] = waiting


def _is_still_waiting(term: term_state.Term, ref: specs.TaskRef) -> bool:
    task = term.book.get_task(ref)
    return task is not None and not task.runs and term.is_task_open(ref)


def _end_wait(
    term: term_state.Term,
    ref: specs.TaskRef,
    wait: place_wait_state.Wait,
    outcome: place_wait_state.Outcome,
    now: term_state.Now,
) -> None:
    state = term.place_waits
    waited_ms = wait.measure_ms(now.steady_ms)
    ended = state.ended.setdefault(outcome, place_wait_state.EndedWaits())
    ended.tasks += wait.tasks
    ended.waited_ms += wait.tasks * waited_ms
    if now.steady_ms - state.logged_ms >= _LOG_INTERVAL_MS:
        state.logged_ms = now.steady_ms
        state.lines = 0
    state.lines += 1
    if state.lines > _MAX_LINES:
        return
    term.log_event(
        "place_wait_ended",
        job=ref.job,
        task=ref.position,
        tasks=wait.tasks,
        reason=wait.reason.value,
        outcome=outcome.value,
        waited_ms=waited_ms,
        forecast_ms=round(wait.forecast_ms),
        remote_loss_ms=round(wait.loss_ms),
    )
