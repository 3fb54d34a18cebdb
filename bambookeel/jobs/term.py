"""A leader's term: the book, what it knows of workers, and its decisions.

The parts of the scheduler share it. The book changes only by commands, which
are kept until the leader takes them as one batch for the log. Nothing here does
I/O or reads a clock.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import typing

from bambookeel.configuration import document as configuration
from bambookeel.jobs import admission
from bambookeel.jobs import advice
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_records
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import instances
from bambookeel.jobs import objectives
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs
from bambookeel.jobs import steering
from bambookeel.jobs import workers as worker_table

DeferredAnswer = Callable[[], calls.Answer]


@dataclasses.dataclass(frozen=True, slots=True)
class Now:
    """The time, on two clocks.

    Attributes:
        steady_ms: A clock that counts suspended time; for leases.
        wall_ms: Unix time; for what callers are told and ask for.
    """

    steady_ms: int
    wall_ms: int


class Term:
    """What one leader holds while it leads."""

    def __init__(
        self,
        book: job_book.Book,
        settings: job_settings.SchedulerSettings,
        fencing_token: int,
        now: Now,
    ) -> None:
        self.book = book
        self.settings = settings
        self.fencing_token = fencing_token
        self.workers = worker_table.WorkerTable()
        self.run_times = objectives.RunTimes()
        self.instance_controller = steering.InstanceController(
            settings, now.steady_ms
        )
        # Commands, orders and log lines that nobody has taken yet.
        self.batch: list[commands.Command] = []
        self.orders: list[instances.Order] = []
        self.log_events: list[tuple[str, dict[str, typing.Any]]] = []
        # An earlier leader may have given leases until just now.
        self.inherited_until_ms = worker_table.compute_lease_end(
            now.steady_ms, settings.max_lease_ms
        )
        # When each run was assigned, to learn how long runs take.
        self.assigned_ms: dict[tuple[specs.TaskRef, int], int] = {}
        # When each open job should be complete, from its admission or turn.
        self.objectives_ms: dict[str, float] = {}
        # Workers on which a task has failed.
        self.failed_on: dict[specs.TaskRef, set[str]] = {}
        # Runs that stand still and are to be stopped.
        self.withdrawn: set[tuple[specs.TaskRef, int]] = set()
        self.advice = advice.Advice()
        # Questions to the advisor that nobody has taken yet.
        self.questions: list[advice.Question] = []
        self.arrivals: dict[str, objectives.ArrivalRate] = {}
        self.idle_since_ms: dict[str, int] = {}
        self.pools_logged_ms = 0
        self.instances_checked_ms = 0
        self.planned_ms = 0

    def log_event(self, event: str, **fields: typing.Any) -> None:
        """Notes a decision for the log.

        Args:
            event: Its name.
            **fields: What decided it.
        """
        self.log_events.append((event, fields))

    def decide(self, command: commands.Command) -> None:
        """Applies a command to the book and keeps it for the log.

        Args:
            command: The command.
        """
        self.book.apply(command)
        self.batch.append(command)

    def count_work(
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
            * self.run_times.estimate_ms(queue.name, step)
            * step.needs.cpu_milli
            for step in spec.steps
            if not step.is_standing and not step.is_filler
        )

    def get_arrival_rate(self, service: str, now_ms: int) -> float:
        """Reads how much work arrives for a service.

        Args:
            service: The service.
            now_ms: The time.

        Returns:
            Thousandths of a core that the arriving work asks for.
        """
        rate = self.arrivals.get(service)
        return rate.read(now_ms) if rate is not None else 0.0

    def _count_in_reach(self, service: str) -> int:
        """Counts instances that a pool is getting or can still get.

        Args:
            service: The pool's service.

        Returns:
            Instances on their way there, and those of the spare pool.
        """
        fleet = self.instance_controller.fleet
        spare_pool = self.book.configuration.find_spare_pool()
        count = 0
        for name, known in fleet.statuses.items():
            goal = fleet.goals.get(name)
            if goal is None:
                is_up = known.phase is instances.InstancePhase.UP
                count += is_up and known.pool == spare_pool != service
                continue
            match goal.order:
                case instances.Move(_, pool) if pool == service:
                    count += 1
        return count

    def count_unreported_instances(self, service: str, now_ms: int) -> int:
        """Counts instances whose workers this leader has yet to hear.

        Until an earlier leader's leases have run out, silence says nothing.

        Args:
            service: The service.
            now_ms: The time.

        Returns:
            Instances that the provider lists for the service as up or on
            their way, without a worker or a goal.
        """
        if now_ms >= self.inherited_until_ms:
            return 0
        fleet = self.instance_controller.fleet
        awaited = (instances.InstancePhase.UP, instances.InstancePhase.MOVING)
        return sum(
            known.pool == service
            and known.phase in awaited
            and name not in fleet.goals
            and self.workers.find_by_instance(name) is None
            for name, known in fleet.statuses.items()
        )

    def measure_load(self, service: str, now_ms: int) -> admission.Load:
        """Measures what a service can do and has to do.

        Args:
            service: The service.
            now_ms: The time.

        Returns:
            Its load.
        """
        capacity = 0
        each_milli = 0
        for worker in self.workers.by_id.values():
            room_milli = worker.report.capacity.cpu_milli
            each_milli = max(each_milli, room_milli)
            if worker.report.service != service or worker.report.is_leaving:
                continue
            if worker.is_lease_expired:
                continue
            capacity += room_milli
        absent = self.count_unreported_instances(service, now_ms)
        absent += self._count_in_reach(service)
        capacity += absent * each_milli
        jobs = self.list_open_jobs(service)
        # Fillers take only what the others leave.
        open_work, standing_milli = objectives.sum_open_work(
            jobs, self.run_times, counts_fillers=False
        )
        return admission.Load(capacity - standing_milli, open_work)

    def measure_cap_load(self, team: str) -> admission.Load | None:
        """Measures what a team may have running and has to do.

        Args:
            team: The team.

        Returns:
            Its load, over all services; None for a team without a cap.
        """
        known = self.book.configuration.teams.get(team)
        if known is None or not known.cap.cpu_milli:
            return None
        jobs = (
            self.book.jobs[name]
            for names in self.book.open_jobs.values()
            for name in names
            if self.book.jobs[name].team == team
        )
        # A cap counts what was asked for, also for fillers.
        open_work, standing_milli = objectives.sum_open_work(
            jobs, self.run_times, counts_fillers=True
        )
        capacity = known.cap.cpu_milli - standing_milli
        return admission.Load(capacity, open_work)

    def forget_jobs(self) -> None:
        """Forgets what was learnt of jobs that are no longer on record."""
        jobs = self.book.jobs
        self.assigned_ms = {
            key: at_ms
            for key, at_ms in self.assigned_ms.items()
            if key[0].job in jobs
        }
        self.failed_on = {
            task: names
            for task, names in self.failed_on.items()
            if task.job in jobs
        }
        self.objectives_ms = {
            job: at_ms
            for job, at_ms in self.objectives_ms.items()
            if job in jobs
        }
        self.withdrawn = {key for key in self.withdrawn if key[0].job in jobs}
        self.advice.retain_jobs(jobs)

    def compute_objective_wall_ms(
        self, job: book_records.Job, step: book_records.Step
    ) -> float:
        """Finds when a job, or one occurrence of it, should be complete.

        Args:
            job: The job.
            step: A step of it.

        Returns:
            Unix time in milliseconds.
        """
        objective_ms = self.objectives_ms.get(job.job_id)
        if objective_ms is None:
            queue = self.book.find_queue(job.queue)
            objective_ms = objectives.compute_objective_ms(queue, job.spec)
            self.objectives_ms[job.job_id] = objective_ms
        return (step.due_wall_ms or job.admitted_wall_ms) + objective_ms

    def list_open_jobs(self, service: str) -> Iterator[book_records.Job]:
        """Lists the open jobs of a service.

        Args:
            service: The service.

        Yields:
            Each job.
        """
        for name, jobs in self.book.open_jobs.items():
            queue = self.book.find_queue(name)
            if queue is None or queue.service != service:
                continue
            for job in jobs:
                yield self.book.jobs[job]

    def is_task_open(self, ref: specs.TaskRef) -> bool:
        """Tells whether a task's end is still of use.

        Args:
            ref: The task.

        Returns:
            False once the task or its job has ended.
        """
        job = self.book.jobs.get(ref.job)
        if job is None or not job.is_open:
            return False
        task = self.book.get_task(ref)
        return task is not None and not task.is_done

    def update_reserved(self, worker: worker_table.Worker) -> None:
        """Counts what a worker's runs take.

        Args:
            worker: The worker.
        """
        total = specs.Resources()
        held = self.book.assigned_runs.get(worker.incarnation, {})
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

    def lose_all_runs(
        self,
        life: specs.WorkerIncarnation,
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
        for held in self.book.assigned_runs.get(life, {}).values():
            listed = worker.running.get(held.task) if worker else None
            saved = listed.saved if listed is not None else ""
            lost.append((held.task, held.run, saved))
        if lost:
            self.decide(commands.LoseRuns(life, reason, tuple(lost)))
            self.log_event(
                "runs_lost",
                worker=life.worker,
                reason=reason,
                runs=len(lost),
                jobs=",".join(sorted({ref.job for ref, _, _ in lost})),
            )


def settle(answer: calls.Answer) -> DeferredAnswer:
    """Makes an answer that does not depend on the batch's commit.

    Args:
        answer: The answer.

    Returns:
        A function that gives it.
    """
    return lambda: answer
