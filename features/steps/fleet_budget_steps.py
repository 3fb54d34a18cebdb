"""Steps for budgets, failure domains, forecasts, moves and drains."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.fleet import records
from features.fakes import fleet_run

_DISRUPTED_STATES = ("draining", "empty", "rebooting")


def _build(size, budget, **spec):
    run = fleet_run.FleetRun()
    run.add_pool("orders", size, max_unavailable=budget, **spec)
    run.add_pool("invoicing", 2, workers=4, max_unavailable=2, lends_spare=True)
    run.run(3)
    return run


def _list_disrupted(run):
    return [
        instance
        for instance in run.list_instances()
        if instance.spec.pool == "orders"
        and instance.state.value in _DISRUPTED_STATES
    ]


@given("a fleet pool of {size:d} with budget {budget:d} at rest")
def build_pool(context, size, budget):
    context.run = _build(size, budget)


@given(
    "a fleet pool of {size:d} with budget {budget:d} and a wave draining one"
)
def build_draining(context, size, budget):
    context.run = _build(size, budget)
    wave = {"pools": ["orders"], "max_parallel": 1}
    context.run.declare("wave", "upgrade", wave)
    context.run.run(3)
    context.drained = _list_disrupted(context.run)
    assert len(context.drained) == 1


@when("another instance of the fleet pool fails")
def fail_another(context):
    others = [f"orders-{i}" for i in range(4)]
    others.remove(context.drained[0].name)
    context.failed_worker = others[0]
    context.run.platform.fail(others[0])
    context.run.run(8)


@then("the draining instance serves again without a reboot")
def check_drain_cancelled(context):
    name = context.drained[0].name
    state = records.read_instance(context.run.get("instance", name)).state
    assert state.value == "serving", state
    assert context.run.platform.workers[name].reboots == 0


@then("no instance of the fleet pool is drained before it recovers")
def check_no_drain(context):
    assert not _list_disrupted(context.run)


def _fail_workers(context, names):
    run = context.run
    for name in names:
        run.platform.fail(name)
    run.step()
    context.already_drained = {i.name for i in _list_disrupted(run)}


@when("a rack with two serving instances of the fleet pool is lost")
def fail_rack(context):
    own_rack = context.drained[0].spec.rack
    workers = context.run.platform.workers.values()
    racks = sorted({w.rack for w in workers if w.pool == "orders"} - {own_rack})
    names = [w.name for w in workers if w.rack == racks[0]]
    # The planner notices the loss only when the last reports are too old.
    _fail_workers(context, names)
    context.run.run(5)
    context.already_drained |= {i.name for i in _list_disrupted(context.run)}


@when("half of the fleet stops reporting")
def silence_half(context):
    workers = sorted(context.run.platform.workers)
    names = [n for n in workers if n != context.drained[0].name][::2]
    for name in names:
        context.run.platform.workers[name].is_silent = True
    context.run.run(5)
    context.already_drained = {i.name for i in _list_disrupted(context.run)}


@then("no further instance of the fleet pool is drained meanwhile")
def check_none_drained(context):
    for _ in range(40):
        context.run.step()
        now = {i.name for i in _list_disrupted(context.run)}
        assert now <= context.already_drained, (now, context.already_drained)


@given(
    "a fleet pool with racks of 4 and 2 that must keep {left:d} if a rack is"
    " lost"
)
def build_racks(context, left):
    run = fleet_run.FleetRun()
    spec = {"max_unavailable": 3, "survive_racks": 1, "min_after_loss": left}
    run.declare("pool", "orders", {"wanted_size": 6, **spec})
    for i in range(6):
        rack = "large" if i < 4 else "small"
        run.platform.add_worker(f"orders-{i}", "dc0", rack, "orders")
    run.run(3)
    context.run = run


@when("a fleet wave starts")
def start_wave(context):
    context.run.declare("wave", "upgrade", {})
    context.run.run(2)


@then("only instances of the larger rack are drained")
def check_larger_rack(context):
    racks = {instance.spec.rack for instance in _list_disrupted(context.run)}
    assert racks == {"large"}, racks


@when("a fleet wave has to end within {minutes:d} minutes")
def declare_dated(context, minutes):
    run = context.run
    finish_by_ms = run.build_view().wall_ms + minutes * 60_000
    wave = {"pools": ["orders"], "finish_by_ms": finish_by_ms}
    run.declare("wave", "dated", wave)
    run.step()


def _get_on_time_condition(context):
    status = context.run.get("wave", "dated").status
    return next(c for c in status.conditions if c.name == "OnTime")


@then("its status reports that the pool makes it too slow")
def check_too_slow(context):
    condition = _get_on_time_condition(context)
    assert condition.reason == "TooSlow" and "orders" in condition.message


@then("its status reports that the pool has no budget")
def check_no_budget(context):
    condition = _get_on_time_condition(context)
    assert condition.reason == "NoBudget" and "orders" in condition.message


@when(
    "its wanted size alternates between {low:d} and {high:d} every {period:d}"
    " steps for {steps:d} steps"
)
def alternate_demand(context, low, high, period, steps):
    for i in range(steps // period):
        wanted = high if i % 2 == 0 else low
        spec = {"wanted_size": wanted, "max_unavailable": 1}
        context.run.declare("pool", "orders", spec)
        context.run.run(period)


@when("its wanted size stays at {wanted:d} for {steps:d} steps")
def raise_demand(context, wanted, steps):
    spec = {"wanted_size": wanted, "max_unavailable": 2}
    context.run.declare("pool", "orders", spec)
    context.run.run(steps)


@then("at most {count:d} fleet moves were made")
def check_moves(context, count):
    assert context.run.moves <= count, context.run.moves
    assert context.run.releases <= count, context.run.releases


@then("the fleet pool has {count:d} serving")
def check_serving(context, count):
    assert context.run.count_states("orders") == {"serving": count}


@when("regular maintenance runs for {count:d} intervals of {interval_ms:d} ms")
def run_regular(context, count, interval_ms):
    values = {
        **fleet_run.FleetRun.build_tuning({}),
        "maintenance_interval_ms": str(interval_ms),
    }
    context.run.declare("configuration", "fleet", {"values": values})
    context.run.run(count * interval_ms // fleet_run.STEP_MS)


@then("every instance was rebooted {count:d} times")
def check_reboots(context, count):
    workers = context.run.platform.workers.values()
    found = {worker.name: worker.reboots for worker in workers}
    assert set(found.values()) == {count}, found


@when("{count:d} instances of the fleet pool fail for good")
def fail_for_good(context, count):
    # The lender can give two: one is surplus, one is within its own budget.
    lender = {"wanted_size": 3, "max_unavailable": 1, "lends_spare": True}
    context.run.declare("pool", "invoicing", lender)
    for i in range(count):
        context.run.platform.fail(f"orders-{i}")
    context.run.run(60)


@then(
    "the fleet pool is within its budget and {count:d} of its members"
    " has failed"
)
def check_within(context, count):
    status = context.run.get("pool", "orders").status
    condition = status.conditions[0]
    assert condition.reason == "WithinBudget", condition
    assert context.run.count_states("orders").get("failed", 0) == count


def _set_drain_wanted(context, wanted):
    for name in context.drained_names:
        current_spec = context.run.get("instance", name).spec
        spec = msgspec.to_builtins(current_spec)
        context.run.declare("instance", name, {**spec, "drain_wanted": wanted})
    context.run.run(30)


def _list_states(context, names):
    return sorted(
        records.read_instance(context.run.get("instance", name)).state.value
        for name in names
    )


def _count_reboots(context):
    return sum(w.reboots for w in context.run.platform.workers.values())


@when('an operator requests drains of "{first}" and "{second}"')
def request_drains(context, first, second):
    context.drained_names = (first, second)
    _set_drain_wanted(context, True)


@then("one of them is kept empty without a reboot and the other still serves")
def check_kept_empty(context):
    states = _list_states(context, context.drained_names)
    assert states == ["empty", "serving"], states
    assert _count_reboots(context) == 0


@when("the operator withdraws both drains")
def withdraw_drains(context):
    _set_drain_wanted(context, False)


@then("every instance of the fleet pool serves and none was rebooted")
def check_all_serve(context):
    states = _list_states(context, [f"orders-{i}" for i in range(4)])
    assert states == ["serving"] * 4, states
    assert _count_reboots(context) == 0
    assert not context.run.violations, context.run.violations
