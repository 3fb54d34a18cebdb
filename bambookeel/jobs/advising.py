"""Finds the steps of a leader's jobs that need the advisor's approval."""

from collections.abc import Iterator
import itertools

from bambookeel.configuration import document as configuration
from bambookeel.jobs import advice
from bambookeel.jobs import ranking
from bambookeel.jobs import term as term_state
from bambookeel.jobs import usable_workers
from bambookeel.jobs import workers as worker_table


def choose_question(term: term_state.Term, now: term_state.Now) -> None:
    """Queues the next question to the advisor, if one is due.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    if not term.advice.may_ask(now.steady_ms):
        return
    book = term.book
    # Jobs of removed queues continue.
    queues = [
        queue
        for queue in (
            *book.configuration.queues.values(),
            *book.former.queues.values(),
        )
        if queue.ticket_ms
    ]
    if not queues:
        return
    question = term.advice.choose_question(
        _list_candidates(term, queues, now), now.steady_ms
    )
    if question is None:
        return
    term.questions.append(question)
    job, occurrence, step = question.step
    term.log_event(
        "advice_asked",
        job=job,
        step=f"{occurrence}.{step}",
        workers=len(question.workers),
    )


def _list_candidates(
    term: term_state.Term,
    queues: list[configuration.Queue],
    now: term_state.Now,
) -> Iterator[advice.Candidate]:
    """Lists steps with waiting tasks; steps that are ready have lower ranks.

    Args:
        term: State of the leader's term.
        queues: Queues whose workers need the advisor's approval.
        now: Current time.

    Yields:
        Each step with the workers that could run it.
    """
    usable: dict[str, list[worker_table.Worker]] = {}
    for queue in queues:
        if queue.service not in usable:
            usable[queue.service] = usable_workers.list_usable_workers(
                term, queue.service, now.steady_ms
            )
        jobs = term.book.open_jobs.get(queue.name, {})
        for name in itertools.islice(jobs, advice.MAX_JOBS_PER_QUEUE):
            job = term.book.jobs[name]
            for step in job.steps.values():
                if not step.waiting or step.due_wall_ms > now.wall_ms:
                    continue
                workers = [
                    worker
                    for worker in usable[queue.service]
                    if not step.spec.label
                    or step.spec.label in worker.report.labels
                ]
                is_blocked = 1 if step.unfinished_dependencies else 0
                rank = (is_blocked, *ranking.rank_step(term, step, now))
                yield advice.Candidate(step, workers, rank)


def handle_answer(
    term: term_state.Term,
    question: advice.Question,
    approvals: tuple[advice.Approval, ...] | None,
    now: term_state.Now,
) -> None:
    """Handles the advisor's answer to a question.

    Args:
        term: State of the leader's term.
        question: The pending question.
        approvals: Approvals of the allowed workers; None if there was no
            answer.
        now: Current time.
    """
    name, occurrence, step = question.step
    job = term.book.jobs.get(name)
    queue = term.book.find_queue(job.queue) if job is not None else None
    valid_ms = queue.ticket_ms if queue is not None else 0
    term.advice.handle_answer(question, approvals, valid_ms, now.steady_ms)
    term.log_event(
        "advice_taken" if approvals is not None else "advice_missed",
        job=name,
        step=f"{occurrence}.{step}",
        workers=len(question.workers),
        approved=len(approvals or ()),
    )
