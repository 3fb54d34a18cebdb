"""Steps for dividing upper limits into allotments."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.core import messages
from bambookeel.dispatch import allotments

_TEAM = "coach"
_LEASE_MS = 1_500


class _Holder:
    """The holder of one service, as its reports show it to the ledger."""

    def __init__(self, service):
        self.service = service
        self.epoch = 1
        self.nonce = 0
        self.term = 0
        self.complete = True


def _send(context, holder, demand):
    holder.nonce += 1
    report = messages.ServiceReport(
        holder.service, holder.epoch, holder.complete
    )
    demands = ()
    if demand is not None:
        running, waiting, held = demand
        demands = (
            messages.TeamDemand(_TEAM, holder.service, running, waiting, held),
        )
    request = messages.AllotmentRequest(
        holder.nonce, demands, (report,), holder.term
    )
    epochs = {h.service: h.epoch for h in context.holders.values()}
    inputs = allotments.AllotmentInputs({_TEAM: context.limit}, epochs)
    return allotments.handle_request(context.ledger, inputs, request, _LEASE_MS)


def _send_and_adopt(context, holder, demand):
    reply = _send(context, holder, demand)
    holder.term = reply.term
    return reply


@given('an allotment ledger of limit {limit:d} with the services "a" and "b"')
def create_ledger(context, limit):
    context.limit = limit
    context.ledger = allotments.AllotmentLedger()
    allotments.become_leader(context.ledger, 1)
    context.holders = {name: _Holder(name) for name in ("a", "b")}
    context.replies = {}
    for holder in context.holders.values():
        # The second report follows the leader's first reply.
        _send_and_adopt(context, holder, None)
        _send_and_adopt(context, holder, None)


def _report(context, service, running, waiting, held):
    holder = context.holders[service]
    demand = (running, waiting, held)
    context.replies[service] = _send_and_adopt(context, holder, demand)


@when('service "{service}" reports 0 running and {waiting:d} waiting')
def report_waiting(context, service, waiting):
    _report(context, service, 0, waiting, 0)


@when(
    'service "{service}" reports {running:d} running, {waiting:d} waiting and'
    " {held:d} held"
)
def report_all(context, service, running, waiting, held):
    _report(context, service, running, waiting, held)


@when('service "{service}" reports nothing')
def report_nothing(context, service):
    holder = context.holders[service]
    context.replies[service] = _send_and_adopt(context, holder, None)


@then('service "{service}" is allotted {amount:d}')
def check_allotment(context, service, amount):
    found = [
        allotment.amount for allotment in context.replies[service].allotments
    ]
    assert found == [amount], found


@then('the reply to service "{service}" names no team')
def check_no_team(context, service):
    assert context.replies[service].allotments == ()


@when('another process takes over service "{service}" without a complete count')
def take_over(context, service):
    holder = _Holder(service)
    holder.epoch = context.holders[service].epoch + 1
    holder.complete = False
    context.holders[service] = holder
    context.replies[service] = _send_and_adopt(context, holder, (0, 20, 0))
    context.taken_over = service


@then("it learns that earlier holders may have {amount:d} running")
def check_earlier(context, amount):
    reply = context.replies[context.taken_over]
    assert reply.services[0].complete
    assert [allotment.earlier for allotment in reply.allotments] == [amount]


@when("another leader takes over")
def change_leader(context):
    context.ledger = allotments.AllotmentLedger()
    allotments.become_leader(context.ledger, 2)


@when("the limit is lowered to {limit:d}")
def lower_limit(context, limit):
    context.limit = limit


class _RandomRun:
    """A random run whose holders adopt only the reply to the newest report."""

    def __init__(self):
        self.limit = 10
        self.ledger = allotments.AllotmentLedger()
        allotments.become_leader(self.ledger, 1)
        self.holders = {name: _Holder(name) for name in ("a", "b", "c")}
        self.running = {name: 0 for name in self.holders}
        self.adopted = {name: 0 for name in self.holders}
        self.pending_replies = {}

    def step(self, action, name, number):
        holder = self.holders[name]
        match action:
            case "report":
                running = self.running[name]
                held = max(running, self.adopted[name])
                reply = _send(self, holder, (running, number, held))
                self.pending_replies[name] = reply
            case "adopt" if name in self.pending_replies:
                reply = self.pending_replies.pop(name)
                holder.term = reply.term
                self.adopted[name] = 0
                for allotment in reply.allotments:
                    self.adopted[name] = allotment.amount
            case "start" if self.running[name] < self.adopted[name]:
                self.running[name] += 1
            case "end" if self.running[name]:
                self.running[name] -= 1
            case "lead":
                term = self.ledger.term + 1
                self.ledger = allotments.AllotmentLedger()
                allotments.become_leader(self.ledger, term)
                # Replies of the former leader may still arrive.
        assert sum(self.running.values()) <= self.limit, self.running


@then("allotments stay within the limit in 300 random runs")
def check_random(context):
    actions = strategies.tuples(
        strategies.sampled_from(
            ("report", "adopt", "start", "start", "end", "lead")
        ),
        strategies.sampled_from(("a", "b", "c")),
        strategies.integers(0, 15),
    )

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(strategies.lists(actions, max_size=120))
    def check(steps):
        run = _RandomRun()
        for action, name, number in steps:
            run.step(action, name, number)

    check()
