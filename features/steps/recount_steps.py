"""Steps that compare the indexes of the job book with recounts."""

import collections

from behave import then
from behave import when

from features.fakes import jobs_recounts


@when(
    "simulations of commands of all kinds with seeds {first:d} to {last:d} are"
    " run for {ms:d} ms"
)
def run_recounts(context, first, last, ms):
    context.recounts = []
    for seed in range(first, last + 1):
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
