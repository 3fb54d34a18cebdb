"""Steps for the consensus core in simulated clusters with a fake clock."""

from behave import given
from behave import then
from behave import when

from bambookeel.consensus import events
from bambookeel.consensus import membership
from bench import bench_consensus
from features.fakes import consensus_chaos
from features.fakes import consensus_cluster
from features.fakes import consensus_machine


def _propose(cluster, count=1):
    payloads = tuple(b"command %d" % i for i in range(count))
    cluster.find_leader().run(events.ProposalsMade(payloads))


def _wait_for_commit(cluster, index):
    cluster.run_until(lambda: cluster.max_committed >= index)


def _commit(cluster, count):
    """Commits commands in batches of up to 10, one after the other."""
    for _ in range(0, count, 10):
        cluster.run_until(cluster.has_stable_leader)
        _propose(cluster, min(10, count))
        _wait_for_commit(cluster, cluster.find_leader().core.log.last_index)


def pick_follower(context):
    """Finds a running core that is not the leader."""
    followers = [
        node
        for node in context.cluster.nodes.values()
        if node is not context.cluster.find_leader() and node.is_up
    ]
    return followers[0]


def _has_other_leader(context):
    leader = context.cluster.find_leader()
    return leader is not None and leader is not context.leader


@given("a simulated cluster of {size:d} cores with seed {seed:d}")
def build_cluster(context, size, seed):
    context.cluster = consensus_cluster.SimulatedCluster(seed, size)


@given(
    "a simulated cluster of {size:d} cores with at most {voters:d} voters,"
    " seed {seed:d}"
)
def build_bounded_cluster(context, size, voters, seed):
    context.cluster = consensus_cluster.SimulatedCluster(
        seed, size, max_voters=voters
    )


@when("a further core waits to join")
def add_waiting_core(context):
    node = context.cluster.add_node(f"p{len(context.cluster.nodes)}")
    node.start()
    context.cluster.run_for(4_000)


@when("a follower is down for {duration:d} ms")
def lose_follower(context, duration):
    context.follower = pick_follower(context)
    context.follower.stop()
    context.cluster.run_for(duration)


@then("the follower has no vote")
def check_no_vote(context):
    voters = context.cluster.find_leader().core.membership.voters
    assert context.follower.member not in voters, voters


@then("every member applies the leader's commits")
def check_all_follow(context):
    members = context.cluster.find_leader().core.membership.members

    def has_applied_all():
        leader = context.cluster.find_leader()
        return leader is not None and all(
            node.applied == leader.core.log.last_index
            and node.digest == leader.digest
            for node in context.cluster.nodes.values()
            if node.member in members
        )

    assert context.follower.member in members, members
    context.cluster.run_until(has_applied_all)


@given("a stable leader")
def wait_for_leader(context):
    context.cluster.run_until(context.cluster.has_stable_leader)
    context.leader = context.cluster.find_leader()
    context.term = context.leader.core.term


@given("{count:d} committed commands")
def commit_commands(context, count):
    _commit(context.cluster, count)


@when("it runs {steps:d} steps under random faults, which then end")
def run_chaos(context, steps):
    context.chaos = consensus_chaos.Chaos(context.cluster)
    context.chaos.run(steps)


@then("every core holds the same commits and at least {count:d} of them")
def check_converged(context, count):
    assert context.cluster.has_converged()
    assert context.cluster.max_committed >= count, context.cluster.max_committed


@then("snapshots were installed and disks were lost during the run")
def check_faults_happened(context):
    assert context.cluster.snapshots_installed > 0
    assert context.chaos.counts.get("lose_disk", 0) > 0


@when("Hypothesis runs random operations on clusters of 3 and 5 cores")
def run_machine(context):
    consensus_machine.run_machine()


@then("no invariant is broken")
def check_machine(context):
    """The state machine itself raises when an invariant is broken."""


@when("the leader is cut off from the others")
def cut_leader(context):
    for other in context.cluster.nodes:
        context.cluster.cuts.add((context.leader.process, other))
        context.cluster.cuts.add((other, context.leader.process))


@then("it steps down without learning of another term")
def check_stepped_down(context):
    context.cluster.run_until(lambda: not context.leader.leads())
    assert context.leader.core.term == context.term


@then("another core leads")
def check_other_leads(context):
    context.cluster.run_until(lambda: _has_other_leader(context))


@then("another core leads within {limit:d} ms")
def check_other_leads_soon(context, limit):
    context.cluster.run_until(lambda: _has_other_leader(context), limit)


@then("no lease ever overlapped a commit of another leader")
def check_leases(context):
    # The cluster checks each commit against the leases of all other cores.
    _commit(context.cluster, 10)


@when("a follower is cut off for {duration:d} ms and reconnected")
def cut_follower(context, duration):
    cluster = context.cluster
    process = pick_follower(context).process
    for other in cluster.nodes:
        cluster.cuts |= {(process, other), (other, process)}
    cluster.run_for(duration)
    cluster.cuts.clear()
    cluster.run_for(duration)


@then("the leader and its term are the same")
def check_same_leader(context):
    assert context.cluster.find_leader() is context.leader
    assert context.leader.core.term == context.term


@when("the leader no longer receives messages")
def cut_messages_to_leader(context):
    for other in context.cluster.nodes:
        context.cluster.cuts.add((other, context.leader.process))


