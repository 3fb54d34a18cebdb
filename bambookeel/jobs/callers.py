"""Answers callers: jobs handed in, asked for, cancelled and counted."""

from bambookeel.configuration import document as configuration
from bambookeel.jobs import admission
from bambookeel.jobs import book_records
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import objectives
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state


def _find_caller(
    term: term_state.Term, host: str, path: str, key: str, job: str = ""
) -> tuple[configuration.Queue, str] | calls.Answer:
    """Finds queue and team of a call.

    Args:
        term: The leader's term.
        host: Host that the caller named.
        path: The path.
        key: The key.
        job: The job that the path ends with; empty for the queue itself.

    Returns:
        Queue and team, or the refusal.
    """
    view = term.book.configuration
    if not view.document.version:
        return calls.NotStored("no configuration is in force yet", 500)
    queue = view.find_queue(host, path)
    if queue is None or path != queue.path_prefix + job:
        return calls.UnknownQueue()
    team = view.find_team(key)
    if team is not None:
        return queue, team.name
    if queue.is_open:
        return queue, ""
    return calls.BadKey()


def submit(
    term: term_state.Term, call: calls.SubmitJob, now: term_state.Now
) -> calls.Answer:
    """Takes a job in or turns it away.

    Args:
        term: The leader's term.
        call: The call.
        now: The time.

    Returns:
        The answer.
    """
    found = _find_caller(term, call.host, call.path, call.key, call.job)
    if not isinstance(found, tuple):
        return found
    queue, team = found
    known = term.book.jobs.get(call.job)
    if known is not None:
        if known.queue == queue.name and known.team == team:
            return calls.Done()
        return calls.BadRequest("the id is that of another job")
    if call.spec is None:
        return calls.BadRequest(call.fault)
    retry_ms = _find_retry_ms(term, queue, team, call.spec, now.steady_ms)
    if retry_ms is not None:
        reason = f"{queue.service} cannot end it in time"
        term.log_event(
            "job_refused",
            job=call.job,
            queue=queue.name,
            team=team,
            retry_ms=retry_ms,
        )
        return calls.NotStored(reason, retry_ms, is_overload=True)
    term.decide(
        commands.AdmitJob(call.job, queue.name, team, call.spec, now.wall_ms)
    )
    if not call.spec.is_timed:
        rate = term.arrivals.setdefault(queue.service, objectives.ArrivalRate())
        rate.add(term.count_work(queue, call.spec), now.steady_ms)
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


def _find_retry_ms(
    term: term_state.Term,
    queue: configuration.Queue,
    team: str,
    spec: specs.JobSpec,
    now_ms: int,
) -> int | None:
    """Decides whether a job is turned away, by its service and its team's cap.

    Args:
        term: The leader's term.
        queue: Its queue.
        team: Its team.
        spec: The job.
        now_ms: The time.

    Returns:
        None when it is taken in; else when to come back.
    """
    if any(step.is_standing for step in spec.steps) or spec.is_timed:
        return None
    work = term.count_work(queue, spec)
    limit_ms = objectives.USEFUL_FACTOR * objectives.compute_objective_ms(
        queue, spec
    )
    loads = [term.measure_load(queue.service, now_ms)]
    cap_load = term.measure_cap_load(team)
    if cap_load is not None:
        loads.append(cap_load)
    waits = [admission.compute_retry_ms(load, work, limit_ms) for load in loads]
    return max((wait for wait in waits if wait is not None), default=None)


def _find_job(
    term: term_state.Term, call: calls.AskJob | calls.CancelJob
) -> book_records.Job | calls.Answer:
    found = _find_caller(term, call.host, call.path, call.key, call.job)
    if not isinstance(found, tuple):
        return found
    queue, team = found
    job = term.book.jobs.get(call.job)
    if job is None or job.queue != queue.name:
        return calls.NoSuchJob()
    if job.team != team and not queue.is_open:
        return calls.NoSuchJob()
    return job


def ask(term: term_state.Term, call: calls.AskJob) -> calls.Answer:
    """Tells a job's state.

    Args:
        term: The leader's term.
        call: The call.

    Returns:
        The answer.
    """
    found = _find_job(term, call)
    if not isinstance(found, book_records.Job):
        return found
    return calls.JobIs(found.state)


def cancel(
    term: term_state.Term, call: calls.CancelJob, now: term_state.Now
) -> calls.Answer:
    """Cancels a job.

    Args:
        term: The leader's term.
        call: The call.
        now: The time.

    Returns:
        The answer.
    """
    found = _find_job(term, call)
    if not isinstance(found, book_records.Job):
        return found
    if found.is_open:
        term.decide(commands.CancelJob(found.job_id, now.wall_ms))
        term.log_event("job_cancelled", job=found.job_id, team=found.team)
    return calls.Done()


def count(term: term_state.Term, call: calls.CountJobs) -> calls.Answer:
    """Counts the jobs of a queue that have not begun.

    Args:
        term: The leader's term.
        call: The call.

    Returns:
        The answer.
    """
    found = _find_caller(term, call.host, call.path, call.key)
    if not isinstance(found, tuple):
        return found
    queue, _ = found
    return calls.Pending(term.book.pending.get(queue.name, 0))
