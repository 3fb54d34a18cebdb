"""Steps for the random check of the job interface."""

import random

from behave import then
from behave import when

from features.fakes import interface_check
from features.fakes import interface_jobs
from features.fakes import interface_run


@when("the job interface is checked with seeds {first:d} to {last:d}")
def check_seeds(context, first, last):
    context.broken = []
    for seed in range(first, last + 1):
        for rule, job, text in interface_check.run_seed(seed).findings:
            context.broken.append(f"seed {seed}, {rule}, job {job}: {text}")


@then("no rule was broken")
def check_rules(context):
    command = "python -m dev.run_interface --seed=N prints a short trace"
    assert not context.broken, "\n".join([*context.broken, command])


@when("seed {seed:d} of the job interface is run twice")
def run_twice(context, seed):
    context.traces = [interface_check.run_seed(seed).trace for _ in range(2)]


@then("both traces are the same")
def compare_traces(context):
    first, second = context.traces
    assert first and first == second


@when("jobs are drawn with seeds {first:d} to {last:d}")
def draw_jobs(context, first, last):
    context.shapes = {}
    for seed in range(first, last + 1):
        source = random.Random(seed)
        for shape in interface_jobs.SHAPES:
            spec = interface_jobs.draw_spec(source, shape, 10**12)
            context.shapes.setdefault(shape, []).append(spec)


@then("each shape was drawn")
def check_shapes(context):
    steps = [
        s for drawn in context.shapes.values() for j in drawn for s in j.steps
    ]
    for field in (
        "after",
        "checkpoints",
        "is_gang",
        "wants_one_rack",
        "label",
        "data_rack",
        "max_per_instance",
        "allows_copies",
        "is_standing",
        "is_filler",
    ):
        assert any(getattr(step, field) for step in steps), field
    assert any(job.is_timed for job in context.shapes["timed"])
    actions = [
        action.kind
        for seed in range(20)
        for action in interface_run.draw_actions(seed)
    ]
    kinds = {*interface_run.KINDS, *interface_run.IDENTITY_KINDS}
    assert set(actions) == kinds
