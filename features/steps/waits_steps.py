"""Steps for jobs that find room although some workers are in doubt."""

from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import specs

_JOB = "b" * 16
_FULL = "f" * 16
_FOUR_CORES = specs.Resources(4_000, 100, 0)
_STEPS = {
    "1 task of 4 cores": specs.StepSpec(1, _FOUR_CORES, 600),
    "4 tasks of 4 cores": specs.StepSpec(4, _FOUR_CORES, 600),
    "a gang of 3 at 4 cores": specs.StepSpec(3, _FOUR_CORES, 600, is_gang=True),
    "a step of 2 spread tasks": specs.StepSpec(
        2, _FOUR_CORES, 600, max_per_instance=1
    ),
    "1 standing task of 4 cores": specs.StepSpec(
        1, _FOUR_CORES, 600, is_standing=True
    ),
}


def _doubt(context):
    """Makes the workers suspect, as further failures would."""
    for name in context.doubtful:
        worker = context.sim.scheduler.term.workers.by_id.get(name)
        if worker is not None:
            worker.health.suspect_until_ms = context.sim.now_ms + 60_000


@given("{count:d} workers are in doubt")
def doubt_workers(context, count):
    names = list(context.sim.workers)
    context.doubtful = names[len(names) - count :]
    _doubt(context)


@given("the others are full")
def fill_others(context):
    count = len(context.sim.workers) - len(context.doubtful)
    step = specs.StepSpec(
        count, specs.Resources(16_000, 100, 0), is_standing=True
    )
    context.sim.submit(_FULL, specs.JobSpec("body", (step,)))
    context.sim.advance(1_000)
    for name in context.doubtful:
        assert not context.sim.workers[name].running, name


@when("a job of {kind} is submitted")
def submit_kind(context, kind):
    context.submitted_ms = context.sim.now_ms
    step = _STEPS[kind]
    context.sim.submit(_JOB, specs.JobSpec("body", (step,)))


@when("a job of {kind} is submitted while the plan stands still")
def submit_without_plan(context, kind):
    with mock.patch("bambookeel.jobs.planning.plan"):
        submit_kind(context, kind)


@when("a new leader starts from a snapshot and doubts the same workers")
def start_doubting_leader(context):
    context.sim.start_leader()
    with mock.patch("bambookeel.jobs.planning.plan"):
        context.sim.advance(1_000)
    _doubt(context)


@then("the job has {state} in less than 3 s")
def check_begun(context, state):
    first_ms = min(
        (at_ms for at_ms, ref, *_ in context.sim.starts if ref.job == _JOB),
        default=float("inf"),
    )
    has_begun = first_ms - context.submitted_ms < 3_000
    assert has_begun == (state == "begun"), first_ms - context.submitted_ms


@given("a suspect runs on each worker for 1 s")
def run_suspects(context):
    sim = context.sim
    sim.run_duration_ms = 60_000
    book = sim.scheduler.book
    for number in range(len(sim.workers)):
        job = f"{number:016x}"
        step = specs.StepSpec(1, _FOUR_CORES, 600)
        with mock.patch("bambookeel.jobs.planning.plan"):
            sim.submit(job, specs.JobSpec("body", (step,)))
        task = book.get_task(specs.TaskRef(job, 0, 0, 0))
        task.evidence, task.crashes = 8, 2
        book.crashes.suspects[task.ref] = None
    sim.advance(1_000)
    assert all(worker.running for worker in sim.workers.values())
    sim.committed = book_snapshot.encode_book(book)


@when("a new leader starts whose clock is {ahead_ms:d} ms ahead")
def start_leader_ahead(context, ahead_ms):
    context.sim.wall_ahead_ms = ahead_ms
    context.sim.start_leader()
