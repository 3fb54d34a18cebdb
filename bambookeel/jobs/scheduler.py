"""Decides for the leader: answers calls, gives runs to workers, ends leases.

The scheduler holds the book, which it changes only by commands, and the table
of workers. Each call is answered by a function that the leader runs once the
commands before it are committed. Nothing here does I/O or reads a clock.
"""

from collections.abc import Callable
import dataclasses
import typing

from bambookeel.configuration import document as configuration
from bambookeel.core import faults
from bambookeel.jobs import admission
from bambookeel.jobs import book as job_book
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import objectives
from bambookeel.jobs import placing
from bambookeel.jobs import pool_demand
from bambookeel.jobs import pools
from bambookeel.jobs import specs
from bambookeel.jobs import steering
from bambookeel.jobs import upkeep
from bambookeel.jobs import workers as worker_table

# Time between two log lines on each pool.
_POOL_NOTE_MS = 1_000

Answer = Callable[[], calls.Answer]


@dataclasses.dataclass(frozen=True, slots=True)
class Now:
    """The time, on two clocks.

    Attributes:
        steady_ms: A clock that counts suspended time; for leases.
        wall_ms: Unix time; for what callers are told and ask for.
    """

    steady_ms: int
    wall_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Bounds of the deployment.

    Attributes:
        lease_ms: How long runs go on without a report.
        max_lease_ms: Longest lease that any leader may have given.
        report_ms: Time between the reports of a worker.
        keep_ended_ms: How long ended jobs are remembered.
        fresh_ms: A worker that is silent for longer gets no new runs.
        holder_ms: How long an earlier leader's orders to the provider may
            still arrive.
    """

    lease_ms: int
    max_lease_ms: int
    report_ms: int
    keep_ended_ms: int
    fresh_ms: int
    holder_ms: int


class Scheduler:
    """The decisions of one leader's term."""

    def __init__(
        self,
        book: job_book.Book,
        settings: SchedulerSettings,
        fencing_token: int,
        now: Now,
    ) -> None:
        self.book = book
        self.batch: list[commands.Command] = []
        self.workers = worker_table.WorkerTable()
        self.times = objectives.RunTimes()
        self.steering = steering.Steering(now.steady_ms + settings.holder_ms)
        # Decisions for the log: an event's name and its fields.
        self.notes: list[tuple[str, dict[str, typing.Any]]] = []
        self._orders: list[instances.Order] = []
        self._idle_since_ms: dict[str, int] = {}
        # Instances of each pool when this leader first listed them.
        self._arrivals: dict[str, objectives.ArrivalRate] = {}
        self.base_sizes: dict[str, int] = {}
        self._pools_noted_ms = 0
        # When each run was assigned, to learn how long runs take.
        self._assigned_ms: dict[tuple[specs.TaskRef, int], int] = {}
        self._settings = settings
        self._fencing_token = fencing_token
        # An earlier leader may have given leases until just now.
        self._inherited_until_ms = worker_table.compute_lease_end(
            now.steady_ms, settings.max_lease_ms
        )

    def take_batch(self) -> tuple[commands.Command, ...]:
        """Takes the commands that were decided on since the last time.

        Returns:
            The commands, already applied to the book.
        """
        batch = tuple(self.batch)
        self.batch = []
        return batch

    def take_orders(self) -> list[instances.Order]:
        """Takes the orders to the provider that were decided on.

        Returns:
            The orders, to be sent once the batch before them is committed.
        """
        orders = self._orders
        self._orders = []
        return orders

    def take_notes(self) -> list[tuple[str, dict[str, typing.Any]]]:
        """Takes what the log should say of decisions.

        Returns:
            Events with their fields.
        """
        notes = self.notes
        self.notes = []
        return notes

    def _note(self, event: str, **fields: typing.Any) -> None:
        self.notes.append((event, fields))

    def _decide(self, command: commands.Command) -> None:
        self.book.apply(command)
        self.batch.append(command)

    # --- Calls ---

    def handle(self, call: calls.Call, now: Now) -> Answer:
        """Handles one call.

        Args:
            call: The call.
            now: The time.

        Returns:
            Gives the answer, once the commands so far are committed.
        """
        match call:
            case calls.SubmitJob():
                return _settle(self._submit(call, now))
            case calls.AskJob():
                return _settle(self._ask(call))
            case calls.CancelJob():
                return _settle(self._cancel(call, now))
            case calls.CountJobs():
                return _settle(self._count(call))
            case calls.WorkerReport():
                return self._take_report(call, now)
            case calls.WorkerLeft():
                return _settle(self._take_leave(call))
            case calls.PutDocument(document):
                return _settle(self._put_document(document))
            case calls.GetDocument():
                return _settle(self._get_document())
            case calls.StartWave():
                return _settle(self._start_wave(call, now))
            case calls.AskWave(wave):
                found = self.book.waves.get(wave)
                if found is None:
                    return _settle(calls.NoSuchJob())
                return _settle(calls.WaveIs(found.is_complete))

    def _find_caller(
        self, host: str, path: str, key: str, job: str = ""
    ) -> tuple[configuration.Queue, str] | calls.Answer:
        """Finds queue and team of a call.

        Args:
            host: Host that the caller named.
            path: The path.
            key: The key.
            job: The job that the path ends with; empty for the queue itself.

        Returns:
            Queue and team, or the refusal.
        """
        view = self.book.view
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

    def _submit(self, call: calls.SubmitJob, now: Now) -> calls.Answer:
        found = self._find_caller(call.host, call.path, call.key, call.job)
        if not isinstance(found, tuple):
            return found
        queue, team = found
        known = self.book.jobs.get(call.job)
        if known is not None:
            if known.queue == queue.name and known.team == team:
                return calls.Done()
            return calls.BadRequest("the id is that of another job")
        if call.spec is None:
            return calls.BadRequest(call.fault)
        retry_ms = self._find_retry_ms(queue, call.spec)
        if retry_ms is not None:
            reason = f"{queue.service} cannot end it in time"
            self._note(
                "job_refused",
                job=call.job,
                queue=queue.name,
                team=team,
                retry_ms=retry_ms,
            )
            return calls.NotStored(reason, retry_ms, is_overload=True)
        self._decide(
            commands.AdmitJob(
                call.job, queue.name, team, call.spec, now.wall_ms
            )
        )
        if not call.spec.is_timed:
            rate = self._arrivals.setdefault(
                queue.service, objectives.ArrivalRate()
            )
            rate.add(self._count_work(queue, call.spec), now.steady_ms)
        self._note(
            "job_admitted",
            job=call.job,
            queue=queue.name,
            team=team,
            service=queue.service,
            tasks=sum(step.count for step in call.spec.steps),
            chain_ms=int(objectives.measure_chain_ms(call.spec)),
        )
        return calls.Done()

    def _find_retry_ms(
        self, queue: configuration.Queue, spec: specs.JobSpec
    ) -> int | None:
        if any(step.is_standing for step in spec.steps) or spec.is_timed:
            return None
        work = self._count_work(queue, spec)
        limit_ms = objectives.LATE_FACTOR * objectives.compute_objective_ms(
            queue, spec
        )
        load = self.measure_load(queue.service)
        return admission.compute_retry_ms(load, work, limit_ms)

    def _count_work(
        self, queue: configuration.Queue, spec: specs.JobSpec
    ) -> float:
        """Estimates the work of a job that has not begun.

        Args:
            queue: Its queue.
            spec: The job.

        Returns:
            Thousandths of a core times milliseconds.
        """
        return sum(
            step.count
            * self.times.estimate_ms(queue.name, step)
            * step.needs.cpu_milli
            for step in spec.steps
            if not step.is_standing and not step.is_filler
        )

    def read_arriving(self, service: str, now_ms: int) -> float:
        """Reads how much work arrives for a service.

        Args:
            service: The service.
            now_ms: The time.

        Returns:
            Thousandths of a core that the arriving work asks for.
        """
        rate = self._arrivals.get(service)
        return rate.read(now_ms) if rate is not None else 0.0

    def measure_load(self, service: str) -> admission.ServiceLoad:
        """Measures what a service can do and has to do.

        Args:
            service: The service.

        Returns:
            Its load.
        """
        capacity = 0
        for worker in self.workers.by_id.values():
            if worker.report.service != service or worker.report.is_leaving:
                continue
            if worker.is_silent:
                continue
            capacity += worker.report.capacity.cpu_milli
        open_work = 0.0
        for name, jobs in self.book.open_jobs.items():
            queue = self.book.find_queue(name)
            if queue is None or queue.service != service:
                continue
            for job_id in jobs:
                job = self.book.jobs[job_id]
                if job.spec.is_timed:
                    continue
                open_work += objectives.count_open_work(job, self.times)
                for step in job.spec.steps:
                    if step.is_standing and not step.is_filler:
                        capacity -= step.count * step.needs.cpu_milli
        return admission.ServiceLoad(capacity, open_work)

    def _find_job(
        self, call: calls.AskJob | calls.CancelJob
    ) -> job_book.Job | calls.Answer:
        found = self._find_caller(call.host, call.path, call.key, call.job)
        if not isinstance(found, tuple):
            return found
        queue, team = found
        job = self.book.jobs.get(call.job)
        if job is None or job.queue != queue.name:
            return calls.NoSuchJob()
        if job.team != team and not queue.is_open:
            return calls.NoSuchJob()
        return job

    def _ask(self, call: calls.AskJob) -> calls.Answer:
        found = self._find_job(call)
        if not isinstance(found, job_book.Job):
            return found
        return calls.JobIs(found.state)

    def _cancel(self, call: calls.CancelJob, now: Now) -> calls.Answer:
        found = self._find_job(call)
        if not isinstance(found, job_book.Job):
            return found
        if found.is_open:
            self._decide(commands.CancelJob(found.job, now.wall_ms))
            self._note("job_cancelled", job=found.job, team=found.team)
        return calls.Done()

    def _count(self, call: calls.CountJobs) -> calls.Answer:
        found = self._find_caller(call.host, call.path, call.key)
        if not isinstance(found, tuple):
            return found
        queue, _ = found
        return calls.Pending(self.book.pending.get(queue.name, 0))

    def _put_document(self, document: configuration.Document) -> calls.Answer:
        found = configuration.find_faults(document)
        if found:
            return calls.Invalid(tuple((f.place, f.message) for f in found))
        if document.version > self.book.view.document.version:
            self._decide(commands.PutConfiguration(document))
            self._note("configuration_in_force", version=document.version)
        return calls.Done()

    def _get_document(self) -> calls.Answer:
        document = self.book.view.document
        if not document.version:
            return calls.NotStored("no configuration is in force yet", 500)
        return calls.DocumentIs(document.original)

    def _start_wave(self, call: calls.StartWave, now: Now) -> calls.Answer:
        if call.wave not in self.book.waves:
            self._decide(
                commands.StartWave(
                    call.wave,
                    call.instances,
                    call.duration_ms,
                    call.max_at_once,
                    now.wall_ms,
                )
            )
        return calls.Done()

    # --- Workers ---

    def _take_report(self, report: calls.WorkerReport, now: Now) -> Answer:
        stale = self.workers.find_newer(report)
        if stale:
            return _settle(calls.BadRequest(stale))
        worker, gone = self.workers.take_report(report, now.steady_ms)
        if worker.report.number == report.number and worker.is_new:
            worker.is_new = False
            self._note(
                "worker_heard",
                worker=report.life.worker,
                born=report.life.born_wall_ms,
                instance=report.instance,
                service=report.service,
            )
        if self.steering.note_heard(worker):
            self._end_goal(report.instance)
        for other in gone:
            self._lose_all(other.life, "a later life was heard", other)
        for life in list(self.book.held):
            if life.worker == report.life.worker and life != report.life:
                self._lose_all(life, "the worker has started again", None)
        self._note_ends(worker, now)
        self._lose_untold(worker)
        self._count_reserved(worker)
        lease_ms = self._settings.lease_ms
        worker.lease_until_ms = max(
            worker.lease_until_ms,
            worker_table.compute_lease_end(now.steady_ms, lease_ms),
        )
        acknowledged = max((end.number for end in report.ends), default=0)

        def answer() -> calls.Answer:
            return self._build_orders(worker, report, acknowledged)

        return answer

    def _note_ends(self, worker: worker_table.Worker, now: Now) -> None:
        held = self.book.held.get(worker.life, {})
        ends = []
        for end in worker.report.ends:
            found = held.get(end.task)
            if found is None or found.run != end.run:
                continue
            ends.append(
                commands.EndedRun(end.task, end.run, end.how, end.saved)
            )
            self._learn(worker, end, now)
        for ended in ends:
            self._note(
                "run_ended",
                job=ended.task.job,
                task=f"{ended.task.occurrence}.{ended.task.step}"
                f".{ended.task.place}",
                run=ended.run,
                how=ended.how.value,
                worker=worker.life.worker,
            )
        if ends:
            self._decide(
                commands.EndRuns(worker.life, tuple(ends), now.wall_ms)
            )

    def _learn(
        self, worker: worker_table.Worker, end: calls.ListedEnd, now: Now
    ) -> None:
        """Learns from an end how long tasks run and how good a worker is.

        Args:
            worker: The worker.
            end: The end.
            now: The time.
        """
        if end.how is specs.RunEnd.FAILED:
            worker.faults += 1.0
            if worker.faults >= 3.0:
                worker.suspect_until_ms = now.steady_ms + 5_000
            return
        if end.how is specs.RunEnd.DONE:
            worker.faults *= 0.5
            begun_ms = self._assigned_ms.get((end.task, end.run))
            step = self.book.get_step(end.task)
            if begun_ms is None or step is None:
                return
            took_ms = now.steady_ms - begun_ms - self._settings.report_ms
            queue = self.book.jobs[end.task.job].queue
            self.times.observe(queue, step.spec.estimate_ms, max(1, took_ms))

    def _lose_untold(self, worker: worker_table.Worker) -> None:
        """Gives up runs of ended jobs that the worker was not told of.

        Args:
            worker: The worker, whose report came after them.
        """
        lost = []
        for held in self.book.held.get(worker.life, {}).values():
            if held.task in worker.running:
                continue
            if held.heard >= worker.report.number:
                continue
            if self._is_wanted(held) and not worker.report.is_leaving:
                continue
            lost.append((held.task, held.run, ""))
        if lost:
            self._decide(
                commands.LoseRuns(worker.life, "never told", tuple(lost))
            )

    def _is_wanted(self, held: job_book.HeldRun) -> bool:
        job = self.book.jobs.get(held.task.job)
        if job is None or not job.is_open:
            return False
        task = self.book.get_task(held.task)
        return task is not None and not task.is_done

    def _count_reserved(self, worker: worker_table.Worker) -> None:
        total = specs.Resources()
        held = self.book.held.get(worker.life, {})
        refs = dict.fromkeys(held)
        refs.update(dict.fromkeys(worker.running))
        for ref in refs:
            step = self.book.get_step(ref)
            if step is None:
                # A run of unknown size: nothing else is sure to fit.
                total = worker.report.capacity
                break
            total += step.spec.reserved
        worker.reserved = total

    def _build_orders(
        self,
        worker: worker_table.Worker,
        report: calls.WorkerReport,
        acknowledged: int,
    ) -> calls.WorkerOrders:
        held = self.book.held.get(worker.life, {})
        stops = []
        for run in report.running:
            found = held.get(run.task)
            is_held = found is not None and found.run == run.run
            if not is_held or not self._is_wanted(found):  # type: ignore[arg-type]
                stops.append((run.task, run.run))
        starts = []
        listed = {(run.task, run.run) for run in report.running}
        for each in held.values():
            if (each.task, each.run) in listed or report.is_leaving:
                continue
            if not self._is_wanted(each):
                continue
            job = self.book.jobs[each.task.job]
            task = self.book.get_task(each.task)
            faults.check_invariant(task is not None, f"no task {each.task}")
            assert task is not None
            starts.append(
                calls.StartOrder(
                    each.task, each.run, job.spec.body, task.saved, each.ticket
                )
            )
        return calls.WorkerOrders(
            self._settings.lease_ms,
            acknowledged,
            self._fencing_token,
            tuple(starts),
            tuple(stops),
            (),
            self._settings.report_ms,
        )

    def _take_leave(self, call: calls.WorkerLeft) -> calls.Answer:
        worker = self.workers.by_id.get(call.worker)
        if worker is not None and (
            call.born_wall_ms in (0, worker.life.born_wall_ms)
        ):
            self._lose_all(worker.life, "the worker has left", worker)
            self.workers.end(worker)
            self._note("worker_left", worker=call.worker)
        return calls.Done()

    def _lose_all(
        self,
        life: specs.WorkerLife,
        reason: str,
        worker: worker_table.Worker | None,
    ) -> None:
        """Gives up all runs of a worker that has surely ended them.

        Args:
            life: The worker.
            reason: Why they have ended.
            worker: What was last heard of it, if anything.
        """
        lost = []
        for held in self.book.held.get(life, {}).values():
            listed = worker.running.get(held.task) if worker else None
            saved = listed.saved if listed is not None else ""
            lost.append((held.task, held.run, saved))
        if lost:
            self._decide(commands.LoseRuns(life, reason, tuple(lost)))
            self._note(
                "runs_lost",
                worker=life.worker,
                reason=reason,
                runs=len(lost),
                jobs=",".join(sorted({ref.job for ref, _, _ in lost})),
            )

    # --- Timers ---

    def tick(self, now: Now) -> None:
        """Ends leases that have run out and forgets old jobs.

        Args:
            now: The time.
        """
        for worker in list(self.workers.by_id.values()):
            if now.steady_ms >= worker.lease_until_ms:
                self._lose_all(worker.life, "its lease ran out", worker)
                worker.running = {}
                worker.reserved = specs.Resources()
                if worker.is_silent:
                    continue
                worker.is_silent = True
                self._note(
                    "worker_silent",
                    worker=worker.life.worker,
                    age_ms=now.steady_ms - worker.heard_ms,
                )
        if now.steady_ms >= self._inherited_until_ms:
            for life in list(self.book.held):
                known = self.workers.by_id.get(life.worker)
                if known is None or known.life != life:
                    self._lose_all(life, "not heard in this term", None)
        self._drop_old_jobs(now)
        self._steer(now)

    # --- Instances ---

    def _steer(self, now: Now) -> None:
        """Moves instances and takes them down for upkeep.

        Args:
            now: The time.
        """
        fleet = self.steering.fleet
        if not fleet.listed_ms:
            return
        now_ms = now.steady_ms
        for command in self.steering.find_gone(self.book, now_ms):
            self._decide(command)
        for name, goal in list(fleet.goals.items()):
            if goal.phase is fleet_view.GoalPhase.AWAY:
                if fleet_view.is_back(fleet, name, goal):
                    self._end_goal(name)
        self.steering.resume(self.book, now_ms)
        for order in upkeep.choose_next(self.book, fleet, self.workers, now_ms):
            self.steering.aim(order, now_ms)
        self._steer_pools(now_ms)
        for chosen in self.steering.choose_orders(
            self.book, self.workers, now_ms, now.wall_ms
        ):
            self._order(chosen)

    def _steer_pools(self, now_ms: int) -> None:
        spare_pool = self.book.view.find_spare_pool()
        if not spare_pool:
            return
        states = []
        for service in self.book.view.services:
            if service == spare_pool:
                continue
            state = pool_demand.measure_pool(
                self, service, self._idle_since_ms.get(service, -1), now_ms
            )
            if not pools.is_idle(state):
                self._idle_since_ms[service] = -1
            elif state.idle_since_ms < 0:
                self._idle_since_ms[service] = now_ms
            states.append(state)
        self._note_pools(states, now_ms)
        spare = pool_demand.find_spare(self.steering.fleet, spare_pool, now_ms)
        moves = pools.choose_moves(states, spare_pool, spare, now_ms)
        for name, pool in moves:
            self.steering.aim(instances.Move(name, pool), now_ms)
            source = self.steering.fleet.known[name].pool
            self._idle_since_ms[source] = -1
            self._note("move_chosen", instance=name, pool=pool, source=source)

    def _note_pools(self, states: list[pools.PoolState], now_ms: int) -> None:
        if now_ms - self._pools_noted_ms < _POOL_NOTE_MS:
            return
        self._pools_noted_ms = now_ms
        for state in states:
            self._note(
                "pool_state",
                pool=state.pool,
                members=state.members,
                needed=state.needed,
                empty=len(state.empty),
                capacity_cores=state.capacity_milli // 1_000,
                ready_core_s=int(state.ready_work / 1_000_000),
                arriving_cores=int(state.arriving_milli / 1_000),
            )

    def _order(self, order: instances.Order) -> None:
        if isinstance(order, instances.Upkeep):
            wave = self.book.waves[order.wave]
            if order.instance in wave.waiting:
                self._decide(commands.UpkeepAsked(order.wave, order.instance))
        self._orders.append(order)
        self._note(
            "instance_ordered",
            order=type(order).__name__,
            **{
                field: getattr(order, field)
                for field in order.__struct_fields__
            },
        )

    def _end_goal(self, name: str) -> None:
        for command in self.steering.end_goal(name):
            self._decide(command)
        self._note("instance_back", instance=name)

    def take_outcome(
        self,
        order: instances.Order,
        outcome: instances.OrderOutcome,
        now: Now,
    ) -> None:
        """Takes what came of an order to the provider.

        Args:
            order: The order.
            outcome: What came of it.
            now: The time.
        """
        ended = self.steering.take_outcome(order, outcome, now.steady_ms)
        self._note(
            "instance_order_ended",
            instance=order.instance,
            outcome=outcome.value,
        )
        if ended is None:
            return
        worker = self.workers.by_id.get(ended.worker)
        if worker is not None and worker.life == ended:
            self._lose_all(ended, "its instance was ordered away", worker)
            self.workers.end(worker)

    def take_list(
        self, listed: tuple[instances.Instance, ...] | None, asked_ms: int
    ) -> None:
        """Takes the provider's list of instances.

        Args:
            listed: The instances; None when the list did not come.
            asked_ms: When it was asked for.
        """
        self.steering.fleet.is_listing = False
        if listed is None:
            return
        fleet_view.take_list(self.steering.fleet, listed, asked_ms)
        if not self.base_sizes:
            for instance in listed:
                size = self.base_sizes.get(instance.pool, 0)
                self.base_sizes[instance.pool] = size + 1

    # --- Timers ---

    def _drop_old_jobs(self, now: Now) -> None:
        busy = {ref.job for held in self.book.held.values() for ref in held}
        old = []
        for job in self.book.jobs.values():
            if job.is_open or job.job in busy:
                continue
            if now.wall_ms - job.ended_wall_ms > self._settings.keep_ended_ms:
                old.append(job.job)
        if old:
            self._decide(commands.DropJobs(tuple(old)))
            for key in list(self._assigned_ms):
                if key[0].job not in self.book.jobs:
                    del self._assigned_ms[key]

    # --- Placing ---

    def plan(self, now: Now) -> None:
        """Gives waiting tasks to workers.

        Args:
            now: The time.
        """
        by_service: dict[str, list[job_book.StepRun]] = {}
        for name, ready in self.book.ready.items():
            queue = self.book.find_queue(name)
            if queue is None or not ready:
                continue
            due = [s for s in ready.values() if s.due_wall_ms <= now.wall_ms]
            by_service.setdefault(queue.service, []).extend(due)
        for service, steps in by_service.items():
            if steps:
                self._plan_service(service, steps, now)

    def _plan_service(
        self, service: str, steps: list[job_book.StepRun], now: Now
    ) -> None:
        usable = [
            worker
            for worker in self.workers.by_id.values()
            if worker.report.service == service
            and not worker.report.is_leaving
            and now.steady_ms - worker.heard_ms <= self._settings.fresh_ms
            and self.steering.is_usable(worker.report.instance)
        ]
        if not usable:
            return
        rooms = placing.build_rooms(usable, self.book)
        steps.sort(key=lambda step: self._rank(step, now))
        chosen: dict[specs.WorkerLife, list[commands.Assignment]] = {}
        planned: dict[str, specs.Resources] = {}
        for step in steps:
            if step.spec.is_gang:
                self._plan_gang(step, rooms, planned, chosen, now)
                continue
            for number in list(step.waiting):
                if not self._is_within_cap(step, 1, planned):
                    break
                room = placing.choose_room(rooms, step, now.steady_ms)
                if room is None:
                    break
                room.take(step.key, step.spec.reserved)
                self._choose(step, step.tasks[number], room, planned, chosen)
        for life, runs in chosen.items():
            worker = self.workers.by_id[life.worker]
            self._decide(
                commands.AssignRuns(life, worker.report.number, tuple(runs))
            )
            self._count_reserved(worker)
            for run in runs:
                self._assigned_ms[run.task, run.run] = now.steady_ms
                self._note(
                    "run_assigned",
                    job=run.task.job,
                    task=f"{run.task.occurrence}.{run.task.step}"
                    f".{run.task.place}",
                    run=run.run,
                    worker=life.worker,
                    heard_age_ms=now.steady_ms - worker.heard_ms,
                )

    def _rank(self, step: job_book.StepRun, now: Now) -> tuple[int, float, int]:
        """Ranks a step: standing ones, then by slack, late ones last.

        Args:
            step: The step.
            now: The time.

        Returns:
            A key; smaller ones come first.
        """
        job = self.book.jobs[step.key[0]]
        if step.spec.is_standing:
            return (1 if step.spec.is_filler else 0, 0.0, job.admitted_wall_ms)
        queue = self.book.find_queue(job.queue)
        objective_ms = objectives.compute_objective_ms(queue, job.spec)
        begin_ms = step.due_wall_ms or job.admitted_wall_ms
        slack_ms = begin_ms + objective_ms - now.wall_ms
        is_late = slack_ms < step.spec.estimate_ms
        return (3 if is_late else 2, slack_ms, job.admitted_wall_ms)

    def _is_within_cap(
        self,
        step: job_book.StepRun,
        count: int,
        planned: dict[str, specs.Resources],
    ) -> bool:
        """Tells whether a team may have more of a step running.

        Args:
            step: The step.
            count: How many tasks more.
            planned: What the teams were given in this plan.

        Returns:
            Whether it stays within its cap. A task larger than what is left
            of a cap that is less than half used may run too.
        """
        job = self.book.jobs[step.key[0]]
        team = self.book.view.teams.get(job.team)
        if team is None:
            return True
        nothing = specs.Resources()
        used = self.book.team_use.get(job.team, nothing)
        used = used + planned.get(job.team, nothing)
        needs = step.spec.needs
        triples = (
            (used.cpu_milli, needs.cpu_milli, team.cap.cpu_milli),
            (used.memory_mb, needs.memory_mb, team.cap.memory_mb),
            (used.gpus, needs.gpus, team.cap.gpus),
        )
        for has, need, cap in triples:
            if not cap or not need:
                continue
            if has + count * need > cap and (count > 1 or 2 * has >= cap):
                return False
        return True

    def _choose(
        self,
        step: job_book.StepRun,
        task: job_book.Task,
        room: placing.Room,
        planned: dict[str, specs.Resources],
        chosen: dict[specs.WorkerLife, list[commands.Assignment]],
    ) -> None:
        job = self.book.jobs[step.key[0]]
        used = planned.get(job.team, specs.Resources())
        planned[job.team] = used + step.spec.needs
        run = task.last_run + 1
        if step.spec.is_gang:
            run = max(each.last_run for each in step.tasks) + 1
        chosen.setdefault(room.worker.life, []).append(
            commands.Assignment(task.ref, run)
        )

    def _plan_gang(
        self,
        step: job_book.StepRun,
        rooms: list[placing.Room],
        planned: dict[str, specs.Resources],
        chosen: dict[specs.WorkerLife, list[commands.Assignment]],
        now: Now,
    ) -> None:
        """Places a gang, once none of an earlier run is left.

        Args:
            step: The step.
            rooms: The rooms of its service.
            planned: What the teams were given in this plan.
            chosen: The runs by worker.
            now: The time.
        """
        if len(step.waiting) < len(step.tasks):
            return
        if not self._is_within_cap(step, len(step.tasks), planned):
            return
        places = placing.place_gang(rooms, step, now.steady_ms)
        if places is None:
            return
        for task, room in zip(step.tasks, places):
            self._choose(step, task, room, planned, chosen)


def _settle(answer: calls.Answer) -> Answer:
    return lambda: answer
