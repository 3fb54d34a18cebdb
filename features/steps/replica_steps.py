"""Steps on replica tasks and on the first start of a deployment."""

import errno
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.consensus import membership
from bambookeel.control import events
from bambookeel.control import formation
from bambookeel.core import messages
from bambookeel.runtime import supervisor
from features.fakes import memory_folder
from features.fakes import replica_group


@given("{size:d} running replica")
@given("{size:d} running replicas")
def start_group(context, size):
    context.group = replica_group.Group(size)
    context.add_cleanup(context.group.stop)
    context.replica = context.group.find_leader()


@when('team "{name}" is put')
def put_team(context, name):
    context.outcome = context.replica.put_team(name, f"put-{name}")
    assert not isinstance(context.outcome, events.NotCommitted)


@when('the disk is full and team "{name}" is put')
def put_on_full_disk(context, name):
    context.replica.folder.space = 0
    context.outcome = context.replica.put_team(name, f"put-{name}")


@then("that command is refused as not run")
def check_not_run(context):
    assert isinstance(context.outcome, events.NotCommitted)
    assert not context.outcome.may_take_effect
    assert "full" in context.outcome.detail


@when('the disk has room again and team "{name}" is put')
def put_after_freeing_disk(context, name):
    context.replica.folder.space = None
    put_team(context, name)


@when("the replica crashes and starts again")
def restart_replica(context):
    context.replica.kill()
    context.replica.start()


@then('the teams are "{names}"')
def check_teams(context, names):
    assert context.replica.read_teams() == set(names.split(","))


@when(
    'the disk of a follower is full and command "{command_id}"'
    ' puts team "{name}"'
)
def put_with_full_follower(context, command_id, name):
    context.follower = context.group.find_follower()
    context.follower.folder.space = 0
    leader = context.group.find_leader()
    outcome = leader.put_team(name, command_id)
    assert not isinstance(outcome, events.NotCommitted)


@then("the leader and its term stay for 2 longest election timeouts")
def check_leader_stays(context):
    before = context.replica.task.view
    gevent.sleep(2 * context.group.timings.election_max_ms / 1000.0)
    assert context.replica.task.view.is_leader
    assert context.replica.task.view.term == before.term
    assert context.follower.task.view.leader == before.leader


@when("that follower's disk has room again")
def free_follower_disk(context):
    context.follower.folder.space = None


@when('syncs fail as the disk is full and team "{name}" is put')
def put_with_sync_on_full_disk(context, name):
    context.replica.folder.sync_errno = errno.ENOSPC
    put_with_failing_sync(context, name)


@when('syncs fail and team "{name}" is put')
def put_with_failing_sync(context, name):
    context.ended = []

    def record_end(reason):
        context.ended.append(reason)
        context.group.stop()

    with mock.patch.object(supervisor, "end_process", record_end):
        context.replica.folder.fail_syncs = True
        gevent.spawn(context.replica.put_team, name, f"put-{name}")
        context.group.wait_for(lambda: context.ended)


@when("a follower's disk is replaced and then put back in")
def put_disk_back(context):
    follower = context.group.find_follower()
    follower.kill()
    old_folder = follower.folder
    follower.folder = memory_folder.MemoryFolder()
    follower.start()
    context.group.wait_for(lambda: not follower.task.find_unready_reason())
    follower.kill()
    follower.folder = old_folder
    context.ended = []

    def record_end(reason):
        context.ended.append(reason)
        context.group.stop()

    with mock.patch.object(supervisor, "end_process", record_end):
        follower.start()
        context.group.wait_for(lambda: context.ended)


@then('the process ends with an error that contains "retired"')
def check_ended_retired(context):
    assert "retired" in context.ended[0]


@then("the process ends with an error about the data folder")
def check_ended_for_folder(context):
    assert "data folder failed" in context.ended[0]


@when('command "{command_id}" puts team "{name}" at a follower')
def put_at_follower(context, command_id, name):
    follower = context.group.find_follower()
    context.outcome = follower.put_team(name, command_id)
    assert not isinstance(context.outcome, events.NotCommitted)


@when("the leader is killed")
def kill_group_leader(context):
    context.group.find_leader().kill()


