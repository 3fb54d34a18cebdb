"""Steps for input that another writer has sent."""

import json
import pathlib
import sys
import time

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from features.fakes import platform_document

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The folder has the name of a standard library module, so it goes to the end of
# the path.
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_jobs  # noqa: E402
import adapter_operators  # noqa: E402
import adapter_workers  # noqa: E402

DEEP = "nested 100000 deep"
_BIG = 2**70
_HEARTBEAT = {
    "service": "pack",
    "address": "10.0.0.1:80",
    "zone": "north",
    "state": "ready",
    "version": "v1",
    "slots": 8,
    "cold_left_ms": 0,
    "clock_ms": 482113,
    "seq_no": 4,
    "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 5,
    "running": [],
    "finished": [],
}
_WAVE = {"rollout_wave": 1, "machines": ["m1"], "duration_s": 1, "cap": 1}


def build_json(document, field, value):
    """Renders a document with one field set to a text, which may be no JSON."""
    if value == DEEP:
        value = "[" * 100_000 + "]" * 100_000
    text = json.dumps({**document, field: "<odd>"}, ensure_ascii=False)
    return text.replace('"<odd>"', value).encode()


def _decode(worker, body):
    found = adapter_workers.decode_heartbeat(worker, body)
    if not isinstance(found, str):
        assert calls.decode_call(calls.encode_call(found)).unwrap() == found
    return found


@when('a heartbeat whose "{field}" is {value} is decoded')
def decode_heartbeat(context, field, value):
    body = build_json(_HEARTBEAT, field, value)
    context.decoded = _decode("w", body)


@when('a heartbeat without "{field}" is decoded')
def decode_incomplete(context, field):
    body = {**_HEARTBEAT, "capacity": dict(_HEARTBEAT["capacity"])}
    part, _, name = field.rpartition(".")
    del (body[part] if part else body)[name]
    context.decoded = _decode("w", json.dumps(body).encode())


@when("a heartbeat with all its fields is decoded")
def decode_complete(context):
    context.decoded = _decode("w", json.dumps(_HEARTBEAT).encode())


@then('the heartbeat is refused because of "{reason}"')
def check_refused(context, reason):
    found = context.decoded
    assert isinstance(found, str) and reason in found, found


@then("the heartbeat is accepted")
def check_accepted(context):
    assert isinstance(context.decoded, calls.WorkerReport), context.decoded


@then("a heartbeat whose labels are not UTF-8 is refused")
def check_not_utf8(_context):
    body = json.dumps({**_HEARTBEAT, "labels": ["<odd>"]}).encode()
    for odd in (b"\xff\xfe", b"\xed\xa0\x80", b"\xc3"):
        assert isinstance(_decode("w", body.replace(b"<odd>", odd)), str)
    assert isinstance(_decode("w", b"\xff\xfe" + body), str)


@then("a heartbeat of {count:d} labels is refused")
def check_many_labels(_context, count):
    body = json.dumps({**_HEARTBEAT, "labels": ["label"] * count}).encode()
    assert isinstance(_decode("w", body), str)


@then("a heartbeat of a worker whose id has {count:d} letters is refused")
def check_long_id(_context, count):
    body = json.dumps(_HEARTBEAT).encode()
    assert isinstance(_decode("w" * count, body), str)
    assert isinstance(_decode("", body), str)
    assert isinstance(_decode("w", body), calls.WorkerReport)


@then("a reason has at most {count:d} letters")
def check_reason_length(_context, count):
    name = "x" * 100_000
    body = build_json(_HEARTBEAT, "running", json.dumps([[name, 1]]))
    found = _decode("w", body)
    assert isinstance(found, str) and len(found) <= count, len(found)


@then("a shutdown with the body '{body}' is refused")
def check_shutdown(_context, body):
    found = adapter_workers.decode_deregistration("w", body.encode())
    assert isinstance(found, str), found


@then("a shutdown without a body is taken with start 0")
def check_empty_shutdown(_context):
    found = adapter_workers.decode_deregistration("w", b"")
    assert found == calls.WorkerLeft("w", 0), found


@then("a shutdown nested 100000 deep is refused")
def check_deep_shutdown(_context):
    body = build_json({"born": 5}, "extra", DEEP)
    found = adapter_workers.decode_deregistration("w", body)
    assert isinstance(found, str), found


def _build_configuration(field, value):
    document = platform_document.build_document(has_advisor=True)
    route = document["routes"][0]
    for part in (route["advisor"], route, document["tenants"][0]):
        if field in part:
            part[field] = "<odd>"
            text = json.dumps(document)
            return text.replace('"<odd>"', value).encode()
    return build_json(document, field, value)


def _build_job(field, value):
    if field == "extra":
        return build_json({"spec": "x", "phases": [{"count": 1}]}, field, value)
    step = build_json({"count": 1}, field, value).decode()
    return f'{{"spec":"x","phases":[{step}]}}'.encode()


