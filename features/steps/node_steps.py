"""Steps for replicas of the job book."""

import math
from unittest import mock

from behave import given
from behave import then
from behave import when
import eliot
import gevent

from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import scheduler as job_scheduler
from features.fakes import node_group

# Maximum wait for a change of the margin; a change takes far less.
_MARGIN_S = 20.0


@given("three replicas of the book")
def start_group(context):
    context.group = node_group.Group()
    context.add_cleanup(context.group.stop)


@given("configuration {version:d} is in force there")
@when("configuration {version:d} is put there")
@when("configuration {version:d} is put at the others")
def put_document(context, version):
    answer, member = context.group.put_document(version)
    assert isinstance(answer, calls.Done), answer
    context.previous_leader = getattr(context, "leader", None)
    context.leader = member


@when("the leader's disk is full")
def fill_disk(context):
    context.leader.folder.space = 0


@when("all disks have room again")
def free_disks(context):
    for member in context.group.members.values():
        member.folder.space = None


@when("the next turn of every replica that decides something fails")
def fail_next_decision(context):
    for member in context.group.members.values():
        member.fail_next_decision()


@when("every replica gets {count:d} calls that cannot be decoded")
def send_malformed_calls(context, count):
    _record_failures(context)
    for member in context.group.members.values():
        for _ in range(count):
            member.send_malformed_call()
    gevent.sleep(0.3)


def _record_failures(context):
    context.failures = failures = []

    def keep(event):
        if event.get("message_type") == "task_failed":
            failures.append(event)

    eliot.add_destinations(keep)
    context.add_cleanup(eliot.remove_destination, keep)
    # The first destination also gets earlier events.
    failures.clear()


def _build_failing(handle, trouble):
    """Builds a scheduler's `handle` that fails for wave 666."""

    def fail(scheduler, call, now):
        if not isinstance(call, calls.AskWave) or call.wave != 666:
            return handle(scheduler, call, now)
        command = commands.RecordOrder("m1", now.wall_ms)
        match trouble:
            case "raises an error":
                raise ValueError("a call that fails")
            case "raises an error after a decision":
                scheduler.term.decide(command)
                raise ValueError("a call that fails")
            case "decides what cannot be encoded":
                scheduler.term.decide(commands.RecordOrder("m1", 2**70))
                return calls.Done
            case "has an answer that raises an error":
                scheduler.term.decide(command)
                return lambda: 1 // 0
            case "has an answer that does not encode":
                scheduler.term.decide(command)
                return lambda: calls.Pending(2**70)
        raise AssertionError(trouble)

    return fail


