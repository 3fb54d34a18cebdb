"""Steps for the capacity and the running tasks of evacuated data centres."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.jobs import waiting
from features.fakes import jobs_evacuated_pools
from features.fakes import jobs_evacuations
from features.fakes import jobs_simulation
from features.steps import job_steps
from features.steps import late_order_steps

_POOL = jobs_evacuated_pools.jobs_pools.POOLS[0]
_NORTH = jobs_evacuated_pools.NORTH
_LATE_MS = 3_600
_AVAILABLE_PERCENT = 100
# Processor time of an instance.
_INSTANCE_MILLI = 16_000


# --- Gangs ---


def _assign_gang(context, data_centre):
    late_order_steps.assign(context, "a gang")
    book = context.sim.scheduler.book
    lives = [
        next(iter(task.runs.values()))
        for task in book.get_step(context.task).tasks
    ]
    members = [context.sim.workers[life.worker] for life in lives]
    for worker in context.sim.workers.values():
        worker.data_centre = "south"
    members[0].data_centre = data_centre
    context.northern, context.southern = members
    return members


@when(
    "a gang is assigned across them, of which the southern member has started"
)
def start_southern(context):
    context.sim.advance(500)
    northern, southern = _assign_gang(context, _NORTH)
    # The leader hears of the place before it can have sent the order.
    known = context.sim.scheduler.term.workers.by_id[northern.name]
    known.report = _replace_place(known.report, _NORTH)
    context.sim.send_report(southern)
    assert southern.running and not northern.running
    for worker in context.sim.workers.values():
        worker.next_report_ms = context.sim.now_ms + 100
    northern.next_report_ms = context.sim.now_ms + 700


@when("a gang is assigned across them, of which all members have started")
def start_all(context):
    context.sim.advance(500)
    for worker in _assign_gang(context, _NORTH):
        context.sim.send_report(worker)
        assert worker.running
    for worker in context.sim.workers.values():
        worker.next_report_ms = context.sim.now_ms + 100


def _replace_place(report, data_centre):
    fields = {f: getattr(report, f) for f in report.__struct_fields__}
    return calls.WorkerReport(**{**fields, "data_centre": data_centre})


@when("the northern member is taken back, and a new leader takes over")
def take_back(context):
    context.sim.send_report(context.northern)
    assert not context.northern.running
    context.sim.start_leader()
    assert context.southern.running


@then(
    "the southern member has been stopped, before the northern worker reports"
)
@then("the southern member has been stopped")
def check_stopped(context):
    runs = context.southern.running.values()
    assert all(run.run != 1 for run in runs), context.southern


@then("no member of a gang has waited in vain")
def check_not_alone(context):
    assert not context.sim.alone_gangs, context.sim.alone_gangs


@then("its gang has run once")
def check_once(context):
    assert {run for _, _, run, _ in context.sim.starts} == {1}
    assert context.sim.scheduler.book.get_task(context.task).is_done


# --- Standing tasks ---


@given(
    "a standing job of {count:d} tasks, one on each instance, of which"
    " {missing:d} may be unavailable"
)
def submit_spread_job(context, count, missing):
    job_steps.submit_standing_job(context, count, missing, most=1)


def _list_standing(context):
    return [
        (worker, task)
        for worker in context.sim.workers.values()
        for task in worker.running
        if context.sim.specs[task.job].steps[task.step].is_standing
    ]


@when("the simulation runs for {ms:d} ms, while standing tasks are counted")
def run_counted(context, ms):
    expected = len(
        context.sim.scheduler.book.jobs[job_steps.build_job_id("s")]
        .steps[0, 0]
        .tasks
    )
    for _ in range(ms // jobs_simulation.STEP_MS):
        context.sim.advance(jobs_simulation.STEP_MS)
        missing = expected - sum(
            worker.measure_percent(worker.running[task], context.sim.now_ms)
            >= _AVAILABLE_PERCENT
            for worker, task in _list_standing(context)
        )
        context.max_missing = max(getattr(context, "max_missing", 0), missing)


@then('all {count:d} standing tasks run outside "{data_centre}"')
def check_moved(context, count, data_centre):
    found = _list_standing(context)
    assert len(found) == count, found
    for worker, task in found:
        assert worker.data_centre != data_centre, (worker.name, task)


@then("never more than {most:d} standing task was missing")
@then("never more than {most:d} standing tasks were missing")
def check_missing(context, most):
    assert context.max_missing == most, context.max_missing


# --- Pools ---


@given(
    "pools of {members:d} instances, {northern:d} of them in the north, and"
    " {spare:d} spare ones, {northern_spare:d} of them in the north"
)
def create_pools(context, members, northern, spare, northern_spare):
    context.sim = jobs_evacuated_pools.EvacuatedPoolsSimulation(
        members, northern, spare, northern_spare
    )


def _submit(context, number, count, ms, pool=_POOL):
    step = specs.StepSpec(count, specs.Resources(4_000, 100, 0), ms)
    context.sim.run_duration_ms = ms
    return context.sim.submit_to(
        pool, f"{number:016x}", specs.JobSpec("body", (step,))
    )


@when("the north is evacuated")
def evacuate(context):
    context.sim.evacuate(_NORTH)


@when("a pool is loaded as it can serve, and the north is evacuated")
def load_and_evacuate(context):
    context.submitted = {}
    # Each second, work for 5 of the 6 instances.
    for number in range(3):
        _submit_load(context, number)
        context.sim.advance(1_000)
    context.sim.evacuate(_NORTH)
    context.names = {
        worker.instance
        for worker in context.sim.workers.values()
        if worker.data_centre == _NORTH
    }


def _submit_load(context, number):
    answer = _submit(context, number, 20, 1_000)
    context.submitted[f"{number:016x}"] = (context.sim.now_ms, answer)


@when("the pools run for {ms:d} ms")
def run_pools(context, ms):
    submitted = getattr(context, "submitted", None)
    for passed_ms in range(0, ms, 500):
        if submitted is not None and passed_ms % 1_000 == 0:
            _submit_load(context, len(submitted))
        context.sim.advance(min(500, ms - passed_ms))


@then("the loaded pool has at least {count:d} usable instances")
def check_usable(context, count):
    found = context.sim.list_usable(_POOL)
    assert len(found) >= count, found


@then("no instance of the north has been moved")
def check_not_moved(context):
    moved = {
        fields["instance"] for fields in context.sim.get_events("move_chosen")
    }
    assert moved and not moved & context.names, moved


@then("no job was refused or late")
def check_jobs(context):
    context.sim.advance(6_000)
    book = context.sim.scheduler.book
    for job, (at_ms, answer) in context.submitted.items():
        assert isinstance(answer, calls.Done), answer
        ended_ms = book.jobs[job].ended_wall_ms - jobs_simulation.WALL_START_MS
        assert 0 < ended_ms - at_ms <= _LATE_MS, (job, ended_ms - at_ms)


@when(
    "a pool needs instances, and the north is evacuated once they are ordered"
)
def move_and_evacuate(context):
    for number in range(6):
        _submit(context, number, 24, 1_500)
    sim = context.sim
    for _ in range(100):
        sim.advance(25)
        if sim.get_events("instance_ordered"):
            break
    assert sim.get_events("instance_ordered"), sim.events
    sim.evacuate(_NORTH)


@then("instances of the north have come to the pool")
def check_came(context):
    assert [
        worker
        for worker in context.sim.list_workers(_POOL)
        if worker.data_centre == _NORTH
    ]


@then("no guarantee was violated in the pools")
def check_pools(context):
    assert not context.sim.violations, context.sim.violations


@when(
    "an instance is to move to another pool once it is empty, and the north is"
    " evacuated"
)
def drain_and_evacuate(context):
    sim = context.sim
    _submit(context, 1, 2, 3_000)
    sim.advance(500)
    worker = next(w for w in sim.list_workers(_POOL) if w.running)
    sim.scheduler.term.instance_controller.set_goal(
        instances.Move(worker.instance, "s1"), sim.now_ms
    )
    sim.evacuate(_NORTH)
    context.draining = worker.instance


@then("the instance has no goal any more")
def check_no_goal(context):
    goals = context.sim.scheduler.term.instance_controller.fleet.goals
    assert context.draining not in goals, goals
    assert context.sim.get_events("move_dropped"), context.sim.events


@when("a job is submitted to a pool")
def submit(context):
    context.answer = _submit(context, 1, 2, 500)


@then("the job is refused as such")
def check_refused(context):
    assert isinstance(context.answer, calls.NotStored), context.answer
    assert "evacuated" in context.answer.reason, context.answer
    assert context.answer.retry_after_ms, context.answer


@then("the job is admitted and run")
def check_run(context):
    assert isinstance(context.answer, calls.Done), context.answer
    context.sim.advance(6_000)
    state = context.sim.scheduler.book.jobs[f"{1:016x}"].state
    assert state is specs.JobState.COMPLETED, state
    assert not context.sim.violations, context.sim.violations


@when("a new leader has heard only of the north")
def start_leader_in_north(context):
    sim = context.sim
    sim.start_leader()
    for worker in sim.list_workers(_POOL):
        if worker.data_centre == _NORTH:
            sim.send_report(worker)


@when("tasks run in the north, and the north is evacuated")
def run_and_evacuate(context):
    _submit(context, 1, 12, 1_000)
    context.sim.advance(500)
    assert any(
        worker.running
        for worker in context.sim.list_workers(_POOL)
        if worker.data_centre == _NORTH
    )
    context.sim.evacuate(_NORTH)


@when("the evacuation of the north ends")
def end(context):
    jobs_evacuations.change(context.sim, _NORTH, False)


@then('these lines were logged, each once: "{names}"')
def check_lines(context, names):
    expected = names.split(",")
    found = [event for event, _ in context.sim.events if event in expected]
    assert found == expected, found


# --- Reasons and health ---


@when("all workers of the south are full, and a job waits")
def fill_south(context):
    sim = context.sim
    sim.run_duration_ms = 60_000
    step = specs.StepSpec(2, specs.Resources(_INSTANCE_MILLI, 100, 0), 1_000)
    for job in "ab":
        job_steps.submit_spec(context, job, specs.JobSpec("body", (step,)))
    sim.advance(1_000)


@then('the job waits because of "{reason}"')
def check_reason(context, reason):
    task = specs.TaskRef(job_steps.build_job_id("b"), 0, 0, 0)
    found = waiting.find_reason(
        context.sim.scheduler.term, task, context.sim.read_now()
    )
    assert found.value == reason, found


@when("the north was evacuated for {ms:d} ms")
def evacuate_for(context, ms):
    jobs_evacuations.change(context.sim, _NORTH, True)
    context.sim.advance(ms)
    jobs_evacuations.change(context.sim, _NORTH, False)


@when('worker "{name}" is cold, and makes no progress with its runs')
def cool(context, name):
    worker = context.sim.workers[name]
    worker.cold_left_ms = 5_000
    worker.stalls_runs = True


def _is_suspect(context, name):
    worker = context.sim.scheduler.term.workers.by_id[name]
    return worker.is_suspect(context.sim.now_ms)


@then('worker "{name}" is not suspect')
def check_trusted(context, name):
    assert not _is_suspect(context, name)
    assert context.sim.workers[name].running, "it has got no tasks"


@then('worker "{name}" is suspect')
def check_suspect(context, name):
    assert _is_suspect(context, name)
