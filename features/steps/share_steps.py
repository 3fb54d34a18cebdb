"""Steps for teams' shares and caps."""

from behave import given
from behave import then
from behave import when

from features.fakes import jobs_provider
from features.fakes import jobs_simulation
from features.steps import job_steps


@given(
    "a simulation of {count:d} workers without faults in which teams are capped"
    " at {cores:d} cores"
)
def create_capped_simulation(context, count, cores):
    context.sim = jobs_simulation.JobsSimulation(
        1, workers=count, cap_milli=cores * 1_000, faults=False
    )
    context.provider = jobs_provider.FakeProvider(context.sim)


@when('job "{job}" of {count:d} tasks is submitted with key "{key}"')
def submit_many_tasks(context, job, count, key):
    context.sim.run_duration_ms = 1_000
    job_steps.submit_spec(context, job, job_steps.build_spec(1, count), key=key)


@then(
    'tasks of jobs "{first}" and "{second}" were started in the ratio'
    " {more:d} to {less:d}, within {percent:d}%"
)
def check_shares(context, first, second, more, less, percent):
    # Only starts after the submission of the second job depend on shares.
    since_ms = context.sim.now_ms - 8_000
    started = [
        task.job for at_ms, task, _, _ in context.sim.starts if at_ms > since_ms
    ]
    share = started.count(job_steps.build_job_id(first)) / len(started)
    wanted = more / (more + less)
    assert abs(share - wanted) <= percent / 100 * wanted, share


@then("all workers are full")
def check_full(context):
    for worker in context.sim.workers.values():
        assert len(worker.running) == 16, worker
