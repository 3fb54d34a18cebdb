"""Steps for waiting tasks that fit on no instance of their pool."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from features.fakes import jobs_pools
from features.steps import job_steps

_POOL = jobs_pools.POOLS[0]


@given(
    "a simulation of 3 pools of {members:d} instances and {spare:d} spare ones"
)
def create_simulation(context, members, spare):
    context.sim = jobs_pools.PoolsSimulation(1, members, spare)
    context.sim.advance(1_000)


@given(
    "a standing job of {count:d} tasks of {mb:d} MB each, on instances of their"
    " own"
)
def submit_standing(context, count, mb):
    step = specs.StepSpec(
        count=count,
        needs=specs.Resources(1_000, mb, 0),
        max_per_instance=1,
        is_standing=True,
    )
    context.sim.submit_to(_POOL, "5" * 16, specs.JobSpec("body", (step,)))
    context.sim.advance(1_000)


@given("all workers of the pool have crashed for good")
def crash_pool(context):
    for worker in context.sim.list_workers(_POOL):
        context.sim.crash(worker)
    context.sim.advance(6_000)


@when(
    'job "{job}" of {count:d} {kind} of {cpu:d} milli-cores and {mb:d} MB with'
    ' label "{label}" is submitted'
)
@when(
    'job "{job}" of {count:d} {kind} of {cpu:d} milli-cores and {mb:d} MB with'
    ' label "" is submitted'
)
def submit_job(context, job, count, kind, cpu, mb, label=""):
    step = specs.StepSpec(
        count=count,
        needs=specs.Resources(cpu, mb, 0),
        estimate_ms=600,
        is_gang=kind == "gang tasks",
        is_standing=kind == "fillers",
        is_filler=kind == "fillers",
        label=label,
    )
    name = job_steps.build_job_id(job)
    context.sim.submit_to(_POOL, name, specs.JobSpec("body", (step,)))


@then("{count:d} standing tasks are at work")
def check_standing(context, count):
    running = sum(
        context.sim.specs[task.job].steps[task.step].is_standing
        for worker in context.sim.workers.values()
        for task in worker.running
    )
    assert running == count, running


@then("no instance has moved to the pool")
def check_no_moves(context):
    names = [worker.name for worker in context.sim.list_workers(_POOL)]
    assert all(name.startswith(_POOL) for name in names), names
    goals = context.sim.scheduler.term.instance_controller.fleet.goals
    for goal in goals.values():
        assert goal.order != instances.Move(goal.order.instance, _POOL), goal


@when("random simulations of pools with seeds {first:d} to {last:d} are run")
def run_random(context, first, last):
    context.violations = {}
    for seed in range(first, last + 1):
        found = jobs_pools.simulate(seed)
        if found:
            context.violations[seed] = found


@then(
    "the log says once a second that a step of job {job} waits because of"
    ' "{reason}"'
)
def check_waiting_log(context, job, reason):
    name = job_steps.build_job_id(job.strip('"'))
    lines = [
        fields["reason"]
        for fields in context.sim.get_events("step_waiting")
        if fields["job"] == name
    ]
    assert 8 <= len(lines) <= 10, lines
    assert set(lines) == {reason}, lines


@given("the provider is silent")
def silence_provider(context):
    context.sim.is_provider_silent = True


@when("the pools get peaks of jobs one after another for {ms:d} ms")
def submit_peaks(context, ms):
    spec = specs.JobSpec(
        "body",
        (
            specs.StepSpec(
                count=8, needs=specs.Resources(2_000, 1_000, 0), estimate_ms=800
            ),
        ),
    )
    peak_ms = 5_000
    context.jobs = []
    for number in range(ms // 250):
        pool = jobs_pools.POOLS[(number * 250 // peak_ms) % 3]
        name = f"{number:016x}"
        answer = context.sim.submit_to(pool, name, spec)
        if isinstance(answer, calls.Done):
            context.jobs.append(name)
        context.sim.advance(250)


@then("all jobs have ended")
def check_all_ended(context):
    book = context.sim.scheduler.book
    still_open = [name for name in context.jobs if book.jobs[name].is_open]
    assert context.jobs and not still_open, still_open


@given("the provider lists twice the capacity that spare instances have")
def list_too_much(context):
    context.sim.listed_factor = 2
    context.sim.start_leader()
    context.sim.advance(1_000)


@then("at most {count:d} instances have moved to the pool")
def check_few_moves(context, count):
    moves = [
        event
        for event in context.sim.get_events("move_chosen")
        if event["pool"] == _POOL
    ]
    assert 1 <= len(moves) <= count, moves
