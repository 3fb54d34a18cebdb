"""Steps for queues and teams that are known by their places and keys alone."""

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from features.fakes import jobs_simulation
from features.steps import job_steps


def _get_document(context):
    return context.sim.scheduler.book.configuration.document


def _put(context, queues=None, teams=None):
    document = _get_document(context)
    answer = context.sim.put_document(
        configuration.Document(
            document.version + 1,
            document.queues if queues is None else tuple(queues),
            document.services,
            document.teams if teams is None else tuple(teams),
            b"{}",
        )
    )
    assert answer == calls.Done(), answer


def _name(entries, *names):
    return [
        msgspec.structs.replace(entry, name=name)
        for entry, name in zip(entries, names)
    ]


def _is_found(context, job, path, key):
    job = job_steps.build_job_id(job)
    call = calls.AskJob(jobs_simulation.HOST, f"{path}{job}", key, job)
    return isinstance(context.sim.call(call), calls.JobIs)


@when("a new leader leads")
def start_leader(context):
    context.sim.start_leader()
    context.sim.advance(100)


@when("all queues are removed")
def remove_queues(context):
    _put(context, queues=())


@when('the first queue is back as "{name}"')
def bring_first_queue_back(context, name):
    _put(context, queues=_name(context.sim.build_document().queues, name))


@when('both queues are back as "{first}" and "{second}"')
def bring_queues_back(context, first, second):
    original = context.sim.build_document().queues
    _put(context, queues=_name(original, first, second))


@when('a queue "{name}" is added at "{path}"')
def add_queue(context, name, path):
    first = context.sim.build_document().queues[0]
    added = msgspec.structs.replace(first, name=name, path_prefix=path)
    _put(context, queues=(*_get_document(context).queues, added))


@when('the queue "{name}" moves to "{path}"')
def move_queue(context, name, path):
    _put(
        context,
        queues=[
            (
                msgspec.structs.replace(queue, path_prefix=path)
                if queue.name == name
                else queue
            )
            for queue in _get_document(context).queues
        ],
    )


@then('job "{job}" is found at "{paths}" only')
def check_places(context, job, paths):
    for queue in _get_document(context).queues:
        path = queue.path_prefix
        is_expected = path in paths.split(",")
        found = _is_found(context, job, path, "key-coach")
        assert found is is_expected, (path, found)


@then('job "{job}" is unknown at "{path}"')
def check_not_at(context, job, path):
    assert not _is_found(context, job, path, "key-coach")


@when('job "{job}" of 2 steps of 1 tasks is submitted with key "{key}"')
def submit_two_steps(context, job, key):
    job_steps.submit_spec(context, job, job_steps.build_spec(2, 1), key=key)


@when("all teams are removed")
def remove_teams(context):
    _put(context, teams=())


@when('the team of "{key}" is back as "{name}"')
def bring_team_back(context, key, name):
    teams = [t for t in context.sim.build_document().teams if key in t.keys]
    _put(context, teams=_name(teams, name))


@when('the teams are back as "{first}" and "{second}"')
def bring_teams_back(context, first, second):
    original = context.sim.build_document().teams
    _put(context, teams=_name(original, first, second))


@given('a team "{name}" with keys "{keys}"')
@when('a team "{name}" is added with keys "{keys}"')
def add_team(context, name, keys):
    added = configuration.Team(name, tuple(keys.split(",")))
    _put(context, teams=(*_get_document(context).teams, added))


@when('the key "{key}" goes to the team "{name}"')
def move_key(context, key, name):
    teams = []
    for team in _get_document(context).teams:
        keys = tuple(each for each in team.keys if each != key)
        if team.name == name:
            keys += (key,)
        teams.append(msgspec.structs.replace(team, keys=keys))
    _put(context, teams=teams)


@then('job "{job}" is found with "{keys}" only')
def check_keys(context, job, keys):
    for team in _get_document(context).teams:
        for key in team.keys:
            is_expected = key in keys.split(",")
            found = _is_found(context, job, "/o/", key)
            assert found is is_expected, (key, found)


@when(
    "the configuration changes {count:d} times, with other queues and teams"
    " each time"
)
def change_often(context, count):
    first = context.sim.build_document().queues[0]
    for number in range(count):
        name = f"n{number}"
        queue = msgspec.structs.replace(
            first, name=name, path_prefix=f"/{name}/"
        )
        team = configuration.Team(name, (f"key-{name}",))
        _put(context, (queue,), (team,))


@then("{queues:d} former queue and {teams:d} former team are kept")
def check_former(context, queues, teams):
    former = context.sim.scheduler.book.former
    assert len(former.queues) == queues, former.queues
    assert len(former.teams) == teams, former.teams


@when('two teams "{name}" share a key')
def share_key(context, name):
    document = _get_document(context)
    teams = (
        configuration.Team(name, ("key-a", "key-shared")),
        configuration.Team(name, ("key-b", "key-shared")),
    )
    context.answer = context.sim.put_document(
        configuration.Document(
            document.version + 1, document.queues, document.services, teams
        )
    )


@then("the configuration is refused")
def check_refused(context):
    assert isinstance(context.answer, calls.Invalid), context.answer
