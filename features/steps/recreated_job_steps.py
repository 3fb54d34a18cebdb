"""Steps for jobs that are deleted and created again under the same name."""

from behave import given
from behave import then
from behave import when

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import commands

_MAX_STEPS = 100


def _declare(run, name, **spec):
    run.declare("job", name, {"team": "coach", "pool": "orders", **spec})


def delete(run, kind, name):
    run.plans += 1
    change = commands.Delete(resources.Kind(kind), name, commands.ANY_VERSION)
    outcome = run.apply(
        commands.Command(
            ids.CommandId(f"delete-{run.plans}"),
            "operator",
            (commands.wrap_change(change),),
        )
    )
    assert outcome.code is commands.OutcomeCode.APPLIED, outcome


def find_attempts(run, phase):
    return [
        (worker, task_id)
        for worker in run.platform.workers.values()
        for task_id, task in worker.tasks.items()
        if task["phase"] == phase
    ]


@given('a job "{name}" whose worker has reported the success of its task')
def run_job_to_its_end(context, name):
    run = context.run
    _declare(run, name)
    for _ in range(_MAX_STEPS):
        run.step()
        if find_attempts(run, "succeeded"):
            break
    assert find_attempts(run, "succeeded")


@given('a job "{name}" that runs on a worker that is cut off')
def cut_worker(context, name):
    run = context.run
    _declare(run, name)
    run.run(3)
    ((context.cut_worker, _),) = find_attempts(run, "running")
    context.cut_worker.is_silent = True


@when('the job "{name}" is deleted and created again at once')
def create_again(context, name):
    run = context.run
    delete(run, "job", name)
    _declare(run, name)
    run.done_tasks.clear()
    context.starts_before = sum(run.platform.starts.values())


@when("the cut worker reports again after its task has ended")
def end_cut(context):
    worker = context.cut_worker
    ((task_id, task),) = worker.tasks.items()
    # The platform's clock has to reach the end of the task within its lease.
    task["ends_ms"] = context.run.now_ms
    context.run.platform.step(context.run.now_ms)
    assert worker.tasks[task_id]["phase"] == "succeeded", worker.tasks
    worker.is_silent = False


@then('the later job "{name}" has run its task before it is done')
def check_own_run(context, name):
    run = context.run
    for _ in range(_MAX_STEPS):
        if run.get("job", name).status.state == "done":
            break
        run.step()
    assert run.get("job", name).status.state == "done"
    starts = sum(run.platform.starts.values()) - context.starts_before
    assert starts == 1, (starts, run.platform.starts)
