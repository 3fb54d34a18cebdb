"""Steps for what one turn of the leader costs."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from bambookeel.node import call_turn
from features.fakes import jobs_costs
from features.fakes import jobs_simulation
from features.steps import job_steps

# Twice the tasks may cost this much more: somewhat above twice, where sorting
# is part of a step.
_MAX_GROWTH = 2.5
# Costs below this are of no account.
_MIN_COST = 20_000


@when("{shape} jobs of {few:d} and {many:d} tasks are played")
def play_widths(context, shape, few, many):
    context.costs = []
    for width in (few, many):
        simulation = jobs_costs.CostSimulation()
        simulation.play(shape, width)
        context.costs.append(simulation.costs)


@then("no step of the leader costs more than in proportion")
def check_growth(context):
    few, many = context.costs
    growth = {
        kind: round(cost / few[kind], 1)
        for kind, cost in many.items()
        if cost > _MIN_COST
    }
    too_much = {k: ratio for k, ratio in growth.items() if ratio > _MAX_GROWTH}
    assert growth and not too_much, (too_much, growth)


@given("a simulation of six wide workers")
def create_simulation(context):
    context.sim = jobs_costs.CostSimulation()


@when('job "{job}" of one step of {count:d} small tasks is submitted')
def submit_wide(context, job, count):
    step = specs.StepSpec(
        count=count, needs=specs.Resources(12, 1, 0), estimate_ms=1_000
    )
    context.sim.submit_wide(step, job_steps.build_job_id(job))


@when("{count:d} jobs wait that no worker has room for")
def submit_unplaceable(context, count):
    step = specs.StepSpec(
        1, specs.Resources(12, 1, 0), 1_000, label="nowhere", max_per_instance=1
    )
    for number in range(count):
        job = f"{number + 10**6:016x}"
        call = calls.SubmitJob(
            jobs_simulation.HOST,
            f"/o/{job}",
            "key-coach",
            job,
            specs.JobSpec("body", (step,)),
        )
        context.sim.scheduler.handle(call, context.sim.read_now())


@then("no plan has assigned more than {count:d} runs")
def check_assigned(context, count):
    assert 0 < context.sim.assigned <= count, context.sim.assigned


@then('{count:d} tasks of job "{job}" have started')
def check_started(context, count, job):
    job = job_steps.build_job_id(job)
    started = {task for _, task, _, _ in context.sim.starts if task.job == job}
    assert len(started) == count, len(started)


@given("{count:d} reports of {rows:d} runs wait")
def add_reports(context, count, rows):
    simulation = jobs_costs.CostSimulation()
    report = simulation.workers["w0"].make_report(0)
    runs = tuple(
        calls.RunningRun(specs.TaskRef("a" * 16, 0, 0, i), 1, "", 0)
        for i in range(rows)
    )
    report = type(report)(
        **{
            **{
                name: getattr(report, name) for name in report.__struct_fields__
            },
            "running": runs,
        }
    )
    context.waiting = [(report, number) for number in range(count)]


@given("a job of {count:d} tasks is submitted after them")
def add_submission(context, count):
    spec = specs.JobSpec("", (specs.StepSpec(count),))
    call = calls.SubmitJob("h", "/p/", "k", "a" * 16, spec)
    context.waiting.append((call, len(context.waiting)))


@then("turns of {sizes} calls handle them in order")
def check_turns(context, sizes):
    found = []
    left = context.waiting
    numbers = []
    while left:
        accepted, left = call_turn.split_calls(left, 200)
        found.append(len(accepted))
        numbers += [number for _, number in accepted]
    assert found == [int(size) for size in sizes.split(",")], found
    assert numbers == sorted(numbers)
