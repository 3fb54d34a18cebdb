"""Finds steps that wait although there is room for them.

Load pattern: many workers of a service fail or stall runs, the provider does
not answer the orders for the upkeep of instances, which work on, each of these
waits since the tasks of its steps that do not run have room only on another, or
many tasks may crash their workers, so that most workers are closed to all other
jobs. Few workers get work. These are full, or run all they may of a step, while
most of the service is idle. A job must not be without a running task for 3 s
then; a run on another worker is better than none. While half of the service is
in use, all tasks but standing ones wait for the workers that get work.
"""

from collections.abc import Iterable

from bambookeel.jobs import book_records
from bambookeel.jobs import evacuations
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# Time for which a job waits for a worker that gets work.
_MAX_WAIT_MS = 2_000
# Share of a service that must be in use while its workers crash: half of it,
# and what is on the way to the workers or back.
_MIN_STORM_USE = 0.8
# Number of reports that a worker whose runs count may have missed.
_MAX_MISSED_REPORTS = 2


# Key of a job in place of one of its steps.
_WHOLE_JOB = -1


def measure_silent(
    term: term_state.Term, service: str, now_ms: int
) -> specs.Resources:
    """Measures the capacity of a service's workers that have missed reports.

    They may have crashed, so that it counts as capacity that is not in use,
    except in a data centre that is evacuated.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Sum of their capacities.
    """
    total = specs.Resources()
    for worker in term.workers.by_id.values():
        if (
            worker.report.service == service
            and _is_silent(term, worker, now_ms)
            and not evacuations.is_evacuated(term.book.instances, worker)
        ):
            total += worker.report.capacity
    return total


def _is_silent(
    term: term_state.Term, worker: worker_table.Worker, now_ms: int
) -> bool:
    max_silence_ms = _MAX_MISSED_REPORTS * term.settings.report_ms
    return now_ms - worker.last_report_ms > max_silence_ms


def is_busy(
    term: term_state.Term,
    capacities: Iterable[placing.FreeCapacity],
    now_ms: int,
) -> bool:
    """Returns whether the workers that report are in use for the most part.

    To be used while workers crash: those that are away cannot take jobs, and
    the others should run few jobs each. A run counts from its assignment until
    its end is reported, so that less is in use than the leader counts.

    Args:
        term: State of the leader's term.
        capacities: Free capacities of the workers of a service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        True if four fifths of the processor time or of the memory are.
    """
    free = specs.Resources()
    total = specs.Resources()
    for capacity in capacities:
        if _is_silent(term, capacity.worker, now_ms):
            continue
        free += specs.Resources(capacity.cpu_milli, capacity.memory_mb, 0)
        total += capacity.worker.report.capacity
    return (
        free.cpu_milli <= (1 - _MIN_STORM_USE) * total.cpu_milli
        or free.memory_mb <= (1 - _MIN_STORM_USE) * total.memory_mb
    )


def is_half_used(
    term: term_state.Term,
    capacities: Iterable[placing.FreeCapacity],
    silent: specs.Resources,
    now_ms: int,
) -> bool:
    """Returns whether half of the capacity of a service is in use.

    Args:
        term: State of the leader's term.
        capacities: Free capacities of its workers.
        silent: Result of `measure_silent`.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        True if half of the processor time or of the memory is.
    """
    free = silent
    total = silent
    for capacity in capacities:
        if _is_silent(term, capacity.worker, now_ms):
            continue
        free += specs.Resources(capacity.cpu_milli, capacity.memory_mb, 0)
        total += capacity.worker.report.capacity
    return (
        2 * free.cpu_milli <= total.cpu_milli
        or 2 * free.memory_mb <= total.memory_mb
    )


def _list_jobs_at_work(
    term: term_state.Term, now_ms: int
) -> tuple[set[str], dict[str, int]]:
    """Lists the jobs with runs.

    Args:
        term: State of the leader's term.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Jobs with a run on a worker that reports; and those with runs on silent
        workers, with the time of the last report that any of these sent, on the
        steady clock in milliseconds.
    """
    at_work: set[str] = set()
    silent: dict[str, int] = {}
    for life, runs in term.book.assigned_runs.items():
        worker = term.workers.by_id.get(life.worker)
        heard_ms = now_ms
        if worker is not None and worker.incarnation == life:
            heard_ms = worker.last_report_ms
            if now_ms - heard_ms <= term.settings.assign_max_silence_ms:
                at_work.update(ref.job for ref in runs)
                continue
        for ref in runs:
            silent[ref.job] = max(heard_ms, silent.get(ref.job, heard_ms))
    return at_work, silent


def get_since_ms(
    term: term_state.Term, service: str, job: str, now_ms: int
) -> int:
    """Returns since when a job waits without any run.

    Args:
        term: State of the leader's term.
        service: Service of the job.
        job: Id of the job.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Steady-clock time in milliseconds at the first plan that left it so; now
        if the last plan did not.
    """
    known = term.starving_since_ms.get(service, {})
    return known.get((job, _WHOLE_JOB, _WHOLE_JOB), now_ms)


def list_starving(
    term: term_state.Term,
    service: str,
    steps: Iterable[book_records.Step],
    placed: set[specs.TaskRef],
    now_ms: int,
) -> list[book_records.Step]:
    """Lists the steps that have waited for too long.

    To be called with each plan. The runs of a job on silent workers may have
    ended, so that the job waits since they fell silent.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        steps: Its steps with waiting tasks, by rank.
        placed: Tasks that the plan has assigned.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Standing steps and those of jobs without any run, by rank.
    """
    at_work, silent = _list_jobs_at_work(term, now_ms)
    at_work.update(ref.job for ref in placed)
    earlier_ms = term.starving_since_ms.get(service, {})
    since_ms = {}
    for job, heard_ms in silent.items():
        if job not in at_work:
            key = (job, _WHOLE_JOB, _WHOLE_JOB)
            since_ms[key] = earlier_ms.get(key, heard_ms)
    starving = []
    for step in steps:
        key = step.key
        if not step.spec.is_standing:
            if step.key[0] in at_work:
                continue
            key = (step.key[0], _WHOLE_JOB, _WHOLE_JOB)
        if all(step.tasks[index].ref in placed for index in step.waiting):
            continue
        since_ms[key] = earlier_ms.get(key, now_ms)
        if now_ms - since_ms[key] >= _MAX_WAIT_MS:
            starving.append(step)
    term.starving_since_ms[service] = since_ms
    return starving
