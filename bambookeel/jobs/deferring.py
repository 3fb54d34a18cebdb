"""Measures the open jobs of a full service, to decide which are deferred."""

from bambookeel.jobs import book_records
from bambookeel.jobs import deferral
from bambookeel.jobs import deferred_jobs
from bambookeel.jobs import loads
from bambookeel.jobs import objectives
from bambookeel.jobs import term as term_state
from bambookeel.jobs import work_ahead
from bambookeel.jobs import workers as worker_table

# Interval between two choices for a service; each looks at all its open jobs.
_CHOICE_INTERVAL_MS = 200
# A choice that is older was made before the service had room for all tasks.
_MAX_CHOICE_AGE_MS = 600


def measure_chain_ms(term: term_state.Term, job: book_records.Job) -> float:
    """Estimates the remaining run time of a job's longest chain of steps.

    Args:
        term: State of the leader's term.
        job: An open job.

    Returns:
        Run time in milliseconds; 0 for a job of standing tasks.
    """
    return max(
        (
            term.compute_chain_ms(job, number)
            for number in job.get_remaining_steps().numbers
        ),
        default=0.0,
    )


def _measure_candidate(
    term: term_state.Term, job: book_records.Job, now: term_state.Now
) -> deferral.Candidate | None:
    if job.spec.is_timed:
        return None
    work = objectives.estimate_open_work(job, term.run_times)
    if not work:
        return None
    step = next(iter(job.steps.values()))
    slack_ms = term.compute_objective_wall_ms(job, step) - now.wall_ms
    return deferral.Candidate(
        job.job_id,
        slack_ms,
        work,
        measure_chain_ms(term, job),
        job.has_had_run,
    )


def _measure_capacity_milli(
    term: term_state.Term, service: str, usable: list[worker_table.Worker]
) -> int:
    """Measures the processor time of a service without standing tasks.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        usable: Its workers that may get work.

    Returns:
        Thousandths of a core, with those of instances that are moving to it.
    """
    each_milli = max(worker.report.capacity.cpu_milli for worker in usable)
    incoming = loads.count_incoming(term, service)
    total = sum(worker.report.capacity.cpu_milli for worker in usable)
    _, standing_milli = loads.sum_open_work(term, service)
    return total + incoming * each_milli - standing_milli


def find_deferred(
    term: term_state.Term,
    service: str,
    usable: list[worker_table.Worker],
    now: term_state.Now,
) -> frozenset[str]:
    """Finds the jobs of a full service that are deferred.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        usable: Its workers that may get work; at least one.
        now: Current time.

    Returns:
        Ids of the jobs; chosen again at intervals.
    """
    known = term.deferred.get(service)
    if (
        known is not None
        and now.steady_ms - known.chosen_ms < _CHOICE_INTERVAL_MS
    ):
        return known.jobs
    candidates = []
    for job in term.list_open_jobs(service):
        candidate = _measure_candidate(term, job, now)
        if candidate is not None:
            candidates.append(candidate)
    capacity_milli = _measure_capacity_milli(term, service, usable)
    chosen = deferral.choose_deferred(candidates, capacity_milli)
    ahead = work_ahead.WorkAhead(
        work_ahead.Entry(now.wall_ms + candidate.slack_ms, candidate.work)
        for candidate in candidates
        if candidate.job not in chosen
    )
    term.deferred[service] = deferred_jobs.DeferredJobs(
        now.steady_ms, chosen, ahead
    )
    return chosen


def find_work_ahead(
    term: term_state.Term, service: str, now_ms: int
) -> work_ahead.WorkAhead | None:
    """Finds the work of a service's jobs that are not deferred.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        The work at the last choice; None if the service has not been full
        lately.
    """
    known = term.deferred.get(service)
    if known is None or now_ms - known.chosen_ms > _MAX_CHOICE_AGE_MS:
        return None
    return known.ahead
