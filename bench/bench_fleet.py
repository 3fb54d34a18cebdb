"""Measures the fleet's decisions beside lower bounds and simple baselines.

Buffer cost, roll-out time, moves and planning time are measured on the pure
planner over a small model of workers, in steps of fleet time. The baselines are
a fixed reserve in every pool, one instance at a time in name order, and moves
that follow every turn of demand.
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
    """Rolls one wave over all pools, with and without failures."""
    for failures_a_day in (0, 12):
        model = fleet_model.build_fleet(_SEED, pools=20, **_USERS[user])
        model.declare_wave("wave")
        started_ms = model.now_ms
        random_source = random.Random(_SEED)
        chance = failures_a_day * _STEP_MS / 86_400_000
        while not model.is_wave_done("wave"):
            model.step(_STEP_MS)
            if random_source.random() < chance:
                model.fail_for(random_source, 3_600_000)
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
    """Counts the shared spare with which every single rack loss is mended.

    The bound is the largest number of instances that one rack takes from all
    pools together beyond their budgets; the baseline holds it in every pool.
    """
    for spare in range(1, 40):
        if all(
            _survives_rack(user, spare, rack)
            for rack in range(fleet_model.RACKS)
        ):
            break
    model = fleet_model.build_fleet(_SEED, pools=10, spare=spare)
    needed = [model.count_beyond_budgets(r) for r in model.list_racks()]
    bound = max(sum(by_pool.values()) for by_pool in needed)
    fixed = sum(
        max(by_pool.get(pool, 0) for by_pool in needed) for pool in model.pools
    )
    yield lines.render_line(
        "fleet_buffer",
        "spare_instances",
        spare,
        bound,
        user=user,
        baseline_fixed_reserve=fixed,
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
    """Turns demand for a while, then lets it last."""
    model = fleet_model.build_fleet(_SEED, pools=10, spare=12, **_USERS[user])
    names = sorted(name for name in model.pools if name != "invoicing")
    wanted = {name: model.pools[name].spec.wanted_size for name in names}
    naive = 0
    for turn in range(40):
        name = names[turn % len(names)]
        model.set_wanted(name, wanted[name] + 4)
        naive += 8
        model.step(_STEP_MS)
        model.set_wanted(name, wanted[name])
        model.step(_STEP_MS)
    for name in names[:3]:
        model.set_wanted(name, wanted[name] + 2)
    for _ in range(200):
        model.step(_STEP_MS)
    yield lines.render_line(
        "fleet_moves",
        "moves",
        model.moves,
        6,
        user=user,
        baseline_follow_demand=naive + 6,
        releases=model.releases,
    )


def _measure_planning() -> Iterator[str]:
    """Times plans at the size to come: 1,200 workers, 91 pools, 230 teams."""
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
    fleet_view.sign_inputs(view)
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
    """Measures the fleet's decisions.

    Yields:
        Result lines.
    """
    for user in _USERS:
        yield from _measure_roll_out(user)
        yield from _measure_buffer(user)
        yield from _measure_moves(user)
    yield from _measure_planning()
