"""Steps for the placement of jobs and the attribution of failures."""

from behave import given
from behave import then
from behave import when

from features.fakes import fleet_run


def _build_fleet(seed=1):
    run = fleet_run.FleetRun(seed)
    run.add_pool("orders", 6, max_unavailable=2)
    run.add_pool("labels", 3, max_unavailable=1)
    run.declare("team", "coach", {"upper_limit": 40})
    run.declare("team", "school", {"upper_limit": 5})
    run.run(3)
    return run


def _declare_job(run, name, **spec):
    run.declare("job", name, {"team": "coach", "pool": "orders", **spec})


def _get_job_state(run, name):
    return run.get("job", name).status.state


def _run_until_ended(run, names, steps=200):
    for _ in range(steps):
        states = {_get_job_state(run, name) for name in names}
        if states <= {"done", "parked", "cancelled"}:
            return
        run.step()


@given("a fleet of jobs with seed {seed:d}")
def build_job_fleet(context, seed):
    context.run = _build_fleet(seed)
    context.jobs = []


@given('the fleet worker "{name}" fails every task')
def break_worker(context, name):
    context.run.platform.workers[name].fails_all_tasks = True


@when("{count:d} good jobs and {bad:d} bad jobs are submitted")
def submit_jobs(context, count, bad):
    run = context.run
    names = [f"good-{i}" for i in range(count)]
    names += [f"bad-{i}" for i in range(bad)]
    run.random.shuffle(names)
    for name in names:
        tasks = run.random.randint(1, 3)
        _declare_job(run, name, tasks=tasks, cores=run.random.randint(1, 8))
        run.step()
    context.jobs = names
    _run_until_ended(run, names)


@when(
    "{count:d} good jobs and {bad:d} jobs that crash their workers are"
    " submitted"
)
def submit_deadly_jobs(context, count, bad):
    run = context.run
    run.platform.task_duration_ms = 3_000
    names = [f"good-{i}" for i in range(count)]
    names += [f"bad-crash-{i}" for i in range(bad)]
    run.random.shuffle(names)
    for name in names:
        _declare_job(run, name, tasks=run.random.randint(1, 3))
    context.jobs = names
    context.crashes = {}
    for _ in range(200):
        run.step()
        for worker in run.platform.workers.values():
            for task_id, task in list(worker.tasks.items()):
                job = task_id.partition(".")[0]
                if task["phase"] == "running" and job.startswith("bad-crash"):
                    crashed = context.crashes.setdefault(job, {})
                    name = task_id.rpartition(".")[0]
                    crashed.setdefault(name, []).append(worker.name)
                    run.platform.restart(worker.name)
                    break
        if {_get_job_state(run, name) for name in names} <= {"done", "parked"}:
            return


@then("each bad job names the workers that it crashed, at most {most:d} a task")
def check_crashes(context, most):
    for name, crashed in context.crashes.items():
        reason = context.run.get("job", name).status.details["reason"]
        for workers in crashed.values():
            assert len(workers) <= most, context.crashes
            assert all(worker in reason for worker in workers), reason


@then("every good job is done and every bad job is parked")
def check_jobs(context):
    run = context.run
    states = {name: _get_job_state(run, name) for name in context.jobs}
    for name, state in states.items():
        expected = "parked" if name.startswith("bad") else "done"
        assert state == expected, (name, state, run.get("job", name).status)
    twice = [name for name, n in run.platform.successes.items() if n > 1]
    assert not twice, twice


@then('only the fleet workers "{names}" were quarantined')
def check_quarantined(context, names):
    expected = set() if names == "none" else set(names.split(","))
    found = {
        instance.name
        for instance in context.run.list_instances()
        if instance.state.value == "quarantined"
    }
    assert found == expected, found


@then('at most {count:d} fleet tasks failed on "{name}"')
def check_failures(context, count, name):
    failures = context.run.platform.failures_by_worker[name]
    assert failures <= count, failures


@when('the fleet worker "{name}" is repaired and its quarantine ends')
def repair_worker(context, name):
    context.run.platform.workers[name].fails_all_tasks = False
    context.run.run(60)


