"""Steps for workers at an address or on an instance that others have left."""

from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import instances

# Too short to wait for the tasks of an instance.
_WAVE_MS = 1_000
# A leader that does not know what runs on an instance waits before its order.
_MAX_ORDER_MS = 6_000


def _set_place(worker, place, name):
    if place == "an address":
        worker.address = f"{name}:1"
    else:
        worker.instance = f"m-{name}"


@when('worker "{name}" starts again at {place} of its own')
def restart_elsewhere(context, name, place):
    simulation = context.sim
    simulation.advance(500)
    simulation.crash(simulation.workers[name])
    simulation.restart(simulation.workers[name])
    _set_place(simulation.workers[name], place, f"{name}-moved")
    simulation.advance(500)


@when('a worker "{name}" starts at {place} that "{former}" had before')
def start_at_former_place(context, name, place, former):
    simulation = context.sim
    simulation.add_worker(name, "pack")
    _set_place(simulation.workers[name], place, former)


@when('the upkeep of instance "{instance}" is ordered and carried out')
def carry_out_upkeep(context, instance):
    simulation = context.sim
    listed = instances.Instance(
        instance, "pack", instances.InstancePhase.UP, "dc"
    )
    simulation.scheduler.handle_instance_list((listed,), simulation.now_ms)
    simulation.call(calls.StartWave(1, (instance,), _WAVE_MS, 1))
    scheduler = simulation.scheduler
    for _ in range(_MAX_ORDER_MS // 25):
        simulation.advance(25)
        for order in scheduler.take_orders():
            assert order.instance == instance, order
            scheduler.handle_order_outcome(
                order, instances.OrderOutcome.DONE, simulation.read_now()
            )
            return
    raise AssertionError(f"no order for {instance} after {_MAX_ORDER_MS} ms")
