"""Steps for one fault at one step of a request."""

import itertools

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.core import ids
from bambookeel.core import messages
from features.fakes import entry_harness
from features.fakes import raw_backend

_LATE_ANSWER_S = 1.3
_DEADLINE_MS = 1_000
_LARGE_BODY = b"x" * (6 * 1024 * 1024)
# Faults after which an answer cannot come before the deadline.
_NEEDS_SHORT_DEADLINE = ("cut", "cut one way", "silent", "late answer")
_NUMBERS = itertools.count(1)


class _FaultCase:
    """One case of the fault matrix: applies its fault once, at its step."""

    def __init__(self, fault, step):
        self.fault = fault
        self.step = step
        self.applied = False
        self.harness = entry_harness.EntryHarness()
        self.first = raw_backend.RawBackend("first", self.handle_step)
        self.second = raw_backend.RawBackend("second")
        self.holder = self.harness.add_holder("entry-1", 1)
        self.holder.targets = [self.first, self.second]
        self.holder.before_grant = lambda: self.handle_step(
            None, "before grant"
        )
        self.holder.after_grant = lambda: self.handle_step(None, "granted")
        self.recovered = None

    def handle_step(self, connection, step):
        if step != self.step or self.applied:
            return
        self.applied = True
        getattr(self, "apply_" + self.fault.replace(" ", "_"))(connection)

    def apply_kill(self, connection):
        self.first.kill()
        if connection is not None:
            raise raw_backend.EndOfConnectionError()

    def apply_freeze_and_wake(self, _connection):
        gevent.sleep(0.05)

    def apply_cut(self, connection):
        if connection is None:
            self.first.stop_accepting()
            return
        connection.hang()

    def apply_cut_one_way(self, connection):
        connection.drops_answers = True

    def apply_silent(self, connection):
        connection.hang()

    def apply_slow(self, connection):
        if connection is not None:
            connection.pause_s = 0.002

    def apply_reset(self, connection):
        connection.reset()

    def apply_short_length(self, connection):
        connection.answer = raw_backend.build_answer("", _LatestFields(self), 7)
        connection.send(connection.answer)
        raise raw_backend.EndOfConnectionError()

    def apply_long_length(self, connection):
        excess = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        connection.send(
            raw_backend.build_answer("", _LatestFields(self), excess=excess)
        )
        raise raw_backend.EndOfConnectionError()

    def apply_late_answer(self, _connection):
        gevent.sleep(_LATE_ANSWER_S)

    def apply_holder_change(self, _connection):
        successor = self.harness.add_holder("entry-2", 2)
        successor.targets = [self.second]
        parts = self.harness.path.message_parts
        self.recovered = self.harness.recover(2)
        self.holder = successor
        assert parts.outstanding_table.count_held() == len(
            self.recovered.outstanding
        )

    def apply_key_withdrawn(self, _connection):
        self.harness.withdraw_key()

    def apply_leaving(self, connection):
        if connection is None or self.step in raw_backend.STEPS[3:]:
            return
        connection.send(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Outcome: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        raise raw_backend.EndOfConnectionError()

    def close(self):
        self.harness.close()
        self.first.close()
        self.second.close()


class _LatestFields:
    """Header fields of the latest request, for an answer to it."""

    def __init__(self, fault_case):
        lines = fault_case.first.heads[-1]
        self._fields = dict(line.lower().split(": ", 1) for line in lines[1:])

    def get(self, name, default):
        return self._fields.get(name, default)


@given("an entry, a dispatcher and two scripted backend servers")
def create_fault_case(context):
    context.create_fault_case = _FaultCase


@when('"{fault}" occurs at "{step}" of a request that is idempotent: {flag}')
def run_with_fault(context, fault, step, flag):
    fault_case = context.create_fault_case(fault, step)
    context.add_cleanup(fault_case.close)
    context.fault_case = fault_case
    context.work_id = f"work-{next(_NUMBERS)}"
    deadline_ms = 15_000
    if fault in _NEEDS_SHORT_DEADLINE:
        deadline_ms = _DEADLINE_MS
    # Without a connection, the request waits only for the grant's time to
    # start.
    if fault == "cut" and step in ("before grant", "granted"):
        deadline_ms = 15_000
        fault_case.holder.start_within_ms = 500
    body = b"body"
    if step == "half of the body sent":
        body = _LARGE_BODY
    headers = [f"X-Work-Id: {context.work_id}", f"X-Deadline-Ms: {deadline_ms}"]
    if flag == "yes":
        headers.append("X-Idempotent: true")
    context.response = fault_case.harness.call(body=body, headers=headers)


@then("the outcome and the number of runs are one of: {pairs}")
def check_outcome_and_runs(context, pairs):
    fault_case = context.fault_case
    assert fault_case.applied, "the fault was never applied"
    runs = fault_case.first.runs + fault_case.second.runs
    found = f"{context.response.outcome}:{runs[context.work_id]}"
    allowed = [pair.strip() for pair in pairs.split("or")]
    assert found in allowed, (found, context.response)
    if context.response.outcome == "answered":
        assert (
            context.work_id.encode() in context.response.body
        ), context.response


@then("every slot is returned once, to the holder at that time")
def check_returned_slots(context):
    fault_case = context.fault_case
    held = fault_case.harness.path.message_parts.outstanding_table
    releases = []
    for dispatcher in fault_case.harness.dispatchers.values():
        releases.extend(dispatcher.releases)
    grants = [(release.epoch, release.grant_id) for release in releases]
    assert len(grants) == len(set(grants)), grants
    grant_requests = sum(
        len(d.acquire_requests) for d in fault_case.harness.dispatchers.values()
    )
    assert len(grants) <= grant_requests
    unknown = entry_harness.count_outcome(releases, entry_harness.UNKNOWN)
    # The slots that are still listed are those whose work may be running.
    assert held.count_held() == unknown, (held.count_held(), releases)
    for release in releases:
        is_unknown = release.outcome is entry_harness.UNKNOWN
        assert (release.hold_ms > 0) == is_unknown, release
    if fault_case.recovered is not None:
        assert isinstance(fault_case.recovered, messages.RecoverReply)
        assert fault_case.recovered.epoch == ids.Epoch(2)
        assert not fault_case.harness.dispatchers["entry-1"].releases


@then("the next request gets its own answer")
def check_next_request(context):
    fault_case = context.fault_case
    if fault_case.fault == "key withdrawn":
        response = fault_case.harness.call(headers=["X-Work-Id: next"])
        assert (response.outcome, response.status) == ("not-run", 401), response
        return
    if fault_case.fault in ("kill", "cut"):
        fault_case.holder.targets = [fault_case.second]
    response = fault_case.harness.call(headers=["X-Work-Id: next"])
    assert response.outcome == "answered", response
    assert b"work next done" in response.body, response
