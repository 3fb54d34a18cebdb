"""Places the tasks of jobs on the workers of their pools.

Urgent tasks are placed first, then those of the team that uses least in
proportion to its weight, then those of the job that has waited longest. A
worker must have the estimated resources free. Workers on which the job has not
failed are preferred, then racks with the fewest tasks of the job, then the
tightest fit. If an urgent task fits nowhere, non-urgent tasks are stopped on
the worker where the fewest are needed, and the resources are kept for urgent
tasks until the end of the stopped ones has been confirmed.
"""

from collections import Counter
from collections.abc import Mapping
import dataclasses
import heapq

from bambookeel.fleet import attribution
from bambookeel.fleet import crashes
from bambookeel.fleet import jobs
from bambookeel.fleet import learning
from bambookeel.fleet import records

# Tasks that a worker without any success may run at once.
_MAX_TASKS_BEFORE_SUCCESS = 2
# Limit on tasks placed in one plan, which bounds the size of a command.
_MAX_PLACEMENTS = 500


@dataclasses.dataclass(slots=True)
class Worker:
    """Free resources of a worker while a plan is made.

    Attributes:
        instance: The worker.
        cores: Free cores.
        memory_mb: Free memory in MB.
        accelerators: Free accelerators.
        is_preempting: Whether tasks on it are being stopped; what they free is
            kept for urgent tasks.
        tasks_left: Number of tasks that may still be placed on it.
        running: Job, task and clamped estimate of each attempt on it.
        job_names: Jobs with an attempt on it, including those just placed.
    """

    instance: records.Instance
    cores: float
    memory_mb: float
    accelerators: int
    is_preempting: bool = False
    tasks_left: int = 1_000_000
    running: list[tuple[jobs.Job, jobs.Task, learning.Size]] = (
        dataclasses.field(default_factory=list)
    )
    job_names: set[str] = dataclasses.field(default_factory=set)

    def clamp_size(self, size: learning.Size) -> learning.Size:
        """Limits an estimate to the size of the whole worker.

        An estimate may exceed the size of any worker; such a task then gets a
        worker of its own.

        Args:
            size: The estimate.

        Returns:
            The estimate with at most the worker's total cores and memory.
        """
        spec = self.instance.spec
        return learning.Size(
            min(size.cores, spec.cores),
            min(size.memory_mb, spec.memory_mb),
            size.accelerators,
        )

    def fits(self, size: learning.Size) -> bool:
        """Returns whether a task can be placed on the worker.

        Args:
            size: Estimate of the task.

        Returns:
            Whether these resources are free and another task is allowed.
        """
        size = self.clamp_size(size)
        if self.tasks_left < 1 or size.accelerators > self.accelerators:
            return False
        return size.cores <= self.cores and size.memory_mb <= self.memory_mb

    def reserve(self, size: learning.Size) -> None:
        """Subtracts a task's resources from the free ones.

        Args:
            size: Estimate of the task.
        """
        size = self.clamp_size(size)
        self.cores -= size.cores
        self.memory_mb -= size.memory_mb
        self.accelerators -= size.accelerators


def _has_pending(job: jobs.Job) -> bool:
    if job.state in jobs.ENDED_STATES:
        return False
    return any(task.state is jobs.TaskState.PENDING for task in job.tasks)


