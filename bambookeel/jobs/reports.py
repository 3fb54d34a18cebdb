"""Takes workers' reports: ends are put on record, orders are built.

An end is acknowledged only after it is on record. A run that a later report
does not list was never started; a run that nobody holds is stopped.
"""

from bambookeel.core import faults
from bambookeel.jobs import calls
from bambookeel.jobs import checkpoints
from bambookeel.jobs import commands
from bambookeel.jobs import health
from bambookeel.jobs import instance_steps
from bambookeel.jobs import pacing
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table


def take_report(
    term: term_state.Term, report: calls.WorkerReport, now: term_state.Now
) -> term_state.DeferredAnswer:
    """Takes a worker's report.

    Args:
        term: The leader's term.
        report: The report.
        now: The time.

    Returns:
        Gives the orders, once the ends are committed.
    """
    stale = term.workers.find_stale_reason(report)
    if stale:
        return term_state.settle(calls.BadRequest(stale))
    worker, gone = term.workers.update(report, now.steady_ms)
    if worker.is_new:
        worker.is_new = False
        term.log_event(
            "worker_heard",
            worker=report.life.worker,
            born=report.life.born_wall_ms,
            instance=report.instance,
            service=report.service,
        )
    if term.instance_controller.note_report(worker):
        instance_steps.end_goal(term, report.instance)
    for other in gone:
        term.lose_all_runs(other.incarnation, "a later life was heard", other)
    for life in list(term.book.assigned_runs):
        if life.worker == report.life.worker and life != report.life:
            term.lose_all_runs(life, "the worker has started again", None)
    _note_ends(term, worker, now)
    _withdraw_stalled(term, worker, now)
    _pace_fillers(term, worker, now.steady_ms)
    _lose_untold(term, worker)
    term.update_reserved(worker)
    lease_ms = term.settings.lease_ms
    worker.lease_until_ms = max(
        worker.lease_until_ms,
        worker_table.compute_lease_end(now.steady_ms, lease_ms),
    )
    acknowledged = max((end.number for end in report.ends), default=0)

    def answer() -> calls.Answer:
        return _build_orders(term, worker, report, acknowledged)

    return answer


