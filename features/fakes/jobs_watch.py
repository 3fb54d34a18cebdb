"""Finds jobs and standing tasks that do not run although there is room.

What runs is read from the simulated workers, not from the job book. A task may
stay without a run for 3 s at most while its team is below half of its cap and
its service has room for it twice over. At most half of the service may be in
use for that, except for standing tasks after 4 calm seconds.
"""

import collections
import dataclasses

from bambookeel.jobs import specs
from bambookeel.jobs import waiting

_MAX_IDLE_MS = 3_000
_CALM_MS = 4_000
# A standing task has this time after its last run.
_STANDING_GRACE_MS = 6_000
# Longest lease, with what clocks may drift.
_LEASE_MS = 4_200


@dataclasses.dataclass
class Violation:
    """One job or standing task that has waited for too long."""

    at_ms: int
    task: specs.TaskRef
    is_standing: bool
    # Since when nothing of it runs although it could.
    since_ms: int
    reason: waiting.Reason
    events: list

    def __str__(self):
        kind = "standing task" if self.is_standing else "job with task"
        return (
            f"{kind} {self.task} idle at {self.at_ms} ms since"
            f" {self.since_ms} ms: {self.reason.value}"
        )


@dataclasses.dataclass
class _Service:
    """What the workers of one service run."""

    workers: list = dataclasses.field(default_factory=list)
    total: specs.Resources = specs.Resources()
    used: specs.Resources = specs.Resources()

    @property
    def is_half_used(self):
        """Whether half of its processor time or memory is in use."""
        return (
            2 * self.used.cpu_milli >= self.total.cpu_milli
            or 2 * self.used.memory_mb >= self.total.memory_mb
        )


