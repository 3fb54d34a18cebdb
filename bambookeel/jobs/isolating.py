"""Keeps tasks that may have crashed a worker apart from those of other jobs.

The next crash then tells them apart. A task that will be given up as soon as a
silent worker turns out to have crashed waits for that.
"""

from collections.abc import Iterable

from bambookeel.jobs import book_records
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import crashes
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# From here on the next crash decides, so that the task runs apart from others.
_ISOLATE_EVIDENCE = 7
# Maximum time for which a task waits for a worker of its own. A job must not be
# without a running task for 3 s while there is room for it.
_MAX_APART_WAIT_MS = 1_500
# Time for which a task waits until it is known whether its last worker has
# crashed. It is extended, up to a maximum, where workers of its service have
# come back later than that.
_HOLD_MS = 2_500
_MAX_HOLD_MS = 4_000
# How much longer than others a worker may take to come back.
_RETURN_MARGIN_MS = 500
# Time for which the return of a worker is taken into account.
_RETURNS_MS = 60_000


def is_suspect(term: term_state.Term, ref: specs.TaskRef) -> bool:
    """Returns whether a task may have crashed a worker.

    Args:
        term: State of the leader's term.
        ref: Identifies the task.

    Returns:
        True if there is evidence against it, a silent worker that may have
        crashed under it, or a second run of it.
    """
    task = term.book.get_task(ref)
    if task is None:
        return False
    has_copy = len(task.runs) > 1
    return (
        has_copy
        or task.evidence > 0
        or bool(term.book.crashes.list_open_cases(ref))
    )


def list_isolated_jobs(
    term: term_state.Term,
    suspects: Iterable[book_records.Task],
    now: term_state.Now,
) -> dict[specs.WorkerIncarnation, dict[str, placing.Isolation]]:
    """Lists the jobs with suspect tasks that each worker has just started.

    Args:
        term: State of the leader's term.
        suspects: All open tasks with evidence against them.
        now: Current time.

    Returns:
        Jobs with their isolation, by worker; workers without any are left out.
    """
    found: dict[specs.WorkerIncarnation, dict[str, placing.Isolation]] = {}
    for task in suspects:
        for incarnation in task.runs.values():
            worker = term.workers.by_id.get(incarnation.worker)
            run = term.book.assigned_runs[incarnation][task.ref]
            if (
                crashes.measure_work_ms(run, worker, now)
                < crash_evidence.FRESH_MS
            ):
                jobs = found.setdefault(incarnation, {})
                jobs[task.ref.job] = choose_isolation(term, [task])
    return found


def get_isolation(
    term: term_state.Term,
    tasks: list[book_records.Task],
    now: term_state.Now,
) -> placing.Isolation:
    """Returns how far tasks must be kept apart from those of other jobs.

    A task is held if it will be given up as soon as a worker that is silent
    turns out to have crashed.

    Args:
        term: State of the leader's term.
        tasks: A task that waits for a worker or a copy, or those of a gang.
        now: Current time.

    Returns:
        The isolation; a task whose worker is silent may have crashed it.
    """
    if not any(_is_doubtful(term, task) for task in tasks):
        term.held.difference_update(task.ref for task in tasks)
        return placing.Isolation.NONE
    for task in tasks:
        if _is_held(term, task, now):
            _log_held(term, task)
            return placing.Isolation.HELD
        term.held.discard(task.ref)
    isolation = choose_isolation(term, tasks)
    if isolation is placing.Isolation.REQUIRED:
        since_ms = min(
            term.apart_since_ms.get(task.ref, now.steady_ms) for task in tasks
        )
        if now.steady_ms - since_ms >= _MAX_APART_WAIT_MS:
            return placing.Isolation.PREFERRED
    return isolation


def is_held(
    term: term_state.Term,
    tasks: list[book_records.Task],
    now: term_state.Now,
) -> bool:
    """Returns whether tasks wait until it is known whether a worker crashed.

    Args:
        term: State of the leader's term.
        tasks: A task that waits for a worker or a copy, or those of a gang.
        now: Current time.

    Returns:
        True if one of them will be given up if it has.
    """
    return any(_is_held(term, task, now) for task in tasks)


def may_share(task: book_records.Task) -> bool:
    """Returns whether a task may start beside suspects of other jobs.

    Args:
        task: A waiting task.

    Returns:
        False if it would be given up should its worker crash: the crash might
        be that of another task.
    """
    weights = [crash_evidence.Evidence.MAY_HAVE_STARTED]
    evidence = crash_evidence.measure_evidence(task, weights)
    return not crash_evidence.is_conclusive(task, evidence, weights)


