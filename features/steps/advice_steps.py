"""Steps for queues whose workers need an advisor's approval."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import specs
from features.fakes import jobs_advisor
from features.steps import job_steps


def _use_advisor(context, **policy):
    simulation = context.sim
    simulation.advisor = jobs_advisor.FakeAdvisor(simulation, **policy)
    simulation.put_document(simulation.build_document(version=2))


@given("an advisor that allows half of the workers")
def use_advisor(context):
    _use_advisor(context)


@given("an advisor whose tickets are valid for {ms:d} ms")
def use_ticket_validity(context, ms):
    _use_advisor(context, valid_ms=ms)


@given('an advisor that allows only "{names}"')
def use_named_workers(context, names):
    _use_advisor(context, allowed=frozenset(names.split(",")))


@given("the advisor does not answer")
def stop_answers(context):
    context.sim.advisor.is_silent = True


@when("the advisor answers again")
def resume_answers(context):
    context.sim.advisor.is_silent = False


@given("a second queue without an advisor")
def check_queue_without_advisor(context):
    queues = context.sim.scheduler.book.configuration.document.queues
    assert [queue.name for queue in queues if not queue.ticket_ms] == ["free"]


@given("{count:d} more workers")
def add_workers(context, count):
    for i in range(count):
        context.sim.add_worker(f"w{8 + i}", "pack")


@when('job "{job}" of {count:d} tasks on different instances is submitted')
def submit_spread_job(context, job, count):
    step = specs.StepSpec(
        count, specs.Resources(1_000, 100, 0), 500, max_per_instance=1
    )
    job_steps.submit_spec(context, job, specs.JobSpec("body", (step,)))


@then("the advisor was asked about each step once")
def check_asked_once(context):
    asked = [question.step for question in context.sim.advisor.questions]
    assert asked and len(asked) == len(set(asked)), asked


@then("the advisor was asked about {count:d} steps")
def check_asked_steps(context, count):
    asked = {question.step for question in context.sim.advisor.questions}
    assert len(asked) == count, asked


@then("no question named more than {count:d} workers")
def check_question_size(context, count):
    sizes = [len(q.workers) for q in context.sim.advisor.questions]
    assert max(sizes) <= count, sizes


@then("no worker refused a start")
def check_refused(context):
    assert context.sim.advisor.refused_starts == 0
