"""Steps for the margin: how many further losses the voters tolerate."""

import math

from behave import given
from behave import then
from behave import when
import eliot

from bambookeel.consensus import events
from bambookeel.consensus import records
from bambookeel.consensus import tolerance
from bambookeel.control import margin_watch
from features.fakes import consensus_cluster

_LINE = "loss_margin"
# Longer than any election and membership change in these clusters.
_LONG_MS = 12_000


def measure(node):
    """Measures the margin of a core's voters by its own clock."""
    return tolerance.measure_tolerance(node.core, node.read_clock())


def _pick_follower(context):
    return next(
        node
        for node in context.cluster.nodes.values()
        if node is not context.cluster.find_leader() and node.is_up
    )


@then(
    "the leader measures a margin of {margin:d} of {promised:d} promised losses"
)
def check_margin(context, margin, promised):
    context.cluster.run_until(lambda: _has_margin(context.cluster))
    found = measure(context.cluster.find_leader())
    assert (found.margin, found.promised) == (margin, promised), found


@then("only that follower is listed as silent")
def check_silent(context):
    found = measure(context.cluster.find_leader())
    assert found.silent == (context.follower.member,), found


@when("that follower is up again for {duration:d} ms")
def restart_follower(context, duration):
    context.follower.start()
    context.cluster.run_for(duration)


@when("a further core starts in its place")
def start_newcomer(context):
    context.cluster.add_node("p9").start()


@then("the margin stays 0 until the removal of its vote is committed")
def check_until_replaced(context):
    def is_replaced():
        core = context.cluster.find_leader().core
        assert core.role is records.Role.LEADER
        committed = records.get_membership_at(core, core.commit_index)
        if context.follower.member in committed.voters:
            assert measure(context.cluster.find_leader()).margin == 0
            return False
        return True

    context.cluster.run_until(is_replaced)
    context.cluster.run_until(
        lambda: len(context.cluster.find_leader().core.membership.voters) == 3
    )
    context.cluster.run_for(100)


@when("a follower loses its disk and restarts with a new one without a vote")
def replace_disk(context):
    node = _pick_follower(context)
    node.stop()
    node.wipe()
    context.cluster.run_for(600)
    node.start()


@then("a core that catches up was listed before the margin rose")
def check_catching_up(context):
    counted = []

    def has_risen():
        found = measure(context.cluster.find_leader())
        if found.catching_up:
            counted.append(found.margin)
        return found.margin == 1

    context.cluster.run_until(has_risen)
    assert counted and set(counted) == {0}, counted


@then("no follower measures a margin")
def check_followers(context):
    for node in context.cluster.nodes.values():
        if node is not context.cluster.find_leader():
            assert measure(node) is None


@when("the leader hands over leadership")
def hand_over(context):
    context.leader.run(events.HandOverRequested())


@then("the next leader never measures a margin below {margin:d}")
def check_new_leader(context, margin):
    cluster = context.cluster
    counted = []
    ends_ms = cluster.now_ms + 3_000
    while cluster.now_ms < ends_ms:
        cluster.run_one()
        leader = cluster.find_leader()
        if leader is None or leader is context.leader:
            continue
        found = measure(leader)
        if found is not None:
            counted.append(found.margin)
    assert counted and min(counted) >= margin, counted[:20]


def _can_commit(cluster):
    """Checks whether a leader commits a new command within `_LONG_MS`."""
    ends_ms = cluster.now_ms + _LONG_MS
    before = cluster.max_committed
    while cluster.now_ms < ends_ms:
        leader = cluster.find_leader()
        if leader is not None and cluster.has_stable_leader():
            leader.run(events.ProposalsMade((b"after the losses",)))
            if cluster.max_committed > before + 1:
                return True
        cluster.run_for(100)
    return False


