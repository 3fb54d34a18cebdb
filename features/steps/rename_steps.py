"""Steps for queues and teams that are renamed."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.steps import job_steps


def _get_document(context):
    return context.sim.scheduler.book.configuration.document


def _put(context, queues=None, teams=None):
    document = _get_document(context)
    context.sim.put_document(
        configuration.Document(
            document.version + 1,
            document.queues if queues is None else queues,
            document.services,
            document.teams if teams is None else teams,
            b"{}",
        )
    )


def _rename(items, name, later):
    return tuple(
        msgspec.structs.replace(item, name=later) if item.name == name else item
        for item in items
    )


def _rename_queue(context):
    original = context.sim.build_document().queues
    _put(context, queues=_rename(original, "orders", "orders-new"))


def _rename_team(context):
    original = context.sim.build_document().teams
    _put(context, teams=_rename(original, "coach", "coach-new"))


@given("a cap of {cap:d} milli-cores for each team")
@when("the cap of each team becomes {cap:d} milli-cores")
def set_cap(context, cap):
    context.sim.cap_milli = cap
    context.sim.put_document(context.sim.build_document(version=2))


@when("the queue is renamed")
def rename_queue(context):
    _rename_queue(context)


@when("the team is renamed")
def rename_team(context):
    _rename_team(context)


@when("the queue and team is renamed")
def rename_both(context):
    _rename_queue(context)
    _rename_team(context)


@when("the queue is removed")
def remove_queue(context):
    _put(context, queues=_get_document(context).queues[1:])
    assert isinstance(
        context.sim.ask(job_steps.build_job_id("a")), calls.UnknownQueue
    )


@when("the team is removed")
def remove_team(context):
    _put(context, teams=_get_document(context).teams[1:])
    assert isinstance(
        context.sim.ask(job_steps.build_job_id("a")), calls.BadKey
    )


def _take_name(context):
    first, second = context.sim.build_document().queues
    taker = msgspec.structs.replace(second, name=first.name)
    _put(context, queues=(taker,))


@when("another queue takes its name as it is removed")
def remove_and_take_name(context):
    _take_name(context)


@when("the queue is removed and another queue takes its name")
def take_name_later(context):
    remove_queue(context)
    _take_name(context)


@when(
    "the queue is removed and another queue takes its name, then a new leader"
)
def take_name_before_new_leader(context):
    take_name_later(context)
    context.sim.start_leader()


@when("the queue is back under another name")
def bring_back(context):
    first, _ = context.sim.build_document().queues
    (taker,) = _get_document(context).queues
    later = msgspec.structs.replace(first, name="orders-later")
    _put(context, queues=(taker, later))


def _take_team_name(context):
    first, second = context.sim.build_document().teams
    _put(context, teams=(msgspec.structs.replace(second, name=first.name),))


@when("another team takes its name as it is removed")
def remove_team_and_take_name(context):
    _take_team_name(context)


@when("the team is removed and another team takes its name")
def take_team_name_later(context):
    remove_team(context)
    _take_team_name(context)


@when("the team is removed and another team takes its name, then a new leader")
def take_team_name_before_new_leader(context):
    take_team_name_later(context)
    context.sim.start_leader()


@then('job "{job}" is unknown to the other team')
def check_unknown(context, job):
    answer = context.sim.ask(job_steps.build_job_id(job), key="key-school")
    assert answer == calls.NoSuchJob(), answer


@when("the team is back under another name")
def bring_team_back(context):
    first, _ = context.sim.build_document().teams
    (taker,) = _get_document(context).teams
    later = msgspec.structs.replace(first, name="coach-later")
    _put(context, teams=(taker, later))


@when("the queues exchange their names")
def exchange_names(context):
    first, second = _get_document(context).queues
    _put(
        context,
        queues=(
            msgspec.structs.replace(first, name=second.name),
            msgspec.structs.replace(second, name=first.name),
        ),
    )


@when("the team gets other keys")
def change_keys(context):
    team, other = _get_document(context).teams
    changed = msgspec.structs.replace(team, keys=("key-later",))
    _put(context, teams=(changed, other))


@then('job "{job}" is "{state}" for the new key')
def check_state_for_key(context, job, state):
    answer = context.sim.ask(job_steps.build_job_id(job), key="key-later")
    assert answer == calls.JobIs(specs.JobState(state), ""), answer


@when('job "{job}" is submitted again')
def submit_again(context, job):
    spec = context.sim.specs[job_steps.build_job_id(job)]
    job_steps.submit_spec(context, job, spec)


@then("the call is acknowledged")
def check_acknowledged(context):
    assert context.answer == calls.Done(), context.answer


@when("{count:d} jobs wait behind a full pool")
def fill_pool(context, count):
    context.sim.advance(500)
    total = sum(w.capacity.cpu_milli for w in context.sim.workers.values())
    job_steps.submit_long_job(context, "a", total // 1_000, 9_000)
    context.sim.advance(500)
    for number in range(count):
        job_steps.submit_job(context, chr(ord("b") + number), 1, 1)
