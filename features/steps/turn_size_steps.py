"""Steps for the number of calls that the leader handles in one turn."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.control import events
from bambookeel.core import messages
from bambookeel.jobs import calls
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from bambookeel.node import call_turn
from features.fakes import jobs_worker


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
def send_submissions(context, count, first=0):
    context.submitted = count
    step = specs.StepSpec(count=1, needs=specs.Resources(1_000, 10, 0))
    spec = specs.JobSpec("body", (step,))
    for number in range(first, first + count):
        job = f"{number:016x}"
        call = calls.SubmitJob("h", f"/o/{job}", "key", job, spec)
        _send(context, number, call)


@then("all of them are handled")
def wait_for_turns(context):
    try:
        context.group.wait_for(
            lambda: sum(context.turn_sizes) >= context.submitted
        )
    except AssertionError as error:
        _, leader = context.group.call(calls.GetDocument())
        raise AssertionError(
            f"{sum(context.turn_sizes)} of {context.submitted} handled;"
            f" {leader.address} leads, not {context.leader.address}"
        ) from error


@then("no turn handled more than {most:d} calls")
def check_sizes(context, most):
    assert max(context.turn_sizes) <= most, context.turn_sizes


def _send(context, number, call):
    message = messages.LeaderCall(number, calls.encode_call(call))
    context.leader.replica.mailbox.put(
        events.FromPeer(context.leader.address, message)
    )


def _record_order(context):
    context.order = order = []
    scheduler = job_scheduler.Scheduler
    handle, tick = scheduler.handle, scheduler.tick

    def record_call(self, call, now):
        order.append(type(call).__name__)
        return handle(self, call, now)

    def record_tick(self, now):
        order.append("tick")
        return tick(self, now)

    for name, function in (("handle", record_call), ("tick", record_tick)):
        patched = mock.patch.object(scheduler, name, function)
        patched.start()
        context.add_cleanup(patched.stop)


@when("a tick and {count:d} reports reach the leader at once")
def send_reports(context, count):
    _record_order(context)
    context.leader.replica.mailbox.put(events.Tick())
    for number in range(count):
        worker = jobs_worker.SimWorker(
            f"w{number}", "pack", specs.Resources(1_000, 10, 0), (), 1
        )
        _send(context, number, worker.make_report(0))
    context.reports = count


@then("the reports are handled before the scheduler's timers run")
def check_order(context):
    context.group.wait_for(
        lambda: context.order.count("WorkerReport") >= context.reports
    )
    first = context.order.index("WorkerReport")
    read = context.order[first : first + context.reports]
    assert "tick" not in read, context.order
    assert "tick" not in context.order[:first], context.order


@when(
    "{count:d} submissions reach the leader at once with a tick after each"
    " {each:d}"
)
def send_with_ticks(context, count, each):
    _record_order(context)
    for number in range(0, count, each):
        send_submissions(context, each, number)
        context.leader.replica.mailbox.put(events.Tick())
    context.submitted = count


@then("the scheduler's timers have run")
def check_ticks(context):
    context.group.wait_for(lambda: "tick" in context.order)
