"""Steps for jobs of teams in the simulation of the scheduler."""

import dataclasses
import functools

from behave import given
from behave import then
from behave import when

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from features.fakes import jobs_provider
from features.fakes import jobs_runs
from features.fakes import jobs_simulation

_CAP_MILLI = 30_000


def build_job_id(job):
    return f"{ord(job):016x}"


@given("a simulation of {count:d} workers without faults")
def create_simulation(context, count):
    context.sim = jobs_simulation.JobsSimulation(1, workers=count, faults=False)
    context.provider = jobs_provider.FakeProvider(context.sim)
    context.answer = None


@given("every run fails")
def let_runs_fail(context):
    context.sim.failure_rate = 1.0


def submit_spec(context, job, spec, key="key-coach", path="/o/"):
    context.sim.specs.setdefault(build_job_id(job), spec)
    context.answer = context.sim.call(
        calls.SubmitJob(
            jobs_simulation.HOST,
            f"{path}{build_job_id(job)}",
            key,
            build_job_id(job),
            spec,
        )
    )


def build_spec(steps, count):
    return specs.JobSpec(
        "body",
        tuple(
            specs.StepSpec(
                count=count,
                needs=specs.Resources(1_000, 100, 0),
                estimate_ms=500,
                after=(i - 1,) if i else (),
            )
            for i in range(steps)
        ),
    )


@when('job "{job}" of {steps:d} step of {count:d} tasks is submitted')
@when('job "{job}" of {steps:d} steps of {count:d} tasks is submitted')
@when('job "{job}" of {steps:d} step of {count:d} task is submitted')
def submit_job(context, job, steps, count):
    submit_spec(context, job, build_spec(steps, count))


@when('job "{job}" of 1 step of {count:d} tasks of {ms:d} ms is submitted')
@when('job "{job}" of 1 step of {count:d} task of {ms:d} ms is submitted')
def submit_long_job(context, job, count, ms):
    context.sim.run_duration_ms = ms
    submit_spec(context, job, build_spec(1, count))


@when('job "{job}" of 1 task of {ms:d} ms that allows copies is submitted')
def submit_copied_job(context, job, ms):
    context.sim.run_duration_ms = ms
    step = specs.StepSpec(
        1, specs.Resources(1_000, 100, 0), ms, allows_copies=True
    )
    submit_spec(context, job, specs.JobSpec("body", (step,)))


@given("the provider's first answer to each order is lost")
def drop_first_answers(context):
    context.provider.drops_first_answer = True


@when('job "{job}" is submitted with key "{key}"')
def submit_with_key(context, job, key):
    submit_spec(context, job, build_spec(1, 1), key=key)


@when('job "{job}" is submitted at "{path}"')
def submit_at_path(context, job, path):
    submit_spec(context, job, build_spec(1, 1), path=path)


@when('job "{job}" is cancelled')
def cancel(context, job):
    context.answer = context.sim.cancel(build_job_id(job))


@when("the simulation runs for {ms:d} ms")
def run_simulation(context, ms):
    context.sim.advance(ms)


@when("the simulation runs with a provider for {ms:d} ms")
def run_with_provider(context, ms):
    context.provider.advance(ms)


@when("every worker restarts")
def restart_workers(context):
    for worker in list(context.sim.workers.values()):
        context.sim.restart(worker)


def find_running(context):
    for worker in context.sim.workers.values():
        if worker.running:
            return worker
    raise AssertionError("nothing runs")


@when("the worker that runs it is cut off")
def cut_off_worker(context):
    worker = find_running(context)
    context.reported_checkpoint = next(iter(worker.running.values())).saved
    worker.is_cut_off = True


@when("the worker that runs it sends an old report again")
def repeat_report(context):
    worker = find_running(context)
    report = dataclasses.replace(worker).make_report(context.sim.now_ms)
    old = calls.WorkerReport(
        **{
            field: getattr(report, field)
            for field in report.__struct_fields__
            if field != "number"
        },
        number=1,
    )
    context.answer = context.sim.call(old)


@given("one worker makes no progress with its runs")
def stall_worker(context):
    context.sim.workers["w0"].stalls_runs = True


@given("one worker fails all its runs")
def let_worker_fail(context):
    context.sim.workers["w0"].fails_runs = True


@then("at most {count:d} runs ended as failed")
def check_failures(context, count):
    failures = [
        task
        for job in context.sim.scheduler.book.jobs.values()
        for step in job.steps.values()
        for task in step.tasks
        if task.failures
    ]
    assert sum(task.failures for task in failures) <= count, failures


@when("a new leader takes over")
def change_leader(context):
    context.leader_changed_ms = context.sim.now_ms
    context.sim.start_leader()
    context.provider.discard_answers()


@when("a configuration without queues is put in force")
def drop_queues(context):
    document = context.sim.build_document(2)
    values = {
        field: getattr(document, field) for field in document.__struct_fields__
    }
    values["queues"] = ()
    context.answer = context.sim.put_document(type(document)(**values))


@when("the first configuration is put in force again")
def put_first_again(context):
    context.answer = context.sim.put_document(context.sim.build_document())


@then("version {version:d} is in force")
def check_version(context, version):
    found = context.sim.scheduler.book.configuration.document.version
    assert found == version, found


@then('the answer is "{name}"')
def check_answer(context, name):
    assert type(context.answer).__name__ == name, context.answer


