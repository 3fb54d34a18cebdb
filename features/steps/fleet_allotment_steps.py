"""Steps for the share of a team's limit that its tasks may use."""

from behave import given
from behave import then
from behave import when

from bambookeel.control import job_allotments
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.dispatch import allotments
from bambookeel.fleet import jobs

_SERVICE = ids.ServiceName("orders")
_LEASE_MS = 1_500


def _ask(context, request):
    return allotments.handle_request(
        context.ledger, context.inputs, request, _LEASE_MS
    )


def _report_requests(context, nonce, held):
    demand = messages.TeamDemand("coach", _SERVICE, held, 0, held)
    report = messages.ServiceReport(_SERVICE, allotments.FIRST_EPOCH, True)
    request = messages.AllotmentRequest(
        nonce, (demand,), (report,), context.term
    )
    _ask(context, request)


@given(
    "a team with an upper limit of {limit:d} of which requests hold {held:d}"
)
def hold_requests(context, limit, held):
    context.term = ids.Term(3)
    context.ledger = allotments.AllotmentLedger()
    allotments.become_leader(context.ledger, context.term)
    epochs = {
        _SERVICE: allotments.FIRST_EPOCH,
        job_allotments.JOBS_SERVICE: allotments.FIRST_EPOCH,
    }
    context.inputs = allotments.AllotmentInputs({"coach": limit}, epochs)
    _report_requests(context, 1, held)
    _report_requests(context, 2, held)


@when("{count:d} tasks of the team wait for an allotment")
def wait_for_allotment(context, count):
    spec = resources.JobSpec(team="coach", pool="orders", tasks=count)
    tasks = tuple(jobs.Task(index=i) for i in range(count))
    job = jobs.Job(name="many", version=1, spec=spec, tasks=tasks)
    context.allotments = job_allotments.JobAllotments()
    for _ in range(3):
        request = context.allotments.build_request([job])
        context.allotments.handle_reply(_ask(context, request))


@when("another leader's term begins")
def begin_term(context):
    context.term = ids.Term(4)


@then("at most {count:d} tasks may run")
def check_tasks(context, count):
    limits = context.allotments.get_limits(context.term)
    assert limits.get("coach", 0) == count, limits
