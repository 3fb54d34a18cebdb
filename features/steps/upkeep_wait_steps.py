"""Steps for tasks beside instances whose upkeep has got no answer."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import fleet
from bambookeel.jobs import specs
from features.fakes import jobs_scale

_SERVICE = jobs_scale.SERVICES[0]
_JOB = "a" * 16


@given("a large simulation of {members:d} workers a service")
def create_simulation(context, members):
    context.sim = jobs_scale.ScaleSimulation(1, members, 0)
    context.sim.advance(1_000)
    context.sim.has_watch = True


@given("a standing job of {count:d} tasks, one on each worker at most")
def submit_standing(context, count, job=_JOB, max_missing=1):
    step = specs.StepSpec(
        count,
        specs.Resources(4_000, 1_000, 0),
        max_per_instance=1,
        is_standing=True,
        max_missing=max_missing,
    )
    spec = specs.JobSpec("body", (step,))
    context.sim.submit_as(jobs_scale.TEAMS[0], _SERVICE, job, spec)
    context.sim.advance(1_000)


@given("another standing job of {count:d} tasks, one on each worker at most")
def submit_another_standing(context, count):
    submit_standing(context, count, "b" * 16)


@given("a standing job of {count:d} tasks that may miss {most:d} of them")
def submit_missing(context, count, most):
    submit_standing(context, count, max_missing=most)


@when("the provider falls silent once {count:d} upkeeps are carried out")
def await_upkeeps(context, count):
    names = [w.instance for w in context.sim.list_workers(_SERVICE)]
    while True:
        goals = context.sim.scheduler.term.instance_controller.fleet.goals
        away = [
            goal
            for name, goal in goals.items()
            if name in names and goal.phase is fleet.GoalPhase.AWAY
        ]
        if len(away) == count:
            break
        context.sim.advance(25)
    context.sim.is_provider_silent = True
    context.sim.watch.note_disturbance()


@when("a wave of upkeep takes {count:d} instances at once")
def start_wave(context, count):
    names = tuple(
        worker.instance for worker in context.sim.list_workers(_SERVICE)
    )
    context.sim.call(calls.StartWave(1, names, 60_000, count))


@when("{seconds:d} s pass in the large simulation")
def pass_time(context, seconds):
    context.sim.advance(seconds * 1_000)


@when("{seconds:d} s pass until a new leader starts")
def pass_time_to_leader(context, seconds):
    pass_time(context, seconds)
    context.sim.start_leader()
    pass_time(context, 1)


@when("{seconds:d} s pass until a new leader starts and gets a list")
def pass_time_to_listing_leader(context, seconds):
    pass_time(context, seconds)
    context.sim.start_leader()
    context.sim.is_provider_silent = False
    listed = context.sim.list_instances()
    context.sim.is_provider_silent = True
    scheduler = context.sim.scheduler
    scheduler.handle_instance_list(listed, context.sim.now_ms)
    pass_time(context, 6)


@when("a worker, if possible without upkeep, is gone for good")
def lose_worker(context):
    goals = context.sim.scheduler.term.instance_controller.fleet.goals
    ordered = context.sim.scheduler.book.instances.waves[1].ordered
    running = [w for w in context.sim.list_workers(_SERVICE) if w.running]
    running.sort(key=lambda w: w.instance in goals or w.instance in ordered)
    context.sim.crash(running[0])


@when("the worker that runs both is gone for good")
def lose_worker_of_both(context):
    workers = context.sim.list_workers(_SERVICE)
    (worker,) = [w for w in workers if len(w.running) == 2]
    context.sim.crash(worker)


@when("a worker is gone for good")
def lose_any_worker(context):
    workers = context.sim.list_workers(_SERVICE)
    context.sim.crash(next(w for w in workers if w.running))


@when("a job of 1 short task is submitted once they drain")
def submit_short(context):
    context.sim.advance(200)
    step = specs.StepSpec(1, specs.Resources(4_000, 1_000, 0), 600)
    spec = specs.JobSpec("body", (step,))
    context.sim.submit_as(jobs_scale.TEAMS[0], _SERVICE, "c" * 16, spec)


@then("{count:d} standing tasks run")
def check_standing(context, count):
    running = [
        ref
        for worker in context.sim.list_workers(_SERVICE)
        for ref in worker.running
    ]
    assert len(running) == count, running


@then("for {seconds:d} s at least {count:d} standing tasks run at any time")
def check_available(context, seconds, count):
    for _ in range(seconds * 10):
        context.sim.advance(100)
        running = sum(
            len(worker.running) for worker in context.sim.list_workers(_SERVICE)
        )
        assert running >= count, (context.sim.now_ms, running)


@then("the upkeep of {count:d} instances has ended")
def check_upkeeps(context, count):
    wave = context.sim.scheduler.book.instances.waves[1]
    left = (*wave.waiting, *wave.ordered)
    assert len(wave.request.instances) - len(left) == count, left


@when("the silent provider is back")
def end_silence(context):
    context.sim.is_provider_silent = False
