"""Steps for the followers of state."""

import dataclasses

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

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


def _commit_team(state, name, limit):
    change = commands.PutSpec(
        resources.Kind.TEAM, name, commands.ANY_VERSION, {"upper_limit": limit}
    )
    version = ids.StateVersion(state.version + 1)
    command = commands.Command(
        ids.CommandId(f"c-{version}"), "test", (commands.wrap_change(change),)
    )
    return apply.apply_command(state, version, command)


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
    first = _commit_team(model.State(), "coach", 1)
    second = _commit_team(first.state, "coach", 2)
    replica.set_state(second.state)
    context.task.mailbox.put(events.Committed(first.state, first.changed))
    context.waiting = events.Committed(second.state, second.changed)
    context.state = second.state


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
        state = _commit_team(state, f"team-{i}", 1).state
    return state


@given("an entry that has received the first part of a snapshot")
def receive_first_part(context):
    context.sent = []
    context.streams = streams.Streams(
        lambda peer, message: context.sent.append((peer, message))
    )
    context.state = _build_large_state(450)
    context.streams.publish(context.state, ())
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


@dataclasses.dataclass
class _Network:
    """Two replicas with streams, one follower, and links that lose frames."""

    history: list
    replicas: dict
    follower: subscription.Subscription
    # Frames on their way, by direction; None is the notice of a lost link.
    to_entry: dict
    to_control: dict
    now_ms: int = 0


def _build_network():
    peers = (ids.ProcessId("control-0"), ids.ProcessId("control-1"))
    network = _Network(
        [model.State()],
        {},
        subscription.Subscription(view.View()),
        {peer: [] for peer in peers},
        {peer: [] for peer in peers},
    )
    for peer in peers:
        frames = network.to_entry[peer]
        network.replicas[peer] = streams.Streams(
            lambda _, message, frames=frames: frames.append(message)
        )
    return network


def _send_wanted(network, wanted):
    for item in wanted:
        network.to_control[item.peer].append(item.message)


def _step(network, action, peer):
    """Runs one random step."""
    entry = ids.ProcessId("entry-0")
    replica = network.replicas[peer]
    match action:
        case "commit":
            name = f"team-{len(network.history) % 7}"
            applied = _commit_team(network.history[-1], name, 1)
            network.history.append(applied.state)
        case "publish":
            version = replica.get_state().version + 1
            if version < len(network.history):
                before = network.history[version - 1]
                name = f"team-{version % 7}"
                applied = _commit_team(before, name, 1)
                replica.publish(network.history[version], applied.changed)
        case "install":
            replica.publish(network.history[-1], ())
        case "up":
            _send_wanted(
                network, subscription.take_peer_up(network.follower, peer)
            )
        case "lose":
            # The new link may carry frames of a stream that is not yet ended.
            network.to_entry[peer].clear()
            network.to_control[peer].clear()
            network.to_control[peer].append(None)
            _send_wanted(
                network, subscription.take_peer_down(network.follower, peer)
            )
            _send_wanted(
                network, subscription.take_peer_up(network.follower, peer)
            )
        case "to_control" if network.to_control[peer]:
            message = network.to_control[peer].pop(0)
            if message is None:
                replica.unsubscribe(entry)
            else:
                replica.subscribe(entry, message)
        case "to_entry" if network.to_entry[peer]:
            message = network.to_entry[peer].pop(0)
            subscription.take_batch(network.follower, peer, message)
        case "heartbeat":
            network.now_ms += 400
            _send_wanted(
                network,
                subscription.take_committed(
                    network.follower,
                    peer,
                    network.history[-1].version,
                    network.now_ms,
                ),
            )


def _check_view(network, highest):
    current = network.follower.view
    assert current.version >= highest
    expected = network.history[current.version].by_key
    names = {
        key: dataclasses.replace(value) for key, value in current.by_key.items()
    }
    assert names == dict(expected), (current.version, names, expected)
    return current.version


@then("any run of commits, lost links and delays leaves each view exact")
def check_random_runs(_context):
    actions = strategies.sampled_from(
        (
            "commit",
            "publish",
            "publish",
            "install",
            "up",
            "lose",
            "to_control",
            "to_control",
            "to_entry",
            "to_entry",
            "heartbeat",
        )
    )
    peers = strategies.sampled_from(("control-0", "control-1"))
    steps = strategies.lists(
        strategies.tuples(actions, peers), min_size=20, max_size=120
    )

    @hypothesis.settings(max_examples=200)
    @hypothesis.given(steps)
    def run(drawn):
        network = _build_network()
        highest = 0
        for action, peer in drawn:
            _step(network, action, peer)
            highest = _check_view(network, highest)
        # Without further faults the follower gets everything.
        for _ in range(60):
            for peer in ("control-0", "control-1"):
                for action in ("up", "publish", "heartbeat"):
                    if action != "up" or peer not in network.follower.up:
                        _step(network, action, peer)
            for peer in ("control-0", "control-1"):
                while network.to_control[peer]:
                    _step(network, "to_control", peer)
                while network.to_entry[peer]:
                    _step(network, "to_entry", peer)
            highest = _check_view(network, highest)
            if (
                all(
                    r.get_state().version == len(network.history) - 1
                    for r in network.replicas.values()
                )
                and highest == len(network.history) - 1
            ):
                return
        raise AssertionError(f"stuck at {highest} of {len(network.history)}")

    run()


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
        context.followers.take_commit(version, version * 100)
    context.followers.take_report("entry-0", 3, False, 1_000)
    context.followers.take_report("entry-1", 1, False, 1_000)


@then("entry-1 and entry-2 are told as behind and entry-0 is not")
def check_rows(context):
    rows = context.followers.list_rows(2_000)
    told = [(row.process_id, row.behind_ms, row.heard_ms_ago) for row in rows]
    assert told == [
        ("entry-0", 0, 1_000),
        ("entry-1", 1_800, 1_000),
        ("entry-2", 1_900, -1),
    ], told
