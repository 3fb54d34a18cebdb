"""Steps for large services that lose their leader and many leases."""

from behave import then
from behave import when

from features.fakes import jobs_scale_runs
from features.fakes import jobs_turning_runs


@when("a large site is simulated with seed {seed:d}")
def run_site(context, seed):
    context.sim = jobs_scale_runs.simulate(seed).simulation


@when("a site whose demand turns is simulated with seed {seed:d}")
def run_turning_site(context, seed):
    context.sim = jobs_turning_runs.simulate(seed).simulation


@when("small services are simulated with seed {seed:d}")
def run_small_services(context, seed):
    context.sim = jobs_turning_runs.simulate_small(seed).simulation


@then("no task has waited for too long beside room for it")
def check_waits(context):
    found = [str(each) for each in context.sim.watch.violations.values()]
    assert not found, found
