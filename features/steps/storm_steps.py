"""Steps for storms of jobs that crash their workers."""

from behave import then
from behave import when

from features.fakes import jobs_storm


@when(
    "jobs arrive for 5 s at {load:d} times what {workers:d} workers hold, of"
    " which {percent:d} of 100 are deadly, with seed {seed:d}"
)
def run_storm(context, load, workers, percent, seed):
    context.storm = jobs_storm.simulate(seed, workers, percent / 100, load)
    assert context.storm.crashes, "no worker has crashed"


@then("a crash takes tasks of at most {jobs:d} jobs at the median")
def check_jobs_a_crash(context, jobs):
    assert context.storm.jobs_a_crash <= jobs, context.storm.jobs_a_crash


@then("no sound job is given up")
def check_given_up(context):
    assert not context.storm.sound_given_up, context.storm.sound_given_up


@then("no job waits for 3 s beside room for it")
def check_starved(context):
    assert not context.storm.starved, [str(v) for v in context.storm.starved]
