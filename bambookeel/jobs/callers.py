"""Handles calls of callers: to submit, query, cancel and count jobs."""

import dataclasses

from bambookeel.configuration import document as configuration
from bambookeel.jobs import admission
from bambookeel.jobs import book_records
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import deferring
from bambookeel.jobs import forecasting
from bambookeel.jobs import loads
from bambookeel.jobs import objectives
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import work_ahead


@dataclasses.dataclass(frozen=True, slots=True)
class _Caller:
    """What a call shows of its caller.

    Attributes:
        queue: Queue that the call addresses.
        team: Name of the team that has the key; empty if none has it.
        key: The key; empty if no team has it.
    """

    queue: configuration.Queue
    team: str
    key: str

    def has_submitted(self, job: book_records.Job) -> bool:
        """Returns whether a job is one of the caller's team in the queue.

        A caller also finds what was submitted at the same place with the same
        key, to whatever queue and team it belongs now.

        Args:
            job: The job.

        Returns:
            False for jobs of other callers.
        """
        return self.addresses(job) and (
            job.team == self.team or bool(self.key) and job.key == self.key
        )

    def addresses(self, job: book_records.Job) -> bool:
        """Returns whether a job is in the queue, or was submitted at its place.

        Args:
            job: The job.

        Returns:
            False for jobs of other queues.
        """
        return job.queue == self.queue.name or job.place == self.queue.place


def _identify_caller(
    term: term_state.Term, host: str, path: str, key: str, job: str = ""
) -> _Caller | calls.Answer:
    """Finds the queue that a call addresses and the team that its key allows.

    Args:
        term: State of the leader's term.
        host: Host that the call addresses.
        path: Path that the call addresses.
        key: Key of the team, as sent by the caller.
        job: Job id that the path ends with; empty for the queue itself.

    Returns:
        The caller, who has no known key only on a queue that is open to all;
        otherwise the refusal.
    """
    view = term.book.configuration
    if not view.document.version:
        return calls.NotStored("no configuration is in force yet", 500)
    queue = view.find_queue(host, path)
    if queue is None or path != queue.path_prefix + job:
        return calls.UnknownQueue()
    team = view.find_team(key)
    if team is not None:
        return _Caller(queue, team.name, key)
    if queue.is_open:
        return _Caller(queue, "", "")
    return calls.BadKey()


def submit_job(
    term: term_state.Term, call: calls.SubmitJob, now: term_state.Now
) -> calls.Answer:
    """Admits or rejects a job.

    Args:
        term: State of the leader's term.
        call: Call of the caller.
        now: Current time.

    Returns:
        `Done` if the job is admitted, now or earlier; otherwise the refusal.
    """
    caller = _identify_caller(term, call.host, call.path, call.key, call.job)
    if not isinstance(caller, _Caller):
        return caller
    queue, team = caller.queue, caller.team
    known = term.book.jobs.get(call.job)
    if known is not None:
        if caller.has_submitted(known):
            return calls.Done()
        return calls.BadRequest("the id is that of another job")
    if call.spec is None:
        return calls.BadRequest(call.fault)
    retry_ms = _compute_retry_ms(term, queue, team, call.spec, now)
    reason = f"{queue.service} cannot end it in time"
    if loads.has_only_evacuated(term, queue.service, now.steady_ms):
        retry_ms = admission.MAX_RETRY_MS
        reason = f"the data centres of {queue.service} are evacuated"
    if retry_ms is not None:
        term.log_event(
            "job_refused",
            job=call.job,
            queue=queue.name,
            team=team,
            retry_ms=retry_ms,
            reason=reason,
        )
        return calls.NotStored(reason, retry_ms, is_overload=True)
    term.decide(
        commands.AdmitJob(
            call.job,
            queue.name,
            team,
            call.spec,
            now.wall_ms,
            queue.place,
            caller.key,
        )
    )
    if not call.spec.is_timed:
        rate = term.arrival_rates.setdefault(
            queue.service, objectives.ArrivalRate()
        )
        work = term.estimate_work(queue, call.spec)
        rate.add(work, now.steady_ms)
        ahead = deferring.find_work_ahead(term, queue.service, now.steady_ms)
        if ahead is not None:
            objective_ms = objectives.compute_objective_ms(queue, call.spec)
            ahead.add(work_ahead.Entry(now.wall_ms + objective_ms, work))
    forecasting.learn_admission(term, queue, call.spec, now.wall_ms)
    term.log_event(
        "job_admitted",
        job=call.job,
        queue=queue.name,
        team=team,
        service=queue.service,
        tasks=sum(step.count for step in call.spec.steps),
        chain_ms=int(objectives.compute_critical_path_ms(call.spec)),
    )
    return calls.Done()


