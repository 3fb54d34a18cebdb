"""Steps for storms of jobs that crash their workers."""

from unittest import mock

from behave import then
from behave import when

from bambookeel.jobs import isolating
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import storms
from features.fakes import jobs_storm

_RACK = 8


@when(
    "jobs arrive for 5 s at {load:d} times what {workers:d} workers hold, of"
    " which {percent:d} of 100 are deadly, with seed {seed:d}"
)
def run_storm(context, load, workers, percent, seed):
    context.storm = jobs_storm.simulate(seed, workers, percent / 100, load)
    assert context.storm.crashes, "no worker has crashed"


@then("a crash takes tasks of at most {jobs:d} jobs at the median")
def check_jobs_a_crash(context, jobs):
    assert context.storm.jobs_a_crash <= jobs, context.storm.jobs_a_crash


@then("no sound job is given up")
def check_given_up(context):
    assert not context.storm.sound_given_up, context.storm.sound_given_up


@then("no job waits for 3 s beside room for it")
def check_starved(context):
    assert not context.storm.starved, [str(v) for v in context.storm.starved]


@when(
    "a rack of a busy service loses power and its workers come back one by one"
)
def lose_rack(context):
    simulation = jobs_storm.StormSimulation(1, 3 * _RACK)
    arrivals = jobs_storm.draw_arrivals(1, 3 * _RACK, 0, 1.0)
    begun_ms = simulation.now_ms
    rack = list(simulation.workers.values())[:_RACK]
    for number, arrival in enumerate(arrivals):
        while simulation.now_ms < begun_ms + arrival.at_ms:
            simulation.advance(100)
        simulation.submit(f"{number:016x}", arrival.spec)
        if rack and arrival.at_ms > 1_000:
            for i, worker in enumerate(rack):
                simulation.crash_worker(worker)
                simulation.back_at_ms[worker.name] += 200 * i
            rack = []
    simulation.advance(8_000)
    context.simulation = simulation


@then("no storm was logged")
def check_no_storm(context):
    assert context.simulation.get_events("worker_crashed")
    found = context.simulation.get_events("crash_storm")
    assert not found, found


@when(
    "a job of {count:d} tasks, of which the first is held, is submitted in a"
    " storm"
)
def submit_held(context, count):
    simulation = jobs_storm.StormSimulation(1, 4)
    simulation.advance(1_000)
    queue = simulation.scheduler.book.find_queue("orders")
    get_isolation = isolating.get_isolation

    def hold_first(term, tasks, now):
        if any(task.ref.task_index == 0 for task in tasks):
            return placing.Isolation.HELD
        return get_isolation(term, tasks, now)

    step = specs.StepSpec(
        count=count, needs=specs.Resources(1_000, 1_000, 0), estimate_ms=800
    )
    with (
        mock.patch.object(isolating, "get_isolation", hold_first),
        mock.patch.object(
            storms,
            "find_queues",
            lambda *_: {queue.service: frozenset((queue.name,))},
        ),
    ):
        simulation.submit("a" * 16, specs.JobSpec("body", (step,)))
        simulation.advance(500)
    context.simulation = simulation


@then("the other {count:d} are assigned with the next plan")
def check_others(context, count):
    found = context.simulation.get_events("run_assigned")
    assert len(found) == count, found
