"""State of a leader's term: the job book, the workers and queued decisions.

All parts of the scheduler share it. The book changes only by commands, which
are queued until the leader appends them as one batch to the replicated log.
Nothing here does I/O or reads a clock.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import typing

from bambookeel.configuration import document as configuration
from bambookeel.jobs import advice
from bambookeel.jobs import book as job_book
from bambookeel.jobs import book_records
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import deferred_jobs
from bambookeel.jobs import demand_forecast
from bambookeel.jobs import evacuations
from bambookeel.jobs import inherited_lives
from bambookeel.jobs import instances
from bambookeel.jobs import objectives
from bambookeel.jobs import place_wait_state
from bambookeel.jobs import pools
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs
from bambookeel.jobs import steering
from bambookeel.jobs import storm_state
from bambookeel.jobs import workers as worker_table

# Task and number of a run.
RunKey = tuple[specs.TaskRef, int]
# Returns the answer to a call; called once the decisions so far are committed.
DeferredAnswer = Callable[[], calls.Answer]


@dataclasses.dataclass(frozen=True, slots=True)
class Now:
    """Current time on two clocks, in milliseconds.

    Attributes:
        steady_ms: Steady clock that also runs while the machine is suspended;
            for leases and delays.
        wall_ms: Unix time; for recorded times and those that callers set.
    """

    steady_ms: int
    wall_ms: int


class Term:
    """State that a leader keeps while it leads, and that ends with its term."""

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
        self.inherited_lives = inherited_lives.InheritedLives(book)
        # Ended lives of workers with runs in doubt.
        self.former_lives: dict[
            specs.WorkerIncarnation, worker_table.FormerLife
        ] = {}
        # Workers that ended lately.
        self.ended_workers: list[worker_table.EndedWorker] = []
        self.run_times = objectives.RunTimes()
        self.instance_controller = steering.InstanceController(
            settings, now.steady_ms
        )
        # Not fetched by the leader yet.
        self.batch: list[commands.Command] = []
        self.orders: list[instances.Order] = []
        self.log_events: list[tuple[str, dict[str, typing.Any]]] = []
        # Until then, leases of an earlier leader's term may be valid.
        self.earlier_leases_until_ms = worker_table.compute_lease_end(
            now.steady_ms, settings.max_lease_ms
        )
        # Steady-clock time of each run's assignment, to measure run times.
        self.assigned_ms: dict[tuple[specs.TaskRef, int], int] = {}
        # Time within which each open job should complete once it is due.
        self.objectives_ms: dict[str, float] = {}
        # Longest chains of dependent steps of each open job, by its steps.
        self.chains_ms: dict[str, tuple[float, ...]] = {}
        # Jobs that let others go first, by service.
        self.deferred: dict[str, deferred_jobs.DeferredJobs] = {}
        # Workers on which a task has failed.
        self.failed_on: dict[specs.TaskRef, set[str]] = {}
        # Workers that have refused to start a task.
        self.refused_on: dict[specs.TaskRef, set[str]] = {}
        # Stalled runs that their workers must stop.
        self.withdrawn: set[tuple[specs.TaskRef, int]] = set()
        # Number of stalled runs of each task that has any.
        self.stalls: dict[specs.TaskRef, int] = {}
        # Tasks that wait until it is known whether they have crashed a worker.
        self.held: set[specs.TaskRef] = set()
        # Steady-clock time since which tasks that must run apart have waited.
        self.apart_since_ms: dict[specs.TaskRef, int] = {}
        self.advice = advice.Advice()
        # Questions to the advisor that the leader has not fetched yet.
        self.questions: list[advice.Question] = []
        # Rate of arriving work, by service.
        self.arrival_rates: dict[str, objectives.ArrivalRate] = {}
        self.forecaster = demand_forecast.DemandForecaster()
        # State of each pool but the spare one at the last check.
        self.pool_states: dict[str, pools.PoolState] = {}
        # Steady-clock time since which each service has been idle, or -1.
        self.idle_since_ms: dict[str, int] = {}
        self.pools_logged_ms = 0
        self.waiting_logged_ms = 0
        # Steady-clock time since which standing tasks do not run.
        self.standing_idle_since_ms: dict[specs.TaskRef, int] = {}
        self.instances_checked_ms = 0
        self.fitting_checked_ms = 0
        # Steady-clock time of the last search for instances for each step.
        self.fitting_searched_ms: dict[book_records.StepKey, int] = {}
        # Since when steps wait beside a reserve, by service; steady clock.
        self.starving_since_ms: dict[str, dict[book_records.StepKey, int]] = {}
        self.storms = storm_state.StormState()
        self.place_waits = place_wait_state.PlaceWaits(now.steady_ms)
        self.evacuations = evacuations.TermState()
        self.planned_ms = 0
        # Steps that the last plan has not reached.
        self.skipped_steps: frozenset[book_records.StepKey] = frozenset()

    def log_event(self, event: str, **fields: typing.Any) -> None:
        """Queues a log event.

        Args:
            event: Name of the event.
            **fields: Fields of the log line, by key.
        """
        self.log_events.append((event, fields))

    def decide(self, command: commands.Command) -> None:
        """Applies a command to the book and queues it for the replicated log.

        Args:
            command: Command that expresses the decision.
        """
        # First queued, so that a batch shows that the book may have changed.
        self.batch.append(command)
        self.book.apply(command)

    def estimate_work(
        self, queue: configuration.Queue, spec: specs.JobSpec
    ) -> float:
        """Estimates the work of a job that has not begun.

        Args:
            queue: Queue of the job.
            spec: Specification of the job.

        Returns:
            Work in thousandths of a core times milliseconds.
        """
        return sum(
            step.count
            * self.run_times.estimate_ms(queue.name, step)
            * step.needs.cpu_milli
            for step in spec.steps
            if not step.is_standing and not step.is_filler
        )

    def get_arrival_rate(self, service: str, now_ms: int) -> float:
        """Returns the rate at which work arrives for a service.

        Args:
            service: Name of the service.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Processor time that the arriving work needs, in thousandths of a
            core.
        """
        rate = self.arrival_rates.get(service)
        return rate.read(now_ms) if rate is not None else 0.0

    def discard_dropped_jobs(self) -> None:
        """Removes the data of jobs that are no longer in the book."""
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
        self.refused_on = {
            task: names
            for task, names in self.refused_on.items()
            if task.job in jobs
        }
        self.objectives_ms = {
            job: at_ms
            for job, at_ms in self.objectives_ms.items()
            if job in jobs
        }
        self.chains_ms = {
            job: chains for job, chains in self.chains_ms.items() if job in jobs
        }
        self.withdrawn = {key for key in self.withdrawn if key[0].job in jobs}
        self.stalls = {
            task: count
            for task, count in self.stalls.items()
            if task.job in jobs
        }
        self.fitting_searched_ms = {
            key: searched_ms
            for key, searched_ms in self.fitting_searched_ms.items()
            if key[0] in jobs
        }
        self.held = {ref for ref in self.held if ref.job in jobs}
        self.apart_since_ms = {
            ref: since_ms
            for ref, since_ms in self.apart_since_ms.items()
            if ref.job in jobs
        }
        self.place_waits.discard_dropped(jobs)
        self.advice.retain_jobs(jobs)

    def list_tickets(
        self, step: book_records.Step, now_ms: int
    ) -> Mapping[specs.WorkerIncarnation, str] | None:
        """Lists the workers that the advisor allows for a step.

        Args:
            step: A step with waiting tasks.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Tickets by worker; None if the queue needs no advice.
        """
        queue = self.book.find_queue(self.book.jobs[step.key[0]].queue)
        if queue is None or not queue.ticket_ms:
            return None
        return self.advice.list_tickets(step.key, now_ms)

    def compute_objective_wall_ms(
        self, job: book_records.Job, step: book_records.Step
    ) -> float:
        """Computes when a job, or one occurrence of it, should be complete.

        Args:
            job: The job.
            step: Any step of the occurrence.

        Returns:
            Unix time in milliseconds.
        """
        objective_ms = self.objectives_ms.get(job.job_id)
        if objective_ms is None:
            queue = self.book.find_queue(job.queue)
            objective_ms = objectives.compute_objective_ms(queue, job.spec)
            self.objectives_ms[job.job_id] = objective_ms
        return (step.due_wall_ms or job.admitted_wall_ms) + objective_ms

    def compute_chain_ms(self, job: book_records.Job, number: int) -> float:
        """Estimates the run time of the longest chain that begins with a step.

        Args:
            job: The job.
            number: Number of the step.

        Returns:
            Run time in milliseconds, corrected by observed run times.
        """
        chains = self.chains_ms.get(job.job_id)
        if chains is None:
            chains = objectives.compute_chains_ms(job.spec)
            self.chains_ms[job.job_id] = chains
        return chains[number] * self.run_times.get_factor(job.queue)

    def list_open_jobs(self, service: str) -> Iterator[book_records.Job]:
        """Lists the open jobs of a service.

        Args:
            service: Name of the service.

        Yields:
            Jobs of all queues of the service.
        """
        for name, jobs in self.book.open_jobs.items():
            queue = self.book.find_queue(name)
            if queue is None or queue.service != service:
                continue
            for job in jobs:
                yield self.book.jobs[job]

    def is_task_open(self, ref: specs.TaskRef) -> bool:
        """Returns whether a task still has to run to its end.

        Args:
            ref: Identifies the task.

        Returns:
            False if the task or its job has ended or does not exist.
        """
        job = self.book.jobs.get(ref.job)
        if job is None or not job.is_open:
            return False
        task = self.book.get_task(ref)
        return task is not None and not task.is_done

    def list_avoided(self, task: book_records.Task) -> frozenset[str]:
        """Lists the workers that should get a task only if no other has room.

        Args:
            task: A task that waits for a worker or a copy.

        Returns:
            Ids of the workers that run it, on which it has failed or that have
            refused it.
        """
        avoided = {incarnation.worker for incarnation in task.runs.values()}
        avoided.update(self.failed_on.get(task.ref, ()))
        avoided.update(self.refused_on.get(task.ref, ()))
        return frozenset(avoided)

    def update_reserved(self, worker: worker_table.Worker) -> None:
        """Updates the resources that a worker's runs reserve.

        Args:
            worker: Worker whose report or assigned runs have changed.
        """
        total = specs.Resources()
        assigned = self.book.assigned_runs.get(worker.incarnation, {})
        refs = dict.fromkeys(assigned)
        refs.update(dict.fromkeys(worker.running))
        worker.run_count = len(refs)
        for ref in refs:
            step = self.book.get_step(ref)
            if step is None:
                # The resources of the run are unknown, so that nothing else is
                # certain to fit.
                total = worker.report.capacity
                break
            total += step.spec.reserved
        worker.reserved = total


def make_deferred(answer: calls.Answer) -> DeferredAnswer:
    """Wraps an answer that is known before the decisions are committed.

    Args:
        answer: The answer.

    Returns:
        Function that returns the answer.
    """
    return lambda: answer
