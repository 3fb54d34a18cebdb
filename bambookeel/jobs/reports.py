"""Handles workers' reports: records ended runs and answers with orders.

The end of a run is acknowledged only after it is committed. An assigned run
that a report does not list is ordered again, or removed if the worker cannot
have received it; a reported run that is not assigned to the worker is stopped.
"""

from bambookeel.jobs import calls
from bambookeel.jobs import checkpoints
from bambookeel.jobs import commands
from bambookeel.jobs import crashes
from bambookeel.jobs import evacuations
from bambookeel.jobs import former_lives
from bambookeel.jobs import health
from bambookeel.jobs import instance_steps
from bambookeel.jobs import losses
from bambookeel.jobs import pacing
from bambookeel.jobs import specs
from bambookeel.jobs import stale_reports
from bambookeel.jobs import term as term_state
from bambookeel.jobs import undelivered
from bambookeel.jobs import worker_orders
from bambookeel.jobs import workers as worker_table


def handle_report(
    term: term_state.Term, report: calls.WorkerReport, now: term_state.Now
) -> term_state.DeferredAnswer:
    """Handles a worker's report.

    Args:
        term: State of the leader's term.
        report: Report that has been received.
        now: Current time.

    Returns:
        Function that builds the orders, to be called once the recorded ends
        are committed.
    """
    stale_reason = _find_stale_reason(term, report, now)
    if stale_reason:
        return term_state.make_deferred(calls.BadRequest(stale_reason))
    worker, ended = term.workers.update(report, now.steady_ms)
    worker.was_named |= report.service in term.book.configuration.services
    if worker.is_new or ended:
        losses.end_earlier_lives(term, worker, ended, now)
    if worker.is_new:
        worker.is_new = False
        term.log_event(
            "worker_heard",
            worker=report.life.worker,
            born=report.life.born_wall_ms,
            instance=report.instance,
            service=report.service,
        )
    if term.instance_controller.update_from_report(worker, now.steady_ms):
        instance_steps.end_goal(term, report.instance)
    if report.life in term.book.crashes.silent_workers:
        term.decide(commands.WorkerReturned(report.life))
    former_lives.settle(term, worker, now)
    crashes.clear_standing_tasks(term, worker)
    _record_ends(term, worker, now)
    _withdraw_stalled(term, worker, now)
    _adjust_pace(term, worker, now.steady_ms)
    undelivered.settle_unlisted(term, worker)
    _note_unassigned(term, worker)
    term.update_reserved(worker)
    lease_ms = term.settings.lease_ms
    worker.lease_until_ms = max(
        worker.lease_until_ms,
        worker_table.compute_lease_end(now.steady_ms, lease_ms),
    )
    acknowledged = max((end.number for end in report.ends), default=0)
    worker.acknowledges = acknowledged > 0

    def answer() -> calls.Answer:
        return worker_orders.build_orders(term, worker, report, acknowledged)

    return answer


def _find_stale_reason(
    term: term_state.Term, report: calls.WorkerReport, now: term_state.Now
) -> str:
    """Checks a report against the job book and the workers' other reports.

    Args:
        term: State of the leader's term.
        report: Report that has been received.
        now: Current time.

    Returns:
        One sentence on why the report is refused; empty if it is not.
    """
    if term.book.instances.has_ended(report.life, now.wall_ms):
        return "this life of the worker has ended"
    known = term.workers.by_id.get(report.life.worker)
    is_heard = known is not None and known.incarnation == report.life
    if not is_heard and term.inherited_lives.has_later(report):
        return "a later life of the worker has runs"
    context = stale_reports.Context(
        now.steady_ms,
        now.wall_ms,
        term.book.configuration.services,
        term.instance_controller.fleet.find_goal_pool(report.instance),
    )
    return stale_reports.find_stale_reason(term.workers, report, context)


