"""Steps that compare the indexes of the job book with recounts."""

import collections
from unittest import mock

from behave import then
from behave import when

from bambookeel.jobs import no_room
from features.fakes import jobs_recounts
from features.fakes import jobs_searches


@when(
    "simulations of commands of all kinds with seeds {first:d} to {last:d} are"
    " run for {ms:d} ms"
)
def run_recounts(context, first, last, ms):
    context.recounts = []
    context.recount_seeds = range(first, last + 1)
    context.recount_ms = ms
    for seed in context.recount_seeds:
        simulation = jobs_recounts.RecountSimulation(seed)
        simulation.run(ms)
        context.recounts.append(simulation)


@then("no index has differed from a recount, also after a restored snapshot")
def check_differences(context):
    found = [s.differences[:3] for s in context.recounts if s.differences]
    assert not found, found


@then("each of these commands was committed: {names}")
def check_kinds(context, names):
    committed = collections.Counter()
    for simulation in context.recounts:
        committed += simulation.kinds
    missing = [name for name in names.split(", ") if not committed[name]]
    assert not missing, (missing, committed)


@then("plans that search for each task again have decided the same")
def check_searches(context):
    includes = no_room.NoRoom.includes
    left_out = []

    def search_again(self, step, isolation):
        if includes(self, step, isolation):
            left_out.append((step.key, isolation))
        return False

    with mock.patch.object(no_room.NoRoom, "includes", search_again):
        for seed, simulation in zip(context.recount_seeds, context.recounts):
            again = jobs_recounts.RecountSimulation(seed)
            again.run(context.recount_ms)
            assert again.decisions == simulation.decisions, seed
    isolations = collections.Counter(isolation for _, isolation in left_out)
    assert isolations.keys() >= set(no_room.ORDER), isolations


@when("random tasks are placed in {count:d} plans")
def place_randomly(context, count):
    context.searches = [jobs_searches.simulate(seed) for seed in range(count)]


@then("at least {count:d} searches were left out, none of them wrongly")
def check_left_out(context, count):
    wrong = [case for _, cases in context.searches for case in cases]
    assert not wrong, wrong[:5]
    left_out = sum(number for number, _ in context.searches)
    assert left_out >= count, left_out
