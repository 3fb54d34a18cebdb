"""Steps for tasks that crash the workers on which they run."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.core import packing
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import specs
from features.fakes import jobs_crashes
from features.fakes import jobs_mixed_crashes
from features.fakes import jobs_provider
from features.fakes import jobs_simulation
from features.steps import job_steps


@given(
    "a simulation of {count:d} workers on {racks:d} racks that deadly tasks can"
    " crash"
)
def create_simulation(context, count, racks):
    context.sim = jobs_crashes.CrashingSimulation(1, count, racks)
    context.provider = jobs_provider.FakeProvider(context.sim)
    context.answer = None


@given("a worker that crashes is back after {ms:d} ms under {name} id")
def set_return(context, ms, name):
    context.sim.down_ms = ms
    context.sim.renames = name == "another"


@given("a deadly task crashes its worker {ms:d} ms after its start")
def set_crash_delay(context, ms):
    context.sim.crash_delay_ms = ms


@given("no worker receives orders for {ms:d} ms")
def lose_all_orders(context, ms):
    context.sim.deaf_until_ms = context.sim.now_ms + ms


@then('no evidence against it is "{evidence}"')
def check_evidence(context, evidence):
    events = context.sim.get_events("task_suspected")
    assert events, context.sim.events
    assert all(event["evidence"] != evidence for event in events), events


@given("{count:d} workers crash before they receive an order")
def lose_orders(context, count):
    context.sim.lost_orders = count


@when('deadly job "{job}" of {count:d} task is submitted')
@when('deadly job "{job}" of {count:d} tasks is submitted')
def submit_deadly(context, job, count):
    submit_deadly_kind(context, job, count, "plain")


@when('deadly job "{job}" of {count:d} tasks of kind "{kind}" is submitted')
def submit_deadly_kind(context, job, count, kind):
    step = specs.StepSpec(
        count=count,
        needs=specs.Resources(1_000, 100, 0),
        estimate_ms=600,
        is_gang=kind == "gang",
        is_standing=kind == "standing",
        allows_copies=kind == "copies",
    )
    due_ms = jobs_simulation.WALL_START_MS + context.sim.now_ms + 500
    is_timed = kind == "timed"
    spec = specs.JobSpec(
        "body",
        (step,),
        occurrences=3 if is_timed else 0,
        first_due_wall_ms=due_ms if is_timed else 0,
        period_ms=1_000 if is_timed else 0,
    )
    occurrence = 1 if is_timed else 0
    name = job_steps.build_job_id(job)
    context.sim.deadly.add(specs.TaskRef(name, occurrence, 0, 0))
    job_steps.submit_spec(context, job, spec)


def _advance_to_crash(context, count):
    while len(context.sim.crashes) < count:
        context.sim.advance(jobs_simulation.STEP_MS)


@when("the third worker that it crashes never comes back")
def lose_third_worker(context):
    _advance_to_crash(context, 3)
    _, worker, _ = context.sim.crashes[-1]
    del context.sim.back_at_ms[worker]


@then("it starts again after {least_ms:d} ms and within {most_ms:d} ms")
def check_next_start(context, least_ms, most_ms):
    seen = len(context.sim.starts)
    context.sim.advance(least_ms)
    assert len(context.sim.starts) == seen, context.sim.starts
    assert len(context.sim.get_events("task_held")) == 1
    context.sim.advance(most_ms - least_ms)
    assert len(context.sim.starts) == seen + 1, context.sim.starts


@when(
    "{deadly:d} deadly and {sound:d} sound jobs are submitted, one each"
    " {gap_ms:d} ms"
)
def submit_both(context, deadly, sound, gap_ms):
    names = [chr(ord("A") + number) for number in range(deadly + sound)]
    for name in names[:deadly]:
        submit_deadly_kind(context, name, 1, "plain")
        context.sim.advance(gap_ms)
    for name in names[deadly:]:
        job_steps.submit_job(context, name, 1, 1)
        context.sim.advance(gap_ms)


@then('each sound job is "{state}"')
def check_sound_jobs(context, state):
    deadly = {task.job for task in context.sim.deadly}
    for job in context.sim.specs:
        if job not in deadly:
            answer = context.sim.ask(job)
            assert answer.state.value == state, (job, answer)


@then('each deadly job is "{state}"')
def check_deadly_jobs(context, state):
    for task in context.sim.deadly:
        answer = context.sim.ask(task.job)
        assert answer.state.value == state, (task, answer)


@then('job "{job}" has started on a worker that is up')
def check_started(context, job):
    name = job_steps.build_job_id(job)
    lost = context.sim.get_events("run_lost")
    assert [event["reported"] for event in lost] == [False], lost
    running = [
        task.job for worker in _list_working(context) for task in worker.running
    ]
    assert name in running, context.sim.starts


@then("at most {count:d} workers have crashed")
def check_crashes(context, count):
    assert len(context.sim.crashes) <= count, context.sim.crashes


@then("the log names each of its crashed runs, and why it was given up")
def check_log(context):
    simulation = context.sim
    crashed = {name for _, name, _ in simulation.crashes}
    for event in ("run_lost", "task_suspected"):
        named = {
            fields["worker"]
            for fields in simulation.get_events(event)
            if fields["job"] == job_steps.build_job_id("a")
        }
        assert named == crashed, (event, named, crashed)
    (given_up,) = simulation.get_events("job_given_up")
    assert given_up["task"] == "0.0.0", given_up


@when(
    'worker "{name}", whose instance is unknown, reports the address of worker'
    ' "{other}"'
)
def take_over_address(context, name, other):
    simulation = context.sim
    assert simulation.workers[other].running, simulation.workers[other]
    report = simulation.workers[name].make_report(simulation.now_ms)
    taken = msgspec.structs.replace(report, address=f"{other}:1", instance="")
    simulation.scheduler.handle(taken, simulation.read_now())


@then('no runs are assigned to worker "{name}"')
def check_no_runs(context, name):
    lives = context.sim.scheduler.book.assigned_runs
    assert name not in {life.worker for life in lives}, lives


@then('the log says that "{cause}"')
def check_cause(context, cause):
    found = context.sim.get_events("no_task_blamed")
    assert any(fields["cause"] == cause for fields in found), found


@then("entries of an earlier version of the log are decoded")
def decode_old_entries(context):
    life = ["w0", 1]
    old = [
        {"type": "assign", "life": life, "heard": 3, "runs": []},
        {"type": "lose", "life": life, "reason": "r", "runs": []},
    ]
    payload = packing.compress(msgspec.msgpack.encode(old))
    assigned, lost = commands.decode_batch(payload)
    assert (assigned.instance, assigned.at_wall_ms) == ("", 0), assigned
    assert (lost.instance, lost.suspects) == ("", ()), lost
    assert lost.at_wall_ms == 0, lost


@then("a snapshot of an earlier version restores the same book")
def restore_old_snapshot(context):
    saved = msgspec.msgpack.decode(context.sim.committed)
    for job in saved["jobs"]:
        del job["end_reason"]
        for step in job["steps"]:
            step[1] = [task[:4] for task in step[1]]
    for held in saved["held"]:
        held[1] = [run[:4] for run in held[1]]
    del saved["silent_workers"]
    book = book_snapshot.decode_book(msgspec.msgpack.encode(saved))
    known = context.sim.scheduler.book
    assert list(book.assigned_runs) == list(known.assigned_runs)
    assert book.ready == known.ready and book.usage.by_team
    restored = [
        run for runs in book.assigned_runs.values() for run in runs.values()
    ]
    assert all(run.order_limit == run.report_number + 1 for run in restored)


@given("a replica of the former version")
def add_replica(context):
    context.sim.former_book = book_snapshot.decode_book(context.sim.committed)


def _list_evidence(book):
    return {
        task.ref: (task.evidence, task.crashes, task.is_done, job.state)
        for job in book.jobs.values()
        for step in job.steps.values()
        for task in step.tasks
    }


@then("the replica holds the same evidence")
def check_replica(context):
    evidence = _list_evidence(context.sim.scheduler.book)
    assert _list_evidence(context.sim.former_book) == evidence, evidence
    assert any(weight for weight, _, _, _ in evidence.values()), evidence


@then("a snapshot of the former version restores the same evidence")
def restore_former_snapshot(context):
    saved = msgspec.msgpack.decode(context.sim.committed)
    for job in saved["jobs"]:
        for step in job["steps"]:
            step[1] = [task[:6] for task in step[1]]
    saved["silent_workers"] = [
        (life, silent[:2]) for life, silent in saved["silent_workers"]
    ]
    del saved["unexplained_crashes"]
    book = book_snapshot.decode_book(msgspec.msgpack.encode(saved))
    evidence = _list_evidence(context.sim.scheduler.book)
    assert _list_evidence(book) == evidence, evidence


@when("a new leader takes over {ms:d} ms after each crash for {span:d} ms")
def change_leaders(context, ms, span):
    simulation = context.sim
    end_ms = simulation.now_ms + span
    seen = 0
    while simulation.now_ms < end_ms:
        simulation.advance(jobs_simulation.STEP_MS)
        if len(simulation.crashes) > seen:
            seen = len(simulation.crashes)
            simulation.advance(ms)
            simulation.start_leader()


@when('deadly jobs crash the worker of job "{job}" in turn, {count:d} times')
def crash_worker_of(context, job, count):
    simulation = context.sim
    name = job_steps.build_job_id(job)
    for number in range(count):
        simulation.advance(3_000)
        submit_deadly_kind(context, str(number), 1, "plain")
        seen = len(simulation.crashes)
        workers = [
            worker.name
            for worker in simulation.workers.values()
            if any(task.job == name for task in worker.running)
        ]
        assert workers, f"after {number} crashes the job does not run"
        _advance_to_crash(context, seen + 1)
        assert simulation.crashes[-1][1] in workers, simulation.crashes
        # The next leader has not heard the worker.
        simulation.start_leader()
        simulation.advance(12_000)


def _list_working(context):
    return [w for w in context.sim.workers.values() if w.is_up and w.running]


@when("its worker is cut off for {ms:d} ms, {count:d} times")
def cut_off(context, ms, count):
    for _ in range(count):
        context.sim.advance(2_000)
        for worker in _list_working(context):
            worker.is_cut_off = True
        context.sim.advance(ms)
        for worker in context.sim.workers.values():
            worker.is_cut_off = False


def _advance_to_start(context, count):
    while len(context.sim.starts) < count:
        context.sim.advance(jobs_simulation.STEP_MS)


@when(
    "its worker is cut off and crashes once the run has lapsed, {count:d} times"
)
def cut_off_and_crash(context, count):
    for number in range(count):
        _advance_to_start(context, number + 1)
        context.sim.advance(1_000)
        (worker,) = _list_working(context)
        worker.is_cut_off = True
        _advance_to_start(context, number + 2)
        assert not worker.running, worker.running
        context.sim.crash_worker(worker)


@when("the racks lose power in turn for {ms:d} ms, {count:d} times")
def lose_racks(context, ms, count):
    context.sim.down_ms = ms
    for number in range(count):
        context.sim.advance(1_000)
        for worker in list(context.sim.workers.values()):
            if worker.labels[-1] == f"r{number % 2}":
                context.sim.crash_worker(worker)
        context.sim.advance(ms + 1_000)


@when("every worker leaves and starts again each {ms:d} ms, {count:d} times")
def leave_in_turn(context, ms, count):
    for _ in range(count):
        context.sim.advance(ms)
        for worker in list(context.sim.workers.values()):
            context.sim.crash(worker)
            context.sim.call(calls.WorkerLeft(worker.name, worker.born_wall_ms))
            context.sim.restart(worker)


@when("every worker that runs it crashes each {ms:d} ms, {count:d} times")
def crash_each(context, ms, count):
    for _ in range(count):
        context.sim.advance(ms)
        for worker in _list_working(context):
            context.sim.crash_worker(worker)
            context.sim.advance(400)


@when(
    "random simulations of deadly tasks with seeds {first:d} to {last:d} are"
    " run"
)
def simulate_seeds(context, first, last):
    job_steps.simulate_each(context, first, last, jobs_crashes.simulate)


@when(
    "random simulations of deadly tasks among other faults with seeds"
    " {first:d} to {last:d} are run"
)
def simulate_mixed(context, first, last):
    job_steps.simulate_each(context, first, last, jobs_mixed_crashes.simulate)
