"""Steps for votes that move between cores where their number is limited."""

from behave import given
from behave import then
from behave import when

from bambookeel.consensus import events
from features.fakes import consensus_chaos
from features.steps import consensus_steps


@given("{count:d} further cores that wait to join")
def add_waiting_cores(context, count):
    for _ in range(count):
        context.cluster.add_node(f"p{len(context.cluster.nodes)}").start()


@when(
    "it runs {steps:d} steps under random faults and planned stops, which"
    " then end"
)
def run_chaos_with_stops(context, steps):
    context.chaos = consensus_chaos.Chaos(
        context.cluster,
        ("stop_as_planned", "stop_as_planned", "stop_as_planned"),
    )
    context.chaos.run(steps)


@when("a follower is cut off until a further core gets its vote")
def cut_until_replaced(context):
    cluster = context.cluster
    follower = consensus_steps.pick_follower(context)
    voters = len(cluster.find_leader().core.membership.voters)
    for other in cluster.nodes:
        pair = (follower.process, other)
        cluster.cuts |= {pair, pair[::-1]}
    node = cluster.add_node(f"p{len(cluster.nodes)}")
    node.start()
    cluster.run_until(
        lambda: len(cluster.find_leader().core.membership.voters) > voters
    )
    cluster.cuts.clear()
    cluster.run_for(4_000)


@when("a follower is cut off for {duration:d} ms while a further core waits")
def cut_while_core_waits(context, duration):
    cluster = context.cluster
    context.follower = consensus_steps.pick_follower(context)
    context.newcomer = cluster.add_node(f"p{len(cluster.nodes)}")
    context.newcomer.start()
    for other in cluster.nodes:
        pair = (context.follower.process, other)
        cluster.cuts |= {pair, pair[::-1]}
    cluster.run_for(duration)
    context.membership = cluster.find_leader().core.membership
    cluster.cuts.clear()
    cluster.run_for(4_000)


@then("the further core was a learner by then")
def check_was_learner(context):
    learners = context.membership.learners
    assert context.newcomer.member in learners, learners


@then("the follower still has its vote")
def check_still_votes(context):
    voters = context.cluster.find_leader().core.membership.voters
    assert context.follower.member in voters, voters


@when("a follower announces its stop for {duration:d} ms and is started again")
def restart_as_planned(context, duration):
    cluster = context.cluster
    context.follower = consensus_steps.pick_follower(context)
    ends_ms = cluster.now_ms + duration
    while cluster.now_ms < ends_ms:
        context.follower.run(events.StopRequested())
        cluster.run_for(25)
    context.follower.stop()
    cluster.run_for(1_000)
    context.follower.start()
    cluster.run_for(4_000)
