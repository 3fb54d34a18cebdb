"""Steps for the decisions of one dispatcher."""

import collections

from behave import given
from behave import then
from behave import when

from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.dispatch import dispatcher
from bambookeel.dispatch import effects
from bambookeel.dispatch import service as dispatch_service
from bambookeel.dispatch import team_limits

_NEVER_MS = 10_000_000


class _DispatcherHarness:
    """One dispatcher with the requests sent to it and the returned effects."""

    def __init__(self, entries, teams):
        names = [f"entry-{i}" for i in range(entries)]
        centres = {name: f"dc-{name[-1]}" for name in names}
        deployment = dispatch_service.Deployment(names[0], centres)
        spec = resources.ServiceSpec(pool="pool")
        self.state = dispatch_service.ServiceState("s", 1, spec, deployment)
        self.now_ms = 1_000
        self.granted = []
        self.refused = collections.Counter()
        self.duplicates = []
        self.allotment_requests = 0
        self.running = collections.OrderedDict()
        self.requests = []
        self.announced = {}
        self.sequence = 0
        dispatcher.set_teams(self.state, teams)
        self.perform(
            dispatcher.renew_lease(
                self.state, _NEVER_MS, set(centres), self.now_ms
            )
        )
        for team in teams:
            limit = team_limits.get_limit(self.state.limits, team)
            limit.allotment, limit.until_ms = 100, _NEVER_MS

    def perform(self, emitted):
        for effect in emitted:
            match effect:
                case effects.Send(_, messages.SlotGranted() as grant):
                    self.granted.append(grant.request_id)
                    self.running[grant.request_id] = grant
                case effects.Send(_, messages.SlotRefused() as refusal):
                    self.refused[refusal.reason.name] += 1
                case effects.Send(_, messages.SlotDuplicate() as duplicate):
                    self.duplicates.append(duplicate)
                case effects.Send(to, messages.KeepRecords() as keep):
                    kept = messages.RecordsKept(
                        keep.service, keep.epoch, keep.nonce
                    )
                    self.deliver(to, kept)
                case effects.RequestAllotments():
                    self.allotment_requests += 1

    def deliver(self, peer, message):
        self.perform(
            dispatcher.handle_message(self.state, peer, message, self.now_ms)
        )

    def tick(self):
        self.perform(dispatcher.handle_tick(self.state, self.now_ms))

    def send_request(self, team, entry=0, remaining_ms=60_000, **more):
        request_id = more.get("request_id", f"r{len(self.requests)}")
        acquire = messages.AcquireSlot(
            request_id,
            "s",
            team,
            more.get("urgent", False),
            remaining_ms,
            more.get("key", ""),
            0,
        )
        self.requests.append(acquire)
        self.deliver(f"entry-{entry}", acquire)
        return request_id

    def end_request(self, request_id, outcome=outcomes.OutcomeKind.ANSWERED):
        grant = self.running.pop(request_id)
        failed = outcome is outcomes.OutcomeKind.NOT_RUN
        release = messages.SlotReleased(
            request_id, "s", 1, grant.grant_id, outcome, failed, 10, 0
        )
        self.deliver("entry-0", release)

    def announce(self, name, **fields):
        known = self.announced.get(name, {})
        known = {
            "address": f"10.0.0.1:{1_000 + int(name[1:])}",
            "state": messages.BackendState.SERVING,
            "slots": 1,
            "incarnation": 1,
            **known,
            **fields,
        }
        self.announced[name] = known
        self.sequence += 1
        self.deliver(
            "entry-1",
            messages.BackendAnnouncement(
                service="s",
                backend_id=name,
                sequence=self.sequence,
                connections=64,
                lease_ms=2_000,
                age_ms=0,
                running=0,
                **known,
            ),
        )


@given("a dispatcher of {entries:d} entries with the teams")
def create_dispatcher(context, entries):
    teams = {
        row["team"]: resources.TeamSpec(
            share_weight=float(row["weight"]), upper_limit=int(row["limit"])
        )
        for row in context.table
    }
    context.harness = _DispatcherHarness(entries, teams)


@given('backend "{name}" of incarnation {number:d} announces {slots:d} slots')
@when('backend "{name}" of incarnation {number:d} announces {slots:d} slots')
def announce_backend(context, name, number, slots):
    context.harness.announce(name, incarnation=number, slots=slots)


@given(
    'backend "{name}" of incarnation {number:d} announces {slots:d} slots at'
    ' the address of "{other}"'
)
def announce_at_address(context, name, number, slots, other):
    address = context.harness.announced[other]["address"]
    context.harness.announce(
        name, incarnation=number, slots=slots, address=address
    )


@when('backend "{name}" announces that it is leaving')
def announce_leaving(context, name):
    context.harness.announce(name, state=messages.BackendState.LEAVING)


@when('"{team}" sends {times:d} requests')
def send_requests(context, team, times):
    for _ in range(times):
        context.harness.send_request(team)


@when('"{team}" sends {times:d} requests through every entry')
def send_through_every_entry(context, team, times):
    for entry in range(3):
        for _ in range(times):
            context.harness.send_request(team, entry)


@when('"{team}" sends an urgent request')
def send_urgent_request(context, team):
    context.urgent = context.harness.send_request(team, urgent=True)


@when('"{team}" sends a request with {remaining:d} ms left')
def send_with_time_left(context, team, remaining):
    context.harness.send_request(team, remaining_ms=remaining)


@when('"{team}" sends a request with the key "{key}" through entry {entry:d}')
def send_with_key(context, team, key, entry):
    context.harness.send_request(team, entry, key=f"{team}/{key}")


