"""Moves standing tasks off instances whose upkeep they would prevent.

Load pattern: an instance runs several tasks of one standing step, for example
since the pool was small when they were placed. Interrupting all of them at once
would exceed what the step may miss, so that the instance could never be taken
down. The tasks are stopped one at a time, each once the others are available
again, and get their next run on another instance. If all instances with room
drain as well, the upkeep of these is postponed.
"""

import collections
from collections.abc import Iterator

from bambookeel.jobs import availability
from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import usable_workers
from bambookeel.jobs import workers as worker_table

# Time for a stopped task to be available again on another instance.
_POSTPONED_MS = 2_000


def _list_draining_workers(
    term: term_state.Term,
) -> Iterator[worker_table.Worker]:
    fleet = term.instance_controller.fleet
    for name, goal in fleet.goals.items():
        if goal.phase is not fleet_view.GoalPhase.DRAINING:
            continue
        worker = term.workers.find_by_instance(name)
        if worker is None or not isinstance(goal.order, instances.Upkeep):
            continue
        yield worker


def _list_crowded_steps(
    term: term_state.Term, worker: worker_table.Worker
) -> list[tuple[book_records.Step, specs.TaskRef]]:
    """Lists the standing steps of which a worker runs more than it may end.

    Args:
        term: State of the leader's term.
        worker: The worker.

    Returns:
        Each step, with one of its tasks on the worker.
    """
    by_step = collections.defaultdict(list)
    for ref in term.book.assigned_runs.get(worker.incarnation, {}):
        step = term.book.get_step(ref)
        if step is None or not step.spec.is_standing or step.spec.is_filler:
            continue
        by_step[step.key].append((step, ref))
    return [
        found[0]
        for found in by_step.values()
        if len(found) > max(1, found[0][0].spec.max_missing)
    ]


def _has_room_elsewhere(
    term: term_state.Term, step: book_records.Step, now: term_state.Now
) -> bool:
    queue = term.book.find_queue(term.book.jobs[step.key[0]].queue)
    if queue is None:
        return False
    usable = usable_workers.list_usable_workers(
        term, queue.service, now.steady_ms
    )
    capacities = placing.measure_free(usable, {})
    chosen = placing.choose_worker(capacities, step, now.steady_ms)
    return chosen is not None


def _postpone_other_upkeeps(
    term: term_state.Term, worker: worker_table.Worker, now_ms: int
) -> None:
    """Ends the drains of other instances of a pool, which become usable again.

    Args:
        term: State of the leader's term.
        worker: Worker of the instance that continues to drain.
        now_ms: Steady-clock time in milliseconds.
    """
    fleet = term.instance_controller.fleet
    for other in list(_list_draining_workers(term)):
        name = other.report.instance
        if other is worker or fleet.goals[name].has_earlier_order:
            continue
        if other.report.service != worker.report.service:
            continue
        del fleet.goals[name]
        fleet.statuses[name].retry_at_ms = now_ms + _POSTPONED_MS
        term.log_event("upkeep_postponed", instance=name)


def evict_standing_tasks(term: term_state.Term, now: term_state.Now) -> None:
    """Withdraws standing runs that keep an instance from its upkeep.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    min_report_ms = now.steady_ms - term.settings.available_max_silence_ms
    for worker in _list_draining_workers(term):
        for step, ref in _list_crowded_steps(term, worker):
            under_order = term.instance_controller.list_under_order(
                term.book, term.workers, now.steady_ms, now.wall_ms
            )
            if not availability.may_stop(
                step,
                ref,
                term.workers,
                under_order,
                min_report_ms,
                term.withdrawn,
            ):
                continue
            if not _has_room_elsewhere(term, step, now):
                _postpone_other_upkeeps(term, worker, now.steady_ms)
                return
            run = term.book.assigned_runs[worker.incarnation][ref].run
            term.withdrawn.add((ref, run))
            # A new leader then knows that the worker may be stopping a task.
            term.decide(
                commands.RecordOrder(worker.report.instance, now.wall_ms)
            )
            term.log_event(
                "run_evicted",
                job=ref.job,
                task=ref.position,
                run=run,
                worker=worker.incarnation.worker,
                reason="upkeep of its instance",
            )