@when("a job needs more than any worker of its pool has")
def submit_unplaceable(context):
    _declare_job(context.run, "huge", cores=65)
    context.run.step()


@then("it is parked in the first plan with the reason")
def check_parked(context):
    status = context.run.get("job", "huge").status
    assert status.state == "parked", status
    assert "65 cores" in status.details["reason"], status


@when("non-urgent jobs fill the pool and an urgent job is submitted")
def submit_urgent(context):
    run = context.run
    run.platform.task_duration_ms = 60_000
    for worker in run.platform.workers.values():
        assert worker.phase == "serving"
    _declare_job(run, "filler", tasks=6, cores=60, can_checkpoint=True)
    run.run(4)
    _declare_job(run, "siren", cores=30, urgent=True)
    context.urgent_from_ms = run.now_ms
    for _ in range(10):
        run.step()
        if any(t.startswith("siren") for t in run.platform.starts):
            break


@then("the urgent job starts within {limit_ms:d} ms")
def check_urgent(context, limit_ms):
    run = context.run
    started = [
        count
        for task_id, count in run.platform.starts.items()
        if task_id.startswith("siren.0.")
    ]
    assert started == [1], run.platform.starts
    assert run.now_ms - context.urgent_from_ms <= limit_ms


@when("a team with an upper limit of 5 submits {count:d} tasks")
def submit_many(context, count):
    _declare_job(context.run, "many", team="school", tasks=count)
    context.jobs = ["many"]
    _run_until_ended(context.run, context.jobs)


@then("all tasks succeeded once and the limit was never exceeded")
def check_many(context):
    assert _get_job_state(context.run, "many") == "done"
    assert set(context.run.platform.successes.values()) == {1}


@when("{count:d} running jobs are cancelled at once")
def cancel_jobs(context, count):
    run = context.run
    names = [f"short-lived-{i}" for i in range(count)]
    for name in names:
        _declare_job(run, name)
    run.run(2)
    for name in names:
        _declare_job(run, name, cancelled=True)
    context.plans = run.plans
    run.step()
    context.plans = run.plans - context.plans
    context.jobs = names
    run.run(4)


@then("one plan ends them all and no task is left")
def check_cancelled(context):
    run = context.run
    assert context.plans == 1
    for name in context.jobs:
        assert _get_job_state(run, name) == "cancelled"
    assert not any(w.tasks for w in run.platform.workers.values())


_FAULTS = ("fail", "silence", "restart", "loss", "leader", "wave", "repair")


def _inject_fault(run, i):
    match run.random.choice(_FAULTS):
        case "fail":
            run.platform.fail(run.random.choice(sorted(run.platform.workers)))
        case "silence":
            name = run.random.choice(sorted(run.platform.workers))
            run.platform.workers[name].is_silent = True
        case "restart":
            run.platform.restart(
                run.random.choice(sorted(run.platform.workers))
            )
        case "loss":
            run.order_loss = run.report_loss = run.command_loss = 0.5
        case "leader":
            run.step(run.random.randint(0, 3))
        case "wave":
            run.declare("wave", f"wave-{i}", {})
        case "repair":
            _repair_all(run)


def _repair_all(run):
    run.order_loss = run.report_loss = run.command_loss = 0.0
    for name in run.platform.workers:
        run.platform.repair(name)


@when("{count:d} jobs are submitted while faults are injected")
def submit_under_faults(context, count):
    run = context.run
    for i in range(count):
        name = f"good-{i}"
        spec = {
            "tasks": run.random.randint(1, 4),
            "cores": run.random.randint(1, 30),
            "urgent": run.random.random() < 0.2,
            "can_checkpoint": run.random.random() < 0.5,
            "team": run.random.choice(("coach", "school")),
        }
        _declare_job(run, name, **spec)
        run.platform.usage_factor[name] = run.random.choice((0.25, 1.0, 4.0))
        context.jobs.append(name)
        if run.random.random() < 0.3:
            _inject_fault(run, i)
        run.run(run.random.randint(1, 4))
    _repair_all(run)
    _run_until_ended(run, context.jobs)