@when("the last request is sent again")
def resend_last_request(context):
    last = context.harness.requests[-1]
    context.harness.send_request(last.team, request_id=last.request_id)


@when("{passed:d} ms pass")
def pass_time(context, passed):
    harness = context.harness
    end_ms = harness.now_ms + passed
    stays_announced = passed <= 2_000
    while harness.now_ms < end_ms:
        harness.now_ms = min(end_ms, harness.now_ms + 100)
        if stays_announced and harness.now_ms % 500 == 0:
            for name in list(harness.announced):
                harness.announce(name)
        harness.tick()


@when("the oldest running request ends")
def end_oldest(context):
    context.harness.end_request(next(iter(context.harness.running)))


@when("{times:d} requests end one after the other")
def end_many(context, times):
    for _ in range(times):
        context.harness.now_ms += 10
        end_oldest(context)


@when("all waiting requests but the last are cancelled")
def cancel_most(context):
    waiting = list(context.harness.state.queue.by_request)
    cancel = messages.CancelWaiting("s", tuple(waiting[:-1]))
    context.harness.deliver("entry-0", cancel)


@given("the queue is bounded to {bound:d} requests")
def bound_queue(context, bound):
    context.harness.state.spec = resources.ServiceSpec(
        pool="pool", queue_bound=bound
    )


@given('{times:d} requests of "{team}" ran for {length:d} ms each')
def run_requests(context, times, team, length):
    harness = context.harness
    for _ in range(times):
        request_id = harness.send_request(team)
        harness.now_ms += length
        for name in list(harness.announced):
            harness.announce(name)
        harness.end_request(request_id)
    harness.tick()


@when("every request of the next {times:d} fails")
def fail_requests(context, times):
    for _ in range(times):
        request_id = context.harness.send_request("coach")
        if request_id in context.harness.running:
            context.harness.end_request(
                request_id, outcomes.OutcomeKind.NOT_RUN
            )


@when('{times:d} requests of "{team}" fail and are retried')
def fail_and_retry(context, times, team):
    harness = context.harness
    context.granted_retries = 0
    for _ in range(times):
        request_id = harness.send_request(team)
        harness.end_request(request_id, outcomes.OutcomeKind.NOT_RUN)
        harness.send_request(team, request_id=request_id)
        if request_id in harness.running:
            context.granted_retries += 1
            harness.end_request(request_id)


@when("the dispatch lease expires")
def end_lease(context):
    context.harness.state.lease_until_ms = context.harness.now_ms


@when("the dispatch lease is renewed")
def renew_lease(context):
    harness = context.harness
    until_ms = harness.now_ms + 1_000
    harness.perform(
        dispatcher.renew_lease(
            harness.state, until_ms, harness.state.reachable, harness.now_ms
        )
    )


@when('the lease is released and "{team}" sends one more request')
def release_lease(context, team):
    context.harness.perform(dispatcher.release_lease(context.harness.state))
    context.harness.send_request(team)


@when("the allotments' lease expires")
def end_allotments(context):
    for limit in context.harness.state.limits.by_team.values():
        limit.until_ms = context.harness.now_ms


@then("{times:d} requests are granted")
def check_granted(context, times):
    found = len(context.harness.granted)
    assert found == times, found


@then("the last granted request was urgent")
def check_urgent(context):
    assert context.harness.granted[-1] == context.urgent


@then("the last granted request was the last one sent")
def check_last(context):
    assert (
        context.harness.granted[-1] == context.harness.requests[-1].request_id
    )


@then('"{team}" has {times:d} requests waiting')
def check_waiting(context, team, times):
    found = context.harness.state.queue.teams[team].count()
    assert found == times, found


@then("{times:d} requests were refused with {reason}")
def check_refused(context, times, reason):
    assert context.harness.refused == {reason: times}, context.harness.refused


@then("{times:d} slots are in use")
def check_slots_in_use(context, times):
    used = sum(
        backend.granted
        for backend in context.harness.state.backends.by_id.values()
    )
    assert used == times, used


@then(
    "the second request is reported as a duplicate of the first at entry"
    " {entry:d}"
)
def check_duplicate(context, entry):
    (duplicate,) = context.harness.duplicates
    assert duplicate.first_request_id == context.harness.requests[0].request_id
    assert duplicate.first_entry == f"entry-{entry}"


@then("{times:d} backend servers are ejected")
def check_ejected(context, times):
    harness = context.harness
    ejected = [
        backend
        for backend in harness.state.backends.by_id.values()
        if backend.ejected_until_ms > harness.now_ms
    ]
    assert len(ejected) == times, len(ejected)


@then("at most {times:d} retries were granted")
def check_retries(context, times):
    assert 0 < context.granted_retries <= times, context.granted_retries


@then("the connections allowed are at most {most:d} less {probes:d} for probes")
def check_connections(context, most, probes):
    newest = {}
    for acquire in context.harness.requests:
        grant = context.harness.running.get(acquire.request_id)
        if grant is not None:
            entry = (int(acquire.request_id[1:]) // 8) % 3
            newest[entry] = grant.connection_allowance
    # Each of the three entries may keep its share of idle connections besides
    # those of its grants.
    idle = (most - 8 - probes) // 3
    total = sum(newest.values()) + idle * (3 - len(newest))
    assert total <= most - probes, total


@then("an allotment is requested from control")
def check_allotment_requested(context):
    assert context.harness.allotment_requests > 0


@then(
    '"{team}" got between {least:d} and {most:d} of the last {times:d} grants'
)
def check_share(context, team, least, most, times):
    teams = {
        request.request_id: request.team for request in context.harness.requests
    }
    last = context.harness.granted[-times:]
    found = sum(1 for request_id in last if teams[request_id] == team)
    assert least <= found <= most, found
