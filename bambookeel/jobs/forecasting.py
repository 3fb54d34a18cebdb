"""Learns the turns of demand from admitted jobs and logs the forecasts.

Load pattern: queues take turns, as `demand_forecast` describes. The book holds
every job until some time after its end, so that a new leader learns the same
from it. Refused jobs are not in the book and not learnt from.
"""

from bambookeel.configuration import document as configuration
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state


def learn_admission(
    term: term_state.Term,
    queue: configuration.Queue,
    spec: specs.JobSpec,
    admitted_wall_ms: int,
) -> None:
    """Learns from the admission of a job.

    Standing jobs and jobs on a timetable say nothing about turns.

    Args:
        term: State of the leader's term.
        queue: Queue of the job.
        spec: Specification of the job.
        admitted_wall_ms: Unix time of its admission in milliseconds.
    """
    if spec.is_timed or any(step.is_standing for step in spec.steps):
        return
    work = term.estimate_work(queue, spec)
    term.forecaster.add(queue.name, work, admitted_wall_ms)


def learn_from_book(term: term_state.Term) -> None:
    """Learns from the jobs that earlier leaders have admitted.

    Args:
        term: State of a term that has just begun.
    """
    jobs = sorted(term.book.jobs.values(), key=lambda job: job.admitted_wall_ms)
    for job in jobs:
        queue = term.book.find_queue(job.queue)
        if queue is not None:
            learn_admission(term, queue, job.spec, job.admitted_wall_ms)
    # Their forecasts were logged by earlier leaders.
    term.forecaster.take_made()
    term.forecaster.take_outcomes()


def update(term: term_state.Term, now: term_state.Now) -> None:
    """Ends forecasts that have failed, and logs what has changed.

    A queue has at most one forecast at a time, and each waits for a turn or for
    its failure, so that there are few log lines.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    term.forecaster.advance(now.wall_ms)
    for forecast in term.forecaster.take_made():
        term.log_event(
            "turn_forecast",
            queue=forecast.queue,
            after=forecast.leader,
            in_ms=forecast.begin_ms - now.wall_ms,
            deviation_ms=forecast.deviation_ms,
            level_cores=int(forecast.level_milli / 1_000),
            used=forecast.is_used,
        )
    for outcome in term.forecaster.take_outcomes():
        term.log_event(
            "turn_forecast_ended",
            queue=outcome.forecast.queue,
            came_true=outcome.has_come_true,
            error_ms="none" if outcome.error_ms is None else outcome.error_ms,
            used=outcome.forecast.is_used,
        )
