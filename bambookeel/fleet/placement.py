"""Places the tasks of jobs on the workers of their pools.

Urgent tasks go first, then the team that is furthest below its share, then the
job that waits longest. A task goes to a worker where it fits by what it is
estimated to need, away from workers on which it has failed, spread over racks,
and where it leaves the smallest gap. When an urgent task fits nowhere, lesser
tasks are stopped on the worker where that costs least, and the freed room is
kept for it until their end has been confirmed.
"""

from collections import Counter
from collections.abc import Mapping
import dataclasses
import heapq

from bambookeel.fleet import attribution
from bambookeel.fleet import jobs
from bambookeel.fleet import learning
from bambookeel.fleet import records

# Tasks that a worker without a success so far may run at once.
_MAX_TASKS_BEFORE_SUCCESS = 2
# Changes of jobs in one plan, so that one command stays small.
_MAX_PLACEMENTS = 500


@dataclasses.dataclass(slots=True)
class Worker:
    """Room on a worker while a plan is made.

    Attributes:
        instance: The worker.
        cores: Free cores.
        memory_mb: Free memory.
        accelerators: Free accelerators.
        stopping: Whether tasks on it are being stopped for urgent ones.
        tasks_left: Tasks that may still be placed on it.
        running: What runs on it: job, task and estimate.
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

    def clamp_size(self, size: learning.Size) -> learning.Size:
        """Bounds an estimate by the whole worker.

        What was learnt may exceed any worker, which a task then has for itself.

        Args:
            size: The estimate.

        Returns:
            The estimate, at most the whole worker's cores and memory.
        """
        spec = self.instance.spec
        return learning.Size(
            min(size.cores, spec.cores),
            min(size.memory_mb, spec.memory_mb),
            size.accelerators,
        )

    def fits(self, size: learning.Size) -> bool:
        """Tells whether a task fits.

        Args:
            size: What it needs.

        Returns:
            Whether all of it is free and another task may come.
        """
        size = self.clamp_size(size)
        if self.tasks_left < 1 or size.accelerators > self.accelerators:
            return False
        return size.cores <= self.cores and size.memory_mb <= self.memory_mb

    def reserve(self, size: learning.Size) -> None:
        """Takes room for a task.

        Args:
            size: What it needs.
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
    """Room and counts while tasks are placed; lives for one plan."""

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
        self._workers: dict[str, Worker] = {}
        self._by_pool: dict[str, list[Worker]] = {}
        # Sizes of workers by pool, whatever state they are in.
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
        """Finds what a team has in relation to its share."""
        spec = self._view.teams.get(team)
        weight = spec.share_weight if spec else 1.0
        return self._cores_by_team[team] / weight

    def _find_unplaceable_reason(self, job: jobs.Job) -> str:
        """Tells why a job can never run in its pool."""
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
        """Places pending tasks of all jobs, as far as there is room."""
        queues: dict[tuple[bool, str], list[str]] = {}
        for name, job in self.jobs.items():
            if _has_pending(job):
                key = (not job.spec.urgent, job.spec.team)
                queues.setdefault(key, []).append(name)
        for queue in queues.values():
            # The job that waits longest is taken from the end.
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
            failure.worker for other in job.tasks for failure in other.failures
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
        ]

        def rank(worker: Worker) -> tuple[bool, int, int, float, str]:
            spare_accelerators = worker.accelerators - size.accelerators
            return (
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
        worker.tasks_left -= 1
        self.running_by_team[job.spec.team] += 1
        self._cores_by_team[job.spec.team] += int(size.cores)
        started = dataclasses.replace(
            task,
            state=jobs.TaskState.RUNNING,
            attempt=task.attempt + 1,
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
        """Lists the cheapest tasks to stop for a task of this size."""
        candidates = [
            entry
            for entry in worker.running
            if not entry[0].spec.urgent
            and entry[1].state is jobs.TaskState.RUNNING
        ]
        # A checkpoint loses nothing; else the latest start loses least.
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
        """Stops lesser tasks for an urgent one.

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
