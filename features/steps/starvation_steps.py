"""Steps for tasks that wait for a worker although there is room for them."""

import dataclasses
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.jobs import specs
from features.fakes import jobs_starvation
from features.steps import crash_steps
from features.steps import job_steps


@when(
    "{jobs:d} jobs arrive at once of which {percent:d} of 100 crash their"
    " workers, with seed {seed:d}"
)
def run_peak(context, jobs, percent, seed):
    context.starved, context.open_jobs = jobs_starvation.simulate(
        seed, jobs, percent / 100
    )


@then("no job has waited for more than 3 s while there was room for it")
def check_starved(context):
    assert not context.starved, context.starved


@then("every job has ended")
def check_ended(context):
    assert not context.open_jobs, context.open_jobs


@given(
    "a simulation of 1 worker whose team coach is capped at 4 cores and uses"
    " them"
)
def create_capped(context):
    crash_steps.create_simulation(context, 1, 1)
    document = context.sim.build_document(version=2)
    coach, school = document.teams
    coach = msgspec.structs.replace(coach, cap=specs.Resources(4_000, 0, 0))
    context.sim.put_document(
        msgspec.structs.replace(document, teams=(coach, school))
    )
    step = specs.StepSpec(
        count=4, needs=specs.Resources(1_000, 100, 0), is_standing=True
    )
    context.sim.submit("a" * 16, specs.JobSpec("body", (step,)))
    context.sim.advance(1_000)


def _submit_suspect(context, job, key, evidence):
    step = specs.StepSpec(
        count=1, needs=specs.Resources(1_000, 100, 0), estimate_ms=600
    )
    context.sim.submit(job, specs.JobSpec("body", (step,)), key)
    book = context.sim.scheduler.book
    task = book.get_task(specs.TaskRef(job, 0, 0, 0))
    task.evidence, task.crashes = evidence, 1
    book.crashes.suspects[task.ref] = None


@when("a suspect job of team coach and then one of team school wait")
def submit_suspects(context):
    with mock.patch.object(context.sim.scheduler, "plan"):
        _submit_suspect(context, "b" * 16, "key-coach", 8)
        _submit_suspect(context, "c" * 16, "key-school", 4)


@then("the job of team school has ended")
def check_school_job(context):
    job = context.sim.scheduler.book.jobs["c" * 16]
    assert job.state is specs.JobState.COMPLETED, job.state


@when("a new leader hears the report before its order, but cannot answer it")
def hear_earlier_report(context):
    worker = job_steps.find_running(context)
    run = next(iter(worker.running.values()))
    incarnation = specs.WorkerIncarnation(worker.name, worker.born_wall_ms)
    assigned = context.sim.scheduler.book.assigned_runs[incarnation][run.task]
    earlier = dataclasses.replace(
        worker, running={}, report_number=assigned.report_number - 1
    ).make_report(context.sim.now_ms)
    worker.is_cut_off = True
    context.sim.start_leader()
    # Its answer is not built, since the leader cannot confirm its lease.
    context.sim.scheduler.handle(earlier, context.sim.read_now())
