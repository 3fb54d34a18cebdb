"""Steps for requests with an Idempotency-Key to two entries."""

from behave import given
from behave import then
from behave import when
import gevent
import gevent.event
import hypothesis
from hypothesis import strategies

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import kept_answers
from features.fakes import entry_harness
from features.fakes import raw_backend
from features.fakes import request_scripts

_KEY = "Idempotency-Key: k"
_MAX_KEPT_BYTES = 16 * 64


class _FakeKeyRecords:
    """Replaces the dispatcher's records of Idempotency-Keys."""

    def __init__(self, holder):
        self._holder = holder
        self._first = {}

    def answer_for(self, entry):
        def answer(message):
            key = message.idempotency_key
            first = self._first.setdefault(key, (message.request_id, entry))
            if first[0] != message.request_id:
                return messages.SlotDuplicate(
                    message.request_id,
                    message.service,
                    first[0],
                    first[1],
                    False,
                )
            return self._holder.grant(message)

        return answer


@given("two entries that share a dispatcher and a backend server")
def start_entries(context):
    context.backend = raw_backend.RawBackend("first")
    context.add_cleanup(context.backend.close)
    context.may_answer = gevent.event.Event()

    def on_step(_connection, step):
        if step == "sent":
            context.may_answer.wait()

    context.backend.on_step = on_step
    context.entries = [
        entry_harness.EntryHarness(
            f"entry-{i}", max_kept_answer_bytes=_MAX_KEPT_BYTES
        )
        for i in range(2)
    ]
    first, other = context.entries
    other.secret = first.secret
    other.follower.view = first.follower.view
    first.peers[other.process_id] = other
    other.peers[first.process_id] = first
    context.holders = []
    records = None
    for entry in context.entries:
        context.add_cleanup(entry.close)
        holder = entry.add_holder("entry-9", 1)
        holder.targets = [context.backend]
        records = records or _FakeKeyRecords(holder)
        holder.answer = records.answer_for(entry.process_id)
        context.holders.append(holder)


def _call(context, entry_number=0, **kwargs):
    headers = [*request_scripts.WORK, _KEY, *kwargs.pop("headers", ())]
    return gevent.spawn(
        context.entries[entry_number].call, headers=headers, **kwargs
    )


def _start_first(context):
    context.calls = [_call(context)]
    context.entries[0].wait_until(lambda: context.backend.runs)


@when(
    "{count:d} requests with one key reach the first entry while the first runs"
)
def repeat_on_first_entry(context, count):
    _start_first(context)
    context.calls += [_call(context) for _ in range(count - 1)]
    gevent.sleep(0.1)
    context.may_answer.set()


@when("a repeat reaches the other entry while the first runs")
def repeat_on_other_entry(context):
    _start_first(context)
    context.calls.append(_call(context, 1))
    other = context.holders[1]
    context.entries[1].wait_until(lambda: other.acquire_requests)
    gevent.sleep(0.1)
    context.may_answer.set()


@when("a repeat reaches the other entry after the first has ended")
def repeat_after_end(context):
    context.may_answer.set()
    context.calls = [_call(context)]
    gevent.joinall(context.calls)
    context.calls.append(_call(context, 1))


@then("all get the same answer and the work ran once")
def check_same_answer(context):
    responses = [call.get(timeout=20) for call in context.calls]
    assert {one.outcome for one in responses} == {"answered"}, responses
    assert len({one.body for one in responses}) == 1, responses
    assert b"work w done" in responses[0].body
    assert context.backend.runs["w"] == 1, context.backend.runs


@when("the caller of the first request disconnects and sends it again")
def disconnect_and_repeat(context):
    entry = context.entries[0]
    sock = entry.connect()
    lines = [
        "POST /services/orders/work HTTP/1.1",
        f"Authorization: Bearer {entry.secret}",
        "Content-Length: 4",
        *request_scripts.WORK,
        _KEY,
    ]
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\nbody")
    entry.wait_until(lambda: context.backend.runs)
    sock.close()
    gevent.sleep(0.3)
    context.calls = [_call(context)]
    gevent.sleep(0.1)
    context.may_answer.set()


@when("a repeat reaches the other entry and the first entry does not answer")
def make_first_entry_unreachable(context):
    context.may_answer.set()
    _start_first(context)
    gevent.joinall(context.calls)
    context.entries[1].peers.clear()
    context.calls = [_call(context, 1, headers=["X-Deadline-Ms: 400"])]


@when("a request is repeated whose answer is too large to keep")
def repeat_large_answer(context):
    def on_step(connection, step):
        if step == "sent":
            lines = context.backend.heads[-1][1:]
            fields = dict(line.lower().split(": ", 1) for line in lines)
            connection.answer = raw_backend.build_answer("w" * 99, fields)

    context.backend.on_step = on_step
    first = _call(context).get(timeout=20)
    assert first.outcome == "answered", first
    context.calls = [_call(context), _call(context, 1)]


@then(
    'the repeat gets the outcome "{outcome}" and reason "{reason}" and the'
    " work ran once"
)
def check_repeat(context, outcome, reason):
    for call in context.calls:
        response = call.get(timeout=20)
        assert (response.outcome, response.reason) == (
            outcome,
            reason,
        ), response
    assert sum(context.backend.runs.values()) == 1, context.backend.runs


@when("the key is used again on the {entry} entry with another body")
def reuse_key(context, entry):
    context.may_answer.set()
    _call(context).get(timeout=20)
    entry_number = 0 if entry == "first" else 1
    context.calls = [_call(context, entry_number, body=b"other")]


@when("the first request with a key is refused and sent again")
def refuse_first(context):
    context.may_answer.set()
    holder = context.holders[0]
    answer = holder.answer

    def refuse(message):
        holder.answer = answer
        reason = outcomes.Reason.QUEUE_FULL
        return messages.SlotRefused(
            message.request_id, message.service, reason, "", 0
        )

    holder.answer = refuse
    refused = _call(context).get(timeout=20)
    assert (refused.outcome, refused.reason) == (
        "not-run",
        "queue-full",
    ), refused
    context.calls = [_call(context)]


@when('a request with the key "k" is sent')
def send_with_key(context):
    context.may_answer.set()
    _call(context).get(timeout=20)


@then('the dispatcher receives the key "{key}"')
def check_key(context, key):
    (request,) = context.holders[0].acquire_requests
    assert request.idempotency_key == key, request


@then(
    "random first requests and repeats never exceed the limit or lose a record"
)
def check_kept_bytes(context):
    steps = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 6), strategies.integers(0, 70)
        ),
        max_size=60,
    )

    @hypothesis.given(steps)
    def check(pairs):
        kept = kept_answers.KeptAnswers(entry_harness.OWN_ID, 100)
        service = entry_harness.SERVICE
        for number, (name, size) in enumerate(pairs):
            key = (service, ids.IdempotencyKey(f"coach/{name}"))
            if kept.find(key, 0) is None:
                request_id = ids.RequestId(str(number))
                record = kept_answers.Record(key, request_id, 0, 1_000)
                assert kept.add(record, 0)
                answer = kept_answers.KeptAnswer(200, "", (), b"x" * size)
                kept.finish(record, answer)
            assert 0 <= kept.kept_bytes <= 100
            assert kept.find(key, 0) is not None
        names = {name for name, _ in pairs}
        assert len(kept.list_records(service, 0)) == len(names)
        assert not kept.list_records(service, 1_000)

    check()
