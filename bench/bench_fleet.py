"""Measures the planner against lower bounds and simple baselines.

The number of spare instances, roll-out time and moves are measured with the
planner and a small model of workers in simulated time; planning time is CPU
time. The baselines are a fixed reserve in every pool, maintenance of one
instance at a time in name order, and a move for every change of demand.
"""

import collections
from collections.abc import Iterator
import random
import time
import tracemalloc

from bambookeel.control import fleet_view
from bambookeel.fleet import planner
from bambookeel.fleet import records
from bench import fleet_model
from bench import lines

_SEED = 6
_STEP_MS = 10_000
_USERS = {
    "hollybrook": {"weight_buffer_cost": 2.0, "weight_roll_out": 2.0},
    "cadwyn": {"weight_share": 2.0, "weight_moves": 2.0},
}


def _measure_roll_out(user: str) -> Iterator[str]:
    """Measures the time of a wave over all pools, with and without failures."""
    for failures_a_day in (0, 12):
        model = fleet_model.build_fleet(_SEED, pools=20, **_USERS[user])
        model.declare_wave("wave")
        started_ms = model.now_ms
        random_source = random.Random(_SEED)
        chance = failures_a_day * _STEP_MS / 86_400_000
        while not model.is_wave_done("wave"):
            model.step(_STEP_MS)
            if random_source.random() < chance:
                model.fail_random_worker(random_source, 3_600_000)
        took_s = (model.now_ms - started_ms) / 1_000
        sizes = collections.Counter(
            instance.spec.pool for instance in model.instances.values()
        )
        round_s = (fleet_model.DRAIN_MS + fleet_model.BOOT_MS) / 1_000
        rounds = max(
            -(-sizes[name] // pool.spec.max_unavailable)
            for name, pool in model.pools.items()
        )
        yield lines.render_line(
            "fleet_roll_out",
            "roll_out_s",
            took_s,
            rounds * round_s,
            user=user,
            failures_a_day=failures_a_day,
            baseline_s=sum(sizes.values()) * round_s,
            breaches=model.breaches,
        )


def _measure_buffer(user: str) -> Iterator[str]:
    """Finds the smallest spare pool that compensates the loss of any one rack.

    The bound is the largest number of instances beyond their pools' budgets
    that the loss of one rack takes from all pools. The baseline keeps a reserve
    in every pool for the rack that takes most from that pool.
    """
    for spare in range(1, 40):
        if all(
            _survives_rack(user, spare, rack)
            for rack in range(fleet_model.RACKS)
        ):
            break
    model = fleet_model.build_fleet(_SEED, pools=10, spare=spare)
    excess_by_rack = [model.count_beyond_budgets(r) for r in model.list_racks()]
    bound = max(sum(by_pool.values()) for by_pool in excess_by_rack)
    fixed_reserve = sum(
        max(by_pool.get(pool, 0) for by_pool in excess_by_rack)
        for pool in model.pools
    )
    yield lines.render_line(
        "fleet_buffer",
        "spare_instances",
        spare,
        bound,
        user=user,
        baseline_fixed_reserve=fixed_reserve,
    )


def _survives_rack(user: str, spare: int, rack: int) -> bool:
    model = fleet_model.build_fleet(
        _SEED, pools=10, spare=spare, **_USERS[user]
    )
    racks = model.list_racks()
    if rack >= len(racks):
        return True
    model.fail_rack(racks[rack])
    for _ in range(200):
        model.step(_STEP_MS)
    return all(
        budget.count_remaining() >= 0
        for budget in model.compute_budgets().values()
    )


def _measure_moves(user: str) -> Iterator[str]:
    """Counts moves while demand fluctuates and then stays higher."""
    model = fleet_model.build_fleet(_SEED, pools=10, spare=12, **_USERS[user])
    names = sorted(name for name in model.pools if name != "invoicing")
    wanted = {name: model.pools[name].spec.wanted_size for name in names}
    baseline_moves = 0
    for turn in range(40):
        name = names[turn % len(names)]
        model.set_wanted_size(name, wanted[name] + 4)
        baseline_moves += 8
        model.step(_STEP_MS)
        model.set_wanted_size(name, wanted[name])
        model.step(_STEP_MS)
    for name in names[:3]:
        model.set_wanted_size(name, wanted[name] + 2)
    for _ in range(200):
        model.step(_STEP_MS)
    yield lines.render_line(
        "fleet_moves",
        "moves",
        model.moves,
        6,
        user=user,
        baseline_follow_demand=baseline_moves + 6,
        releases=model.releases,
    )


def _measure_planning() -> Iterator[str]:
    """Times plans at the expected size: 1,200 workers, 91 pools, 230 teams."""
    model = fleet_model.build_fleet(_SEED, pools=91, size=13, spare=17)
    fleet_model.add_jobs(model, teams=230, count=2_000)
    model.declare_wave("wave")
    view = model.build_view()
    tracemalloc.start()
    planner.plan_fleet(view)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield _time_plan("fleet_plan_full", view, 1_000)
    for _ in range(12):
        model.step(_STEP_MS)
    yield _time_plan("fleet_plan_incremental", model.build_view(), 20)
    idle = fleet_model.build_fleet(_SEED, pools=91, size=13, spare=17)
    idle.step(_STEP_MS)
    idle.step(_STEP_MS)
    yield _time_plan("fleet_plan_idle", idle.build_view(), 20)
    view = idle.build_view()
    started = time.process_time()
    fleet_view.hash_inputs(view)
    took_ms = (time.process_time() - started) * 1_000
    yield lines.render_line("fleet_plan_skipped", "cpu_ms", took_ms, 20)
    yield lines.render_line(
        "fleet_plan_memory", "peak_mb", peak_bytes / 2**20, 256
    )


def _time_plan(name: str, view: records.FleetView, bound_ms: float) -> str:
    took_ms = []
    for _ in range(5):
        started = time.process_time()
        plan = planner.plan_fleet(view)
        took_ms.append((time.process_time() - started) * 1_000)
    return lines.render_line(
        name,
        "cpu_ms",
        sorted(took_ms)[2],
        bound_ms,
        instances=len(view.instances),
        jobs=len(view.job_records),
        changes=len(plan.instances) + len(plan.jobs),
    )


def measure() -> Iterator[str]:
    """Measures the planner.

    Yields:
        Result lines.
    """
    for user in _USERS:
        yield from _measure_roll_out(user)
        yield from _measure_buffer(user)
        yield from _measure_moves(user)
    yield from _measure_planning()