@given("a call about wave 666 {trouble}")
def make_call_fail(context, trouble):
    scheduler = job_scheduler.Scheduler
    failing = _build_failing(scheduler.handle, trouble)
    patch = mock.patch.object(scheduler, "handle", failing)
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    "the leader gets {count:d} calls about wave 666 beside configuration"
    " {version:d}"
)
def send_failing(context, count, version):
    _record_failures(context)
    leader = context.leader
    document = calls.PutDocument(context.group.build_document(version))
    sent = [calls.AskWave(666)] * count
    sent.insert(count // 2, document)
    waiting = [gevent.spawn(leader.call, call) for call in sent]
    gevent.joinall(waiting)
    answers = [each.value for each in waiting]
    put = answers.pop(count // 2)
    assert isinstance(put, calls.Done), put
    context.odd_answers = answers
    context.previous_leader = leader


@then('each call about wave 666 is answered with "{name}"')
def check_odd_answers(context, name):
    found = {type(answer).__name__ for answer in context.odd_answers}
    assert found == {name}, found


@then("the same replica leads")
def check_same_leader(context):
    _, member = context.group.call(calls.GetDocument())
    assert member is context.leader, (member.address, context.leader.address)


@then("no task of a replica has failed")
def check_no_failed_task(context):
    assert not context.failures, context.failures[0]


@then("another replica has answered")
def check_other_leader(context):
    assert context.leader is not context.previous_leader, context.leader.address


@then("configuration {version:d} is read back")
def check_version(context, version):
    expected = f'{{"version":{version}}}'.encode()
    assert context.group.read_configuration() == expected


@when("{count:d} configurations follow")
def put_configurations(context, count):
    for version in range(2, count + 2):
        context.group.put_document(version)


@when("all replicas lose power and start again")
def lose_power(context):
    for member in context.group.members.values():
        member.kill()
    for member in context.group.members.values():
        member.start()


@then("every replica has made a snapshot")
def check_snapshots(context):
    for member in context.group.members.values():
        assert member.folder.read("snapshot"), member.address


@when("the leader is cut off and takes configuration {version:d}")
def put_while_isolated(context, version):
    context.group.isolated = context.leader.address
    document = context.group.build_document(version)
    answer = context.leader.call(calls.PutDocument(document))
    assert not isinstance(answer, calls.Done), answer


@when("the leader is connected again")
def reconnect_leader(context):
    context.group.isolated = None


@then(
    "configuration {version:d} is read back at every replica that leads in turn"
)
def check_version_on_each_leader(context, version):
    expected = f'{{"version":{version}}}'.encode()
    for _ in range(2):
        answer, member = context.group.call(calls.GetDocument())
        assert answer.original == expected, (answer, member.address)
        member.kill()
        gevent.sleep(0.05)
        member.start()


@given("the log lines on the loss margin are recorded")
def record_margin_lines(context):
    context.margin_lines = lines = []

    def keep(event):
        if event.get("message_type") == "loss_margin":
            lines.append(event)

    eliot.add_destinations(keep)
    context.add_cleanup(eliot.remove_destination, keep)
    _wait_for_margin(context, 1.0, 0.0)
    lines.clear()


def _wait_for_margin(context, borne, below_s):
    """Waits until exactly one replica shows a margin, with the given values."""

    def shows():
        shown = []
        for member in context.group.members.values():
            if member.replica is None:
                continue
            margin = member.replica.margin
            if not math.isnan(margin.read_margin()):
                shown.append(margin)
        if len(shown) != 1 or shown[0].read_margin() != borne:
            return False
        found_s = shown[0].read_below_s()
        return found_s >= below_s if below_s else found_s == 0.0

    with gevent.Timeout(
        _MARGIN_S, AssertionError(f"no replica shows the margin {borne}")
    ):
        while not shows():
            gevent.sleep(0.02)


def _pick_follower(context):
    return next(
        member
        for member in context.group.members.values()
        if math.isnan(member.replica.margin.read_margin())
    )


@when("a replica that follows loses power")
def kill_follower(context):
    context.follower = _pick_follower(context)
    context.follower.kill()


@then(
    "the leader shows {borne:d} losses borne of {promised:d}, for"
    " {below:g} s or longer"
)
def check_margin_below(context, borne, promised, below):
    _wait_for_margin(context, borne, below)
    for member in context.group.members.values():
        if member.replica is None:
            continue
        found = member.replica.margin.read_promised()
        assert math.isnan(found) or found == promised, found


@then("the other follower shows nothing")
def check_follower(context):
    running = [
        member.replica.margin
        for member in context.group.members.values()
        if member.replica is not None
    ]
    shown = [margin for margin in running if margin.read_below_s() >= 0.0]
    assert len(running) == 2 and len(shown) == 1, shown


@when("that replica starts again")
def restart_follower(context):
    context.follower.start()


@then("the leader shows {borne:d} losses borne of {promised:d}")
def check_margin(context, borne, promised):
    check_margin_below(context, borne, promised, 0.0)


@then("the recorded lines report a fall to {low:d} and a rise to {high:d}")
def check_margin_lines(context, low, high):
    # A pause of the test machine may add further lines or terms.
    falls = [
        line
        for line in context.margin_lines
        if line["margin"] == low
        and line["silent"].startswith(f"{context.follower.address}/")
    ]
    assert falls, context.margin_lines
    rise = context.margin_lines[-1]
    assert rise["margin"] == high and rise["silent"] == "none", rise
    if rise["term"] == falls[0]["term"]:
        assert rise["below_ms"] >= 200, rise
