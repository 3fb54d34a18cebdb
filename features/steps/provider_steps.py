"""Steps for a provider of instances that does not answer."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from features.fakes import node_group
from features.fakes import silent_provider


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
def wait_for_order(context):
    context.group.wait_for(lambda: context.silent.orders)


@when("the provider answers again")
def let_answer(context):
    context.silent.answers.set()


@then("at most {most:d} orders were under way at once")
def check_under_way(context, most):
    assert context.silent.most_under_way <= most, context.silent.most_under_way


@then("each instance is ordered by one leader only")
def check_one_leader(context):
    silent = context.silent
    names = {each.name for each in silent.listed}
    context.group.wait_for(
        lambda: {order[2] for order in silent.orders} == names
    )
    assert len({order[:2] for order in silent.orders}) == 1, silent.orders
