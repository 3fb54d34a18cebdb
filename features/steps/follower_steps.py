"""Steps for the followers of state."""

from behave import given
from behave import then
from behave import when

from bambookeel.control import events
from bambookeel.control import follower_table
from bambookeel.control import replica_view
from bambookeel.control import stream_task
from bambookeel.control import streams
from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.entry import subscription
from bambookeel.entry import view
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from features.fakes import fake_commits


class _FakeReplica:
    """A replica of which only the view is read."""

    def __init__(self):
        self.view = None
        self.set_state(model.State())

    def set_state(self, state):
        self.view = replica_view.ReplicaView(
            state, ids.ProcessId("control-0"), ids.Term(1), True, 0
        )


def _deliver_all(sent, follower, peer="control-0"):
    while sent:
        to, message = sent.pop(0)
        assert to == "entry-0"
        subscription.take_batch(follower, peer, message)


@given("a replica whose streams have not yet been told of its last change")
def build_lagging_streams(context):
    context.sent = []
    replica = _FakeReplica()
    context.task = stream_task.StreamTask(
        replica, lambda peer, message: context.sent.append((peer, message))
    )
    first = fake_commits.commit_team(model.State(), "coach", 1)
    second = fake_commits.commit_team(first.state, "coach", 2)
    replica.set_state(second.state)
    context.task.mailbox.put(events.Committed(first.state, first.changed))
    context.waiting = events.Committed(second.state, second.changed)
    context.state = second.state


@given(
    "a replica that has loaded version 1 from its disk and applies version 2"
)
def build_loaded_streams(context):
    context.sent = []
    replica = _FakeReplica()
    first = fake_commits.commit_team(model.State(), "coach", 1)
    replica.set_state(first.state)
    context.task = stream_task.StreamTask(
        replica, lambda peer, message: context.sent.append((peer, message))
    )
    second = fake_commits.commit_team(first.state, "school", 2)
    third = fake_commits.commit_team(second.state, "school", 3)
    replica.set_state(third.state)
    context.task.mailbox.put(events.Committed(second.state, second.changed))
    context.waiting = events.Committed(third.state, third.changed)
    context.state = third.state


@when("an entry subscribes")
def subscribe_entry(context):
    context.follower = subscription.Subscription(view.View())
    (wanted,) = subscription.take_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.task.mailbox.put(
        events.FromPeer(ids.ProcessId("entry-0"), wanted.message)
    )
    context.task.mailbox.put(context.waiting)


@then("the entry holds that change once the streams have been told")
def check_not_skipped(context):
    while context.task.mailbox.get_depth():
        # pylint: disable-next=protected-access
        context.task._handle(context.task.mailbox.get(), 0)
    _deliver_all(context.sent, context.follower)
    assert context.follower.view.by_key == context.state.by_key


def _build_large_state(number):
    state = model.State()
    for i in range(number):
        state = fake_commits.commit_team(state, f"team-{i}", 1).state
    return state


@given("an entry that has received the first part of a snapshot")
def receive_first_part(context):
    context.sent = []
    context.streams = streams.Streams(
        lambda peer, message: context.sent.append((peer, message))
    )
    context.state = _build_large_state(450)
    context.streams.replace(context.state)
    context.follower = subscription.Subscription(view.View())
    (wanted,) = subscription.take_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.streams.subscribe(ids.ProcessId("entry-0"), wanted.message)
    assert len(context.sent) == 3
    _, part = context.sent.pop(0)
    subscription.take_batch(context.follower, "control-0", part)


@when(
    "it subscribes anew and the remaining old parts arrive before the new ones"
)
def subscribe_anew(context):
    (wanted,) = subscription.take_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.streams.subscribe(ids.ProcessId("entry-0"), wanted.message)
    _deliver_all(context.sent, context.follower)


@then("it holds exactly the state of the new snapshot")
def check_snapshot(context):
    assert context.follower.view.by_key == context.state.by_key


@given("a replica that jumps from version 1 to 3 by a snapshot")
def jump_replica(context):
    context.sent = []
    replica = _FakeReplica()
    context.task = stream_task.StreamTask(
        replica, lambda peer, message: context.sent.append((peer, message))
    )
    first = fake_commits.commit_team(model.State(), "coach", 1)
    second = fake_commits.commit_team(first.state, "school", 1)
    version = ids.StateVersion(3)
    delete = commands.Delete(resources.Kind.TEAM, "school", version - 1)
    command = commands.Command(
        ids.CommandId("d"), "test", (commands.wrap_change(delete),)
    )
    third = apply.apply_command(second.state, version, command).state
    replica.set_state(third)
    context.state = third
    # What differs between versions 1 and 3 does not tell of the deleted team.
    committed = events.Committed(third, (), replaces=True)
    context.task.mailbox.put(events.Committed(first.state, first.changed))
    context.waiting = committed
    context.middle = second.state


@when("an entry that has version 2 from elsewhere subscribes to it")
def subscribe_from_middle(context):
    context.follower = subscription.Subscription(
        view.View(ids.StateVersion(2), dict(context.middle.by_key))
    )
    (wanted,) = subscription.take_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.task.mailbox.put(context.waiting)
    context.task.mailbox.put(
        events.FromPeer(ids.ProcessId("entry-0"), wanted.message)
    )


@given("an entry that follows control-1 and has applied version 5")
def follow_control(context):
    context.follower = subscription.Subscription(view.View(ids.StateVersion(5)))
    for peer in ("control-1", "control-2"):
        subscription.take_peer_up(context.follower, ids.ProcessId(peer))
    assert context.follower.source == "control-1"


@when("control-2 leads and tells that it has committed version 5")
def tell_equal(context):
    context.wanted = ()
    for now_ms in range(0, 5_000, 250):
        context.wanted += subscription.take_committed(
            context.follower, "control-2", 5, now_ms
        )


@when("control-2 leads and for 1000 ms tells that it has committed version 9")
def tell_ahead(context):
    context.wanted = ()
    for now_ms in range(0, 1_000, 250):
        context.wanted += subscription.take_committed(
            context.follower, "control-2", 9, now_ms
        )


@then("the entry sends no new subscription")
def check_kept_stream(context):
    assert context.wanted == ()


@then("the entry subscribes to control-2 from version 5")
def check_renewed(context):
    (wanted,) = context.wanted
    assert wanted.peer == "control-2"
    assert wanted.message.from_version == 5


@given(
    "followers entry-0, entry-1 and entry-2 of which entry-2 was never heard"
)
def build_followers(context):
    context.followers = follower_table.FollowerTable(
        ("entry-0", "entry-1", "entry-2")
    )


@when("versions 1 to 3 are committed and only entry-0 reports version 3")
def commit_and_report(context):
    for version in (1, 2, 3):
        context.followers.record_commit(version, version * 100)
    context.followers.record_report("entry-0", 3, False, 1_000)
    context.followers.record_report("entry-1", 1, False, 1_000)


@then("entry-1 and entry-2 are told as behind and entry-0 is not")
def check_rows(context):
    rows = context.followers.list_rows(2_000)
    told = [(row.process_id, row.behind_ms, row.heard_ms_ago) for row in rows]
    assert told == [
        ("entry-0", 0, 1_000),
        ("entry-1", 1_800, 1_000),
        ("entry-2", 1_900, -1),
    ], told
