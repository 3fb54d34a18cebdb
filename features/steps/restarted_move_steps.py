"""Steps for instances that fail and restart while they change pools."""

from behave import given
from behave import then
from behave import when

from features.fakes import fleet_run

_MAX_STEPS = 60


def _find(run, name):
    (found,) = [i for i in run.list_instances() if i.name == name]
    return found


def _step_until(run, is_reached):
    for _ in range(_MAX_STEPS):
        if is_reached():
            return
        run.step()
    assert is_reached()


def _watch_orders(context):
    """Records the phase in which each order to assign meets its worker."""
    platform = context.run.platform
    apply_order = platform.apply_order
    context.loses_assignments = False
    context.assigned = []

    def apply(order):
        if order["kind"] == "assign":
            if context.loses_assignments:
                return
            worker = platform.workers[order["worker"]]
            if worker.pool != order["pool"]:
                context.assigned.append((worker.name, worker.phase))
        apply_order(order)

    platform.apply_order = apply


def _build(context, workers):
    run = fleet_run.FleetRun(1)
    run.add_pool("orders", 3, workers=workers, max_unavailable=2)
    run.add_pool("labels", 2, max_unavailable=1)
    run.run(3)
    context.run = run
    _watch_orders(context)
    return run


@given("a fleet in which the order to assign a moving instance is lost")
def lose_assignment(context):
    run = _build(context, 4)
    context.loses_assignments = True
    run.declare("pool", "labels", {"wanted_size": 3, "max_unavailable": 1})

    def list_moved():
        return [
            i.name
            for i in run.list_instances()
            if i.name.startswith("orders") and i.spec.pool == "labels"
        ]

    _step_until(run, list_moved)
    (context.name,) = list_moved()


@when("the moving instance fails and restarts in its old pool")
def restart_moving(context):
    run = context.run
    run.platform.fail(context.name)
    _step_until(run, lambda: _find(run, context.name).state.value == "failed")
    context.loses_assignments = False
    run.platform.repair(context.name)


@then("it joins its new pool and never counted as serving another one")
def check_joined(context):
    run = context.run
    worker = run.platform.workers[context.name]
    assert worker.pool == "orders", worker
    for _ in range(_MAX_STEPS):
        run.step()
        instance = _find(run, context.name)
        if instance.state.value == "serving":
            assert worker.pool == instance.spec.pool, (worker, instance)
    assert worker.pool == "labels", worker
    assert _find(run, context.name).state.value == "serving"
    assert context.assigned == [(context.name, "drained")], context.assigned


@given("a fleet with a failed instance that its pool has replaced")
def replace_failed(context):
    run = _build(context, 4)
    context.name = "orders-0"
    run.platform.fail(context.name)
    _step_until(run, lambda: not _find(run, context.name).spec.pool)


@when("the replaced instance restarts and another pool needs it")
def restart_replaced(context):
    run = context.run
    run.declare("pool", "labels", {"wanted_size": 3, "max_unavailable": 1})
    run.platform.repair(context.name)
    worker = run.platform.workers[context.name]
    _step_until(run, lambda: worker.pool == "labels")


@then("it was assigned to the other pool only after it had drained")
def check_drained(context):
    assert context.assigned == [(context.name, "drained")], context.assigned
