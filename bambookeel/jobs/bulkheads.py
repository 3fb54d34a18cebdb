"""Keeps jobs that are not known to be safe apart while workers crash.

While the jobs of a queue crash their workers, a job of it of which no step has
ended shares no worker with another job. A crash then costs one job, and is
evidence against that job only.
"""

from bambookeel.jobs import book_records
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def is_proven(job: book_records.Job, queues: frozenset[str]) -> bool:
    """Returns whether a job may share workers with others.

    Args:
        job: The job.
        queues: Queues whose jobs crash their workers.

    Returns:
        True if one of its steps has ended, or if its queue is not one of them.
    """
    if job.queue not in queues:
        return True
    return job.incomplete_steps < len(job.steps)


def get_isolation(
    term: term_state.Term,
    step: book_records.Step,
    isolation: placing.Isolation,
    queues: frozenset[str],
) -> placing.Isolation:
    """Returns how far tasks must be kept apart while workers crash.

    Args:
        term: State of the leader's term.
        step: Step of the tasks.
        isolation: The isolation that the evidence against them demands.
        queues: Queues whose jobs crash their workers.

    Returns:
        The isolation.
    """
    if step.spec.is_standing or isolation is placing.Isolation.HELD:
        return isolation
    job = term.book.jobs[step.key[0]]
    if job.queue not in queues:
        return isolation
    if isolation is placing.Isolation.NONE and is_proven(job, queues):
        return isolation
    return placing.Isolation.ALONE


def note_occupants(
    term: term_state.Term,
    capacities: list[placing.FreeCapacity],
    queues: frozenset[str],
) -> None:
    """Notes which jobs have runs on each worker.

    Args:
        term: State of the leader's term.
        capacities: Free capacities of the workers, which are changed.
        queues: Queues whose jobs crash their workers; none if it is empty.
    """
    if not queues:
        return
    for capacity in capacities:
        capacity.occupants = _list_occupants(term, capacity.worker, queues)


def _list_occupants(
    term: term_state.Term,
    worker: worker_table.Worker,
    queues: frozenset[str],
) -> dict[str, bool]:
    """Lists the jobs with runs on a worker, without standing tasks.

    Args:
        term: State of the leader's term.
        worker: The worker.
        queues: Queues whose jobs crash their workers.

    Returns:
        Whether each job may share the worker with others.
    """
    found: dict[str, bool] = {}
    assigned = term.book.assigned_runs.get(worker.incarnation, {})
    refs: dict[specs.TaskRef, None] = dict.fromkeys(assigned)
    refs.update(dict.fromkeys(worker.running))
    for ref in refs:
        step = term.book.get_step(ref)
        job = term.book.jobs.get(ref.job)
        if step is None or job is None or step.spec.is_standing:
            continue
        if ref.job not in found:
            found[ref.job] = is_proven(job, queues)
        task = term.book.get_task(ref)
        if found[ref.job] and task is not None and task.evidence:
            found[ref.job] = False
    return found