@then('job "{job}" is "{state}"')
def check_state(context, job, state):
    context.answer = context.sim.ask(build_job_id(job))
    assert isinstance(context.answer, calls.JobIs), context.answer
    assert context.answer.state is specs.JobState(state), context.answer


@then('its caller gets the reason "{reason}"')
def check_reason(context, reason):
    assert context.answer.reason == reason, context.answer


@then('the book says that job "{job}" is "{state}"')
def check_book_state(context, job, state):
    found = context.sim.scheduler.book.jobs[build_job_id(job)].state
    assert found is specs.JobState(state), found


@then("{count:d} runs have started")
@then("{count:d} run has started")
def check_starts(context, count):
    assert len(context.sim.starts) == count, context.sim.starts


@then("nothing runs")
def check_nothing_runs(context):
    for worker in context.sim.workers.values():
        assert not worker.running, worker


@then("no guarantee was violated")
def check_guarantees(context):
    assert not context.sim.violations, context.sim.violations


@given(
    "a standing job of {count:d} tasks of which {missing:d} may be unavailable"
)
def submit_standing_job(context, count, missing, most=1):
    step = specs.StepSpec(
        count=count,
        needs=specs.Resources(1_000, 100, 0),
        max_per_instance=most,
        is_standing=True,
        max_missing=missing,
    )
    submit_spec(context, "s", specs.JobSpec("body", (step,)))
    context.sim.advance(2_000)


@given(
    "a standing job of {count:d} tasks, several on an instance, of which"
    " {missing:d} may be unavailable"
)
def submit_crowded_job(context, count, missing):
    submit_standing_job(context, count, missing, most=0)


@when("a wave of all instances with {most:d} at once is requested")
def request_wave(context, most):
    names = tuple(f"m-{name}" for name in context.sim.workers)
    context.answer = context.sim.call(calls.StartWave(1, names, 30_000, most))


@when('wave {number:d} of instance "{name}" is requested')
def request_wave_of_one(context, number, name):
    context.answer = context.sim.call(
        calls.StartWave(number, (name,), 30_000, 1)
    )


@given("{count:d} instances are in the spare pool")
def add_spare(context, count):
    simulation = context.sim
    document = simulation.build_document(2)
    services = (
        configuration.Service("pack"),
        configuration.Service("spare", is_spare=True),
    )
    values = {
        field: getattr(document, field) for field in document.__struct_fields__
    }
    simulation.put_document(type(document)(**{**values, "services": services}))
    _list_with_spare(simulation, count)


def _list_with_spare(simulation, count):
    up = instances.InstancePhase.UP
    listed = [
        instances.Instance(f"s{i}", "spare", up, "dc") for i in range(count)
    ]
    listed += [
        instances.Instance(f"m-{worker.name}", "pack", up, "dc")
        for worker in simulation.workers.values()
    ]
    simulation.scheduler.handle_instance_list(
        tuple(listed), simulation.now_ms + 1
    )
    simulation.commit()


@when("a new leader takes over and gets reports of only one worker")
def change_leader_with_one_report(context):
    change_leader(context)
    _list_with_spare(context.sim, 9)
    for worker in list(context.sim.workers.values())[1:]:
        worker.is_cut_off = True


@then("no instance is moving to another pool")
def check_no_goals(context):
    goals = context.sim.scheduler.term.instance_controller.fleet.goals
    assert not goals, goals


@then("the wave is complete")
def check_wave(context):
    answer = context.sim.call(calls.AskWave(1))
    assert answer == calls.WaveIs(True), answer


@then("never more than {most:d} standing task was interrupted at a time")
def check_interrupted(context, most):
    assert (
        context.provider.max_interrupted == most
    ), context.provider.max_interrupted


@then("never more than {most:d} instance was down at a time")
def check_down(context, most):
    assert context.provider.max_down == most, context.provider.max_down


@then("an instance was ordered within {ms:d} ms of the change of leader")
def check_ordered_soon(context, ms):
    soon = [
        order
        for order in context.provider.orders
        if context.leader_changed_ms
        < order[0]
        <= context.leader_changed_ms + ms
    ]
    assert soon, context.provider.orders


@then("no instance was ordered by two leaders within {ms:d} ms")
def check_distances(context, ms):
    orders = context.provider.orders
    for at_ms, term, instance in orders:
        for other_ms, other_term, other in orders:
            if instance == other and term < other_term:
                assert other_ms - at_ms >= ms, orders


def simulate_each(context, first, last, simulate):
    """Runs a simulation for each seed and keeps the violated guarantees."""
    context.violations = {}
    for seed in range(first, last + 1):
        violations = simulate(seed)
        if violations:
            context.violations[seed] = violations


@when("random job simulations with seeds {first:d} to {last:d} are run")
def simulate_seeds(context, first, last):
    def simulate(seed):
        return jobs_runs.simulate(seed, _CAP_MILLI if seed % 2 else 0)

    simulate_each(context, first, last, simulate)


@when(
    "random job simulations with an advisor and seeds {first:d} to {last:d}"
    " are run"
)
def simulate_with_advisor(context, first, last):
    simulate = functools.partial(jobs_runs.simulate, has_advisor=True)
    simulate_each(context, first, last, simulate)


@then("no run has violated a guarantee")
def check_runs(context):
    assert not context.violations, context.violations
