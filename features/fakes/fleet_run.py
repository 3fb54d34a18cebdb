"""Runs the planner against the fake platform and checks its guarantees.

The replicated state and its commands are the real ones. A change of leader
drops everything that was not committed, and commands may be lost. After every
command the guarantees are checked independently of the planner's own
invariants.
"""

import random

import msgspec

from bambookeel.control import fleet_commands
from bambookeel.control import fleet_view
from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.fleet import jobs
from bambookeel.fleet import planner
from bambookeel.fleet import records
from bambookeel.net import platform_client
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from features.fakes import fleet_platform

STEP_MS = 500
_WALL_START_MS = 1_700_000_000_000
_PLANNED = ("draining", "empty", "rebooting")


class FleetRun:
    """A fleet that the planner manages, advanced step by step."""

    def __init__(self, seed=1, **values):
        self.random = random.Random(seed)
        self.platform = fleet_platform.FakePlatform()
        self.state = model.State()
        self.builder = fleet_view.ViewBuilder()
        self.now_ms = 1_000
        self.plans = 0
        self.moves = 0
        self.releases = 0
        self.order_loss = 0.0
        self.report_loss = 0.0
        self.command_loss = 0.0
        self.delayed_orders = []
        self.last_plan = None
        self.violations = []
        self.instance_cache = {}
        self.done_tasks = {}
        self.declare(
            "configuration", "fleet", {"values": self.build_tuning(values)}
        )

    @staticmethod
    def build_tuning(values):
        defaults = {
            "hold_ms": 2_000,
            "drain_timeout_ms": 20_000,
            "boot_timeout_ms": 15_000,
            "retry_ms": 5_000,
            "worker_lease_ms": 3_000,
            "probe_after_ms": 20_000,
        }
        return {k: str(v) for k, v in {**defaults, **values}.items()}

    def declare(self, kind, name, spec):
        put = commands.PutSpec(
            resources.Kind(kind), name, commands.ANY_VERSION, spec
        )
        self.plans += 1
        self.apply(
            commands.Command(
                ids.CommandId(f"declare-{self.plans}"),
                "operator",
                (commands.wrap_change(put),),
            )
        )

    def add_pool(self, name, size, workers=None, racks=3, **spec):
        self.declare("pool", name, {"wanted_size": size, **spec})
        for i in range(size if workers is None else workers):
            rack = i % racks
            self.platform.add_worker(
                f"{name}-{i}", f"dc{rack % 3}", f"rack-{name}-{rack}", name
            )

    def get(self, kind, name):
        return self.state.by_key[(resources.Kind(kind), name)]

    def list_instances(self):
        found = []
        for (kind, name), resource in self.state.by_key.items():
            if kind is not resources.Kind.INSTANCE:
                continue
            instance = self.instance_cache.get(name)
            if instance is None or instance.version != resource.version:
                instance = records.read_instance(resource)
                self.instance_cache[name] = instance
            found.append(instance)
        return found

    def apply(self, command):
        before = {i.name: i for i in self.list_instances()}
        version = ids.StateVersion(self.state.version + 1)
        applied = apply.apply_command(self.state, version, command)
        self.state = applied.state
        self._check_step(before)
        return applied.outcome

    def _check_step(self, before):
        """Checks the guarantees on the changes of one committed command."""
        drained_pools = set()
        for instance in self.list_instances():
            old = before.get(instance.name)
            if old is None:
                continue
            if old.spec.pool and instance.spec.pool not in ("", old.spec.pool):
                self.violations.append(
                    f"{instance.name} changed pool in one step"
                )
            if old.spec.pool != instance.spec.pool:
                self.moves += bool(instance.spec.pool)
                if self.platform.workers[instance.name].count_running():
                    self.violations.append(
                        f"{instance.name} moved with work on it"
                    )
            self._check_reboot(old, instance)
            is_drained = instance.state is resources.InstanceState.DRAINING
            if is_drained and old.state is resources.InstanceState.SERVING:
                self.releases += bool(instance.moving_to)
                drained_pools.add(instance.spec.pool)
        for pool in drained_pools:
            self._check_budget(pool)

    def _check_reboot(self, old, instance):
        is_back = old.state is resources.InstanceState.REBOOTING
        if is_back and instance.state is resources.InstanceState.SERVING:
            if self.platform.workers[instance.name].phase == "rebooting":
                self.violations.append(
                    f"{instance.name} serves while it reboots"
                )

    def _check_done(self):
        """Checks that a task that is done stays done."""
        for (kind, name), resource in self.state.by_key.items():
            if kind is not resources.Kind.JOB:
                continue
            for task in jobs.read_job(resource).tasks:
                key = (name, task.index)
                if task.state is jobs.TaskState.DONE:
                    done_attempt = self.done_tasks.setdefault(key, task.attempt)
                    if done_attempt != task.attempt:
                        self.violations.append(f"{key} is done twice")
                elif key in self.done_tasks:
                    self.violations.append(f"{key} is no longer done")

    def _check_limits(self):
        """Checks that no team runs more tasks than its upper limit."""
        running = {}
        for worker in self.platform.workers.values():
            for task_id, task in worker.tasks.items():
                if task["phase"] != "running":
                    continue
                job = self.get("job", task_id.split(".")[0])
                running[job.spec.team] = running.get(job.spec.team, 0) + 1
        for team, count in running.items():
            if count > self.get("team", team).spec.upper_limit:
                self.violations.append(f"team {team} runs {count}")

    def _check_budget(self, pool):
        spec = self.get("pool", pool).spec
        members = [i for i in self.list_instances() if i.spec.pool == pool]
        lost = [
            i.name
            for i in members
            if i.state is not resources.InstanceState.SERVING
            and (i.wave or i.state.value != "empty")
        ]
        serving = sum(
            i.state is resources.InstanceState.SERVING for i in members
        )
        used = max(len(lost), spec.wanted_size - serving)
        if used > spec.max_unavailable:
            self.violations.append(f"budget of {pool} exceeded: {lost}")

    def change_leader(self):
        """Replaces the leader, which drops everything not committed."""
        self.builder = fleet_view.ViewBuilder()

    def _take_reports(self):
        documents = [
            document
            for document in self.platform.report()
            if self.random.random() >= self.report_loss
        ]
        data = msgspec.json.encode({"workers": documents})
        reports = platform_client.decode_reports(data, self.now_ms).unwrap()
        self.builder.add_reports(reports, self.now_ms)

    def build_view(self):
        return self.builder.build_view(
            self.state.by_key, self.now_ms, _WALL_START_MS + self.now_ms
        )

    def step(self, commit=None):
        """Advances time by one step and makes one plan.

        Args:
            commit: Number of the plan's commands that are committed before
                the leader is replaced; None if it is not replaced.
        """
        self.now_ms += STEP_MS
        self.platform.step(self.now_ms)
        self._take_reports()
        view = self.build_view()
        plan = planner.plan_fleet(view)
        self.last_plan = plan
        self.plans += 1
        built = fleet_commands.build_commands(view, plan, f"plan-{self.plans}")
        for command in built[:commit]:
            if self.random.random() >= self.command_loss:
                self.apply(command)
        if commit is not None:
            self.change_leader()
        self._send_orders(plan)
        names = [
            name
            for name, instance in view.instances.items()
            if instance.state is not resources.InstanceState.FAILED
            and records.find_fresh_report(view, instance) is not None
        ]
        lease_ms = view.tuning.worker_lease_ms
        self.platform.renew_leases(names, lease_ms)
        self.builder.extend_leases(names, self.now_ms + lease_ms)
        self._check_limits()
        self._check_done()
        self.violations += self.platform.violations
        assert not self.violations, self.violations

    def _send_orders(self, plan):
        sent = [platform_client.describe_order(o) for o in plan.orders]
        for order in self.delayed_orders + sent:
            if self.random.random() >= self.order_loss:
                self.platform.apply_order(order)
        # While orders are lost, some batches arrive a second time, one step
        # later.
        is_late = self.random.random() < self.order_loss
        self.delayed_orders = sent if is_late else []

    def run(self, steps):
        for _ in range(steps):
            self.step()

    def count_states(self, pool):
        counts = {}
        for instance in self.list_instances():
            if instance.spec.pool == pool:
                state = instance.state.value
                counts[state] = counts.get(state, 0) + 1
        return counts
