"""Steps for requests to one entry: dispatchers, slots and disconnects."""

from behave import given
from behave import then
from behave import when
import gevent
import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from features.fakes import entry_harness
from features.fakes import raw_backend
from features.fakes import request_scripts


@given("one entry with a scripted dispatcher and backend server")
def start_entry(context):
    context.entry = entry_harness.EntryHarness()
    context.add_cleanup(context.entry.close)
    context.backend = raw_backend.RawBackend("first")
    context.add_cleanup(context.backend.close)
    context.holder = context.entry.add_holder("entry-1", 1)
    context.holder.targets = [context.backend]


def _start_call(context, headers=()):
    context.call_task = gevent.spawn(
        context.entry.call, headers=[*request_scripts.WORK, *headers]
    )


@when("a request is sent before its service has a dispatcher")
def send_before_dispatcher(context):
    context.entry.follower.set_holder("", 1)
    _start_call(context)
    gevent.sleep(0.15)


@when("a dispatcher takes the service over")
def take_over(context):
    context.successor = context.entry.add_holder("entry-2", 2)
    context.successor.targets = [context.backend]


@then("the waiting request is answered")
def check_waiting_answered(context):
    response = context.call_task.get(timeout=20)
    assert response.outcome == "answered", response
    assert context.backend.runs["w"] == 1, context.backend.runs


@when("the dispatcher refuses twice because it has no lease")
def refuse_twice(context):
    refused = []

    def refuse(message):
        refused.append(message)
        if len(refused) == 2:
            take_over(context)
        return messages.SlotRefused(
            message.request_id,
            message.service,
            outcomes.Reason.NO_DISPATCHER,
            "",
            0,
        )

    context.holder.answer = refuse


@when("a request is sent while a successor takes the service over")
def send_during_change(context):
    _start_call(context)
    context.call_task.join(timeout=20)


@then("the successor learned how long the request had waited")
def check_waited(context):
    assert [m.waited_ms > 0 for m in context.successor.acquire_requests] == [
        True
    ]


@when("the dispatcher loses the first request for a slot")
def lose_first_request(context):
    lost = []

    def lose(message):
        if not lost:
            lost.append(message)
            return None
        return context.holder.grant(message)

    context.holder.answer = lose


@when("a request is sent and the link to the dispatcher is replaced")
def send_and_replace_link(context):
    _start_call(context)
    context.entry.wait_until(lambda: context.holder.acquire_requests)
    context.entry.path.message_parts.holder_watch.handle_link_down(
        ids.ProcessId("entry-1")
    )
    context.entry.path.message_parts.holder_watch.handle_link_up(
        ids.ProcessId("entry-1")
    )


@when("the process is frozen for {frozen:d} ms and a message is read after it")
def freeze_process(context, frozen):
    watch = context.entry.path.message_parts.holder_watch
    context.read_ms = 10_000 + frozen
    # The message may be read before or after the holder watch's next round.
    context.arrivals = []
    watch.run_round(9_950)
    watch.run_round(10_000)
    context.arrivals.append(watch.get_earliest_arrival_ms(context.read_ms))
    watch.run_round(context.read_ms)
    context.arrivals.append(watch.get_earliest_arrival_ms(context.read_ms))


@then("the message counts as received at least {age:d} ms earlier")
def check_receipt_age(context, age):
    for arrival_ms in context.arrivals:
        assert context.read_ms - arrival_ms >= age, context.arrivals


@when(
    "a request is sent and its grant arrives after a recovery by epoch {new:d}"
)
def send_old_grant(context, new):
    def recover():
        if len(context.holder.acquire_requests) == 1:
            context.entry.recover(new)

    context.holder.after_grant = recover
    _start_call(context, ["X-Deadline-Ms: 300"])
    context.response = context.call_task.get(timeout=20)


@then("the old grant is given back unused and nothing was run")
def check_old_grant_returned(context):
    assert context.response.outcome == "not-run", context.response
    assert not context.holder.granted
    assert all(r.epoch == 1 for r in context.holder.releases)
    assert not context.backend.runs


@when("the holder is unreachable as an answer arrives")
def make_holder_unreachable(context):
    def cut_link(_connection, step):
        if step == "sent":
            context.holder.reachable = False

    context.backend.on_step = cut_link
    response = context.entry.call(headers=request_scripts.WORK)
    assert response.outcome == "answered", response
    assert not context.holder.releases


@then("the slot is returned once the link is back")
def check_slot_returned(context):
    context.holder.reachable = True
    context.entry.path.message_parts.holder_watch.handle_link_up(
        ids.ProcessId("entry-1")
    )
    assert [r.outcome for r in context.holder.releases] == [
        outcomes.OutcomeKind.ANSWERED
    ]


@when("the outcome of a request is unknown long before its deadline")
def end_with_unknown_outcome(context):
    request_scripts.answer_with(context.backend, b"")
    response = context.entry.call(
        headers=[*request_scripts.WORK, "Idempotency-Key: k"]
    )
    assert (response.outcome, response.reason) == (
        "unknown",
        "answer-cut",
    ), response


