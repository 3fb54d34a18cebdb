"""Steps for why tasks wait, and for the watch that finds such tasks."""

from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.jobs import book_crashes
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.jobs import waiting
from features.fakes import jobs_crashes
from features.fakes import jobs_watch

_JOB = "a" * 16
_CHECK_MS = 100
_NEEDS = specs.Resources(1_000, 100, 0)


@given("a simulation of {count:d} watched workers")
def create_simulation(context, count):
    context.sim = jobs_crashes.CrashingSimulation(1, count)
    context.sim.renames = False
    # A new leader then knows their instances.
    context.sim.start_leader()
    context.sim.advance(1_000)
    context.watch = jobs_watch.Watch(context.sim)


@given("a standing job of 2 tasks, one on each worker")
def submit_standing(context):
    step = specs.StepSpec(2, _NEEDS, max_per_instance=1, is_standing=True)
    context.sim.submit(_JOB, specs.JobSpec("body", (step,)))
    watch(context, 1_000)


@given("a third worker")
def add_third_worker(context):
    context.sim.add_worker("w2", "pack")
    context.sim.advance(500)


def watch(context, span_ms):
    """Runs the simulation for some time with frequent checks."""
    for _ in range(span_ms // _CHECK_MS):
        context.sim.advance(_CHECK_MS)
        context.watch.check()


@when("{seconds:d} s pass under the watch")
@when("{seconds:d} s passes under the watch")
def pass_time(context, seconds):
    watch(context, seconds * 1_000)


@when("the plan passes over all tasks")
def stop_plan(context):
    patch = mock.patch("bambookeel.jobs.planning.plan")
    patch.start()
    context.add_cleanup(patch.stop)


def _crash(context, down_ms):
    context.sim.down_ms = down_ms
    context.sim.crash_worker(context.sim.workers["w1"])


def _find_task(context):
    """Finds the task that ran on the second worker."""
    (ref,) = context.sim.workers["w1"].running
    return ref


@when("a worker crashes and is back after {seconds:d} s")
def crash_worker(context, seconds):
    _crash(context, seconds * 1_000)


@when("a job of 1 task is submitted")
def submit_job(context):
    step = specs.StepSpec(1, _NEEDS, estimate_ms=600)
    context.sim.submit("b" * 16, specs.JobSpec("body", (step,)))


@when(
    "a job of 1 task that needs 9 cores and a label of one worker is submitted"
)
def submit_labelled(context):
    worker = context.sim.workers["w0"]
    worker.labels = ("only", *worker.labels)
    context.sim.advance(1_000)
    needs = specs.Resources(9_000, 100, 0)
    step = specs.StepSpec(1, needs, estimate_ms=600, label="only")
    context.sim.submit("b" * 16, specs.JobSpec("body", (step,)))


@then("the watch reports nothing")
def check_nothing(context):
    violations = context.watch.violations
    assert not violations, [str(each) for each in violations.values()]


@then('the watch reports 1 {kind} because of "{reason}"')
def check_report(context, kind, reason):
    (found,) = context.watch.violations.values()
    assert found.is_standing == (kind == "standing task"), found
    assert found.reason.value == reason, found


@when("nothing happens")
def do_nothing(context):
    context.task = _find_task(context)


@when("a worker is cut off for 2 s")
def cut_off(context):
    context.task = _find_task(context)
    context.sim.workers["w1"].is_cut_off = True
    watch(context, 2_000)


@when("a worker is cut off and a new leader starts")
def cut_off_from_new(context):
    context.task = _find_task(context)
    context.sim.workers["w1"].is_cut_off = True
    context.sim.start_leader()
    watch(context, 2_000)


@when("a worker loses each order to start its new task")
def lose_orders(context):
    context.task = _find_task(context)
    _crash(context, 1_000)
    context.sim.deaf_until_ms = context.sim.now_ms + 60_000
    watch(context, 2_000)


@when("a worker is gone for {seconds:d} s")
def lose_worker(context, seconds):
    context.task = _find_task(context)
    _crash(context, 60_000)
    watch(context, seconds * 1_000)


@when("a worker is gone and the other one has no room")
def lose_worker_and_room(context):
    context.sim.workers["w0"].capacity = specs.Resources(1_500, 64_000, 0)
    lose_worker(context, 6)


def _lose_and_add_worker(context):
    """Replaces a worker by one that the plan does not use yet."""
    with mock.patch("bambookeel.jobs.planning.plan"):
        lose_worker(context, 6)
        context.sim.add_worker("w2", "pack")
        context.sim.advance(500)


@when("a new worker has an instance that is to move")
def add_moving_worker(context):
    _lose_and_add_worker(context)
    listed = (
        instances.Instance(
            "m-w2", "pack", instances.InstancePhase.UP, "dc", "w2"
        ),
    )
    scheduler = context.sim.scheduler
    scheduler.handle_instance_list(listed, context.sim.now_ms)
    scheduler.term.instance_controller.set_goal(
        instances.Move("m-w2", "other"), context.sim.now_ms
    )


@when("a new worker is suspect")
def add_suspect_worker(context):
    _lose_and_add_worker(context)
    worker = context.sim.scheduler.term.workers.by_id["w2"]
    worker.health.suspect_until_ms = context.sim.now_ms + 60_000


@when("a task waits until its silent worker is known")
def hold_task(context):
    _lose_and_add_worker(context)
    book = context.sim.scheduler.book
    book.get_task(context.task).evidence = 8
    silent = book_crashes.SilentWorker(
        "m-w1", ((context.task, 4),), context.sim.read_now().wall_ms
    )
    book.crashes.restore_silent([(specs.WorkerIncarnation("w1", 1), silent)])


@when("its team is at its cap")
def cap_team(context):
    _lose_and_add_worker(context)
    document = context.sim.build_document(version=2)
    coach, school = document.teams
    coach = msgspec.structs.replace(coach, cap=specs.Resources(1_000, 0, 0))
    document = msgspec.structs.replace(document, teams=(coach, school))
    with mock.patch("bambookeel.jobs.planning.plan"):
        context.sim.put_document(document)


@when("its run is withdrawn")
def withdraw_run(context):
    context.task = _find_task(context)
    run = context.sim.workers["w1"].running[context.task].run
    context.sim.scheduler.term.withdrawn.add((context.task, run))


@when("its job is cancelled")
def cancel_job(context):
    context.task = _find_task(context)
    context.sim.cancel(_JOB)


@then('the reason for one task is "{reason}"')
def check_reason(context, reason):
    term = context.sim.scheduler.term
    found = waiting.find_reason(term, context.task, context.sim.read_now())
    assert found.value == reason, found


def _list_lines(context):
    return [
        fields
        for fields in context.sim.get_events("step_waiting")
        if "standing" in fields
    ]


@then(
    "the log says at most once a second that 1 standing task waits because of"
    ' "{reason}"'
)
def check_log(context, reason):
    lines = _list_lines(context)
    assert 2 <= len(lines) <= 9, lines
    for fields in lines:
        assert fields["standing"] == 1, fields
        assert fields["task"] == context.task.position, fields
    assert lines[-1]["reason"] == reason, lines


@then("the first of these lines tells of 3 s without a run")
def check_first_line(context):
    age_ms = _list_lines(context)[0]["age_ms"]
    assert 3_000 <= age_ms < 4_100, age_ms
