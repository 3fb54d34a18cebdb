"""A model of a fleet for measurements of the planner.

The changes of a plan are applied at once, without the log, and workers complete
orders after fixed times. The model is not a test: `features/fleet` checks the
planner's guarantees; here only violations of budgets are counted.
"""

import collections
import dataclasses
import random

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.fleet import budgets
from bambookeel.fleet import changes
from bambookeel.fleet import jobs
from bambookeel.fleet import planner
from bambookeel.fleet import records

DRAIN_MS = 300_000
BOOT_MS = 600_000
RACKS = 40
_WALL_START_MS = 1_700_000_000_000
_State = resources.InstanceState


@dataclasses.dataclass
class _Worker:
    phase: records.Phase = records.Phase.SERVING
    incarnation: int = 1
    pool: str = ""
    due_ms: int = 0
    down_until_ms: int = 0


class FleetModel:
    """Instances, pools, and workers that carry out orders."""

    def __init__(self, tuning: records.Tuning) -> None:
        self.tuning = tuning
        self.now_ms = 1_000_000
        self.pools: dict[str, records.Pool] = {}
        self.instances: dict[str, records.Instance] = {}
        self.waves: dict[str, records.Wave] = {}
        self.jobs: dict[str, jobs.Job] = {}
        self.teams: dict[str, resources.TeamSpec] = {}
        self.workers: dict[str, _Worker] = {}
        self.version = 1
        self.moves = 0
        self.releases = 0
        self.breaches = 0

    def add_instance(self, name: str, pool: str, place: int) -> None:
        """Adds a serving instance; `place` is its number, four to a rack."""
        data_centre = f"dc{place // 4 % 3}"
        rack = f"rack-{place // 4}"
        spec = resources.InstanceSpec(
            pool=pool, data_centre=data_centre, rack=rack
        )
        self.instances[name] = records.Instance(
            name=name,
            version=ids.StateVersion(1),
            spec=spec,
            state=_State.SERVING,
            incarnation=1,
            last_maintained_ms=1,
            reason="",
        )
        self.workers[name] = _Worker(pool=pool)

    def _list_running(self) -> dict[str, list[jobs.TaskReport]]:
        """Lists the attempts that workers report as running, by worker."""
        running: dict[str, list[jobs.TaskReport]] = {}
        for job in self.jobs.values():
            for task in job.tasks:
                if task.state is not jobs.TaskState.RUNNING:
                    continue
                report = jobs.TaskReport(
                    task_id=jobs.render_task_id(job.name, task),
                    phase=jobs.TaskPhase.RUNNING,
                )
                running.setdefault(task.worker, []).append(report)
        return running

    def build_view(self) -> records.FleetView:
        """Builds the planner's view."""
        reports = {}
        running = self._list_running()
        for name, worker in self.workers.items():
            if worker.phase is records.Phase.DOWN:
                continue
            is_idle = worker.phase is not records.Phase.SERVING
            reports[name] = records.Report(
                name=name,
                incarnation=worker.incarnation,
                phase=worker.phase,
                healthy=True,
                pool=worker.pool,
                running=0 if is_idle else 1,
                heard_ms=self.now_ms,
                spec=self.instances[name].spec,
                sequence=2**40,
                tasks=tuple(running.get(name, ())),
            )
        return records.FleetView(
            now_ms=self.now_ms,
            wall_ms=_WALL_START_MS + self.now_ms,
            pools=dict(self.pools),
            instances=dict(self.instances),
            waves=dict(self.waves),
            reports=reports,
            lease_until_ms=dict.fromkeys(self.instances, 0),
            tuning=self.tuning,
            job_records=dict(self.jobs),
            teams=self.teams,
        )

    def step(self, step_ms: int) -> None:
        """Advances time, makes one plan and applies it."""
        self.now_ms += step_ms
        self._advance_workers()
        plan = planner.plan_fleet(self.build_view())
        self._apply_plan(plan)
        for order in plan.orders:
            self._apply_order(order)

    def _advance_workers(self) -> None:
        for worker in self.workers.values():
            if self.now_ms < worker.due_ms:
                continue
            match worker.phase:
                case records.Phase.DRAINING:
                    worker.phase = records.Phase.DRAINED
                case records.Phase.REBOOTING | records.Phase.DOWN:
                    worker.phase = records.Phase.SERVING
                    worker.incarnation += 1

    def _apply_order(self, order: changes.Order) -> None:
        worker = self.workers[order.instance]
        phase = worker.phase
        match order.kind:
            case changes.OrderKind.DRAIN if phase is records.Phase.SERVING:
                worker.phase = records.Phase.DRAINING
                worker.due_ms = self.now_ms + DRAIN_MS
            case changes.OrderKind.REBOOT if phase is records.Phase.DRAINED:
                worker.phase = records.Phase.REBOOTING
                worker.due_ms = self.now_ms + BOOT_MS
            case changes.OrderKind.RESUME | changes.OrderKind.ASSIGN:
                worker.pool = order.pool
                if phase in (records.Phase.DRAINING, records.Phase.DRAINED):
                    worker.phase = records.Phase.SERVING

    def _apply_plan(self, plan: changes.Plan) -> None:
        self.version += 1
        version = ids.StateVersion(self.version)
        for change in plan.instances:
            before, after = change.before, change.after
            if after.spec.pool and before.spec.pool != after.spec.pool:
                self.moves += 1
            if after.moving_to and not before.moving_to:
                self.releases += 1
            self.instances[after.name] = dataclasses.replace(
                after, version=version
            )
        for job in plan.jobs:
            self.jobs[job.after.name] = job.after
        for update in plan.statuses:
            self._apply_status(update)
        if any(change.is_planned for change in plan.instances):
            by_pool = self.compute_budgets()
            self.breaches += sum(
                by_pool[change.guard_pool].count_remaining() < 0
                for change in plan.instances
                if change.is_planned
            )

    def _apply_status(self, update: changes.StatusChange) -> None:
        kinds = {
            resources.Kind.POOL: (self.pools, records.read_pool),
            resources.Kind.WAVE: (self.waves, records.read_wave),
        }
        found, read = kinds[update.kind]
        known = found[update.name]
        resource = resources.Resource(
            update.kind,
            update.name,
            known.version,
            known.version,
            known.spec,
            update.status,
        )
        found[update.name] = read(resource)

    def compute_budgets(self) -> dict[str, budgets.PoolBudget]:
        """Computes the budget of every pool."""
        view = self.build_view()
        groups = budgets.group_members(self.instances.values())
        return {
            name: budgets.compute_budget(view, pool, groups.get(name, ()))
            for name, pool in self.pools.items()
        }

    def declare_wave(self, name: str) -> None:
        """Declares a wave over all pools and plans once."""
        self.waves[name] = records.Wave(
            name=name, version=ids.StateVersion(1), spec=resources.WaveSpec()
        )
        self.step(0)

    def is_wave_done(self, name: str) -> bool:
        """Returns whether a wave has ended."""
        return self.waves[name].status.state == "done"

    def set_wanted_size(self, name: str, wanted: int) -> None:
        """Changes a pool's wanted size."""
        pool = self.pools[name]
        spec = dataclasses.replace(pool.spec, wanted_size=wanted)
        self.pools[name] = dataclasses.replace(pool, spec=spec)

    def fail_random_worker(self, source: random.Random, down_ms: int) -> None:
        """Picks a random worker and, if it serves, fails it for a time."""
        name = source.choice(sorted(self.workers))
        worker = self.workers[name]
        if worker.phase is records.Phase.SERVING:
            worker.phase = records.Phase.DOWN
            worker.due_ms = self.now_ms + down_ms

    def list_racks(self) -> list[str]:
        """Lists the racks with instances of pools other than the spare one."""
        return sorted(
            {
                instance.spec.rack
                for instance in self.instances.values()
                if instance.spec.pool != "invoicing"
            }
        )

    def fail_rack(self, rack: str) -> None:
        """Fails every worker of a rack permanently."""
        for name, instance in self.instances.items():
            if instance.spec.rack == rack:
                self.workers[name].phase = records.Phase.DOWN
                self.workers[name].due_ms = 2**60

    def count_beyond_budgets(self, rack: str) -> dict[str, int]:
        """Counts by pool the instances beyond the budget that a rack holds."""
        lost = collections.Counter(
            instance.spec.pool
            for instance in self.instances.values()
            if instance.spec.rack == rack
        )
        beyond = {}
        for name, count in lost.items():
            max_unavailable = self.pools[name].spec.max_unavailable
            if count > max_unavailable and name != "invoicing":
                beyond[name] = count - max_unavailable
        return beyond


