"""Finds the steps of a leader's jobs that need the advisor's approval."""

from collections.abc import Iterator
import itertools

from bambookeel.configuration import document as configuration
from bambookeel.jobs import advice
from bambookeel.jobs import planning
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def choose_question(term: term_state.Term, now: term_state.Now) -> None:
    """Chooses the next question to the advisor, if one is due.

    Args:
        term: The leader's term.
        now: The time.
    """
    if not term.advice.may_ask(now.steady_ms):
        return
    queues = [
        queue for queue in term.book.view.document.queues if queue.ticket_ms
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
    term.note(
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
    """Lists steps with waiting tasks, those that are ready ranked first.

    Args:
        term: The leader's term.
        queues: The queues that need advice.
        now: The time.

    Yields:
        Each step with the workers that could run it.
    """
    usable: dict[str, list[worker_table.Worker]] = {}
    for queue in queues:
        if queue.service not in usable:
            usable[queue.service] = planning.list_usable(
                term, queue.service, now.steady_ms
            )
        jobs = term.book.open_jobs.get(queue.name, {})
        for name in itertools.islice(jobs, advice.MAX_JOBS):
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
                is_later = 1 if step.unfinished else 0
                rank = (is_later, *planning.rank_step(term, step, now))
                yield advice.Candidate(step, workers, rank)


def handle_answer(
    term: term_state.Term,
    question: advice.Question,
    approvals: tuple[advice.Approval, ...] | None,
    now: term_state.Now,
) -> None:
    """Takes what came of a question to the advisor.

    Args:
        term: The leader's term.
        question: The question.
        approvals: The workers that are allowed; None without an answer.
        now: The time.
    """
    name, occurrence, step = question.step
    job = term.book.jobs.get(name)
    queue = term.book.find_queue(job.queue) if job is not None else None
    valid_ms = queue.ticket_ms if queue is not None else 0
    term.advice.handle_answer(question, approvals, valid_ms, now.steady_ms)
    term.note(
        "advice_taken" if approvals is not None else "advice_missed",
        job=name,
        step=f"{occurrence}.{step}",
        workers=len(question.workers),
        approved=len(approvals or ()),
    )
