"""Measures attribution of failures and placement on the fake platform.

Each seed runs good and bad jobs in a pool with one worker that fails every
task. Some jobs use 4 times their declared size, some a quarter of it. The
baseline is first fit with blind retries, where a bad worker looks empty and so
gets every task; its count is the number of attempts that a job's limit allows.
"""

from collections.abc import Iterator

from bench import lines
from features.fakes import fleet_run

_SEEDS = range(1, 31)
_BAD_WORKER = "orders-0"
_MAX_STEPS = 300
_ENDED = ("done", "parked")


def _run_seed(seed: int) -> fleet_run.FleetRun:
    run = fleet_run.FleetRun(seed, probe_after_ms=600_000)
    run.add_pool("orders", 6, max_unavailable=2)
    run.declare("team", "coach", {"upper_limit": 40})
    run.platform.workers[_BAD_WORKER].fails_all_tasks = True
    run.run(3)
    names = [f"good-{i}" for i in range(20)] + [f"bad-{i}" for i in range(6)]
    run.random.shuffle(names)
    for name in names:
        run.platform.usage_factor[name] = run.random.choice((0.25, 1.0, 4.0))
        spec = {
            "team": "coach",
            "pool": "orders",
            "tasks": run.random.randint(1, 3),
            "cores": run.random.randint(1, 12),
        }
        run.declare("job", name, spec)
        run.step()
    for _ in range(_MAX_STEPS):
        states = {run.get("job", name).status.state for name in names}
        if states <= set(_ENDED):
            break
        run.step()
    return run


def measure() -> Iterator[str]:
    """Measures attribution of failures and placement.

    Yields:
        Result lines.
    """
    most_failures = bad_quarantined = good_quarantined = 0
    lost = twice = workers = 0
    for seed in _SEEDS:
        run = _run_seed(seed)
        failures = run.platform.failures_by_worker[_BAD_WORKER]
        most_failures = max(most_failures, failures)
        for instance in run.list_instances():
            is_bad = instance.name == _BAD_WORKER
            workers += not is_bad
            if instance.state.value != "quarantined":
                continue
            bad_quarantined += is_bad
            good_quarantined += not is_bad
        for i in range(20):
            lost += run.get("job", f"good-{i}").status.state != "done"
        twice += sum(count > 1 for count in run.platform.successes.values())
    yield lines.render_line(
        "fleet_blame", "wasted_tasks_at_most", most_failures, 5, seeds=30
    )
    yield lines.render_line(
        "fleet_quarantine",
        "good_workers_share",
        good_quarantined / workers,
        0.01,
        bad_found=f"{bad_quarantined}/30",
    )
    yield lines.render_line("fleet_jobs", "lost_or_run_twice", lost + twice, 0)
