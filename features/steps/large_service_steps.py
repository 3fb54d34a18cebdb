"""Steps for large services that lose their leader and many leases."""

from behave import then
from behave import when

from features.fakes import jobs_scale_runs


@when("a large site is simulated with seed {seed:d}")
def run_site(context, seed):
    context.sim = jobs_scale_runs.simulate(seed).simulation


@then("no task has waited for too long beside room for it")
def check_waits(context):
    found = [str(each) for each in context.sim.watch.violations.values()]
    assert not found, found