def note_unplaced(
    term: term_state.Term,
    tasks: list[book_records.Task],
    isolation: placing.Isolation,
    now_ms: int,
) -> None:
    """Notes since when tasks that must run apart have found no worker.

    Args:
        term: State of the leader's term.
        tasks: A waiting task, or those of a gang.
        isolation: How far they must be kept apart.
        now_ms: Steady-clock time in milliseconds.
    """
    if isolation is placing.Isolation.REQUIRED:
        for task in tasks:
            term.apart_since_ms.setdefault(task.ref, now_ms)


def list_culprits(
    term: term_state.Term, suspects: Iterable[book_records.Task]
) -> frozenset[str]:
    """Lists the jobs that the next crash may show to have caused one.

    Args:
        term: State of the leader's term.
        suspects: All open tasks with evidence against them.

    Returns:
        Jobs with a task that must run apart from others.
    """
    return frozenset(
        task.ref.job
        for task in suspects
        if choose_isolation(term, [task]) is placing.Isolation.REQUIRED
    )


def choose_isolation(
    term: term_state.Term, tasks: list[book_records.Task]
) -> placing.Isolation:
    """Chooses the isolation by the evidence alone, however long tasks waited.

    Args:
        term: State of the leader's term.
        tasks: A task, or those of a gang.

    Returns:
        The isolation.
    """
    evidence = 0
    for task in tasks:
        open_cases = term.book.crashes.list_open_cases(task.ref)
        pending = sum(weight for weight, _ in open_cases)
        evidence = max(evidence, task.evidence + pending)
    if evidence >= _ISOLATE_EVIDENCE:
        return placing.Isolation.REQUIRED
    if evidence or any(task.runs for task in tasks):
        return placing.Isolation.PREFERRED
    return placing.Isolation.NONE


def _is_doubtful(term: term_state.Term, task: book_records.Task) -> bool:
    """Returns whether anything speaks against a task, or it has a run."""
    if task.evidence or task.runs:
        return True
    return bool(term.book.crashes.list_open_cases(task.ref))


def _is_held(
    term: term_state.Term, task: book_records.Task, now: term_state.Now
) -> bool:
    if not _is_nearly_given_up(term, task, _MAX_HOLD_MS, now):
        return False
    hold_ms = _compute_hold_ms(term, task, now)
    return _is_nearly_given_up(term, task, hold_ms, now)


def _is_nearly_given_up(
    term: term_state.Term,
    task: book_records.Task,
    max_age_ms: int,
    now: term_state.Now,
) -> bool:
    """Returns whether a task will be given up if silent workers have crashed.

    Args:
        term: State of the leader's term.
        task: A waiting task.
        max_age_ms: Only workers that lost their runs less than this time ago
            count, in milliseconds.
        now: Current time.

    Returns:
        False if there is no such worker.
    """
    recent = [
        weight
        for weight, lost_wall_ms in term.book.crashes.list_open_cases(task.ref)
        if weight and 0 <= now.wall_ms - lost_wall_ms < max_age_ms
    ]
    if not recent:
        return False
    evidence = crash_evidence.measure_evidence(task, recent)
    return crash_evidence.is_conclusive(task, evidence, recent)


def _compute_hold_ms(
    term: term_state.Term, task: book_records.Task, now: term_state.Now
) -> int:
    """Computes how long after a lease a task waits for the worker's return.

    Args:
        term: State of the leader's term.
        task: A waiting task.
        now: Current time.

    Returns:
        Time in milliseconds.
    """
    queue = term.book.find_queue(term.book.jobs[task.ref.job].queue)
    absences_ms = [
        ended.ended_ms - ended.last_report_ms
        for ended in term.ended_workers
        if queue is not None
        and ended.service == queue.service
        and now.steady_ms - ended.ended_ms < _RETURNS_MS
    ]
    lease_ms = worker_table.compute_lease_end(0, term.settings.lease_ms)
    longest_ms = max(absences_ms, default=0) + _RETURN_MARGIN_MS - lease_ms
    return min(_MAX_HOLD_MS, max(_HOLD_MS, longest_ms))


def _log_held(term: term_state.Term, task: book_records.Task) -> None:
    if task.ref in term.held:
        return
    term.held.add(task.ref)
    term.log_event(
        "task_held",
        job=task.ref.job,
        task=task.ref.position,
        crashes=task.crashes,
        silent_workers=len(term.book.crashes.list_open_cases(task.ref)),
    )
