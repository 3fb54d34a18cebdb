"""Steps for randomised runs of dispatchers."""

from behave import then
from behave import when

from bambookeel.core import resources
from features.fakes import dispatch_simulation

_SETTLE_MS = 2_000
# Covers the longest fault, a deadline and the next check of overdue grants.
_DRAIN_MS = 45_000


def _run(seed, kinds, length_ms):
    simulation = dispatch_simulation.DispatchSimulation(seed)
    start_ms = simulation.clock.now_ms
    simulation.clock.run_until(start_ms + _SETTLE_MS)
    simulation.load(start_ms + length_ms, 25)
    if kinds:
        dispatch_simulation.FaultInjector(simulation, kinds).run(
            start_ms + length_ms
        )
    simulation.clock.run_until(start_ms + length_ms + _DRAIN_MS)
    return simulation


@when('dispatchers run {length:d} s of load under "{faults}" for seeds {seeds}')
def run_dispatchers(context, length, faults, seeds):
    kinds = tuple(faults.split(","))
    if faults == "none":
        kinds = ()
    if faults == "all":
        kinds = dispatch_simulation.FAULT_KINDS
    first, last = seeds.split("-")
    context.simulations = {
        seed: _run(seed, kinds, length * 1_000)
        for seed in range(int(first), int(last) + 1)
    }


def _list_violations(context, text):
    return [
        (seed, violation)
        for seed, simulation in context.simulations.items()
        for violation in simulation.violations
        if text in violation
    ]


@then("no request and no key ran twice")
def check_once(context):
    assert not _list_violations(context, "twice"), _list_violations(
        context, "twice"
    )
    for simulation in context.simulations.values():
        assert simulation.count_outcomes()["answered"] > 100


@then("no backend server ran more than its slots")
def check_slots(context):
    found = _list_violations(context, "too many")
    assert not found, found


@then("no team ran more than its limit across the fleet")
def check_limits(context):
    found = _list_violations(context, "limit")
    assert not found, found


@then("every slot and every charge was returned after the faults")
def check_returned(context):
    for seed, simulation in context.simulations.items():
        assert not simulation.list_unreturned(), (
            seed,
            simulation.list_unreturned(),
        )


@then("every request sent once the faults are over is answered")
def check_recovered(context):
    for seed, simulation in context.simulations.items():
        sent = [simulation.submit(work_ms=20) for _ in range(20)]
        simulation.clock.run_until(simulation.clock.now_ms + 5_000)
        outcomes = [request.outcome for request in sent]
        assert outcomes == ["answered"] * 20, (seed, outcomes)


@when('the holder of "orders" dies and 4 s pass')
def kill_holder(context):
    for simulation in context.simulations.values():
        name = simulation.control.state.by_key[
            (resources.Kind.DISPATCHER, "orders")
        ].spec.holder
        simulation.entries[name].kill()
        simulation.clock.run_until(simulation.clock.now_ms + 4_000)


def _submit_keys(simulation, keys):
    sent = [
        simulation.submit(service="orders", key=key, work_ms=20) for key in keys
    ]
    simulation.clock.run_until(simulation.clock.now_ms + 5_000)
    return [request.outcome for request in sent]


@then("requests with new keys are answered")
def check_new_keys(context):
    for seed, simulation in context.simulations.items():
        outcomes = _submit_keys(simulation, [f"new-{i}" for i in range(8)])
        assert outcomes == ["answered"] * 8, (seed, outcomes)


@then("requests with keys answered before are reported as duplicates")
def check_old_keys(context):
    for seed, simulation in context.simulations.items():
        keys = {
            request.key
            for request in simulation.requests
            if request.key
            and request.outcome == "answered"
            and request.service == "orders"
        }
        outcomes = _submit_keys(simulation, sorted(keys))
        assert outcomes == ["duplicate"] * len(keys), (seed, outcomes)