class Watch:
    """Measures for how long jobs and standing tasks wait beside room."""

    def __init__(self, simulation):
        self._simulation = simulation
        # Last time at which a run of each task or job was possible.
        self._last_run_ms = {}
        self._lease_until_ms = {}
        self._since_ms = {}
        self._disturbed_ms = 0
        self._free = {}
        self._term = 0
        self._term_ms = 0
        self._lost_ms = {}
        self._unsettled = []
        self.violations = {}

    def note_disturbance(self):
        """Notes that a fault acts now."""
        self._disturbed_ms = self._simulation.now_ms

    def restart(self):
        """Forgets what has waited so far."""
        self._since_ms = {}
        self.violations = {}

    def check(self):
        """Checks all open jobs; to be called at short intervals."""
        simulation = self._simulation
        self._unsettled = self._find_unsettled()
        services, running, by_team = self._measure()
        self._note_runs(running)
        at_work = {ref.job for ref in running} | self._list_leased()
        book = simulation.scheduler.book
        waits = set()
        for job in book.jobs.values():
            if not job.is_open:
                continue
            queue = book.find_queue(job.queue)
            service = services.get(queue.service, _Service())
            is_below = self._is_below_half_cap(job.team, by_team)
            tasks = self._list_idle(job, running)
            for ref in tasks:
                spec = job.spec.steps[ref.step]
                if not spec.is_standing:
                    continue
                could_run = is_below and self._has_room(service, job, ref.step)
                self._check_one(
                    ref, ref, could_run, service.is_half_used, waits
                )
            if job.job_id in at_work:
                continue
            could_run = is_below and any(
                self._has_room(service, job, number)
                for number in {ref.step for ref in tasks}
            )
            if tasks and not service.is_half_used and could_run:
                self._check_one(job.job_id, tasks[0], True, False, waits)
        for key in set(self._since_ms) - waits:
            del self._since_ms[key]

    def _measure(self):
        """Measures the services, the runs and what the teams use."""
        simulation = self._simulation
        services = collections.defaultdict(_Service)
        running = {}
        by_team = collections.Counter()
        self._free = {}
        for worker in simulation.workers.values():
            if not worker.is_up:
                continue
            free = worker.capacity
            for ref in worker.running:
                step = simulation.specs[ref.job].steps[ref.step]
                free = free - step.reserved
                running[ref] = worker
            if worker.is_cut_off:
                continue
            service = services[worker.service]
            service.workers.append(worker)
            service.total += worker.capacity
            service.used += worker.capacity - free
            self._free[worker.name] = free
        for ref in {*running, *self._unsettled}:
            team = simulation.scheduler.book.jobs[ref.job].team
            needs = simulation.specs[ref.job].steps[ref.step].needs
            by_team[team, "cpu_milli"] += needs.cpu_milli
            by_team[team, "memory_mb"] += needs.memory_mb
        return services, running, by_team

    def _note_runs(self, running):
        now_ms = self._simulation.now_ms
        for ref, worker in running.items():
            self._last_run_ms[ref] = now_ms
            self._lease_until_ms[ref] = (worker, worker.lease_until_ms)
        for ref, (worker, _) in list(self._lease_until_ms.items()):
            # Only the loss of its worker leaves a lease behind.
            if ref not in running and worker.is_up:
                del self._lease_until_ms[ref]

    def _list_leased(self):
        """Lists the jobs that may still run on lost workers.

        Their leases have not expired, or orders may have reached them.
        """
        now_ms = self._simulation.now_ms
        leased = {
            ref.job
            for ref, (_, until_ms) in self._lease_until_ms.items()
            if until_ms > now_ms
        }
        leased.update(ref.job for ref in self._unsettled)
        return leased

    def _find_unsettled(self):
        """Finds the runs that may go on although their worker is lost.

        The leader must wait for the longest lease, from its own start if it has
        not heard the worker.
        """
        simulation = self._simulation
        now_ms = simulation.now_ms
        if self._term != simulation.term:
            self._term, self._term_ms = simulation.term, now_ms
        lives = {
            specs.WorkerIncarnation(worker.name, worker.born_wall_ms)
            for worker in simulation.workers.values()
            if worker.is_up and not worker.is_cut_off
        }
        assigned = simulation.scheduler.book.assigned_runs
        self._lost_ms = {
            life: self._lost_ms.get(life, now_ms)
            for life in assigned
            if life not in lives
        }
        return [
            ref
            for life, lost_ms in self._lost_ms.items()
            for ref in assigned[life]
            if now_ms - max(lost_ms, self._term_ms) < _LEASE_MS
        ]

    def _is_below_half_cap(self, team, by_team):
        known = self._simulation.scheduler.book.configuration.teams.get(team)
        if known is None:
            return True
        return all(
            not cap or 2 * by_team[team, field] < cap
            for field, cap in (
                ("cpu_milli", known.cap.cpu_milli),
                ("memory_mb", known.cap.memory_mb),
            )
        )

    def _list_idle(self, job, running):
        """Lists the tasks whose turn has come and that do not run."""
        wall_ms = self._simulation.read_now().wall_ms
        return [
            task.ref
            for step in job.steps.values()
            if not step.unfinished_dependencies and step.due_wall_ms <= wall_ms
            for task in step.tasks
            if not task.is_done and task.ref not in running
        ]

    def _has_room(self, service, job, number):
        """Returns whether a service has room for a task, or gang, twice."""
        spec = job.spec.steps[number]
        needed = 2 * (spec.count if spec.is_gang else 1)
        found = 0
        for worker in service.workers:
            if spec.label and spec.label not in worker.labels:
                continue
            most = needed - found
            if spec.max_per_instance:
                same = sum(
                    ref.job == job.job_id and ref.step == number
                    for ref in worker.running
                )
                most = min(most, max(0, spec.max_per_instance - same))
            found += spec.reserved.count_in(self._free[worker.name], most)
            if found >= needed:
                return True
        return False

    def _check_one(self, key, ref, could_run, is_half_used, waits):
        simulation = self._simulation
        now_ms = simulation.now_ms
        is_standing = isinstance(key, specs.TaskRef)
        if is_standing:
            # A standing task that has never run counts from when it was seen.
            last_ms = self._last_run_ms.setdefault(ref, now_ms)
            if now_ms - last_ms < _STANDING_GRACE_MS:
                return
            is_calm = now_ms - self._disturbed_ms >= _CALM_MS
            if is_half_used and not is_calm:
                return
        if not could_run:
            return
        waits.add(key)
        since_ms = self._since_ms.setdefault(key, now_ms)
        if now_ms - since_ms < _MAX_IDLE_MS or key in self.violations:
            return
        self.violations[key] = Violation(
            now_ms,
            ref,
            is_standing,
            since_ms,
            waiting.find_reason(
                simulation.scheduler.term, ref, simulation.read_now()
            ),
            [
                (event, fields)
                for event, fields in simulation.events
                if fields.get("job") == ref.job
                and fields.get("task", ref.position) == ref.position
            ][-8:],
        )
