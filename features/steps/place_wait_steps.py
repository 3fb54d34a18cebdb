"""Steps for tasks that wait for a place near their data or group."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import place_waits
from bambookeel.jobs import specs
from bambookeel.jobs import starving
from bambookeel.jobs import term as term_state
from bambookeel.jobs import waiting
from features.fakes import jobs_racks

_WORKER_MILLI = 32_000
# The first second of a term lets nothing wait.
_WARM_UP_MS = 1_500
# Time after which the runs that fill a rack are known with their percentages.
_KNOWN_MS = 600
# Time within which a run starts beside room.
_START_MS = 250


def _submit(context, job, step, duration_ms=None):
    context.job = job
    context.step = step
    context.submitted_ms = context.sim.now_ms
    if duration_ms is not None:
        context.sim.durations_ms[job] = duration_ms
    context.sim.submit(job, specs.JobSpec("body", (step,)))


def _list_starts(context):
    """Lists the time since the submission and the rack of each start."""
    return [
        (at_ms - context.submitted_ms, context.sim.workers[name].labels[-1])
        for at_ms, ref, _, name in context.sim.starts
        if ref.job == context.job
    ]


@given(
    "racks of one worker each: {racks}; tasks take {factor:g} times as long "
    "elsewhere"
)
def start_racks(context, racks, factor):
    names = racks.split(", ")
    context.sim = jobs_racks.RackSimulation(1, len(names), 0, factor)
    for i, name in enumerate(names):
        context.sim.add_rack_worker(f"w{i}", name, _WORKER_MILLI)
    # It learns of the instances.
    context.sim.change_leader()
    context.sim.advance(_WARM_UP_MS)


@given("{cores:d} cores of rack {rack} are used for {ms:d} ms more")
def use_rack(context, cores, rack, ms):
    duration_ms = _KNOWN_MS + _START_MS + ms
    step = specs.StepSpec(
        1, specs.Resources(cores * 1_000, 100, 0), duration_ms, data_rack=rack
    )
    job = f"used-{rack}"
    _submit(context, job, step, duration_ms)
    context.sim.advance(_START_MS)
    assert [name for _, name in _list_starts(context)] == [rack]
    context.sim.advance(_KNOWN_MS)


@given("rack {rack} is full for {ms:d} ms more")
def fill_rack(context, rack, ms):
    use_rack(context, _WORKER_MILLI // 1_000, rack, ms)


@given("jobs have {ms:d} ms from their admission")
def set_objective(context, ms):
    def compute(_term, job, _step):
        return job.admitted_wall_ms + ms

    patcher = mock.patch.object(
        term_state.Term, "compute_objective_wall_ms", compute
    )
    patcher.start()
    context.add_cleanup(patcher.stop)


def _submit_tasks(context, count, cores, ms, **fields):
    needs = specs.Resources(cores * 1_000, 100, 0)
    step = specs.StepSpec(count, needs, ms, **fields)
    _submit(context, f"job-{cores}-{fields}", step, ms)


@when(
    "a task of {cores:d} cores and {ms:d} ms with data in {rack} is submitted"
)
def submit_task(context, cores, ms, rack):
    _submit_tasks(context, 1, cores, ms, data_rack=rack)


@when(
    "{count:d} tasks of {cores:d} cores and {ms:d} ms with data in {rack} are "
    "submitted"
)
def submit_tasks(context, count, cores, ms, rack):
    for i in range(count):
        needs = specs.Resources(cores * 1_000, 100, 0)
        step = specs.StepSpec(1, needs, ms, data_rack=rack)
        _submit(context, f"hot-{i}", step, ms)


@when("a task of {cores:d} cores and {ms:d} ms without data is submitted")
def submit_free_task(context, cores, ms):
    _submit_tasks(context, 1, cores, ms)


@when(
    "a gang of {count:d} tasks of {cores:d} cores and {ms:d} ms for one rack "
    "is submitted"
)
def submit_gang(context, count, cores, ms):
    _submit_tasks(context, count, cores, ms, is_gang=True, wants_one_rack=True)


@when(
    "{count:d} tasks of {cores:d} cores and {ms:d} ms for one rack are "
    "submitted"
)
def submit_group(context, count, cores, ms):
    _submit_tasks(context, count, cores, ms, wants_one_rack=True)


@given("a task of {cores:d} cores and {ms:d} ms with data in {rack} waits")
def submit_waiting(context, cores, ms, rack):
    submit_task(context, cores, ms, rack)
    context.sim.advance(300)
    assert not _list_starts(context), _list_starts(context)


@then('it waits because of "{reason}"')
def check_reason(context, reason):
    term = context.sim.scheduler.term
    ref = specs.TaskRef(context.job, 0, 0, 0)
    found = waiting.find_reason(term, ref, context.sim.read_now())
    assert found.value == reason, found


@then("it starts in {rack} after {least:d} to {most:d} ms")
def check_start(context, rack, least, most):
    context.sim.advance(most)
    starts = _list_starts(context)
    assert len(starts) == 1, starts
    assert starts[0][1] == rack and starts[0][0] >= least, starts


@then("{count:d} of them start elsewhere within {ms:d} ms")
def check_elsewhere(context, count, ms):
    context.sim.advance(ms)
    starts = context.sim.starts[1:]
    assert len(starts) == count, starts
    assert "w0" not in {name for *_, name in starts}, starts


@then("{count:d} of them start in r0 within {ms:d} ms")
def check_in_rack(context, count, ms):
    context.sim.advance(ms)
    starts = [
        start
        for start in context.sim.starts
        if start[3] == "w0" and not start[1].job.startswith("used")
    ]
    assert len(starts) == count, context.sim.starts


@then("the log tells that {count:d} waits have paid")
def check_log(context, count):
    found = context.sim.list_events("place_wait_ended")
    assert [each["outcome"] for each in found] == ["paid"] * count, found
    ended = context.sim.scheduler.take_ended_waits()
    assert ended["paid"][0] == count, ended


@then("its tasks start together in {racks} after {least:d} to {most:d} ms")
def check_gang(context, racks, least, most):
    context.sim.advance(most)
    starts = _list_starts(context)
    assert len(starts) == context.step.count, starts
    assert {rack for _, rack in starts} == set(racks.split(", ")), starts
    times_ms = [at_ms for at_ms, _ in starts]
    assert min(times_ms) >= least, starts
    assert max(times_ms) - min(times_ms) <= 250, starts
    context.sim.advance(3 * context.step.estimate_ms)
    record = context.sim.scheduler.book.jobs[context.job]
    assert record.state is specs.JobState.COMPLETED, record.state


@when("rack {rack} falls silent")
def silence_rack(context, rack):
    for worker in context.sim.workers.values():
        if worker.labels[-1] == rack:
            worker.is_cut_off = True
    context.changed_ms = context.sim.now_ms


@when("another leader begins with the committed book")
def change_leader(context):
    context.sim.change_leader()
    context.changed_ms = context.sim.now_ms


@then("it starts in {rack} within {ms:d} ms of that")
def check_start_after(context, rack, ms):
    context.sim.advance(ms)
    starts = _list_starts(context)
    assert [name for _, name in starts] == [rack], starts


@when(
    "{data} load with {rate:d} jobs a second runs for {seconds:d} s in "
    "{racks:d} racks"
)
def run_load(context, data, rate, seconds, racks):
    context.sim = jobs_racks.RackSimulation(1, racks, 2)
    context.starved = []
    list_starving = starving.list_starving

    def watch(term, service, steps, placed, now_ms):
        found = list_starving(term, service, steps, placed, now_ms)
        for step in found:
            refs = [task.ref for task in step.tasks]
            if any(place_waits.find_wait(term, service, r) for r in refs):
                context.starved.append(step.key)
        return found

    load = jobs_racks.Load(
        rate, hot_share=0.7 if data == "hot" else 0.0, racks=racks
    )
    context.run = jobs_racks.LoadRun(context.sim, load, seconds, 1)
    with mock.patch.object(starving, "list_starving", watch):
        context.run.run()


@then("tasks have waited")
def check_waited(context):
    context.waits = context.sim.list_events("place_wait_ended")
    assert context.waits


@then("no wait has taken more than {ms:d} ms")
def check_longest(context, ms):
    near = [w for w in context.waits if w["outcome"] != "closed"]
    assert max(w["waited_ms"] for w in near) <= ms, near


@then("no job was starving while it waited")
def check_starved(context):
    assert not context.starved, context.starved


@then("all jobs have completed without a violation")
def check_completed(context):
    assert not context.sim.violations, context.sim.violations
    assert not context.run.submitted_ms, context.run.submitted_ms


@when("{ms:d} ms pass in the racks")
def pass_time(context, ms):
    context.sim.advance(ms)


@then("the run times of the queue are known within a third")
def check_factor(context):
    factor = context.sim.scheduler.term.run_times.get_factor("orders")
    assert 0.67 < factor < 1.33, factor
