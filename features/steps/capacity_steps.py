"""Steps for workers whose capacity shrinks."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import pool_demand
from bambookeel.jobs import specs
from features.fakes import jobs_capacity
from features.steps import job_steps


@given("a simulation of {count:d} workers whose capacity can shrink")
def create_simulation(context, count):
    context.sim = jobs_capacity.ShrinkingSimulation(1, count)
    context.sim.lost_answers = 0
    context.sim.is_random = False
    context.sim.advance(500)


@when("all orders are lost")
def lose_orders(context):
    context.sim.lost_answers = 1


@when('orders to worker "{name}" are lost')
def lose_orders_to(context, name):
    context.sim.deaf = {name}


@when("orders arrive again")
def deliver_orders(context):
    context.sim.lost_answers = 0
    context.sim.deaf = set()


@when("the capacity of every worker shrinks to {share:f}")
def shrink_all(context, share):
    for name in context.sim.workers:
        context.sim.set_capacity(name, share)


@when('the capacity of worker "{name}" shrinks to {share:f}')
def shrink(context, name, share):
    context.sim.set_capacity(name, share)


@when('the capacity of worker "{name}" grows back')
def grow(context, name):
    context.sim.set_capacity(name, 1.0)


@when('job "{job}" of a gang of {count:d} tasks is submitted')
def submit_gang(context, job, count):
    step = specs.StepSpec(
        count, specs.Resources(1_000, 100, 0), 600, is_gang=True
    )
    job_steps.submit_spec(context, job, specs.JobSpec("body", (step,)))


@when('worker "{name}" refuses all runs')
def refuse_runs(context, name):
    context.sim.refusing = {name}


@then("{count:d} runs were refused")
def check_refusals(context, count):
    assert context.sim.refusals == count, context.sim.refusals


@when('worker "{name}" restarts')
def restart(context, name):
    assert context.sim.workers[name].running, context.sim.starts
    context.sim.restart(context.sim.workers[name])


@then('no task has started on worker "{name}"')
def check_no_starts(context, name):
    workers = {worker for _, _, _, worker in context.sim.starts}
    assert workers and name not in workers, context.sim.starts


@then("the pool is measured to have {cores:d} of {full:d} cores")
def check_pool(context, cores, full):
    simulation = context.sim
    assert sum(w.cpu_milli for w in simulation.full.values()) == full * 1_000
    state = pool_demand.measure_pool(
        simulation.scheduler.term, "pack", -1, simulation.read_now()
    )
    assert state.capacity_milli == cores * 1_000 + 200, state


@when(
    "random simulations of shrinking workers with seeds {first:d} to {last:d}"
    " are run"
)
def simulate_seeds(context, first, last):
    job_steps.simulate_each(context, first, last, jobs_capacity.simulate)
