"""Orders about tasks, derived from the committed state and reports only.

The order to start an attempt is repeated until its worker reports the attempt,
the order to stop it until the worker reports its end, and the order to forget
it follows once that end has been committed. If the tasks on a worker use most
of its memory, non-urgent tasks are throttled before it runs out.
"""

from bambookeel.core import resources
from bambookeel.fleet import changes
from bambookeel.fleet import jobs
from bambookeel.fleet import records
from bambookeel.fleet import task_steps

# Share of a worker's memory in use above which non-urgent tasks are throttled.
_THROTTLE_SHARE = 0.9


def _build_task_order(
    kind: changes.OrderKind,
    instance: records.Instance,
    job: jobs.Job,
    task: jobs.Task,
) -> changes.Order:
    return changes.Order(
        kind,
        instance.name,
        task.incarnation,
        instance.version,
        instance.spec.pool,
        jobs.render_task_id(job.name, task),
        job.spec.cores,
        job.spec.memory_mb,
    )


def _list_order_kinds(
    view: records.FleetView,
    instance: records.Instance,
    known: dict[str, jobs.TaskReport],
    job: jobs.Job,
    task: jobs.Task,
) -> list[changes.OrderKind]:
    """Lists the orders that one attempt still needs."""
    report = known.get(jobs.render_task_id(job.name, task))
    match task.state:
        case jobs.TaskState.RUNNING if report is None:
            if instance.state is not resources.InstanceState.SERVING:
                return []
            if not task_steps.is_first_report_overdue(view, task):
                return [changes.OrderKind.START]
        case jobs.TaskState.STOPPING:
            # An attempt that never started is stopped as well, so that a
            # delayed order cannot start it.
            can_checkpoint = job.spec.can_checkpoint
            is_ended = job.state in jobs.ENDED_STATES
            if can_checkpoint and not is_ended:
                return [changes.OrderKind.CHECKPOINT]
            return [changes.OrderKind.STOP]
    return []


def _list_throttles(
    instance: records.Instance,
    report: records.Report,
    running: dict[str, tuple[jobs.Job, jobs.Task]],
) -> list[changes.Order]:
    """Lists orders to throttle the largest tasks if memory runs short."""
    used_mb = sum(task.memory_used_mb for task in report.tasks)
    limit_mb = instance.spec.memory_mb * _THROTTLE_SHARE
    if used_mb <= limit_mb:
        return []
    found: list[changes.Order] = []
    for task_report in sorted(report.tasks, key=lambda t: -t.memory_used_mb):
        if used_mb <= limit_mb:
            break
        owner = running.get(task_report.task_id)
        if owner is None or owner[0].spec.urgent or task_report.throttled:
            continue
        used_mb -= task_report.memory_used_mb
        found.append(
            _build_task_order(changes.OrderKind.THROTTLE, instance, *owner)
        )
    return found


def _list_orphan_orders(
    instance: records.Instance, report: records.Report, active: set[str]
) -> list[changes.Order]:
    """Lists orders to stop or forget attempts that no job needs any more."""
    found: list[changes.Order] = []
    for task_report in report.tasks:
        if task_report.task_id in active:
            continue
        kind = changes.OrderKind.FORGET
        if task_report.phase is jobs.TaskPhase.RUNNING:
            kind = changes.OrderKind.STOP
        found.append(
            changes.Order(
                kind,
                instance.name,
                report.incarnation,
                instance.version,
                instance.spec.pool,
                task_report.task_id,
            )
        )
    return found


def list_task_orders(
    view: records.FleetView,
) -> tuple[changes.Order, ...]:
    """Lists the orders about tasks that follow from the committed state.

    Args:
        view: The view without any change of the new plan.

    Returns:
        The orders, each for one attempt.
    """
    known: dict[str, jobs.TaskReport] = {}
    fresh: dict[str, records.Report] = {}
    for instance in view.instances.values():
        report = records.find_fresh_report(view, instance)
        if report is None:
            continue
        fresh[instance.name] = report
        known.update({task.task_id: task for task in report.tasks})
    found: list[changes.Order] = []
    running: dict[str, tuple[jobs.Job, jobs.Task]] = {}
    active: set[str] = set()
    for job in view.job_records.values():
        for task in job.tasks:
            worker = view.instances.get(task.worker)
            if worker is None or worker.name not in fresh:
                continue
            task_id = jobs.render_task_id(job.name, task)
            if task.state is jobs.TaskState.RUNNING:
                running[task_id] = (job, task)
            if task.state in jobs.ACTIVE_STATES:
                active.add(task_id)
            for kind in _list_order_kinds(view, worker, known, job, task):
                found.append(_build_task_order(kind, worker, job, task))
    for name, report in fresh.items():
        instance = view.instances[name]
        found.extend(_list_orphan_orders(instance, report, active))
        found.extend(_list_throttles(instance, report, running))
    return tuple(found)
