"""Steps for the number of calls that the leader handles in one turn."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.control import events
from bambookeel.core import messages
from bambookeel.jobs import calls
from bambookeel.jobs import specs
from bambookeel.node import call_turn


@given("the calls of each turn are counted")
def count_calls(context):
    context.turn_sizes = sizes = []
    handle_calls = call_turn.handle_calls

    def count(scheduler, accepted, now):
        sizes.append(len(accepted))
        return handle_calls(scheduler, accepted, now)

    patched = mock.patch.object(call_turn, "handle_calls", count)
    patched.start()
    context.add_cleanup(patched.stop)


@when("{count:d} submissions reach the leader at once")
def send_submissions(context, count):
    context.submitted = count
    step = specs.StepSpec(count=1, needs=specs.Resources(1_000, 10, 0))
    spec = specs.JobSpec("body", (step,))
    for number in range(count):
        job = f"{number:016x}"
        call = calls.SubmitJob("h", f"/o/{job}", "key", job, spec)
        message = messages.LeaderCall(number, calls.encode_call(call))
        context.leader.replica.mailbox.put(
            events.FromPeer(context.leader.address, message)
        )


@then("all of them are handled")
def wait_for_turns(context):
    context.group.wait_for(lambda: sum(context.turn_sizes) >= context.submitted)


@then("no turn handled more than {most:d} calls")
def check_sizes(context, most):
    assert max(context.turn_sizes) <= most, context.turn_sizes