@then("commits continue")
def check_commits(context):
    before = context.cluster.max_committed
    _commit(context.cluster, 10)
    assert context.cluster.max_committed > before


@when("syncs take longer than the run and a command is proposed")
def stall_syncs(context):
    context.cluster.sync_ms = (100_000, 100_000)
    context.before = context.cluster.max_committed
    _propose(context.cluster)


@then("it is not committed within {limit:d} ms")
def check_not_committed(context, limit):
    context.cluster.run_for(limit)
    assert context.cluster.max_committed == context.before


@when("a follower is down while {count:d} commands are committed")
def commit_without_follower(context, count):
    context.follower = pick_follower(context)
    context.follower.stop()
    _commit(context.cluster, count)


@when("the follower starts again")
def start_follower(context):
    context.follower.start()


@then("every core holds the same commits")
def check_all_equal(context):
    context.cluster.run_until(context.cluster.has_converged)


@then("a snapshot was installed")
def check_snapshot(context):
    assert context.cluster.snapshots_installed > 0


def _lose_disk(node):
    node.stop()
    node.wipe()
    node.start()


@when("a follower loses its disk")
def lose_disk(context):
    context.follower = pick_follower(context)
    context.old_member = context.follower.member
    _lose_disk(context.follower)


@then("its new disk is a learner before it is a voter")
def check_learner(context):
    def get_membership():
        return context.cluster.find_leader().core.membership

    member = context.follower.member
    context.cluster.run_until(lambda: member in get_membership().members)
    assert member in get_membership().learners
    context.cluster.run_until(lambda: member in get_membership().voters)
    assert context.follower.core.log.last_index >= 100


@when("commands are proposed every {gap:d} ms for {duration:d} ms")
def keep_proposing(context, gap, duration):
    for _ in range(duration // gap):
        _propose(context.cluster)
        context.cluster.run_for(gap)


@then("its new disk has a vote")
def check_has_vote(context):
    leader = context.cluster.find_leader()
    assert context.follower.member in leader.core.membership.voters


@then("the old disk is retired")
def check_retired(context):
    core = context.cluster.find_leader().core
    assert context.old_member in core.membership.retired


@given("a command committed by the leader and one follower only")
def commit_by_two(context):
    cluster = context.cluster
    cluster.run_until(cluster.has_converged)
    first, second = [
        n for n in cluster.nodes.values() if n is not context.leader
    ]
    context.follower = first
    second.is_frozen = True
    _commit(cluster, 1)
    context.index = cluster.max_committed
    # The third core's unhandled messages are lost, as with its connections.
    second.inbox = []
    context.third = second


@when("the leader is frozen and that follower loses its disk")
def freeze_and_lose(context):
    context.leader.is_frozen = True
    _lose_disk(context.follower)
    context.third.is_frozen = False


@then("no core leads within {limit:d} ms")
def check_no_leader(context, limit):
    context.cluster.run_for(limit)
    assert context.cluster.find_leader() is None


@then("the commit is kept once the leader resumes")
def check_commit_holds(context):
    context.cluster.thaw(context.leader)
    context.cluster.run_until(context.cluster.has_converged)
    assert context.cluster.max_committed > context.index


@when("a follower loses its disk and has its vote again")
def lose_and_repair(context):
    _lose_disk(pick_follower(context))
    context.cluster.run_until(context.cluster.has_full_membership)


@when("the leader is killed at once")
def kill_leader(context):
    context.leader = context.cluster.find_leader()
    context.leader.stop()


@when("the leader is asked to hand over leadership")
def hand_over(context):
    context.leader.run(events.HandOverRequested())


@when("{count:d} new cores join one at a time")
def join_cores(context, count):
    for _ in range(count):
        node = context.cluster.add_node(f"p{len(context.cluster.nodes)}")
        node.start()
        context.cluster.run_until(context.cluster.has_full_membership)


@then("the membership has {count:d} voters")
def check_voters(context, count):
    def has_committed():
        leader = context.cluster.find_leader()
        if leader is None:
            return False
        return leader.core.membership_index <= leader.core.commit_index

    context.cluster.run_until(has_committed)
    assert len(context.cluster.find_leader().core.membership.voters) == count


@when("the leader is removed")
def remove_leader(context):
    change = membership.Remove(context.leader.member)
    context.leader.run(events.MembershipChangeRequested(change))


@when("{count:d} commands are proposed at once")
def propose_batch(context, count):
    context.cluster.run_until(context.cluster.has_converged)
    context.syncs = context.cluster.syncs
    _propose(context.cluster, count)


@then("they are committed with at most {count:d} syncs")
def check_syncs(context, count):
    context.cluster.run_until(context.cluster.has_converged)
    assert context.cluster.syncs - context.syncs <= count


@given("{count:d} simulated clusters of {size:d} cores")
def plan_clusters(context, count, size):
    context.planned = (count, size)


@when("the leader of each is killed")
def kill_leaders(context):
    context.gaps = bench_consensus.measure_leaderless(*context.planned)


@then("the median time without a leader is at most {bound:g} election timeouts")
def check_median(context, bound):
    median = sorted(context.gaps)[len(context.gaps) // 2]
    assert median <= bound, median


@then("the longest is at most {bound:g} election timeouts")
def check_longest(context, bound):
    assert max(context.gaps) <= bound, max(context.gaps)