def _record_ends(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> None:
    assigned = term.book.assigned_runs.get(worker.incarnation, {})
    ends = []
    for end in worker.report.ends:
        found = assigned.get(end.task)
        if found is None or found.run != end.run:
            continue
        saved = checkpoints.keep(end.saved)
        ends.append(commands.EndedRun(end.task, end.run, end.how, saved))
        _update_statistics(term, worker, end, now)
    for ended in ends:
        term.log_event(
            "run_ended",
            job=ended.task.job,
            task=ended.task.position,
            run=ended.run,
            how=ended.how.value,
            worker=worker.incarnation.worker,
        )
    begun = _list_begun_jobs(term, worker)
    if ends or begun:
        term.decide(
            commands.EndRuns(
                worker.incarnation, tuple(ends), now.wall_ms, begun
            )
        )
        _log_ended_jobs(term, ends, now)


def _note_unassigned(
    term: term_state.Term, worker: worker_table.Worker
) -> None:
    """Notes and logs the listed runs that are not assigned to their worker."""
    assigned = term.book.assigned_runs.get(worker.incarnation, {})
    found = set()
    for run in worker.report.running:
        known = assigned.get(run.task)
        if known is None or known.run != run.run:
            found.add((run.task, run.run))
    for task, number in sorted(found - worker.unassigned):
        term.log_event(
            "run_unassigned",
            job=task.job,
            task=task.position,
            run=number,
            worker=worker.incarnation.worker,
            born=worker.incarnation.born_wall_ms,
            report=worker.report.number,
        )
    worker.unassigned = found


def _list_begun_jobs(
    term: term_state.Term, worker: worker_table.Worker
) -> tuple[str, ...]:
    """Lists the waiting jobs of which a worker has started a run."""
    assigned = term.book.assigned_runs.get(worker.incarnation, {})
    begun: dict[str, None] = {}
    for run in worker.report.running:
        found = assigned.get(run.task)
        if found is None or found.run != run.run:
            continue
        if term.book.jobs[run.task.job].state is specs.JobState.WAITING:
            begun[run.task.job] = None
    return tuple(begun)


def _log_ended_jobs(
    term: term_state.Term,
    ends: list[commands.EndedRun],
    now: term_state.Now,
) -> None:
    """Logs the jobs that have completed or failed through these ends.

    Args:
        term: State of the leader's term.
        ends: Ends that have just been applied to the book.
        now: Current time.
    """
    for name in dict.fromkeys(ended.task.job for ended in ends):
        job = term.book.jobs[name]
        if job.is_open or job.ended_wall_ms != now.wall_ms:
            continue
        term.log_event(
            "job_ended",
            job=name,
            queue=job.queue,
            team=job.team,
            state=job.state.value,
            took_ms=now.wall_ms - job.admitted_wall_ms,
        )


def _update_statistics(
    term: term_state.Term,
    worker: worker_table.Worker,
    end: calls.ListedEnd,
    now: term_state.Now,
) -> None:
    """Updates the observed run times and the worker's health from an end.

    Args:
        term: State of the leader's term.
        worker: Worker of the run.
        end: End that the worker has reported.
        now: Current time.
    """
    step = term.book.get_step(end.task)
    if end.how is specs.RunEnd.REFUSED:
        refused_on = term.refused_on.setdefault(end.task, set())
        refused_on.add(worker.incarnation.worker)
    if step is None or step.spec.is_standing:
        return
    if end.how is specs.RunEnd.FAILED:
        failed_on = term.failed_on.setdefault(end.task, set())
        if not failed_on:
            health.record_failure(worker.health, now.steady_ms)
        failed_on.add(worker.incarnation.worker)
        return
    if end.how is not specs.RunEnd.DONE:
        return
    health.record_success(worker.health)
    assigned_ms = term.assigned_ms.get((end.task, end.run))
    if assigned_ms is None or evacuations.may_be_cold(
        term.book.instances, worker
    ):
        return
    took_ms = now.steady_ms - assigned_ms - term.settings.report_ms
    if (end.task, end.run) in term.place_waits.remote_runs:
        took_ms = round(took_ms / term.settings.remote_factor)
    queue = term.book.jobs[end.task.job].queue
    term.run_times.observe(queue, step.spec.estimate_ms, max(1, took_ms))


def _withdraw_stalled(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> None:
    """Withdraws runs that make no progress although their worker reports."""
    listed = []
    is_cold = evacuations.may_be_cold(term.book.instances, worker)
    for run in worker.report.running if not is_cold else ():
        step = term.book.get_step(run.task)
        if step is None or step.spec.is_standing or step.spec.is_gang:
            continue
        if step.spec.is_filler:
            # The other tasks may leave a filler no processor time at all.
            continue
        queue = term.book.jobs[run.task.job].queue
        factor = max(1.0, term.run_times.get_factor(queue))
        listed.append(
            health.ListedRun(
                run.task,
                run.run,
                run.percent,
                step.spec.estimate_ms * factor / 100,
                term.stalls.get(run.task, 0),
            )
        )
    for key in health.find_stalled(
        worker.health, listed, term.settings, now.steady_ms
    ):
        if key in term.withdrawn:
            continue
        term.withdrawn.add(key)
        term.stalls[key[0]] = term.stalls.get(key[0], 0) + 1
        term.log_event(
            "run_stalled",
            job=key[0].job,
            task=key[0].position,
            run=key[1],
            worker=worker.incarnation.worker,
        )


def _adjust_pace(
    term: term_state.Term, worker: worker_table.Worker, now_ms: int
) -> None:
    """Adjusts the pace of the filler tasks on a worker to its serving tasks.

    Args:
        term: State of the leader's term.
        worker: Worker that has reported.
        now_ms: Steady-clock time in milliseconds.
    """
    tails = []
    for run in worker.report.running:
        step = term.book.get_step(run.task)
        if step is not None and step.spec.target_ms:
            tails.append((run.tail_ms, step.spec.target_ms))
    if pacing.adjust(
        worker.pace, tails, term.settings.stop_fillers_after_ms, now_ms
    ):
        term.log_event(
            "pace_changed",
            worker=worker.incarnation.worker,
            percent=worker.pace.percent,
            tails=",".join(f"{tail}/{target}" for tail, target in tails),
        )


def handle_worker_left(
    term: term_state.Term, call: calls.WorkerLeft, now: term_state.Now
) -> calls.Answer:
    """Handles the orderly shutdown of a worker.

    The worker may be up until it gets the answer, or longer if it gets none.
    Its reports are refused from now on, and its runs are lost with its lease.

    Args:
        term: State of the leader's term.
        call: Call that announces the shutdown.
        now: Current time.

    Returns:
        `Done`, also for a worker that is not known, or why the call cannot be
        true.
    """
    worker = term.workers.by_id.get(call.worker)
    life = specs.WorkerIncarnation(call.worker, call.born_wall_ms)
    if not call.born_wall_ms:
        if worker is None or not worker.report.is_leaving:
            # It may have been sent by a former life.
            return calls.Done()
        life = worker.incarnation
    if term.book.instances.has_ended(life, now.wall_ms):
        return calls.Done()
    if worker is not None and life == worker.incarnation:
        worker.leave()
        term.log_event("worker_left", worker=call.worker)
    elif stale_reports.starts_in_future(call.born_wall_ms, now.wall_ms):
        return calls.BadRequest("no worker has started then")
    elif worker is not None and now.steady_ms < worker.lease_until_ms:
        if call.born_wall_ms > worker.incarnation.born_wall_ms:
            return calls.BadRequest("an earlier life of the worker reports")
    term.decide(commands.WorkerEnded(life, now.wall_ms))
    return calls.Done()


def drop_old_jobs(term: term_state.Term, now: term_state.Now) -> None:
    """Removes jobs that ended long ago and have no assigned runs.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    old = [
        job.job_id
        for job in term.book.jobs.values()
        if not job.is_open
        and now.wall_ms - job.ended_wall_ms > term.settings.keep_ended_ms
    ]
    if not old:
        return
    busy = {
        ref.job for runs in term.book.assigned_runs.values() for ref in runs
    }
    old = [name for name in old if name not in busy]
    if old:
        term.decide(commands.DropJobs(tuple(old)))
        term.discard_dropped_jobs()
