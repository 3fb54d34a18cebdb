"""Gives up tasks that crash their workers.

Such a task would go on to crash the next worker with each new run. Once it has
been given up, its crashes are explained: they no longer count against the tasks
that ran beside it.
"""

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import specs
from bambookeel.jobs import storms
from bambookeel.jobs import term as term_state

# Logs of other versions may contain other weights.
_EVIDENCE_NAMES: dict[int, str] = {
    int(evidence): evidence.name.lower() for evidence in crash_evidence.Evidence
}


def count_crash(
    term: term_state.Term,
    incarnation: specs.WorkerIncarnation,
    now: term_state.Now,
) -> None:
    """Counts the crash of a worker and gives up the tasks that caused it.

    Args:
        term: State of the leader's term.
        incarnation: Incarnation of a worker that has lost its runs.
        now: Current time.
    """
    silent = term.book.crashes.silent_workers[incarnation]
    storms.note_crash(term, silent)
    term.decide(commands.WorkerCrashed(incarnation))
    term.log_event(
        "worker_crashed",
        worker=incarnation.worker,
        instance=silent.instance,
        suspects=len(silent.suspects),
        jobs=len({ref.job for ref, _ in silent.suspects}),
    )
    for ref, weight in silent.suspects:
        task = term.book.get_task(ref)
        if task is None or not weight or not term.is_task_open(ref):
            continue
        term.log_event(
            "task_suspected",
            job=ref.job,
            task=ref.position,
            worker=incarnation.worker,
            evidence=_EVIDENCE_NAMES.get(weight, weight),
            crashes=task.crashes,
            weight=f"{task.evidence}/{crash_evidence.GIVE_UP_EVIDENCE}",
            explained=task.explained_evidence,
        )
    while (task := _find_culprit(term, silent.suspects)) is not None:
        _give_up(term, task, now)


def _find_culprit(
    term: term_state.Term, suspects: tuple[tuple[specs.TaskRef, int], ...]
) -> book_records.Task | None:
    """Finds the task that has most certainly caused a crash.

    Args:
        term: State of the leader's term.
        suspects: Suspects of the crash with the weight of its evidence.

    Returns:
        The open task with the most evidence that is not explained; None if
        there is not enough against any.
    """
    culprit = None
    most = (0, 0)
    for ref, weight in suspects:
        task = term.book.get_task(ref)
        if task is None or not term.is_task_open(ref):
            continue
        is_alone = weight >= crash_evidence.Evidence.ONLY_JOB_STARTED
        evidence = crash_evidence.measure_evidence(task, is_alone=is_alone)
        if not crash_evidence.is_conclusive(task, evidence):
            continue
        if (evidence, task.evidence) >= most:
            culprit, most = task, (evidence, task.evidence + 1)
    return culprit


def _give_up(
    term: term_state.Term, task: book_records.Task, now: term_state.Now
) -> None:
    job = term.book.jobs[task.ref.job]
    reason = (
        f"task {task.ref.position} was given up: {task.crashes} workers have"
        " crashed under it"
    )
    term.decide(commands.GiveUpJob(job.job_id, reason, now.wall_ms, task.ref))
    term.log_event(
        "job_given_up",
        job=job.job_id,
        task=task.ref.position,
        crashes=task.crashes,
        queue=job.queue,
        team=job.team,
    )
    term.log_event(
        "job_ended",
        job=job.job_id,
        queue=job.queue,
        team=job.team,
        state=job.state.value,
        took_ms=now.wall_ms - job.admitted_wall_ms,
        reason=reason,
    )
