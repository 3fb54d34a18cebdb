"""Steps for work that exceeds the capacity of its pool."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import admission
from bambookeel.jobs import calls
from bambookeel.jobs import deferral
from bambookeel.jobs import objectives
from bambookeel.jobs import pools
from bambookeel.jobs import rebalancing
from bambookeel.jobs import specs
from features.fakes import jobs_simulation

_CORES_MILLI = 64_000


def _build_chain(steps, count, cores, ms):
    return specs.JobSpec(
        "body",
        tuple(
            specs.StepSpec(
                count=count,
                needs=specs.Resources(cores * 1_000, 100, 0),
                estimate_ms=ms,
                after=(i - 1,) if i else (),
            )
            for i in range(steps)
        ),
    )


@when(
    "{jobs:d} jobs of {steps:d} steps of {count:d} tasks of {cores:d} cores and"
    " {ms:d} ms arrive within {within_ms:d} ms"
)
def submit_peak(context, jobs, steps, count, cores, ms, within_ms):
    context.sim.run_duration_ms = ms
    spec = _build_chain(steps, count, cores, ms)
    context.sim.advance(1_000)
    for i in range(jobs):
        context.sim.submit(f"{i:016x}", spec)
        context.sim.advance(within_ms // jobs)


def _list_jobs(context):
    return list(context.sim.scheduler.book.jobs.values())


@then("at least {count:d} of the jobs completed within their objective")
def check_in_time(context, count):
    book = context.sim.scheduler.book
    in_time = 0
    for job in _list_jobs(context):
        objective_ms = objectives.compute_objective_ms(
            book.find_queue(job.queue), job.spec
        )
        took_ms = job.ended_wall_ms - job.admitted_wall_ms
        in_time += job.state is specs.JobState.COMPLETED and (
            took_ms <= objective_ms
        )
    assert in_time >= count, in_time


@then("every admitted job completed")
def check_completed(context):
    states = {job.state for job in _list_jobs(context)}
    assert states == {specs.JobState.COMPLETED}, states


@given("open jobs of a service of {cores:d} cores")
def set_open_jobs(context, cores):
    context.deferred = deferral.choose_deferred(
        [
            deferral.Candidate(
                row["job"],
                float(row["slack_ms"]),
                float(row["core_s"]) * 1_000_000,
                float(row["chain_ms"]),
                row.get("begun", "no") == "yes",
            )
            for row in context.table
        ],
        cores * 1_000,
    )


@then("no job is deferred")
def check_none_deferred(context):
    assert not context.deferred, context.deferred


@then('the deferred jobs are "{jobs}"')
def check_deferred(context, jobs):
    assert context.deferred == frozenset(jobs.split(",")), context.deferred


def _choose(context):
    return rebalancing.choose_hand_overs(context.states)


@then('instances are handed over from "{source}" to "{target}"')
def check_direction(context, source, target):
    chosen = _choose(context)
    assert chosen, "nothing is handed over"
    assert set(chosen) == {rebalancing.HandOver(source, target)}, chosen


@then("the backlogs then differ by a factor of at most {factor:f}")
def check_balance(context, factor):
    change = {state.pool: 0 for state in context.states}
    for hand_over in _choose(context):
        change[hand_over.source] -= 1
        change[hand_over.target] += 1
    backlogs = [
        pools.compute_duration_ms(
            state.open_work,
            state.capacity_milli + change[state.pool] * _CORES_MILLI,
        )
        for state in context.states
    ]
    assert max(backlogs) <= factor * min(backlogs), backlogs


@then("no instance is handed over")
def check_nothing_handed_over(context):
    assert not _choose(context), _choose(context)


@then("{count:d} instances are handed over")
def check_hand_over_count(context, count):
    assert len(_choose(context)) == count, _choose(context)


@then('"{one}" gets {first:d} of them and "{other}" {second:d}')
def check_division(context, first, one, second, other):
    moves = pools.choose_moves(
        context.states, "spare", context.spare, jobs_simulation.WALL_START_MS
    )
    targets = [pool for _, pool in moves]
    assert targets.count(one) == first, targets
    assert targets.count(other) == second, targets


@given(
    "a full service of {cores:d} cores with {work:d} core seconds of open work"
)
def set_load(context, cores, work):
    context.load = admission.Load(cores * 1_000, work * 1_000_000.0)
    context.shared_load = context.load


@given(
    "pools that can hand over instances, of {cores:d} cores with {work:d} core"
    " seconds of open work"
)
def set_shared_load(context, cores, work):
    context.shared_load = admission.Load(cores * 1_000, work * 1_000_000.0)


@when(
    "a job of {work:d} core seconds arrives that is of use for {limit_ms:d} ms"
)
def decide(context, work, limit_ms):
    context.retry_ms = admission.compute_retry_ms(
        context.load, context.shared_load, work * 1_000_000.0, limit_ms
    )


@then("it is rejected with a time to retry")
def check_one_rejected(context):
    assert context.retry_ms is not None


@then("it is admitted")
def check_admitted(context):
    assert context.retry_ms is None, context.retry_ms


@when("{count:d} jobs of 8 tasks of {ms:d} ms are submitted at once")
def submit_burst(context, count, ms):
    context.sim.advance(200)
    step = specs.StepSpec(8, specs.Resources(4_000, 100, 0), ms)
    context.answers = [
        context.sim.submit(f"{i:016x}", specs.JobSpec("body", (step,)))
        for i in range(count)
    ]


@then("some of them were rejected with a time to retry")
def check_rejected(context):
    rejected = [a for a in context.answers if isinstance(a, calls.NotStored)]
    assert rejected and all(answer.retry_after_ms for answer in rejected)


@then("none of them was rejected")
def check_none_rejected(context):
    done = [isinstance(answer, calls.Done) for answer in context.answers]
    assert all(done), context.answers
