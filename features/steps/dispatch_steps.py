"""Steps for the single decisions of a dispatcher."""

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

_LONG_MS = 10_000_000


class _Bench:
    """One dispatcher with what it was asked and what it gave."""

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
        self.asked_allotments = 0
        self.running = collections.OrderedDict()
        self.asked = []
        self.announced = {}
        self.sequence = 0
        dispatcher.set_teams(self.state, teams)
        self.perform(
            dispatcher.renew_lease(
                self.state, _LONG_MS, set(centres), self.now_ms
            )
        )
        for team in teams:
            limit = team_limits.get_limit(self.state.limits, team)
            limit.allotment, limit.until_ms = 100, _LONG_MS

    def perform(self, asked):
        for effect in asked:
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
                    self.take(to, kept)
                case effects.RequestAllotments():
                    self.asked_allotments += 1

    def take(self, peer, message):
        self.perform(
            dispatcher.handle_message(self.state, peer, message, self.now_ms)
        )

    def tick(self):
        self.perform(dispatcher.handle_tick(self.state, self.now_ms))

    def ask(self, team, entry=0, remaining_ms=60_000, **more):
        request_id = more.get("request_id", f"r{len(self.asked)}")
        acquire = messages.AcquireSlot(
            request_id,
            "s",
            team,
            more.get("urgent", False),
            remaining_ms,
            more.get("key", ""),
            0,
        )
        self.asked.append(acquire)
        self.take(f"entry-{entry}", acquire)
        return request_id

    def end(self, request_id, outcome=outcomes.OutcomeKind.ANSWERED):
        grant = self.running.pop(request_id)
        failed = outcome is outcomes.OutcomeKind.NOT_RUN
        release = messages.SlotReleased(
            request_id, "s", 1, grant.grant_id, outcome, failed, 10, 0
        )
        self.take("entry-0", release)

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
        self.take(
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
    context.bench = _Bench(entries, teams)


@given('backend "{name}" of incarnation {number:d} announces {slots:d} slots')
@when('backend "{name}" of incarnation {number:d} announces {slots:d} slots')
def announce_backend(context, name, number, slots):
    context.bench.announce(name, incarnation=number, slots=slots)


@given(
    'backend "{name}" of incarnation {number:d} announces {slots:d} slots at'
    ' the address of "{other}"'
)
def announce_at_address(context, name, number, slots, other):
    address = context.bench.announced[other]["address"]
    context.bench.announce(
        name, incarnation=number, slots=slots, address=address
    )


@when('backend "{name}" says that it is leaving')
def announce_leaving(context, name):
    context.bench.announce(name, state=messages.BackendState.LEAVING)


@when('"{team}" asks {times:d} times')
def ask_times(context, team, times):
    for _ in range(times):
        context.bench.ask(team)


@when('"{team}" asks {times:d} times through every entry')
def ask_everywhere(context, team, times):
    for entry in range(3):
        for _ in range(times):
            context.bench.ask(team, entry)


@when('"{team}" asks urgently')
def ask_urgently(context, team):
    context.urgent = context.bench.ask(team, urgent=True)


@when('"{team}" asks with {remaining:d} ms left')
def ask_late(context, team, remaining):
    context.bench.ask(team, remaining_ms=remaining)


@when('"{team}" asks with the key "{key}" through entry {entry:d}')
def ask_with_key(context, team, key, entry):
    context.bench.ask(team, entry, key=f"{team}/{key}")


@when("the last request is asked again")
def ask_again(context):
    last = context.bench.asked[-1]
    context.bench.ask(last.team, request_id=last.request_id)


@when("{passed:d} ms pass")
def pass_time(context, passed):
    bench = context.bench
    end_ms = bench.now_ms + passed
    fresh = passed <= 2_000
    while bench.now_ms < end_ms:
        bench.now_ms = min(end_ms, bench.now_ms + 100)
        if fresh and bench.now_ms % 500 == 0:
            for name in list(bench.announced):
                bench.announce(name)
        bench.tick()


@when("the oldest running request ends")
def end_oldest(context):
    context.bench.end(next(iter(context.bench.running)))


@when("{times:d} requests end one after the other")
def end_many(context, times):
    for _ in range(times):
        context.bench.now_ms += 10
        end_oldest(context)


@when("all waiting requests but the last are cancelled")
def cancel_most(context):
    waiting = list(context.bench.state.queue.by_request)
    cancel = messages.CancelWaiting("s", tuple(waiting[:-1]))
    context.bench.take("entry-0", cancel)


@given("the queue holds {bound:d} requests")
def bound_queue(context, bound):
    context.bench.state.spec = resources.ServiceSpec(
        pool="pool", queue_bound=bound
    )


@given('{times:d} requests of "{team}" ran for {length:d} ms each')
def run_requests(context, times, team, length):
    bench = context.bench
    for _ in range(times):
        request_id = bench.ask(team)
        bench.now_ms += length
        for name in list(bench.announced):
            bench.announce(name)
        bench.end(request_id)
    bench.tick()


@when("every request of the next {times:d} fails")
def fail_requests(context, times):
    for _ in range(times):
        request_id = context.bench.ask("coach")
        if request_id in context.bench.running:
            context.bench.end(request_id, outcomes.OutcomeKind.NOT_RUN)


@when('{times:d} requests of "{team}" fail and are tried again')
def fail_and_retry(context, times, team):
    bench = context.bench
    context.second_tries = 0
    for _ in range(times):
        request_id = bench.ask(team)
        bench.end(request_id, outcomes.OutcomeKind.NOT_RUN)
        bench.ask(team, request_id=request_id)
        if request_id in bench.running:
            context.second_tries += 1
            bench.end(request_id)


@when("the dispatch lease runs out")
def end_lease(context):
    context.bench.state.lease_until_ms = context.bench.now_ms


@when("the dispatch lease is renewed")
def renew_lease(context):
    bench = context.bench
    until_ms = bench.now_ms + 1_000
    bench.perform(
        dispatcher.renew_lease(
            bench.state, until_ms, bench.state.reachable, bench.now_ms
        )
    )


@when('the lease is given up with "{team}" asking once more')
def release_lease(context, team):
    context.bench.perform(dispatcher.release_lease(context.bench.state))
    context.bench.ask(team)


@when("the allotments' lease runs out")
def end_allotments(context):
    for limit in context.bench.state.limits.by_team.values():
        limit.until_ms = context.bench.now_ms


@then("{times:d} requests are granted")
def check_granted(context, times):
    found = len(context.bench.granted)
    assert found == times, found


@then("the last granted request was urgent")
def check_urgent(context):
    assert context.bench.granted[-1] == context.urgent


@then("the last granted request was the last one asked")
def check_last(context):
    assert context.bench.granted[-1] == context.bench.asked[-1].request_id


@then('"{team}" has {times:d} requests waiting')
def check_waiting(context, team, times):
    found = context.bench.state.queue.teams[team].count()
    assert found == times, found


@then("{times:d} requests were refused with {reason}")
def check_refused(context, times, reason):
    assert context.bench.refused == {reason: times}, context.bench.refused


@then("{times:d} slots are in use")
def check_slots_in_use(context, times):
    used = sum(b.granted for b in context.bench.state.backends.by_id.values())
    assert used == times, used


@then("the second is told of the first at entry {entry:d}")
def check_duplicate(context, entry):
    (duplicate,) = context.bench.duplicates
    assert duplicate.first_request_id == context.bench.asked[0].request_id
    assert duplicate.first_entry == f"entry-{entry}"


@then("{times:d} backend servers are out")
def check_out(context, times):
    bench = context.bench
    out = [
        backend
        for backend in bench.state.backends.by_id.values()
        if backend.ejected_until_ms > bench.now_ms
    ]
    assert len(out) == times, len(out)


@then("at most {times:d} second tries were granted")
def check_second_tries(context, times):
    assert 0 < context.second_tries <= times, context.second_tries


@then("the connections allowed are at most {most:d} less {probes:d} for probes")
def check_connections(context, most, probes):
    newest = {}
    for acquire in context.bench.asked:
        grant = context.bench.running.get(acquire.request_id)
        if grant is not None:
            entry = (int(acquire.request_id[1:]) // 8) % 3
            newest[entry] = grant.connection_allowance
    # Each of three entries may keep its idle part beside its grants.
    idle = (most - 8 - probes) // 3
    total = sum(newest.values()) + idle * (3 - len(newest))
    assert total <= most - probes, total


@then("control is asked for an allotment")
def check_asked(context):
    assert context.bench.asked_allotments > 0


@then(
    '"{team}" got between {least:d} and {most:d} of the last {times:d} starts'
)
def check_share(context, team, least, most, times):
    teams = {one.request_id: one.team for one in context.bench.asked}
    last = context.bench.granted[-times:]
    found = sum(1 for request_id in last if teams[request_id] == team)
    assert least <= found <= most, found