@when('command "{command_id}" puts team "{name}" at each running replica')
def put_at_each(context, command_id, name):
    context.answers = [
        replica.put_team_until_committed(name, command_id)
        for replica in context.group.list_running()
    ]


@then("each answer is the first outcome")
def check_first_outcomes(context):
    assert context.answers == [context.outcome] * 2, context.answers


@when('both followers are killed and command "{command_id}" puts team "{name}"')
def put_without_quorum(context, command_id, name):
    leader = context.group.find_leader()
    for replica in context.group.list_running():
        if replica is not leader:
            replica.kill()
    context.outcome = leader.put_team(name, command_id)


@then("that command may or may not take effect")
def check_may_take_effect(context):
    assert isinstance(context.outcome, events.NotCommitted)
    assert context.outcome.may_take_effect


@then('a read at each replica shows team "{name}"')
def check_read_at_each(context, name):
    for replica in context.group.list_running():
        assert replica.read_teams() == {name}


@when("a follower reads, is killed, is started and reads again")
def read_before_and_after_restart(context):
    context.follower = context.group.find_follower()
    context.follower.read_teams()
    context.follower.kill()
    context.follower.start()
    context.group.wait_for(
        lambda: not context.follower.task.find_unready_reason()
    )
    context.follower.read_teams()


@then("each of its reads at the leader had a different number")
def check_distinct_numbers(context):
    numbers = context.follower.sent_read_numbers
    assert len(numbers) >= 2
    assert len(set(numbers)) == len(numbers), numbers


@when("{count:d} teams are put with a snapshot every {every:d} entries")
def put_many(context, count, every):
    context.group.stop()
    context.group = replica_group.Group(3, every)
    context.add_cleanup(context.group.stop)
    leader = context.group.find_leader()
    context.outcomes = [
        leader.put_team(f"team-{i}", f"team-{i}") for i in range(count)
    ]


@when("a follower is killed, wiped and started")
def wipe_follower(context):
    context.wiped = context.group.find_follower()
    context.wiped.kill()
    context.wiped.folder = memory_folder.MemoryFolder()
    context.wiped.start()


@then("a read at each replica shows {count:d} teams")
def check_count_at_each(context, count):
    for replica in context.group.list_running():
        context.group.wait_for(
            lambda r=replica: not r.task.find_unready_reason()
        )
        assert len(replica.read_teams()) == count


@then(
    'a repeat of command "{command_id}" gets its first outcome at each replica'
)
def check_repeat_at_each(context, command_id):
    for replica in context.group.list_running():
        outcome = replica.put_team("team-0", command_id)
        assert outcome == context.outcomes[0], outcome


@then("listeners at the wiped replica were notified of {count:d} teams")
def check_notified(context, count):
    notified = set()
    while context.wiped.listener.get_depth():
        event = context.wiped.listener.get()
        if isinstance(event, events.Committed):
            notified |= {stored.name for stored in event.changed}
    assert len(notified) == count, len(notified)


@given("replicas a, b and c without a membership")
def start_formations(context):
    control = ("a", "b", "c")
    context.formations = {
        name: formation.Formation(f"{name}/1", control) for name in "ab"
    }


def _send_identity(context, receiver, sender, has_membership):
    identity = messages.ReplicaIdentity(f"{sender}/1", has_membership, True)
    formation.record_identity(context.formations[receiver], identity)


@when("a learns that {name} is new")
def report_new(context, name):
    _send_identity(context, "a", name, False)


@when("a learns that c has a membership")
def report_membership(context):
    _send_identity(context, "a", "c", True)


@then("a does not form a membership")
def check_not_formed(context):
    reason = formation.describe_wait(context.formations["a"])
    assert formation.try_to_form(context.formations["a"]) is None
    assert reason


@then("a forms a membership of all three")
def check_formed(context):
    formed = formation.try_to_form(context.formations["a"])
    assert formed == membership.Membership(("a/1", "b/1", "c/1"))


@then("b, once it learns that a and c are new, does not form a membership")
def check_other_not_formed(context):
    _send_identity(context, "b", "a", False)
    _send_identity(context, "b", "c", False)
    assert formation.try_to_form(context.formations["b"]) is None
