"""Steps for the validation of bundles of changes."""

import json

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from bambookeel.state import snapshot

_OPERATOR = "operator:ann"


def _build_change(action, resource, spec, expected="any"):
    kind_word, _, name = resource.partition("/")
    kind = resources.Kind(kind_word)
    version = commands.ANY_VERSION if expected == "any" else int(expected)
    match action:
        case "put":
            change = commands.PutSpec(kind, name, version, spec)
        case "status":
            change = commands.PutStatus(kind, name, version, resources.Status())
        case _:
            change = commands.Delete(kind, name, version)
    return commands.wrap_change(change)


def _read_rows(table):
    return tuple(
        _build_change(
            row.get("action", "put"),
            row["resource"],
            json.loads(row["spec"]),
            row.get("expected", "any"),
        )
        for row in table
    )


def _apply_changes(state, command_id, changes):
    command = commands.Command(ids.CommandId(command_id), _OPERATOR, changes)
    version = ids.StateVersion(state.version + 1)
    return apply.apply_command(state, version, command)


@given("a state with these resources")
def build_state(context):
    applied = _apply_changes(model.State(), "first", _read_rows(context.table))
    assert applied.outcome.code is commands.OutcomeCode.APPLIED, applied
    context.state = applied.state


@when("an operator sends the changes")
def send_changes(context):
    context.before = context.state
    changes = _read_rows(context.table)
    command = commands.Command(ids.CommandId("dry"), _OPERATOR, changes)
    context.dry_run = apply.dry_run_command(context.state, command)
    name = f"command-{context.state.version}"
    context.applied = _apply_changes(context.state, name, changes)
    context.state = context.applied.state


def _check_code(context, code):
    outcome = context.applied.outcome
    assert outcome.code.value == code, outcome
    # The dry run before the command gave the same result.
    assert context.dry_run.code is outcome.code
    assert context.dry_run.faults == outcome.faults


@then('the outcome is "{code}" with a fault at "{place}"')
def check_fault(context, code, place):
    _check_code(context, code)
    places = [fault.place for fault in context.applied.outcome.faults]
    assert places == [place], context.applied.outcome


@then('the outcome is "{code}" with faults at')
def check_faults(context, code):
    _check_code(context, code)
    places = sorted(fault.place for fault in context.applied.outcome.faults)
    assert places == [row["place"] for row in context.table], places


@then('the outcome is "{code}"')
def check_outcome(context, code):
    _check_code(context, code)


@then("nothing has changed")
def check_unchanged(context):
    assert context.state.by_key == context.before.by_key
    assert not context.applied.changed


@then('the conflict shows the current "{resource}"')
def check_current(context, resource):
    current = context.applied.outcome.current
    assert f"{current['kind']}/{current['name']}" == resource, current


@then('"{present}" exists and "{absent}" does not')
def check_existence(context, present, absent):
    names = {f"{kind.value}/{name}" for kind, name in context.state.by_key}
    assert present in names and absent not in names, names


@when("{number:d} commands with distinct ids are applied")
def apply_many(context, number):
    for i in range(number):
        change = _build_change("put", "team/coach", {"upper_limit": i})
        applied = _apply_changes(context.state, f"many-{i}", (change,))
        context.state = applied.state
    context.number = number


@then("the outcomes of the last {kept:d} are kept")
def check_kept(context, kept):
    first = context.number - kept
    expected = {f"many-{i}" for i in range(first, context.number)}
    assert set(context.state.outcomes) == expected
    change = _build_change("put", "team/coach", {"upper_limit": 1})
    again = _apply_changes(context.state, f"many-{first}", (change,))
    assert not again.changed


@then("a state restored from plain mappings keeps the same order")
def check_restored(context):
    state = context.state
    restored = model.State(
        state.version, dict(state.by_key), dict(state.outcomes)
    )
    assert list(restored.outcome_order) == list(state.outcome_order)
    assert restored == state


@then(
    "a state restored from a snapshot's bytes is equal and evicts the same"
    " outcomes"
)
def check_snapshot_bytes(context):
    state = context.state
    restored = snapshot.decode_state(snapshot.encode_state(state))
    assert restored == state
    change = _build_change("put", "team/coach", {"upper_limit": 1})
    first = _apply_changes(state, "one-more", (change,)).state
    second = _apply_changes(restored, "one-more", (change,)).state
    assert set(first.outcomes) == set(second.outcomes)


_NAMES = strategies.sampled_from(("a", "b", "c"))
_REFERRED = strategies.sampled_from(("a", "b", "c", "absent"))
_SPECS = {
    "team": strategies.fixed_dictionaries(
        {"upper_limit": strategies.integers(-1, 3)}
    ),
    "pool": strategies.fixed_dictionaries(
        {"wanted_size": strategies.integers(0, 3)}
    ),
    "service": strategies.fixed_dictionaries({"pool": _REFERRED}),
    "job": strategies.fixed_dictionaries(
        {"team": _REFERRED, "pool": _REFERRED}
    ),
}


@strategies.composite
def _draw_change(draw):
    kind = draw(strategies.sampled_from(sorted(_SPECS)))
    action = draw(strategies.sampled_from(("put", "put", "delete", "status")))
    expected = draw(strategies.sampled_from(("any", "any", "any", "0", "3")))
    name = draw(_NAMES)
    return _build_change(action, f"{kind}/{name}", draw(_SPECS[kind]), expected)


def _check_references(state):
    """Checks that every referenced resource exists."""
    for resource in state.by_key.values():
        for field, kind in (("team", "TEAM"), ("pool", "POOL")):
            name = getattr(resource.spec, field, "")
            if not name or resource.kind is resources.Kind.KEY:
                continue
            assert (resources.Kind[kind], name) in state.by_key, resource


@then("two replicas that apply random bundles agree in any order of their maps")
def check_replicas(context):
    bundle = strategies.lists(_draw_change(), min_size=1, max_size=6)

    @hypothesis.given(strategies.lists(bundle, min_size=1, max_size=12))
    def run(bundles):
        first = second = model.State()
        for i, changes in enumerate(bundles):
            applied = _apply_changes(first, f"c-{i}", tuple(changes))
            before = first
            first = applied.state
            if applied.outcome.faults:
                assert first.by_key == before.by_key
            _check_references(first)
            # The other replica restores a snapshot, in another order.
            turned = dict(reversed(list(second.by_key.items())))
            second = model.State(second.version, turned, dict(second.outcomes))
            other = _apply_changes(second, f"c-{i}", tuple(changes))
            second = other.state
            assert other.outcome == applied.outcome
            assert second == first

    run()


@when('the system writes a status of "{resource}"')
def write_status(context, resource):
    kind, _, name = resource.partition("/")
    context.written = (resources.Kind(kind), name)
    status = resources.Status(state="observed")
    change = commands.PutStatus(*context.written, commands.ANY_VERSION, status)
    command = commands.Command(
        ids.CommandId("status"), "planner", (commands.wrap_change(change),)
    )
    version = ids.StateVersion(context.state.version + 1)
    context.state = apply.apply_command(context.state, version, command).state


@then("that status names the version of the current spec")
def check_status_version(context):
    current = context.state.by_key[context.written]
    assert current.status.state == "observed", current
    assert current.status.spec_version == current.spec_version, current
