"""Steps for commands on the replicated state."""

from behave import given
from behave import then
from behave import when

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model


def _put_limit(command_id, limit, expected_version):
    change = commands.PutSpec(
        resources.Kind.TEAM,
        "coach",
        expected_version,
        {"upper_limit": limit},
    )
    return commands.Command(
        ids.CommandId(command_id), "test", (commands.wrap_change(change),)
    )


def _apply(context, command):
    version = ids.StateVersion(context.state.version + 1)
    applied = apply.apply_command(context.state, version, command)
    context.state = applied.state
    return applied


@given('a team "coach" with an upper limit of 5')
def create_team(context):
    context.state = model.State()
    _apply(context, _put_limit("create", 5, commands.MUST_NOT_EXIST))


@when("two operators set its limit to 7 and to 9 from the same version")
def race_operators(context):
    version = context.state.version
    context.first = _apply(context, _put_limit("first", 7, version))
    context.second = _apply(context, _put_limit("second", 9, version))


@then("the first is applied and the second gets a conflict with limit 7")
def check_race(context):
    assert context.first.outcome.code is commands.OutcomeCode.APPLIED
    outcome = context.second.outcome
    assert outcome.code is commands.OutcomeCode.CONFLICT
    assert outcome.current["spec"]["upper_limit"] == 7


@when("the same command is applied twice")
def apply_twice(context):
    command = _put_limit("again", 6, commands.ANY_VERSION)
    context.first = _apply(context, command)
    context.second = _apply(context, command)


@then("both outcomes are equal and the state changed once")
def check_once(context):
    assert context.first.outcome == context.second.outcome
    assert context.first.changed and not context.second.changed
