"""Steps for simulated deployments with other bounds."""

import dataclasses

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import settings as job_settings
from features.fakes import jobs_bounds
from features.fakes import jobs_provider
from features.fakes import jobs_simulation
from features.steps import job_steps


@given("a simulation of {count:d} workers without faults and with these bounds")
def create_simulation(context, count):
    values = {row["bound"]: float(row["ms"]) for row in context.table}
    bounds = dataclasses.replace(jobs_bounds.BOUNDS, **values)
    context.sim = jobs_simulation.JobsSimulation(1, workers=count, faults=False)
    context.sim.settings = job_settings.SchedulerSettings.from_bounds(bounds)
    context.sim.start_leader()
    context.provider = jobs_provider.FakeProvider(context.sim)
    context.answer = None


@given("each run takes {ms:d} ms to restore its checkpoint")
def set_restore_time(context, ms):
    for worker in context.sim.workers.values():
        worker.restoring_ms = ms


@given("upkeeps take {ms:d} ms")
def set_upkeep_time(context, ms):
    context.provider.upkeep_ms = ms


@when("a wave of all instances one by one within {ms:d} ms is requested")
def request_wave(context, ms):
    names = tuple(f"m-{name}" for name in context.sim.workers)
    context.answer = context.sim.call(calls.StartWave(1, names, ms, 1))


@when("a new leader whose clock is {ms:d} ms ahead takes over")
def change_leader(context, ms):
    context.sim.wall_ahead_ms = ms
    context.sim.start_leader()
    context.provider.discard_answers()


@then('job "{job}" is not known')
def check_unknown(context, job):
    answer = context.sim.ask(job_steps.build_job_id(job))
    assert isinstance(answer, calls.NoSuchJob), answer


@then("no instance was ordered")
def check_no_order(context):
    assert not context.provider.orders, context.provider.orders


@then("the worker was ordered to stop both filler tasks")
def check_stopped(context):
    paces = context.sim.workers["w0"].paces
    assert list(paces.values()) == [0, 0], paces
