"""Steps for replicas whose disks are slow or do not answer."""

import time

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.jobs import calls
from features.fakes import node_group
from features.steps import node_steps

# Time limit for putting one configuration.
_PUT_TIMEOUT_MS = 5_000
_PAUSE_S = 0.005
# Time that a process takes to restart.
_RESTART_S = 1.0


@given("three replicas of the book with the timings of separate machines")
def start_slow_group(context):
    context.group = node_group.Group(timings=node_group.SLOW_TIMINGS)
    context.add_cleanup(context.group.stop)


@when("the leader's disk does not answer")
def stall_leader_disk(context):
    context.leader.folder.stall()


def _get_follower(context):
    for member in context.group.members.values():
        if member is not context.leader:
            return member
    raise AssertionError("no follower")


@when("a follower's disk does not answer")
def stall_follower_disk(context):
    _get_follower(context).folder.stall()


@when("the leader's disk takes {ms:d} ms a sync")
def slow_leader_disk(context, ms):
    context.leader.folder.sync_ms = ms


@when("all disks answer again")
def end_disk_faults(context):
    for member in context.group.members.values():
        member.folder.sync_ms = 0
        member.folder.end_stall()


@when("configurations are put for {ms:d} ms")
def put_for(context, ms):
    """Puts one configuration after another and records how long each took."""
    start_s = time.monotonic()
    context.put_durations_ms = []
    context.version = getattr(context, "version", 1)
    while (time.monotonic() - start_s) * 1000 < ms:
        context.version += 1
        sent_s = time.monotonic()
        try:
            answer, member = context.group.put_document(
                context.version, _PUT_TIMEOUT_MS / 1000.0
            )
        except node_group.NoAnswerError:
            context.put_durations_ms.append(_PUT_TIMEOUT_MS)
            continue
        assert isinstance(answer, calls.Done), answer
        context.last_leader = member
        context.put_durations_ms.append(int((time.monotonic() - sent_s) * 1000))
        gevent.sleep(_PAUSE_S)


@then("each was in force within {ms:d} ms")
def check_put_durations(context, ms):
    slowest = sorted(context.put_durations_ms)[-5:]
    assert slowest and slowest[-1] <= ms, (
        len(context.put_durations_ms),
        slowest,
    )


@then("no replica has acknowledged any")
def check_none_acknowledged(context):
    assert not [
        t for t in context.put_durations_ms if t < _PUT_TIMEOUT_MS
    ], context.put_durations_ms


@then("no disk has blocked the main thread of a process")
def check_main_thread(context):
    for member in context.group.members.values():
        assert not member.folder.waits_on_main_thread, (
            member.address,
            member.folder.waits_on_main_thread,
        )


@then("the leader is the same")
def check_same_leader(context):
    assert context.last_leader is context.leader, context.last_leader.address


@then(
    "the newest configuration is read back at every replica that leads in turn"
)
def check_newest_on_each_leader(context):
    node_steps.check_version_on_each_leader(context, context.version)


@when("a follower's disk is lost and replaced at its address")
def replace_disk(context, sync_ms=0):
    context.replaced = _get_follower(context)
    context.replaced.kill()
    context.replaced.lose_disk()
    context.replaced.folder.sync_ms = sync_ms
    gevent.sleep(_RESTART_S)
    context.replaced.start()


@when("a follower's disk is lost and replaced by one of {ms:d} ms a sync")
def replace_disk_slow(context, ms):
    replace_disk(context, ms)


@when("all replicas lose power, and {second} its disk")
def lose_power_and_disk(context, second):
    leader = context.last_leader
    others = [
        member
        for member in context.group.members.values()
        if member not in (leader, context.replaced)
    ]
    lost = {
        "the leader": leader,
        "the old voter": others[0],
        "the new member": context.replaced,
    }[second]
    for member in context.group.members.values():
        member.kill()
    lost.lose_disk()


@when("all replicas start again")
def start_all(context):
    for member in context.group.members.values():
        member.start()


@then("the newest configuration is read back within {ms:d} ms")
def check_newest_version(context, ms):
    start_s = time.monotonic()
    answer, _ = context.group.call(calls.GetDocument())
    took_ms = int((time.monotonic() - start_s) * 1000)
    expected = f'{{"version":{context.version}}}'.encode()
    assert answer.original == expected, answer
    assert took_ms <= ms, took_ms


@when("the follower's new disk takes {ms:d} ms longer a sync")
def slow_new_disk(context, ms):
    context.cluster.extra_sync_ms = (ms, ms)
    context.cluster.slow_disks.add(context.follower.process)


@when("the follower's new disk is {ms:d} ms farther away")
def move_new_disk(context, ms):
    context.cluster.extra_link_delay_ms[context.follower.process] = ms
