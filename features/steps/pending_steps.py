"""Steps for the count of jobs that have not begun."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from features.fakes import jobs_simulation
from features.steps import job_steps


@given("the simulation has run for {ms:d} ms")
def run_before(context, ms):
    context.sim.advance(ms)


@given("every worker is cut off")
def cut_off_all(context):
    for worker in context.sim.workers.values():
        worker.is_cut_off = True


@when("every worker is connected again")
def connect_all(context):
    for worker in context.sim.workers.values():
        worker.is_cut_off = False


@given("the next answers to every worker are lost")
def lose_answers(context):
    def lose(worker, orders, sent_ms):
        del orders, sent_ms
        worker.next_report_ms = (
            context.sim.now_ms + jobs_simulation.RESPONSE_TIMEOUT_MS
        )
        deaf.discard(worker.name)
        if not deaf:
            patcher.stop()

    deaf = set(context.sim.workers)
    patcher = mock.patch.object(context.sim, "apply_orders", lose)
    patcher.start()


@given("every worker refuses the next run")
def refuse_runs(context):
    def refuse(worker, order):
        worker.refuse_run(order)

    patcher = mock.patch.object(context.sim, "start_run", refuse)
    patcher.start()


@when("{count:d} jobs of 1 task are submitted")
@when("{count:d} job of 1 task is submitted")
def submit_jobs(context, count):
    for number in range(count):
        job_steps.submit_job(context, chr(ord("a") + number), 1, 1)


@then("{count:d} jobs are pending")
@then("{count:d} job is pending")
def check_pending(context, count):
    answer = context.sim.call(
        calls.CountJobs(jobs_simulation.HOST, "/o/", "key-coach")
    )
    assert answer == calls.Pending(count), answer
