"""Steps for a provider of instances that does not answer."""

import pathlib
import sys

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.node import provider_task
from bambookeel.runtime import mailbox
from features.fakes import node_group
from features.fakes import raw_service
from features.fakes import silent_provider

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The folder has the name of a standard library module, so it goes to the end of
# the path.
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_provider  # noqa: E402


@given(
    "three replicas of the book and a silent provider of {count:d} instances"
)
def start_with_provider(context, count):
    context.silent = silent_provider.SilentProvider(count)
    context.group = node_group.Group(provider=context.silent)
    context.add_cleanup(context.group.stop)


@when("upkeep of all instances at once is asked for")
def ask_for_upkeep(context):
    names = tuple(each.name for each in context.silent.listed)
    wave = calls.StartWave(1, names, 60_000, len(names))
    answer, context.leader = context.group.call(wave)
    assert isinstance(answer, calls.Done), answer


@when("the provider has been given an order")
def wait_for_first_order(context):
    context.group.wait_for(lambda: context.silent.orders)


@when("the provider answers again")
def enable_answers(context):
    context.silent.may_answer.set()


@then("at most {most:d} orders were in progress at once")
def check_in_progress(context, most):
    assert (
        context.silent.max_in_progress <= most
    ), context.silent.max_in_progress


@then("each instance is ordered by one leader only")
def check_one_leader(context):
    silent = context.silent
    names = {each.name for each in silent.listed}
    context.group.wait_for(
        lambda: {order[2] for order in silent.orders} == names
    )
    assert len({order[:2] for order in silent.orders}) == 1, silent.orders


@given('the provider answers each order with "{outcome}"')
def force_outcome(context, outcome):
    context.provider.forced_outcome = instances.OrderOutcome(outcome)


@when("the provider carries orders out again")
def stop_forcing_outcome(context):
    context.provider.forced_outcome = None


@given(
    "the provider begins each upkeep {ms:d} ms after an order without an answer"
)
def delay_upkeep(context, ms):
    context.provider.start_delay_ms = ms


@given("the provider does not list its instances")
@when("the provider no longer lists its instances")
def disable_list(context):
    context.provider.fails_lists = True


@when("the provider lists its instances again")
def enable_list(context):
    context.provider.fails_lists = False


@given("the provider carries orders out without an answer")
def disable_order_answers(context):
    context.provider.drops_answers = True


@when("the provider answers again to what it has done")
def enable_order_answers(context):
    context.provider.drops_answers = False


@when("a new leader takes over without an instance list")
def change_leader_unlisted(context):
    context.provider.fails_lists = True
    context.sim.start_leader()
    context.sim.scheduler.term.instance_controller.fleet = fleet_view.Fleet()
    context.provider.discard_answers()


@when("{count:d} workers are added")
def add_workers(context, count):
    for number in range(count):
        context.sim.add_worker(f"added-{number}", "pack")


@when('instance "{name}" is to move to "{pool}"')
def set_move_goal(context, name, pool):
    simulation = context.sim
    controller = simulation.scheduler.term.instance_controller
    controller.set_goal(instances.Move(name, pool), simulation.now_ms)


@then('instance "{name}" is still away')
def check_away(context, name):
    controller = context.sim.scheduler.term.instance_controller
    goal = controller.fleet.goals[name]
    assert goal.phase is fleet_view.GoalPhase.AWAY, goal


@then('instance "{name}" is in use')
def check_in_use(context, name):
    controller = context.sim.scheduler.term.instance_controller
    assert controller.is_usable(name), controller.fleet.goals


@then('the instance of "{name}" serves "{pool}"')
def check_service(context, name, pool):
    worker = context.sim.workers[name]
    assert worker.is_up and worker.service == pool, worker


def _group_orders(context):
    by_instance = {}
    for at_ms, _, instance in context.provider.orders:
        by_instance.setdefault(instance, []).append(at_ms)
    return by_instance


@then("no instance was ordered twice within {ms:d} ms")
def check_order_intervals(context, ms):
    for instance, times in _group_orders(context).items():
        for first, second in zip(times, times[1:]):
            assert second - first >= ms, (instance, times)


@then("each instance was ordered at least {count:d} times")
def check_order_counts(context, count):
    by_instance = _group_orders(context)
    assert len(by_instance) == len(context.sim.workers), by_instance
    for instance, times in by_instance.items():
        assert len(times) >= count, (instance, times)


def _serve(context, answer, stays_open=False):
    service = raw_service.RawService(answer, stays_open)
    context.add_cleanup(service.close)
    context.service = service
    context.adapter = adapter_provider.HttpProvider(service.address)


@when("the provider's service resets each connection")
def serve_resets(context):
    _serve(context, None)


@when("the provider's service closes each connection")
def serve_closed(context):
    _serve(context, b"")


@when("the provider's service sends nothing")
def serve_nothing(context):
    _serve(context, b"", stays_open=True)


@when('the provider\'s service sends "{text}"')
def serve_text(context, text):
    _serve(context, text.replace("~", "\r\n").encode())


@then('an order to it is "{outcome}"')
def check_outcome(context, outcome):
    order = instances.Upkeep("m1", 1)
    holder = instances.Holder("holder", "1", lambda: True)
    found = context.adapter.carry_out(order, holder)
    assert found is instances.OrderOutcome(outcome), found


@when("a leader whose lease ends as it connects gives an order")
def order_without_lease(context):
    checks = iter((True,))
    ended = mailbox.Mailbox("ended")
    task = provider_task.ProviderTask(context.adapter, "holder", ended)
    order = instances.Upkeep("m1", 1)
    task.carry_out(order, 1, lambda term: next(checks, False))
    context.ended = ended.get()


@then("nothing was sent to the provider")
def check_not_sent(context):
    assert context.ended.outcome is not instances.OrderOutcome.DONE
    assert not any(context.service.received), context.service.received


@then("it gives no list")
def check_no_list(context):
    assert context.adapter.list_instances() is None
