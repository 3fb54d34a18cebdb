"""Steps on entries that follow the replicated state."""

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
    """Stands for a replica of which only the view is read."""

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
        subscription.handle_batch(follower, peer, message)


@given("a replica whose stream task has not yet handled its last change")
def build_lagging_stream_task(context):
    context.sent = []
    replica = _FakeReplica()
    context.task = stream_task.StreamTask(
        replica, lambda peer, message: context.sent.append((peer, message))
    )
    first = fake_commits.commit_team(model.State(), "coach", 1)
    second = fake_commits.commit_team(first.state, "coach", 2)
    replica.set_state(second.state)
    context.task.mailbox.put(events.Committed(first.state, first.changed))
    context.queued_event = events.Committed(second.state, second.changed)
    context.state = second.state


@given(
    "a replica that has loaded version 1 from its disk and applies version 2"
)
def build_loaded_replica(context):
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
    context.queued_event = events.Committed(third.state, third.changed)
    context.state = third.state


@when("an entry subscribes")
def subscribe_entry(context):
    context.follower = subscription.Subscription(view.View())
    (request,) = subscription.handle_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.task.mailbox.put(
        events.FromPeer(ids.ProcessId("entry-0"), request.message)
    )
    context.task.mailbox.put(context.queued_event)


@then("the entry has the replica's state once the stream task has caught up")
def check_caught_up(context):
    while context.task.mailbox.get_depth():
        # pylint: disable-next=protected-access
        context.task._handle(context.task.mailbox.get(), 0)
    _deliver_all(context.sent, context.follower)
    assert context.follower.view.by_key == context.state.by_key


def _build_large_state(teams):
    state = model.State()
    for i in range(teams):
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
    (request,) = subscription.handle_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.streams.subscribe(ids.ProcessId("entry-0"), request.message)
    assert len(context.sent) == 3
    _, part = context.sent.pop(0)
    subscription.handle_batch(context.follower, "control-0", part)


@when(
    "it subscribes anew and the remaining old parts arrive before the new ones"
)
def subscribe_anew(context):
    (request,) = subscription.handle_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.streams.subscribe(ids.ProcessId("entry-0"), request.message)
    _deliver_all(context.sent, context.follower)


@then("it holds exactly the state of the new snapshot")
def check_snapshot(context):
    assert context.follower.view.by_key == context.state.by_key


@given("a replica at version 1 that installs a snapshot of version 3")
def install_snapshot(context):
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
    # The team deleted at version 3 does not exist at version 1 either, so the
    # difference between the two versions does not contain it.
    committed = events.Committed(third, (), replaces=True)
    context.task.mailbox.put(events.Committed(first.state, first.changed))
    context.queued_event = committed
    context.state_2 = second.state


@when("an entry with version 2 from another replica subscribes to it")
def subscribe_from_version_2(context):
    context.follower = subscription.Subscription(
        view.View(ids.StateVersion(2), dict(context.state_2.by_key))
    )
    (request,) = subscription.handle_peer_up(
        context.follower, ids.ProcessId("control-0")
    )
    context.task.mailbox.put(context.queued_event)
    context.task.mailbox.put(
        events.FromPeer(ids.ProcessId("entry-0"), request.message)
    )


@given("an entry that follows control-1 and has applied version 5")
def follow_control(context):
    context.follower = subscription.Subscription(view.View(ids.StateVersion(5)))
    for peer in ("control-1", "control-2"):
        subscription.handle_peer_up(context.follower, ids.ProcessId(peer))
    assert context.follower.source == "control-1"


@when("control-2 leads and reports version 5 as committed")
def report_applied_version(context):
    context.requests = ()
    for now_ms in range(0, 5_000, 250):
        context.requests += subscription.handle_committed_version(
            context.follower, "control-2", 5, now_ms
        )


@when("control-2 leads and reports version 9 as committed for 1000 ms")
def report_later_version(context):
    context.requests = ()
    for now_ms in range(0, 1_000, 250):
        context.requests += subscription.handle_committed_version(
            context.follower, "control-2", 9, now_ms
        )


@then("the entry sends no new subscription")
def check_kept_subscription(context):
    assert context.requests == ()


@then("the entry subscribes to control-2 from version 5")
def check_renewed_subscription(context):
    (request,) = context.requests
    assert request.peer == "control-2"
    assert request.message.from_version == 5


@given("followers entry-0, entry-1 and entry-2, of which entry-2 never reports")
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


@then("entry-1 and entry-2 are reported as behind and entry-0 is not")
def check_rows(context):
    rows = context.followers.list_rows(2_000)
    delays = [(row.process_id, row.behind_ms, row.heard_ms_ago) for row in rows]
    assert delays == [
        ("entry-0", 0, 1_000),
        ("entry-1", 1_800, 1_000),
        ("entry-2", 1_900, -1),
    ], delays
