"""Steps for the assignment and renewal of dispatch leases by control."""

from behave import given
from behave import then
from behave import when

from bambookeel.control import lease_keeper
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model

_LEASE_MS = 1_200


def _commit(context, change):
    version = context.lease_state.version + 1
    command = commands.Command(
        f"c{version}", "test", (commands.wrap_change(change),)
    )
    applied = apply.apply_command(context.lease_state, version, command)
    assert applied.outcome.code is commands.OutcomeCode.APPLIED
    context.lease_state = applied.state


def _report(context, entry, held=(), stopping=False):
    heartbeat = messages.EntryHeartbeat(1, 1, stopping, tuple(held))
    return lease_keeper.handle_heartbeat(
        context.keeper,
        context.lease_state,
        entry,
        heartbeat,
        context.lease_ms,
    )


def _plan(context):
    return lease_keeper.plan_assignments(
        context.keeper, context.lease_state, context.lease_ms
    )


@given('a lease keeper with the service "orders" held by "{entry}"')
def create_lease_keeper(context, entry):
    context.lease_ms = 10_000
    context.lease_state = model.State()
    puts = (
        (resources.Kind.POOL, {"wanted_size": 1}),
        (resources.Kind.SERVICE, {"pool": "orders"}),
        (resources.Kind.DISPATCHER, {"holder": entry, "epoch": 1}),
    )
    for kind, spec in puts:
        _commit(
            context,
            commands.PutSpec(kind, "orders", commands.MUST_NOT_EXIST, spec),
        )
    context.keeper = lease_keeper.LeaseKeeper(_LEASE_MS, _LEASE_MS)
    lease_keeper.start_term_if_new(context.keeper, 1, context.lease_ms)
    held = messages.HeldLease("orders", 1, False)
    assert _report(context, entry, (held,)) == (held,)


@when('"{silent}" is silent for {passed:d} ms and "{other}" reports')
def pass_silence(context, silent, passed, other):
    del silent
    context.lease_ms += passed
    _report(context, other)


@when("a successor is proposed but not committed yet")
def propose(context):
    assert len(_plan(context)) == 1


@when("a successor is proposed and committed")
def propose_and_commit(context):
    (change,) = _plan(context)
    _commit(context, change)


@when('"{entry}" reports that it holds "orders"')
def report_holding(context, entry):
    held = messages.HeldLease("orders", 1, False)
    context.renewed = _report(context, entry, (held,))


@then("nothing is renewed")
def check_nothing_renewed(context):
    assert context.renewed == ()


@when('another leader begins and "{entry}" reports')
def change_leader(context, entry):
    context.keeper = lease_keeper.LeaseKeeper(_LEASE_MS, _LEASE_MS)
    lease_keeper.start_term_if_new(context.keeper, 2, context.lease_ms)
    _report(context, entry)


@when('"{other}" reports and "{entry}" releases "orders"')
def release_lease(context, other, entry):
    _report(context, other)
    held = messages.HeldLease("orders", 1, True)
    # pylint: disable-next=use-implicit-booleaness-not-comparison
    assert _report(context, entry, (held,), stopping=True) == ()


@then("no successor is proposed within {passed:d} ms")
def check_no_successor(context, passed):
    end_ms = context.lease_ms + passed
    while context.lease_ms + 100 < end_ms:
        context.lease_ms += 100
        _report(context, "entry-1")
        assert not _plan(context), context.lease_ms


@then("a successor is proposed after {passed:d} ms")
def check_successor(context, passed):
    if passed:
        context.lease_ms += 200
    _report(context, "entry-1")
    (change,) = _plan(context)
    assert change.spec == {"holder": "entry-1", "epoch": 2}