@then(
    "the reply to a recovery lists it with the time for which its slot is held"
)
def check_recovery_reply(context):
    reply = context.entry.recover(2)
    (request,) = reply.outstanding
    release = context.holder.releases[-1]
    assert request.grant_id == release.grant_id and request.epoch == 1
    assert request.team == "coach" and request.idempotency_key == "coach/k"
    assert 20_000 < request.remaining_ms <= release.hold_ms
    (record,) = reply.records
    assert record.idempotency_key == "coach/k" and record.finished
    assert record.outcome is outcomes.OutcomeKind.UNKNOWN
    assert context.entry.recover(1) is None


@when(
    "{count:d} requests are sent in turn to backend servers that refuse"
    " connections"
)
def refuse_connections(context, count):
    context.backend.kill()
    for _ in range(count):
        response = context.entry.call(headers=request_scripts.WORK)
        assert (response.outcome, response.reason) == (
            "not-run",
            "connect-failed",
        ), response
    context.count = count


@then("at most 20 plus a fifth of them were tried again")
def check_second_tries(context):
    again = len(context.holder.acquire_requests) - context.count
    assert 0 < again <= 20 + context.count // 5, again
    assert all(release.backend_fault for release in context.holder.releases)


@when('a request with "{fields}" crashes each backend server that gets it')
def crash_servers(context, fields):
    request_scripts.answer_with(context.backend, b"")
    context.response = context.entry.call(headers=fields.split(","))


@then("its outcome is unknown and {count:d} backend servers got it")
def check_crashed_servers(context, count):
    assert context.response.outcome == "unknown", context.response
    assert len(context.backend.heads) == count, context.backend.heads


@when("a caller disconnects while its request waits")
def disconnect_waiting(context):
    context.holder.answer = lambda message: None
    sock = request_scripts.send_and_keep_open(context.entry)
    context.entry.wait_until(lambda: context.holder.acquire_requests)
    sock.close()


@then("the dispatcher receives a cancellation of the request")
def check_cancel_sent(context):
    context.entry.wait_until(lambda: context.holder.cancelled)
    request_ids = [
        message.request_id for message in context.holder.acquire_requests
    ]
    assert context.holder.cancelled == request_ids


@then("the backend server received no request")
def check_no_request(context):
    assert not context.backend.heads


def _delay_answer(context):
    """Makes the backend server wait for `may_answer` before it answers."""
    context.may_answer = gevent.event.Event()

    def on_step(_connection, step):
        if step == "sent":
            context.may_answer.wait()

    context.backend.on_step = on_step


@when("a caller disconnects while its request runs")
def disconnect_running(context):
    def on_step(connection, step):
        if step == "sent":
            connection.read()

    # The fake reads on while it works and ends when its peer closes.
    context.backend.on_step = on_step
    sock = request_scripts.send_and_keep_open(context.entry)
    context.entry.wait_until(lambda: context.backend.runs)
    sock.close()


@when("the backend server detects that and closes the connection")
def wait_for_release(context):
    context.entry.wait_until(lambda: context.holder.releases)


@then("the slot is returned as cancelled without a hold time")
def check_cancelled(context):
    (release,) = context.holder.releases
    assert release.outcome is outcomes.OutcomeKind.CANCELLED, release
    assert release.hold_ms == 0, release
    assert context.entry.path.message_parts.outstanding_table.count_held() == 0


@when("a caller closes its sending side while its request runs")
def close_sending_side(context):
    _delay_answer(context)
    context.sock = request_scripts.send_and_keep_open(context.entry)
    context.entry.wait_until(lambda: context.backend.runs)
    context.sock.shutdown(1)
    gevent.sleep(0.3)
    context.may_answer.set()


@then("it still gets the whole answer")
def check_half_closed(context):
    response = entry_harness.read_answer(context.sock)
    assert (
        response.outcome == "answered" and b"work w done" in response.body
    ), response
    (release,) = context.holder.releases
    assert release.outcome is outcomes.OutcomeKind.ANSWERED, release


@when("the first grant is delayed for longer than its time to start")
def delay_first_grant(context):
    context.holder.start_within_ms = 200
    context.delayed_grants = []

    def delay():
        if context.delayed_grants:
            return
        context.delayed_grants.extend(context.holder.granted)
        gevent.sleep(0.5)
        context.holder.start_within_ms = 5_000

    context.holder.after_grant = delay


@when("a request is sent and its answer is awaited")
def send_and_wait(context):
    _start_call(context)
    context.call_task.join(timeout=20)


@then("the delayed grant was given back unused")
def check_delayed_grant_returned(context):
    unused = [
        (release.epoch, release.grant_id)
        for release in context.holder.releases
        if release.outcome is outcomes.OutcomeKind.NOT_RUN
    ]
    assert unused == context.delayed_grants, (unused, context.delayed_grants)
