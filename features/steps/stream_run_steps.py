"""Steps on random runs of state streams under faults."""

import dataclasses

from behave import then
import hypothesis
from hypothesis import strategies

from bambookeel.control import streams
from bambookeel.core import ids
from bambookeel.entry import subscription
from bambookeel.entry import view
from bambookeel.state import model
from features.fakes import fake_commits


@dataclasses.dataclass
class _Network:
    """Simulates two replicas, one follower and links that lose frames."""

    history: list
    replicas: dict
    follower: subscription.Subscription
    # Frames in transit by replica; None tells the replica of a lost link.
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


def _send_requests(network, requests):
    for request in requests:
        network.to_control[request.peer].append(request.message)


def _run_step(network, action, peer):
    """Runs one random action on a replica or its link."""
    entry = ids.ProcessId("entry-0")
    replica = network.replicas[peer]
    match action:
        case "commit":
            name = f"team-{len(network.history) % 7}"
            applied = fake_commits.commit_team(network.history[-1], name, 1)
            network.history.append(applied.state)
        case "publish":
            version = replica.get_state().version + 1
            if version < len(network.history):
                before = network.history[version - 1]
                name = f"team-{version % 7}"
                applied = fake_commits.commit_team(before, name, 1)
                replica.publish(network.history[version], applied.changed)
        case "install":
            replica.replace(network.history[-1])
        case "up":
            _send_requests(
                network, subscription.handle_peer_up(network.follower, peer)
            )
        case "lose":
            # The replica may still send frames of the former stream on the new
            # link, until it handles the loss of the old one.
            network.to_entry[peer].clear()
            network.to_control[peer].clear()
            network.to_control[peer].append(None)
            _send_requests(
                network, subscription.handle_peer_down(network.follower, peer)
            )
            _send_requests(
                network, subscription.handle_peer_up(network.follower, peer)
            )
        case "to_control" if network.to_control[peer]:
            message = network.to_control[peer].pop(0)
            if message is None:
                replica.unsubscribe(entry)
            else:
                replica.subscribe(entry, message)
        case "to_entry" if network.to_entry[peer]:
            message = network.to_entry[peer].pop(0)
            subscription.handle_batch(network.follower, peer, message)
        case "heartbeat":
            network.now_ms += 400
            _send_requests(
                network,
                subscription.handle_committed_version(
                    network.follower,
                    peer,
                    network.history[-1].version,
                    network.now_ms,
                ),
            )


def _check_view(network, last_version):
    current = network.follower.view
    assert current.version >= last_version
    expected = network.history[current.version].by_key
    actual = {
        key: dataclasses.replace(value) for key, value in current.by_key.items()
    }
    assert actual == dict(expected), (current.version, actual, expected)
    return current.version


@then("every view is exact in any run of commits, lost links and delays")
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
    def run(drawn_steps):
        network = _build_network()
        last_version = 0
        for action, peer in drawn_steps:
            _run_step(network, action, peer)
            last_version = _check_view(network, last_version)
        # Without further faults the follower receives all changes.
        for _ in range(60):
            for peer in ("control-0", "control-1"):
                for action in ("up", "publish", "heartbeat"):
                    if action != "up" or peer not in network.follower.linked:
                        _run_step(network, action, peer)
            for peer in ("control-0", "control-1"):
                while network.to_control[peer]:
                    _run_step(network, "to_control", peer)
                while network.to_entry[peer]:
                    _run_step(network, "to_entry", peer)
            last_version = _check_view(network, last_version)
            if (
                all(
                    r.get_state().version == len(network.history) - 1
                    for r in network.replicas.values()
                )
                and last_version == len(network.history) - 1
            ):
                return
        raise AssertionError(
            f"stuck at version {last_version} of {len(network.history)} states"
        )

    run()
