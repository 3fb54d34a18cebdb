"""Steps for the fault matrix and the randomised runs of the planner."""

from behave import given
from behave import then
from behave import when

from bambookeel.core import resources
from features.fakes import fleet_run

# Commands committed before the leader is replaced; None: it is not replaced.
_COMMIT_LIMITS = (None, 0, 1)
_FAULT_STEPS = 8
_REPAIR_STEPS = 14
_SETTLE_STEPS = 400
_BUSY_STATES = ("draining", "empty", "rebooting", "in-doubt")


def _build_fleet(seed=1):
    run = fleet_run.FleetRun(seed)
    run.add_pool("orders", 4, max_unavailable=1)
    run.add_pool("labels", 5, max_unavailable=2, survive_racks=1)
    run.add_pool("invoicing", 4, workers=6, max_unavailable=2, lends_spare=True)
    run.run(3)
    return run


def _start_operation(run, operation):
    if operation == "wave":
        run.declare("wave", "upgrade", {})
    elif operation == "move":
        run.declare("pool", "orders", {"wanted_size": 5, "max_unavailable": 1})
    elif operation == "repair":
        run.platform.fail("orders-0")
        run.platform.fail("orders-1")


def _find_target(run, operation):
    """Returns an instance that is being changed now, else a fixed one."""
    for instance in run.list_instances():
        if instance.state.value in _BUSY_STATES:
            return instance.name
    return "invoicing-0" if operation == "move" else "labels-0"


def _inject_fault(run, fault, target):
    workers = run.platform.workers
    match fault:
        case "failure":
            run.platform.fail(target)
        case "silence":
            workers[target].is_silent = True
        case "own restart":
            run.platform.restart(target)
        case "false drain report":
            workers[target].reports_drained_early = True
        case "false reboot report":
            workers[target].reports_serving_early = True
        case "reboot hangs":
            workers[target].hangs_in_reboot = True
        case "orders lost":
            run.order_loss = 0.7
        case "reports lost":
            run.report_loss = 0.7
        case "commands lost":
            run.command_loss = 0.7
        case "rack lost":
            _fail_domain(run, workers[target].rack)
        case "data centre lost":
            _fail_domain(run, workers[target].data_centre)


def _fail_domain(run, domain):
    for worker in run.platform.workers.values():
        if domain in (worker.rack, worker.data_centre):
            run.platform.fail(worker.name)


def _end_faults(run):
    run.order_loss = run.report_loss = run.command_loss = 0.0
    for worker in run.platform.workers.values():
        worker.reports_drained_early = False
        worker.reports_serving_early = False
        if worker.hangs_in_reboot:
            worker.hangs_in_reboot = False
        run.platform.repair(worker.name)


def _is_settled(run):
    states = {instance.state for instance in run.list_instances()}
    if states != {resources.InstanceState.SERVING}:
        return False
    for name in ("orders", "labels", "invoicing"):
        wanted = run.get("pool", name).spec.wanted_size
        if sum(run.count_states(name).values()) < wanted:
            return False
    waves = [
        resource.status.state
        for (kind, _), resource in run.state.by_key.items()
        if kind is resources.Kind.WAVE
    ]
    return all(state == "done" for state in waves)


def _settle(run):
    for _ in range(_SETTLE_STEPS):
        if _is_settled(run):
            return ""
        run.step()
    states = {
        name: run.count_states(name)
        for name in ("orders", "labels", "invoicing", "")
    }
    return f"not settled: {states}"


def _run_case(operation, fault, at_step, commit):
    run = _build_fleet()
    _start_operation(run, operation)
    run.run(at_step)
    _inject_fault(run, fault, _find_target(run, operation))
    run.step(commit)
    run.run(_FAULT_STEPS)
    # The leader may be replaced again while the fault lasts.
    run.step(commit)
    run.run(_REPAIR_STEPS)
    _end_faults(run)
    return _settle(run)


@given('the fleet operation "{operation}"')
def choose_operation(context, operation):
    context.operation = operation


@when('the fleet fault "{fault}" is injected at each of {steps:d} steps')
def inject_at_each_step(context, fault, steps):
    context.unsettled = []
    for at_step in range(steps):
        for commit in _COMMIT_LIMITS:
            unsettled = _run_case(context.operation, fault, at_step, commit)
            if unsettled:
                context.unsettled.append((at_step, commit, unsettled))


@then("no fleet guarantee was broken and every operation ended")
def check_cases(context):
    assert not context.unsettled, context.failed[:3]


@given("a randomised fleet with seed {seed:d}")
def build_random_fleet(context, seed):
    context.run = _build_fleet(seed)


_FAULTS = (
    "failure",
    "silence",
    "own restart",
    "false drain report",
    "reboot hangs",
    "false reboot report",
    "orders lost",
    "reports lost",
    "commands lost",
    "rack lost",
    "data centre lost",
)


@when("{steps:d} fleet steps pass with faults of every kind")
def run_randomised(context, steps):
    run = context.run
    names = sorted(run.platform.workers)
    for i in range(steps):
        chance = run.random.random()
        if chance < 0.04:
            _inject_fault(
                run, run.random.choice(_FAULTS), run.random.choice(names)
            )
        elif chance < 0.08:
            _end_faults(run)
        elif chance < 0.10:
            wanted = run.random.randint(2, 5)
            spec = {"wanted_size": wanted, "max_unavailable": 1}
            run.declare("pool", "orders", spec)
        elif chance < 0.11:
            run.declare("wave", f"wave-{i}", {})
        elif chance < 0.16:
            run.step(run.random.randint(0, 3))
        run.step()


@then("no fleet guarantee was broken and the fleet settles")
def check_randomised(context):
    run = context.run
    run.declare("pool", "orders", {"wanted_size": 4, "max_unavailable": 1})
    # Waves that lost instances to faults have stopped and will never end.
    for (kind, name), _ in list(run.state.by_key.items()):
        if kind is resources.Kind.WAVE:
            run.declare("wave", name, {"aborted": True})
    _end_faults(run)
    for _ in range(_SETTLE_STEPS):
        run.step()
    states = {instance.state.value for instance in run.list_instances()}
    assert states == {"serving"}, states
