"""Steps for evacuations of data centres in the simulation of the scheduler."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.jobs import specs
from features.fakes import jobs_bounds
from features.fakes import jobs_evacuations
from features.steps import job_steps
from features.steps import late_order_steps

_SAVED_FIELDS = ("evacuations", "former_evacuations")


@given('its workers are in the data centres "{first}" and "{second}"')
def place_workers(context, first, second):
    jobs_evacuations.place_workers(context.sim, (first, second))
    context.sim.start_leader()


@when('the evacuation of "{name}" begins')
def begin(context, name):
    context.before = context.sim.committed
    context.answer = jobs_evacuations.change(context.sim, name, True)


@when('the evacuation of "{name}" ends')
def end(context, name):
    context.answer = jobs_evacuations.change(context.sim, name, False)


@when("the evacuation of a data centre with {chars:d} characters begins")
def begin_of_length(context, chars):
    begin(context, "n" * chars)


@then('these are evacuated: "{names}"')
@then('these are evacuated: ""')
def check_evacuated(context, names=""):
    answer = context.sim.call(calls.ListEvacuations())
    assert isinstance(answer, calls.EvacuationsAre), answer
    found = ",".join(sorted(name for name, _ in answer.begun))
    assert found == names, answer


@then("the book has not changed with the last order")
def check_unchanged(context):
    assert context.sim.committed == context.before


@when(
    'a leader takes over that knows only the data centres "{first}" and'
    ' "{second}"'
)
def start_leader_with_names(context, first, second):
    bounds = {
        field: getattr(jobs_bounds.BOUNDS, field)
        for field in jobs_bounds.BOUNDS.__dataclass_fields__
    }
    bounds["data_centres"] = frozenset((first, second))
    context.sim.settings = job_scheduler.SchedulerSettings.from_bounds(
        type(jobs_bounds.BOUNDS)(**bounds)
    )
    context.sim.start_leader()


@then('tasks of job "{job}" run in "{data_centre}"')
def check_running_in(context, job, data_centre):
    name = job_steps.build_job_id(job)
    started = [
        worker
        for _, task, _, worker in context.sim.starts
        if task.job == name
        and context.sim.workers[worker].data_centre == data_centre
    ]
    assert started, context.sim.starts


@then("a restored snapshot has the same evacuations")
def check_restored(context):
    book = book_snapshot.decode_book(context.sim.committed)
    own = context.sim.scheduler.book.instances
    assert book.instances.evacuations == own.evacuations != {}
    assert book.instances.former_evacuations == own.former_evacuations != {}


@then("a snapshot of an earlier version has none")
def check_earlier_snapshot(context):
    saved = msgspec.msgpack.decode(context.sim.committed)
    for field in _SAVED_FIELDS:
        del saved[field]
    book = book_snapshot.decode_book(msgspec.msgpack.encode(saved))
    assert not book.instances.evacuations
    assert not book.instances.former_evacuations


def _find_life(context):
    target = context.target
    return specs.WorkerIncarnation(target.name, target.born_wall_ms)


@when('{kind} is assigned in "{data_centre}", and its order was not sent')
def assign_unsent(context, kind, data_centre):
    # All workers are there, so that the task is assigned there.
    jobs_evacuations.place_workers(context.sim, (data_centre,))
    late_order_steps.assign(context, kind)
    others = [
        w for w in context.sim.workers.values() if w is not context.target
    ]
    for worker in others:
        worker.data_centre = "south"
        worker.next_report_ms = context.sim.now_ms
    context.sim.advance(25)
    assert (
        context.task
        in context.sim.scheduler.book.assigned_runs[_find_life(context)]
    )


@when('{kind} is assigned in "{data_centre}", and its order was lost')
def assign_lost(context, kind, data_centre):
    assign_unsent(context, kind, data_centre)
    orders = context.sim.call(context.target.make_report(context.sim.now_ms))
    assert [start.task for start in orders.starts] == [context.task], orders


@when('{kind} is assigned in "{data_centre}", and its order has arrived')
def assign_arrived(context, kind, data_centre):
    assign_unsent(context, kind, data_centre)
    context.sim.send_report(context.target)
    assert context.task in context.target.running


@when("the evacuation of its data centre begins")
def begin_there(context):
    begin(context, context.target.data_centre)


@when("its worker reports again")
def report_again(context):
    context.sim.advance(25)
    context.sim.send_report(context.target)


@then("its run is not assigned there")
def check_not_assigned(context):
    runs = context.sim.scheduler.book.assigned_runs.get(_find_life(context), {})
    assert context.task not in runs, runs


@then("its run is assigned there")
def check_assigned(context):
    runs = context.sim.scheduler.book.assigned_runs.get(_find_life(context), {})
    assert context.task in runs, runs


@then("its task has been run")
def check_run(context):
    assert context.sim.scheduler.book.get_task(context.task).is_done


@when("the evacuation begins between a report of its worker and the answer")
def begin_before_answer(context):
    sim = context.sim
    report = context.target.make_report(sim.now_ms)
    answer = sim.scheduler.handle(report, sim.read_now())
    begin(context, context.target.data_centre)
    context.orders = answer()


@then("the answer starts nothing")
def check_no_starts(context):
    assert isinstance(context.orders, calls.WorkerOrders), context.orders
    assert not context.orders.starts, context.orders


@when(
    "random simulations of evacuations beside {kind} with seeds {first:d} to"
    " {last:d} are run"
)
def simulate(context, kind, first, last):
    job_steps.simulate_each(
        context,
        first,
        last,
        lambda seed: jobs_evacuations.simulate(
            seed, "waves" in kind, "faults" in kind
        ),
    )