@then('a {kind} whose "{field}" is {value} is refused')
def check_request(_context, kind, field, value):
    match kind:
        case "configuration":
            body = _build_configuration(field, value)
            found = adapter_operators.decode_document(body)
        case "wave":
            body = build_json(_WAVE, field, value)
            found = adapter_operators.decode_wave(body)
        case "job":
            found = adapter_jobs.decode_job(_build_job(field, value))
    assert isinstance(found, str) and found, found


def _list_odd_requests():
    """Lists the kind, method, path and body of each odd request."""
    born = int(time.time() * 1000)
    heartbeat = {**_HEARTBEAT, "born": born}
    odd = (
        ("extra", DEEP),
        ("born", str(_BIG)),
        ("seq_no", str(_BIG)),
        ("address", '"10.0.0.1:99999"'),
        ("remaining_ms", "1e308"),
        ("capacity", '{"cpu":9223372036854775808,"mem_mb":1}'),
        ("running", f'[["x.0.0.0",{_BIG}]]'),
        ("running", '[["x.0.0.0",1,"",1e308,1e308]]'),
        ("running", f'[["x.{"1" * 5_000}.0.0",1]]'),
    )
    control = [
        ("POST", "/v1/instances/odd/heartbeat", build_json(heartbeat, *each))
        for each in odd
    ]
    # Of a worker that reports, by its id, its instance or its address.
    sound = {
        "address": "127.0.0.1:9000",
        "machine": "m-9000",
        "born": born + 1_000,
    }
    for name, changes in (
        ("9000", {"born": 2**53 - 1}),
        ("9000", {"service": "unnamed"}),
        ("odd", {"born": 2**53 - 1}),
        ("odd", {"service": "unnamed", "machine": "m-other"}),
        ("odd", {"service": "unnamed", "address": "127.0.0.1:8"}),
    ):
        body = json.dumps({**heartbeat, **sound, **changes}).encode()
        path = f"/v1/instances/{name}/heartbeat"
        control.append(("POST", path, body))
    left = "/v1/instances/9000/deregister"
    control.append(("POST", left, b'{"born":9007199254740991}'))
    control.append(("POST", left, json.dumps({"born": born + 999}).encode()))
    for field, value in (("extra", DEEP), ("born", str(_BIG))):
        control.append(("POST", left, build_json({"born": 5}, field, value)))
    control.append(("POST", left, b"{}"))
    for field, value in (
        ("extra", DEEP),
        ("rollout_wave", str(_BIG)),
        ("duration_s", "1e308"),
        ("cap", str(_BIG)),
    ):
        body = build_json(_WAVE, field, value)
        control.append(("POST", "/v1/wave-start", body))
    for field, value in (
        ("version", str(_BIG)),
        ("slack_factor", "1e308"),
        ("validity_ms", "1e308"),
    ):
        body = _build_configuration(field, value)
        control.append(("POST", "/v1/config/put", body))
    control += [
        ("GET", f"/v1/wave-get/{number}", None)
        for number in ("9" * 30, "9" * 5_000, "%c2%b2", "-1")
    ]
    front = [
        ("POST", "/orders/00000000000000aa", _build_job(*each))
        for each in (("extra", DEEP), ("cpu", str(_BIG)), ("gpu", "1e308"))
    ]
    return control, front


@when("each odd request is sent to the leader and to two other nodes")
def send_odd(context):
    site = context.site
    context.leader = site.find_leader().number
    control, front = _list_odd_requests()
    context.answers = []
    for number in (context.leader, (context.leader + 1) % 3, 3):
        for method, path, body in control:
            answer = site.call_control(number, method, path, body)
            context.answers.append((path, body, answer))
        for method, path, body in front:
            answer = site.call_front(number, method, path, body)
            context.answers.append((path, body, answer))
        for worker in site.workers:
            worker.step()


@then("each was refused with a status from 400 to 499")
def check_refusals(context):
    for path, body, answer in context.answers:
        place = (path[:60], (body or b"")[:80], answer)
        assert answer is not None and 400 <= answer[0] < 500, place


@then("no node has ended, and no task or request has failed in one")
def check_nodes(context):
    for node in context.site.nodes:
        assert not node.has_ended(), node.number
        log = node.read_log()
        for word in ("request_failed", "task_failed", "Traceback"):
            assert word not in log, (node.number, log[log.index(word) :][:600])


@then("the leader has not changed")
def check_leader(context):
    assert context.site.find_leader().number == context.leader


@given("every sound worker is used for a new job")
@then("every sound worker is used for a new job")
def check_workers(context):
    site = context.site
    site.starts.clear()
    job = f"/orders/{time.time_ns():016x}"
    phases = [{"count": 24, "cpu": 1000, "mem_mb": 100, "estimate_ms": 150}]
    body = {"spec": "x", "phases": phases}
    answer = site.call_front(3, "POST", job, body)
    assert answer is not None and answer[0] == 200, answer

    def is_completed():
        found = site.call_front(3, "GET", job)
        return found is not None and b"completed" in found[2]

    site.wait_until(is_completed, "the job is completed")
    starters = {worker for _, _, worker, _ in site.starts}
    assert starters == {worker.name for worker in site.workers}, starters
