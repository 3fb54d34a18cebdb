"""Steps for budgets, failure domains, forecasts and hysteresis."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.fleet import records
from features.fakes import fleet_run

_MAINTAINED = ("draining", "empty", "rebooting")


def _build(size, budget, **spec):
    run = fleet_run.FleetRun()
    run.add_pool("orders", size, max_unavailable=budget, **spec)
    run.add_pool("invoicing", 2, workers=4, max_unavailable=2, lends_spare=True)
    run.run(3)
    return run


def _list_drained(run):
    return [
        instance
        for instance in run.list_instances()
        if instance.spec.pool == "orders"
        and instance.state.value in _MAINTAINED
    ]


@given("a fleet pool of {size:d} with budget {budget:d} at rest")
def build_pool(context, size, budget):
    context.run = _build(size, budget)


@given("a fleet pool of {size:d} with budget {budget:d} in a wave that drains")
def build_draining(context, size, budget):
    context.run = _build(size, budget)
    wave = {"pools": ["orders"], "max_parallel": 1}
    context.run.declare("wave", "upgrade", wave)
    context.run.run(3)
    context.drained = _list_drained(context.run)
    assert len(context.drained) == 1


@when("another instance of the fleet pool fails")
def fail_another(context):
    idle = [f"orders-{i}" for i in range(4)]
    idle.remove(context.drained[0].name)
    context.failed_worker = idle[0]
    context.run.platform.fail(idle[0])
    context.run.run(8)


@then("the drained instance serves again without a reboot")
def check_undone(context):
    name = context.drained[0].name
    state = records.read_instance(context.run.get("instance", name)).state
    assert state.value == "serving", state
    assert context.run.platform.workers[name].reboots == 0


@then("no instance of the fleet pool is drained until it is back")
def check_waits(context):
    assert not _list_drained(context.run)


def _lose(context, names):
    run = context.run
    for name in names:
        run.platform.fail(name)
    run.step()
    context.in_flight = {i.name for i in _list_drained(run)}


@when("the rack of two idle instances of the fleet pool is lost")
def lose_rack(context):
    own_rack = context.drained[0].spec.rack
    workers = context.run.platform.workers.values()
    racks = sorted({w.rack for w in workers if w.pool == "orders"} - {own_rack})
    names = [w.name for w in workers if w.rack == racks[0]]
    # The reports of the lost must be too old before the planner can know.
    _lose(context, names)
    context.run.run(5)
    context.in_flight |= {i.name for i in _list_drained(context.run)}


@when("half of the fleet falls silent")
def lose_half(context):
    workers = sorted(context.run.platform.workers)
    names = [n for n in workers if n != context.drained[0].name][::2]
    for name in names:
        context.run.platform.workers[name].is_silent = True
    context.run.run(5)
    context.in_flight = {i.name for i in _list_drained(context.run)}


@then("no further instance of the fleet pool is drained meanwhile")
def check_none_drained(context):
    for _ in range(40):
        context.run.step()
        now = {i.name for i in _list_drained(context.run)}
        assert now <= context.in_flight, (now, context.in_flight)


@given(
    "a fleet pool whose racks hold 4 and 2 and must leave {left:d}"
    " after a loss"
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
def check_larger(context):
    racks = {instance.spec.rack for instance in _list_drained(context.run)}
    assert racks == {"large"}, racks


@when("a fleet wave has to end within {minutes:d} minutes")
def declare_dated(context, minutes):
    run = context.run
    finish_by_ms = run.build_view().wall_ms + minutes * 60_000
    wave = {"pools": ["orders"], "finish_by_ms": finish_by_ms}
    run.declare("wave", "dated", wave)
    run.step()


def _get_on_time(context):
    status = context.run.get("wave", "dated").status
    return next(c for c in status.conditions if c.name == "OnTime")


@then("its status says that it is too slow because of the pool")
def check_too_slow(context):
    condition = _get_on_time(context)
    assert condition.reason == "TooSlow" and "orders" in condition.message


@then("its status says that the pool has no budget")
def check_no_budget(context):
    condition = _get_on_time(context)
    assert condition.reason == "NoBudget" and "orders" in condition.message


@when(
    "its wanted size turns between {low:d} and {high:d} every {period:d}"
    " steps for {steps:d} steps"
)
def turn_demand(context, low, high, period, steps):
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
        **fleet_run.FleetRun.tune({}),
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
    # The lender may give two, one of them within its own budget.
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


def _want_drains(context, wanted):
    for name in context.drained_names:
        held = context.run.get("instance", name).spec
        spec = msgspec.to_builtins(held)
        context.run.declare("instance", name, {**spec, "drain_wanted": wanted})
    context.run.run(30)


def _list_states(context, names):
    return sorted(
        records.read_instance(context.run.get("instance", name)).state.value
        for name in names
    )


def _count_reboots(context):
    return sum(w.reboots for w in context.run.platform.workers.values())


@when('an operator wants "{first}" and "{second}" drained')
def want_drains(context, first, second):
    context.drained_names = (first, second)
    _want_drains(context, True)


@then("one of them is kept empty without a reboot and the other still serves")
def check_kept_empty(context):
    states = _list_states(context, context.drained_names)
    assert states == ["empty", "serving"], states
    assert _count_reboots(context) == 0


@when("the operator takes both drains back")
def take_drains_back(context):
    _want_drains(context, False)


@then("every instance of the fleet pool serves and none was rebooted")
def check_all_serve(context):
    states = _list_states(context, [f"orders-{i}" for i in range(4)])
    assert states == ["serving"] * 4, states
    assert _count_reboots(context) == 0
    assert not context.run.violations, context.run.violations
