"""Steps for votes that move between cores, where their number is bounded."""

from behave import given
from behave import then
from behave import when

from bambookeel.consensus import events
from features.fakes import consensus_chaos
from features.steps import consensus_steps


@given("{count:d} further cores that wait to be let in")
def add_strangers(context, count):
    for _ in range(count):
        context.world.add_node(f"p{len(context.world.nodes)}").start()


@when("it runs {steps:d} steps of random faults and planned stops")
def run_chaos_with_stops(context, steps):
    context.chaos = consensus_chaos.Chaos(
        context.world, ("stop", "stop", "stop")
    )
    context.chaos.run(steps)


@when("a follower is cut off until a further core gets its vote")
def cut_until_replaced(context):
    world = context.world
    follower = consensus_steps.pick_follower(context)
    voters = len(world.find_leader().core.membership.voters)
    for other in world.nodes:
        pair = (follower.process, other)
        world.cuts |= {pair, pair[::-1]}
    node = world.add_node(f"p{len(world.nodes)}")
    node.start()
    world.run_until(
        lambda: len(world.find_leader().core.membership.voters) > voters
    )
    world.cuts.clear()
    world.run_for(4_000)


@when("a follower is cut off for {duration:d} ms while a further core waits")
def cut_while_core_waits(context, duration):
    world = context.world
    context.follower = consensus_steps.pick_follower(context)
    context.newcomer = world.add_node(f"p{len(world.nodes)}")
    context.newcomer.start()
    for other in world.nodes:
        pair = (context.follower.process, other)
        world.cuts |= {pair, pair[::-1]}
    world.run_for(duration)
    context.membership = world.find_leader().core.membership
    world.cuts.clear()
    world.run_for(4_000)


@then("the further core was a learner by then")
def check_was_learner(context):
    learners = context.membership.learners
    assert context.newcomer.member in learners, learners


@then("the follower still has its vote")
def check_still_votes(context):
    voters = context.world.find_leader().core.membership.voters
    assert context.follower.member in voters, voters


@when("a follower tells of its stop for {duration:d} ms and is started again")
def restart_as_planned(context, duration):
    world = context.world
    context.follower = consensus_steps.pick_follower(context)
    ends_ms = world.now_ms + duration
    while world.now_ms < ends_ms:
        context.follower.run(events.StopRequested())
        world.run_for(25)
    context.follower.stop()
    world.run_for(1_000)
    context.follower.start()
    world.run_for(4_000)