def _compute_retry_ms(
    term: term_state.Term,
    queue: configuration.Queue,
    team: str,
    spec: specs.JobSpec,
    now: term_state.Now,
) -> int | None:
    """Decides whether a job is admitted, by its service's and its team's load.

    Standing jobs and jobs on a timetable are always admitted.

    Args:
        term: State of the leader's term.
        queue: Queue of the job.
        team: Name of the job's team.
        spec: Specification of the job.
        now: Current time.

    Returns:
        None if the job is admitted; otherwise the delay in milliseconds after
        which the caller may retry.
    """
    if any(step.is_standing for step in spec.steps) or spec.is_timed:
        return None
    work = term.estimate_work(queue, spec)
    objective_ms = objectives.compute_objective_ms(queue, spec)
    limit_ms = objectives.USEFUL_FACTOR * objective_ms
    load = loads.measure_load(term, queue.service, now.steady_ms)
    delay_ms = admission.compute_retry_ms(
        load,
        loads.measure_shared_load(term, queue.service),
        work,
        limit_ms,
    )
    if delay_ms is not None and _is_in_time(
        term, queue, spec, load.capacity_milli, now
    ):
        delay_ms = None
        term.log_event("admitted_ahead", queue=queue.name, team=team)
    cap_load = loads.measure_cap_load(term, team)
    if cap_load is None:
        return delay_ms
    cap_delay_ms = admission.compute_retry_ms(cap_load, None, work, limit_ms)
    delays = [ms for ms in (delay_ms, cap_delay_ms) if ms is not None]
    return max(delays, default=None)


def _is_in_time(
    term: term_state.Term,
    queue: configuration.Queue,
    spec: specs.JobSpec,
    capacity_milli: int,
    now: term_state.Now,
) -> bool:
    """Returns whether a job meets its objective behind what goes before it.

    Args:
        term: State of the leader's term.
        queue: Queue of the job.
        spec: Specification of the job.
        capacity_milli: Processor time of the service without that of standing
            tasks, in thousandths of a core.
        now: Current time.

    Returns:
        False also if the service has not been full lately.
    """
    ahead = deferring.find_work_ahead(term, queue.service, now.steady_ms)
    if ahead is None:
        return False
    objective_ms = objectives.compute_objective_ms(queue, spec)
    factor = term.run_times.get_factor(queue.name)
    return work_ahead.is_in_time(
        ahead.sum_before(now.wall_ms + objective_ms),
        term.estimate_work(queue, spec),
        objectives.compute_critical_path_ms(spec) * factor,
        objective_ms,
        capacity_milli,
    )


def _find_job(
    term: term_state.Term, call: calls.AskJob | calls.CancelJob
) -> book_records.Job | calls.Answer:
    caller = _identify_caller(term, call.host, call.path, call.key, call.job)
    if not isinstance(caller, _Caller):
        return caller
    job = term.book.jobs.get(call.job)
    if job is None or not caller.addresses(job):
        return calls.NoSuchJob()
    queue = term.book.find_queue(job.queue)
    is_open = queue is not None and queue.is_open
    if not is_open and not caller.has_submitted(job):
        return calls.NoSuchJob()
    return job


def get_job_state(term: term_state.Term, call: calls.AskJob) -> calls.Answer:
    """Returns the state of a job.

    Args:
        term: State of the leader's term.
        call: Call of the caller.

    Returns:
        State of the job, or the refusal.
    """
    found = _find_job(term, call)
    if not isinstance(found, book_records.Job):
        return found
    return calls.JobIs(found.state, found.end_reason)


def cancel_job(
    term: term_state.Term, call: calls.CancelJob, now: term_state.Now
) -> calls.Answer:
    """Cancels a job; one that has already ended stays as it is.

    Args:
        term: State of the leader's term.
        call: Call of the caller.
        now: Current time.

    Returns:
        `Done`, or the refusal.
    """
    found = _find_job(term, call)
    if not isinstance(found, book_records.Job):
        return found
    if found.is_open:
        term.decide(commands.CancelJob(found.job_id, now.wall_ms))
        term.log_event("job_cancelled", job=found.job_id, team=found.team)
    return calls.Done()


def count_jobs(term: term_state.Term, call: calls.CountJobs) -> calls.Answer:
    """Counts the jobs of a queue that have not begun.

    Args:
        term: State of the leader's term.
        call: Call of the caller.

    Returns:
        Number of the jobs, or the refusal.
    """
    caller = _identify_caller(term, call.host, call.path, call.key)
    if not isinstance(caller, _Caller):
        return caller
    return calls.Pending(term.book.pending.get(caller.queue.name, 0))