def _note_ends(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> None:
    held = term.book.assigned_runs.get(worker.incarnation, {})
    ends = []
    for end in worker.report.ends:
        found = held.get(end.task)
        if found is None or found.run != end.run:
            continue
        ends.append(commands.EndedRun(end.task, end.run, end.how, end.saved))
        _learn(term, worker, end, now)
    for ended in ends:
        term.log_event(
            "run_ended",
            job=ended.task.job,
            task=ended.task.position,
            run=ended.run,
            how=ended.how.value,
            worker=worker.incarnation.worker,
        )
    if ends:
        term.decide(
            commands.EndRuns(worker.incarnation, tuple(ends), now.wall_ms)
        )
        _note_ended_jobs(term, ends, now)


def _note_ended_jobs(
    term: term_state.Term,
    ends: list[commands.EndedRun],
    now: term_state.Now,
) -> None:
    """Notes for the log which jobs these ends have completed or failed.

    Args:
        term: The leader's term.
        ends: Ends that were just put on record.
        now: The time.
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


def _learn(
    term: term_state.Term,
    worker: worker_table.Worker,
    end: calls.ListedEnd,
    now: term_state.Now,
) -> None:
    """Learns from an end how long tasks run and how good a worker is.

    Args:
        term: The leader's term.
        worker: The worker.
        end: The end.
        now: The time.
    """
    step = term.book.get_step(end.task)
    if step is None or step.spec.is_standing:
        return
    if end.how is specs.RunEnd.FAILED:
        before = term.failed_on.setdefault(end.task, set())
        if not before:
            health.record_failure(worker.health, now.steady_ms)
        before.add(worker.incarnation.worker)
        return
    if end.how is not specs.RunEnd.DONE:
        return
    health.record_success(worker.health)
    begun_ms = term.assigned_ms.get((end.task, end.run))
    if begun_ms is None:
        return
    took_ms = now.steady_ms - begun_ms - term.settings.report_ms
    queue = term.book.jobs[end.task.job].queue
    term.run_times.observe(queue, step.spec.estimate_ms, max(1, took_ms))


def _withdraw_stalled(
    term: term_state.Term, worker: worker_table.Worker, now: term_state.Now
) -> None:
    """Withdraws runs that stand still while their worker reports.

    Args:
        term: The leader's term.
        worker: The worker.
        now: The time.
    """
    listed = []
    for run in worker.report.running:
        step = term.book.get_step(run.task)
        if step is None or step.spec.is_standing or step.spec.is_gang:
            continue
        if step.spec.is_filler:
            # A filler may get no time at all from the tasks beside it.
            continue
        listed.append((run.task, run.run, run.percent))
    for key in health.find_stalled(
        worker.health, listed, term.settings, now.steady_ms
    ):
        if key in term.withdrawn:
            continue
        term.withdrawn.add(key)
        term.log_event(
            "run_stalled",
            job=key[0].job,
            task=key[0].position,
            run=key[1],
            worker=worker.incarnation.worker,
        )


def _pace_fillers(
    term: term_state.Term, worker: worker_table.Worker, now_ms: int
) -> None:
    """Adjusts the pace of filling tasks to the serving ones beside them.

    Args:
        term: The leader's term.
        worker: The worker.
        now_ms: The time.
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


def _list_paces(
    term: term_state.Term,
    worker: worker_table.Worker,
    report: calls.WorkerReport,
) -> tuple[tuple[specs.TaskRef, int, int], ...]:
    """Lists the paces that a worker is told with each report.

    Args:
        term: The leader's term.
        worker: The worker.
        report: Its report.

    Returns:
        Task, run and percentage of each filling run; none on a worker whose
        fillers were never slowed down.
    """
    if not worker.pace.changed_ms:
        return ()
    percent = worker.pace.percent
    paces = []
    for run in report.running:
        step = term.book.get_step(run.task)
        if step is not None and step.spec.is_filler:
            paces.append((run.task, run.run, percent))
    return tuple(paces)


def _lose_untold(term: term_state.Term, worker: worker_table.Worker) -> None:
    """Gives up runs of ended jobs that the worker was not told of.

    Args:
        term: The leader's term.
        worker: The worker, whose report came after them.
    """
    lost = []
    for held in term.book.assigned_runs.get(worker.incarnation, {}).values():
        if held.task in worker.running:
            continue
        if held.report_number >= worker.report.number:
            continue
        if term.is_task_open(held.task) and not worker.report.is_leaving:
            continue
        lost.append((held.task, held.run, ""))
    if lost:
        term.decide(
            commands.LoseRuns(worker.incarnation, "never told", tuple(lost))
        )


def _build_orders(
    term: term_state.Term,
    worker: worker_table.Worker,
    report: calls.WorkerReport,
    acknowledged: int,
) -> calls.WorkerOrders:
    held = term.book.assigned_runs.get(worker.incarnation, {})
    stops = []
    for run in report.running:
        found = held.get(run.task)
        is_held = found is not None and found.run == run.run
        is_withdrawn = (run.task, run.run) in term.withdrawn
        if is_held and not is_withdrawn and term.is_task_open(run.task):
            continue
        stops.append((run.task, run.run))
    starts = []
    listed = {(run.task, run.run) for run in report.running}
    for each in held.values():
        if (each.task, each.run) in listed or report.is_leaving:
            continue
        if not term.is_task_open(each.task):
            continue
        job = term.book.jobs[each.task.job]
        task = term.book.get_task(each.task)
        step = term.book.get_step(each.task)
        faults.check_invariant(task is not None, f"no task {each.task}")
        assert task is not None and step is not None
        saved = checkpoints.choose_checkpoint(step, task)
        starts.append(
            calls.StartOrder(
                each.task, each.run, job.spec.body, saved, each.ticket
            )
        )
    return calls.WorkerOrders(
        term.settings.lease_ms,
        acknowledged,
        term.fencing_token,
        tuple(starts),
        tuple(stops),
        _list_paces(term, worker, report),
        term.settings.report_ms,
    )


def take_leave(term: term_state.Term, call: calls.WorkerLeft) -> calls.Answer:
    """Takes the orderly end of a worker.

    Args:
        term: The leader's term.
        call: The call.

    Returns:
        The answer.
    """
    worker = term.workers.by_id.get(call.worker)
    if worker is not None and (
        call.born_wall_ms in (0, worker.incarnation.born_wall_ms)
    ):
        term.lose_all_runs(worker.incarnation, "the worker has left", worker)
        term.workers.remove_ended(worker)
        term.log_event("worker_left", worker=call.worker)
    return calls.Done()


def drop_old_jobs(term: term_state.Term, now: term_state.Now) -> None:
    """Forgets jobs that ended long ago.

    Args:
        term: The leader's term.
        now: The time.
    """
    busy = {
        ref.job for held in term.book.assigned_runs.values() for ref in held
    }
    old = []
    for job in term.book.jobs.values():
        if job.is_open or job.job_id in busy:
            continue
        if now.wall_ms - job.ended_wall_ms > term.settings.keep_ended_ms:
            old.append(job.job_id)
    if old:
        term.decide(commands.DropJobs(tuple(old)))
        term.forget_jobs()


def end_leases(term: term_state.Term, now: term_state.Now) -> None:
    """Gives up the runs of workers whose leases have run out.

    Args:
        term: The leader's term.
        now: The time.
    """
    for worker in list(term.workers.by_id.values()):
        if now.steady_ms < worker.lease_until_ms:
            continue
        term.lose_all_runs(worker.incarnation, "its lease ran out", worker)
        worker.running = {}
        worker.reserved = specs.Resources()
        if worker.is_lease_expired:
            continue
        worker.is_lease_expired = True
        term.log_event(
            "worker_silent",
            worker=worker.incarnation.worker,
            age_ms=now.steady_ms - worker.last_report_ms,
        )
    if now.steady_ms < term.inherited_until_ms:
        return
    for life in list(term.book.assigned_runs):
        known = term.workers.by_id.get(life.worker)
        if known is None or known.incarnation != life:
            term.lose_all_runs(life, "not heard in this term", None)
