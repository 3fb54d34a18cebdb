"""Steps for workers at an address or on an instance that others have left."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from features.steps import job_steps

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


@given(
    'a worker "{name}" at the address of worker "{other}", whose clock is ahead'
    " by {ahead_ms:d} ms, has ended"
)
def end_worker_at_address(context, name, other, ahead_ms):
    simulation = context.sim
    simulation.add_worker(name, "pack")
    ended = simulation.workers.pop(name)
    _set_place(ended, "an address", other)
    ended.born_wall_ms += ahead_ms
    simulation.advance(500)
    simulation.crash(simulation.workers[other])
    simulation.restart(simulation.workers[other])
    context.delayed_report = ended.make_report(simulation.now_ms)
    context.refused = []
    call = simulation.call

    def call_and_note(request):
        answer = call(request)
        if isinstance(answer, calls.BadRequest):
            context.refused.append((request.life.worker, answer.reason))
        return answer

    simulation.call = call_and_note


@when("the delayed report of the ended worker arrives")
def deliver_ended_report(context):
    context.sim.call(context.delayed_report)


@then('worker "{name}" has not been refused')
def check_not_refused(context, name):
    assert name not in dict(context.refused), context.refused


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


def _put_services(context, version, names):
    """Configures services; the last one runs the queue `free`."""
    document = context.sim.build_document(version)
    queues = tuple(
        msgspec.structs.replace(queue, service=names[-1])
        if queue.name == "free"
        else queue
        for queue in document.queues
    )
    services = tuple(configuration.Service(name) for name in names)
    answer = context.sim.put_document(
        msgspec.structs.replace(document, queues=queues, services=services)
    )
    assert isinstance(answer, calls.Done), answer


@when(
    'worker "{name}" starts again in service "{service}" with a report in'
    " flight"
)
def restart_in_service(context, name, service):
    simulation = context.sim
    _put_services(context, 2, ("pack", service))
    simulation.advance(500)
    worker = simulation.workers[name]
    context.delayed_report = worker.make_report(simulation.now_ms)
    simulation.crash(worker)
    simulation.restart(worker)
    simulation.workers[name].service = service


@when('a job of service "{service}" runs on worker "{name}"')
def run_in_service(context, service, name):
    simulation = context.sim
    simulation.advance(500)
    simulation.run_duration_ms = 60_000
    spec = job_steps.build_spec(1, 1)
    job_steps.submit_spec(context, "a", spec, path="/free/")
    simulation.advance(500)
    worker = simulation.workers[name]
    assert worker.service == service and worker.running, worker


@when(
    'service "{removed}" is removed, and its queue is given to service'
    ' "{service}"'
)
def remove_service(context, removed, service):
    assert removed != service
    _put_services(context, 3, (service,))


@when("the report in flight arrives")
def deliver_report(context):
    context.answer = context.sim.call(context.delayed_report)