def build_fleet(
    seed: int, pools: int, size: int = 8, spare: int = 8, **values: float
) -> FleetModel:
    """Builds pools of instances in racks of four, and a spare pool.

    Args:
        seed: Seed of the pools' sizes and budgets.
        pools: Number of pools besides the spare pool.
        size: Mean number of instances of a pool.
        spare: Number of instances of the spare pool, `invoicing`, whose wanted
            size is 0.
        **values: Fields of `Tuning`.

    Returns:
        The model with all instances serving.
    """
    source = random.Random(seed)
    tuning = records.Tuning(silent_ms=15_000, **values)  # type: ignore
    model = FleetModel(tuning)
    place = 0
    for i in range(pools):
        name = f"pool-{i}"
        members = max(2, size + source.randint(-2, 2))
        max_unavailable = source.randint(1, 2)
        spec = resources.PoolSpec(
            wanted_size=members, max_unavailable=max_unavailable
        )
        model.pools[name] = records.Pool(
            name=name, version=ids.StateVersion(1), spec=spec
        )
        for j in range(members):
            model.add_instance(f"{name}-{j}", name, place)
            place += 1
    spec = resources.PoolSpec(
        wanted_size=0, max_unavailable=spare, lends_spare=True
    )
    model.pools["invoicing"] = records.Pool(
        name="invoicing", version=ids.StateVersion(1), spec=spec
    )
    place += 4
    for j in range(spare):
        model.add_instance(f"invoicing-{j}", "invoicing", place)
        place += 1
    return model


def add_jobs(model: FleetModel, teams: int, count: int) -> None:
    """Adds teams and queued jobs to a model.

    Args:
        model: The model to extend.
        teams: Number of teams to add.
        count: Number of jobs to add.
    """
    source = random.Random(count)
    for i in range(teams):
        model.teams[f"team-{i}"] = resources.TeamSpec(upper_limit=100)
    names = sorted(model.pools)
    for i in range(count):
        name = f"job-{i}"
        spec = resources.JobSpec(
            team=f"team-{i % teams}",
            pool=source.choice(names),
            tasks=source.randint(1, 3),
            cores=source.randint(1, 32),
        )
        job = jobs.Job(name=name, version=ids.StateVersion(i), spec=spec)
        tasks = tuple(jobs.Task(index=k) for k in range(spec.tasks))
        model.jobs[name] = dataclasses.replace(job, tasks=tasks)