def _check_cluster(seed):
    """Stops random cores, then as many voters as the margin allows or one more.

    Returns:
        Whether the margin allowed it; commits must continue exactly then.
    """
    size = (3, 5)[seed % 2]
    bound = (0, size)[seed // 2 % 2]
    cluster = consensus_cluster.SimulatedCluster(seed, size, max_voters=bound)
    cluster.run_until(cluster.has_stable_leader)
    for _ in range(cluster.rng.randint(0, size // 2)):
        up = [node for node in cluster.nodes.values() if node.is_up]
        cluster.rng.choice(up).stop()
    cluster.run_for(1_000)
    if seed % 3 == 0:
        cluster.add_node("p9").start()
        # The new core may still be unknown, or already a learner or a voter.
        cluster.run_for(cluster.rng.randint(1_500, 4_000))
    cluster.run_until(lambda: _has_margin(cluster))
    leader = cluster.find_leader()
    found = measure(leader)
    voters = [
        node
        for node in cluster.nodes.values()
        if node.is_up and node.member in leader.core.membership.voters
    ]
    losses = found.margin + seed // 4 % 2
    for node in cluster.rng.sample(voters, losses):
        node.stop()
    assert _can_commit(cluster) == (losses == found.margin), (
        seed,
        found,
        losses,
    )
    return losses == found.margin


def _has_margin(cluster):
    leader = cluster.find_leader()
    if leader is None or not cluster.has_stable_leader():
        return False
    return measure(leader) is not None


@then("in {count:d} clusters the voters tolerate exactly the measured margin")
def check_clusters(context, count):
    survived = [_check_cluster(seed) for seed in range(count)]
    assert 0 < sum(survived) < count, survived


# --- Lines and metrics ---


@given("its margin is watched")
def watch_margin(context):
    context.cluster.run_for(1_000)
    context.watched_ms = context.cluster.now_ms
    context.lines = lines = []

    def keep(event):
        if event.get("message_type") == _LINE:
            lines.append(event)

    eliot.add_destinations(keep)
    context.add_cleanup(eliot.remove_destination, keep)
    # The simulated node has a `core` as a core runner does.
    context.watch = margin_watch.MarginWatch(context.leader)
    _run_watched(context, 500)


def _run_watched(context, duration):
    for _ in range(0, duration, 25):
        context.cluster.run_for(25)
        if not context.leader.is_frozen:
            context.watch.check(context.leader.read_clock())


@when("the margin is watched for {duration:d} ms")
def pass_time(context, duration):
    _run_watched(context, duration)


@when(
    "{times:d} times a follower is cut off for {cut:d} ms and connected for"
    " {connected:d} ms"
)
def cut_off_repeatedly(context, times, cut, connected):
    follower = _pick_follower(context)
    for _ in range(times):
        _cut_off(context, follower, cut)
        _run_watched(context, connected)


def _cut_off(context, follower, duration):
    pair = (follower.process, context.leader.process)
    context.cluster.cuts.add(pair)
    _run_watched(context, duration)
    context.cluster.cuts.discard(pair)


@then(
    "cuts of any lengths cause at most two lines per longest election timeout"
)
def check_line_rate(context):
    for seed in range(10):
        context.cluster = consensus_cluster.SimulatedCluster(seed, 3)
        context.cluster.run_until(context.cluster.has_stable_leader)
        context.leader = context.cluster.find_leader()
        watch_margin(context)
        follower = _pick_follower(context)
        for _ in range(60):
            _cut_off(context, follower, context.cluster.rng.randint(100, 1_800))
            _run_watched(context, context.cluster.rng.randint(100, 1_800))
        lasted_ms = context.cluster.now_ms - context.watched_ms
        most = 2 * lasted_ms / context.cluster.settings.election_max_ms
        assert 4 < len(context.lines) <= most, (seed, len(context.lines), most)


@when("{duration:d} ms pass before the margin is checked again")
def pass_unwatched(context, duration):
    context.cluster.run_for(duration)


@when(
    "the margins below of {promised:d} are measured every {period:d} ms and"
    " must last for {settle:d} ms"
)
def measure_margins(context, promised, period, settle):
    report = None
    context.found = []
    for i, row in enumerate(context.table):
        now_ms = 5_000 + i * period
        measured = tolerance.Tolerance(int(row["measured"]), promised, 5, (), 0)
        report = tolerance.update_report(report, measured, now_ms, settle)
        below_since_ms = report.below_since_ms
        below_ms = 0 if below_since_ms is None else now_ms - below_since_ms
        context.found.append((report.reported.margin, below_ms))
    context.expected = [
        (int(row["reported"]), int(row["below_ms"])) for row in context.table
    ]


@then(
    "the reported margin and the time below the promised one are as in the"
    " table"
)
def check_reported(context):
    assert context.found == context.expected, context.found


@then('the log lines show the margins "{margins}"')
def check_lines(context, margins):
    found = " ".join(str(line["margin"]) for line in context.lines)
    assert found == margins, context.lines


@then("the last line shows how long the margin was too small")
def check_below(context):
    # From the first silence to the end of the last cut, by the cluster's clock;
    # the time to settle is reported separately.
    line = context.lines[-1]
    below_ms = line["below_ms"] / context.leader.rate
    assert 20_100 <= below_ms <= 20_400, (below_ms, line)
    settle_ms = context.cluster.settings.election_max_ms
    assert settle_ms <= line["held_ms"] <= settle_ms + 50, line


@when("the leader is frozen for {duration:d} ms and then handles a timer first")
def freeze_leader(context, duration):
    context.leader.is_frozen = True
    _run_watched(context, duration)
    context.leader.is_frozen = False
    inbox, context.leader.inbox = context.leader.inbox, []
    context.leader.run(events.TimerDue())
    found = measure(context.leader)
    assert found is not None and found.margin == 0, found
    context.watch.check(context.leader.read_clock())
    context.leader.inbox = inbox
    context.cluster.thaw(context.leader)


@then(
    "the watched replica shows a margin of {margin:d} of {promised:d}"
    " promised losses"
)
def check_shown(context, margin, promised):
    shown = (context.watch.read_margin(), context.watch.read_promised())
    assert shown == (margin, promised), shown
    assert context.watch.read_below_s() == 0.0


@then("the watched replica shows no margin")
def check_nothing_shown(context):
    watch = context.watch
    for read in (watch.read_margin, watch.read_promised, watch.read_below_s):
        assert math.isnan(read()), read
