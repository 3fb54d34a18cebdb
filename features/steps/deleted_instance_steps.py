"""Steps for instances that are deleted while tasks run on them."""

from behave import then
from behave import when

from features.steps import recreated_job_steps

_TASK_MS = 20_000
_MAX_STEPS = 200


def _delete_worker(context):
    run = context.run
    run.platform.task_duration_ms = _TASK_MS
    run.declare("job", "bus", {"team": "coach", "pool": "orders"})
    run.run(3)
    running = recreated_job_steps.find_attempts(run, "running")
    ((context.worker, _),) = running
    recreated_job_steps.delete(run, "instance", context.worker.name)


@when("the instance on which a task of 20 s runs is deleted")
def delete_instance(context):
    _delete_worker(context)


@when(
    "the instance on which a task of 20 s runs is deleted and reports no more"
)
def delete_gone_instance(context):
    _delete_worker(context)
    context.worker.is_silent = True


@then("the task has succeeded once and never ran twice at once")
def check_one_run(context):
    run = context.run
    context.second_start_ms = None
    for _ in range(_MAX_STEPS):
        if run.get("job", "bus").status.state == "done":
            break
        run.step()
        starts = sum(run.platform.starts.values())
        if starts == 2 and context.second_start_ms is None:
            context.second_start_ms = run.now_ms
    assert run.get("job", "bus").status.state == "done"
    assert run.platform.successes["bus.0"] == 1, run.platform.successes


@then("it was started again only after the lease of the deleted instance")
def check_second_start(context):
    assert context.second_start_ms is not None
    assert context.second_start_ms >= context.worker.lease_until_ms
