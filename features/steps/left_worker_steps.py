"""Steps for workers that have left and keys that were withdrawn."""

from behave import then
from behave import when

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from features.steps import job_steps


@when('worker "{name}" shuts down in an orderly way')
def shut_down(context, name):
    context.sim.advance(500)
    worker = context.sim.workers[name]
    context.late_report = worker.make_report(context.sim.now_ms)
    context.sim.crash(worker)
    context.sim.call(calls.WorkerLeft(name, worker.born_wall_ms))


@when('a delayed report of worker "{name}" arrives')
def deliver_late_report(context, name):
    assert context.late_report.life.worker == name
    context.answer = context.sim.call(context.late_report)


@then("the report is refused")
def check_refused(context):
    assert isinstance(context.answer, calls.BadRequest), context.answer


@when('worker "{name}" starts again')
def start_again(context, name):
    context.sim.restart(context.sim.workers[name])


def _count_assigned(context, name, job, count):
    job_steps.submit_spec(context, job, job_steps.build_spec(1, count))
    runs = context.sim.scheduler.book.assigned_runs
    return sum(
        len(assigned) for life, assigned in runs.items() if life.worker == name
    )


@then(
    'worker "{name}" gets no new runs when job "{job}" of {count:d} tasks is'
    " submitted"
)
def check_unused(context, name, job, count):
    assert _count_assigned(context, name, job, count) == 0


@then(
    'worker "{name}" gets runs when job "{job}" of {count:d} tasks is submitted'
)
def check_used(context, name, job, count):
    assert _count_assigned(context, name, job, count) > 0


@when('key "{key}" is withdrawn in version {version:d}')
def withdraw_key(context, key, version):
    document = context.sim.build_document(version)
    teams = tuple(
        configuration.Team(
            team.name,
            tuple(each for each in team.keys if each != key),
            team.weight,
            team.cap,
        )
        for team in document.teams
    )
    values = {
        field: getattr(document, field) for field in document.__struct_fields__
    }
    answer = context.sim.put_document(
        type(document)(**{**values, "teams": teams})
    )
    assert isinstance(answer, calls.Done), answer