class Placer:
    """Places tasks for one plan and keeps count of free resources."""

    def __init__(
        self,
        view: records.FleetView,
        current: dict[str, jobs.Job],
        evidence: Mapping[str, attribution.WorkerEvidence],
    ) -> None:
        self._view = view
        self.jobs = current
        self._evidence = evidence
        self._corrections = learning.learn_corrections(current.values())
        # Jobs that may crash their workers.
        self._suspects = crashes.list_suspects(current.values())
        self._confined = crashes.list_confined(current.values())
        self._workers: dict[str, Worker] = {}
        self._by_pool: dict[str, list[Worker]] = {}
        # Sizes of all workers by pool, including unavailable workers.
        self._worker_sizes: dict[str, set[tuple[int, int, int]]] = {}
        self.running_by_team: Counter[str] = Counter()
        self._cores_by_team: Counter[str] = Counter()
        for name in sorted(view.instances):
            self._add_worker(view.instances[name])
        for job in current.values():
            self._add_running(job)

    def _add_worker(self, instance: records.Instance) -> None:
        spec = instance.spec
        worker = Worker(instance, spec.cores, spec.memory_mb, spec.accelerators)
        self._workers[instance.name] = worker
        worker_size = (spec.cores, spec.memory_mb, spec.accelerators)
        self._worker_sizes.setdefault(spec.pool, set()).add(worker_size)
        if not records.is_available(self._view, instance):
            return
        found = self._evidence.get(instance.name)
        if found is not None and (found.is_suspect() or found.is_faulty()):
            return
        if found is None or not found.last_success_ms:
            worker.tasks_left = _MAX_TASKS_BEFORE_SUCCESS
        self._by_pool.setdefault(spec.pool, []).append(worker)

    def _add_running(self, job: jobs.Job) -> None:
        size = learning.estimate_size(job, self._corrections)
        for task in job.tasks:
            if task.state not in jobs.ACTIVE_STATES:
                continue
            self.running_by_team[job.spec.team] += 1
            self._cores_by_team[job.spec.team] += int(size.cores)
            worker = self._workers.get(task.worker)
            if worker is None:
                continue
            worker.reserve(size)
            worker.job_names.add(job.name)
            worker.tasks_left -= 1
            worker.running.append((job, task, worker.clamp_size(size)))
            if task.state is jobs.TaskState.STOPPING:
                worker.is_preempting = True

    def _is_at_limit(self, team: str) -> bool:
        spec = self._view.teams.get(team)
        if spec is None:
            return True
        limit = spec.upper_limit
        if self._view.task_limits is not None:
            limit = min(limit, self._view.task_limits.get(team, 0))
        return self.running_by_team[team] >= limit

    def _compute_weighted_usage(self, team: str) -> float:
        """Returns the cores that a team uses, divided by its weight."""
        spec = self._view.teams.get(team)
        weight = spec.share_weight if spec else 1.0
        return self._cores_by_team[team] / weight

    def _find_unplaceable_reason(self, job: jobs.Job) -> str:
        """Returns why a job can never run in its pool; empty if it can."""
        pool = self._view.pools.get(job.spec.pool)
        if pool is None:
            return f"pool {job.spec.pool} does not exist"
        spec = job.spec
        sizes = self._worker_sizes.get(spec.pool)
        if not sizes or any(
            cores >= spec.cores
            and memory_mb >= spec.memory_mb
            and accelerators >= spec.accelerators
            for cores, memory_mb, accelerators in sizes
        ):
            return ""
        return (
            f"no worker of {spec.pool} has {spec.cores} cores,"
            f" {spec.memory_mb} MB and {spec.accelerators} accelerators"
        )

    def place_all(self) -> None:
        """Places pending tasks of all jobs as far as resources allow."""
        queues: dict[tuple[bool, str], list[str]] = {}
        for name, job in self.jobs.items():
            if _has_pending(job):
                key = (not job.spec.urgent, job.spec.team)
                queues.setdefault(key, []).append(name)
        for queue in queues.values():
            # Jobs are popped from the end, the longest-waiting one first.
            queue.sort(key=lambda name: (-self.jobs[name].version, name))
        order = [
            (key[0], self._compute_weighted_usage(key[1]), key)
            for key in queues
        ]
        heapq.heapify(order)
        placed = 0
        while order and placed < _MAX_PLACEMENTS:
            is_non_urgent, known_usage, key = heapq.heappop(order)
            usage = self._compute_weighted_usage(key[1])
            if usage > known_usage:
                heapq.heappush(order, (is_non_urgent, usage, key))
                continue
            name = queues[key][-1]
            refusal = self._place_one(self.jobs[name])
            placed += not refusal
            if refusal:
                self._record_reason(name, refusal)
            if refusal or not _has_pending(self.jobs[name]):
                queues[key].pop()
            if queues[key]:
                usage = self._compute_weighted_usage(key[1])
                heapq.heappush(order, (is_non_urgent, usage, key))

    def _record_reason(self, name: str, refusal: str) -> None:
        job = self.jobs[name]
        if job.reason != refusal and job.state not in jobs.ENDED_STATES:
            self.jobs[name] = dataclasses.replace(job, reason=refusal)

    def _place_one(self, job: jobs.Job) -> str:
        """Places the first pending task of a job.

        Returns:
            Why it could not be placed; empty when it was.
        """
        unplaceable = self._find_unplaceable_reason(job)
        if unplaceable:
            self.jobs[job.name] = dataclasses.replace(
                job,
                state=jobs.JobState.PARKED,
                reason=unplaceable,
                ended_ms=self._view.wall_ms,
            )
            return unplaceable
        if self._is_at_limit(job.spec.team):
            return f"team {job.spec.team} is at its upper limit"
        task = next(
            task for task in job.tasks if task.state is jobs.TaskState.PENDING
        )
        size = learning.estimate_size(job, self._corrections)
        worker = self._choose_worker(job, size)
        if worker is None:
            if job.spec.urgent:
                return self._preempt(job, size)
            return "no worker has room"
        self._start(job, task, size, worker)
        return ""

    def _choose_worker(
        self, job: jobs.Job, size: learning.Size
    ) -> Worker | None:
        failed_on = {
            failure.worker
            for other in job.tasks
            for failure in (*other.failures, *other.crashes)
        }
        racks: Counter[str] = Counter()
        for other in job.tasks:
            if other.state is jobs.TaskState.RUNNING:
                other_worker = self._workers.get(other.worker)
                if other_worker is not None:
                    racks[other_worker.instance.spec.rack] += 1
        fitting = [
            worker
            for worker in self._by_pool.get(job.spec.pool, ())
            if worker.fits(size)
            and (job.spec.urgent or not worker.is_preempting)
            and crashes.may_share(job.name, worker.job_names, self._confined)
        ]

        def rank(worker: Worker) -> tuple[int, bool, int, int, float, str]:
            spare_accelerators = worker.accelerators - size.accelerators
            return (
                crashes.count_conflicts(
                    job.name, worker.job_names, self._suspects
                ),
                worker.instance.name in failed_on,
                racks[worker.instance.spec.rack],
                spare_accelerators,
                worker.cores - size.cores,
                worker.instance.name,
            )

        return min(fitting, key=rank, default=None)

    def _start(
        self,
        job: jobs.Job,
        task: jobs.Task,
        size: learning.Size,
        worker: Worker,
    ) -> None:
        worker.reserve(size)
        worker.job_names.add(job.name)
        worker.tasks_left -= 1
        self.running_by_team[job.spec.team] += 1
        self._cores_by_team[job.spec.team] += int(size.cores)
        started = dataclasses.replace(
            task,
            state=jobs.TaskState.RUNNING,
            # A later job of the same name has a higher version.
            attempt=int(job.version),
            worker=worker.instance.name,
            incarnation=worker.instance.incarnation,
            started_ms=self._view.wall_ms,
        )
        job = jobs.replace_task(job, started)
        self.jobs[job.name] = dataclasses.replace(
            job, state=jobs.JobState.RUNNING, reason="placed"
        )

    def _list_victims(
        self, worker: Worker, size: learning.Size
    ) -> list[tuple[jobs.Job, jobs.Task, learning.Size]] | None:
        """Lists the cheapest tasks to stop; None if stopping cannot suffice."""
        candidates = [
            entry
            for entry in worker.running
            if not entry[0].spec.urgent
            and entry[1].state is jobs.TaskState.RUNNING
        ]
        # Tasks that can checkpoint lose nothing; of the others, the one started
        # last loses the least work.
        candidates.sort(
            key=lambda entry: (
                not entry[0].spec.can_checkpoint,
                -entry[1].started_ms,
            )
        )
        size = worker.clamp_size(size)
        cores, memory_mb = worker.cores, worker.memory_mb
        accelerators = worker.accelerators
        chosen: list[tuple[jobs.Job, jobs.Task, learning.Size]] = []
        for entry in candidates:
            if (
                cores >= size.cores
                and memory_mb >= size.memory_mb
                and accelerators >= size.accelerators
            ):
                break
            chosen.append(entry)
            cores += entry[2].cores
            memory_mb += entry[2].memory_mb
            accelerators += entry[2].accelerators
        is_enough = (
            cores >= size.cores
            and memory_mb >= size.memory_mb
            and accelerators >= size.accelerators
        )
        return chosen if is_enough else None

    def _preempt(self, job: jobs.Job, size: learning.Size) -> str:
        """Stops non-urgent tasks to make room for an urgent one.

        Returns:
            What the urgent task waits for.
        """
        workers = self._by_pool.get(job.spec.pool, ())
        if any(worker.is_preempting for worker in workers):
            return "waits until lesser tasks have stopped"
        best: list[tuple[jobs.Job, jobs.Task, learning.Size]] | None = None
        for worker in workers:
            victims = self._list_victims(worker, size)
            if victims and (best is None or len(victims) < len(best)):
                best = victims
        if best is None:
            return "no worker has room, and nothing lesser can be stopped"
        for victim, task, _ in best:
            stopping = dataclasses.replace(task, state=jobs.TaskState.STOPPING)
            changed = jobs.replace_task(self.jobs[victim.name], stopping)
            self.jobs[victim.name] = dataclasses.replace(
                changed, reason=f"makes room for urgent job {job.name}"
            )
            self._workers[task.worker].is_preempting = True
        return f"waits until {len(best)} lesser tasks have stopped"
