"""Steps for odd answers of services and odd settings."""

import json
import pathlib
import socket
import sys
import threading
import time

from behave import given
from behave import then
from behave import when
import eliot
import gevent
import hypothesis
from hypothesis import strategies

from bambookeel.core import json_input
from bambookeel.jobs import advice
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.net import json_client
from bambookeel.node import advisor_task
from bambookeel.node import provider_task
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from features.fakes import raw_service
from features.steps import odd_input_steps

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The folder has the name of a standard library module, so it goes to the end of
# the path.
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_provider  # noqa: E402

_DEEP_ARRAY = "[" * 100_000 + "]" * 100_000
_QUESTION = advice.Question(
    ("00000000000000aa", 0, 0), (specs.WorkerIncarnation("w", 5),)
)
_HOLDER = instances.Holder("holder", "1", lambda: True)


def _expand(text):
    return text.replace(odd_input_steps.DEEP, _DEEP_ARRAY)


def _serve(context, body, status="200 OK"):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    service = raw_service.RawService(head.encode() + body)
    context.add_cleanup(service.close)
    return service


def _keep_events(context):
    context.events = []
    eliot.add_destinations(context.events.append)
    context.add_cleanup(eliot.remove_destination, context.events.append)


@when('the provider lists "{first}", an entry {odd} and "{second}"')
def list_with_odd(context, first, odd, second):
    _keep_events(context)
    rows = [
        json.dumps({"machine": name, "pool": "pack", "state": "up"})
        for name in (first, second)
    ]
    body = f'{{"machines":[{rows[0]},{_expand(odd)},{rows[1]}]}}'
    service = _serve(context, body.encode())
    provider = adapter_provider.HttpProvider(service.address)
    context.listed = provider.list_instances()


@then('the list holds "{names}"')
def check_list(context, names):
    found = context.listed
    assert found is not None, context.events[-1]
    assert [each.name for each in found] == names.split(","), found


@then(
    "a log line of at most {most:d} letters says that an entry cannot be read"
)
def check_log(context, most):
    found = [
        event
        for event in context.events
        if event.get("message_type") == "entries_malformed"
    ]
    assert len(found) == 1 and found[0]["count"] == 1, found
    assert len(logs.render_line(found[0])) <= most, found


@then("the document {document} becomes {blanked}")
def check_blanked(_context, document, blanked):
    found = json_input.blank_deep_entries(_expand(document).encode())
    assert found == blanked.encode(), found[:200]


@then("any shallow document is left as it is")
def check_shallow(_context):
    texts = strategies.text(alphabet='[]{}"\\a', max_size=6)
    values = strategies.recursive(
        texts | strategies.integers(),
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(texts, inner, max_size=3),
    )

    @hypothesis.given(strategies.dictionaries(texts, values, max_size=4))
    def check(document):
        body = json.dumps(document).encode()
        assert json_input.blank_deep_entries(body) == body

    check()


@then("a document of {count:d} escaped quotes without an end is left as it is")
def check_endless_string(_context, count):
    # A search that began again at each quote would take hours.
    body = b'{"m":["' + b'\\"' * count
    assert json_input.blank_deep_entries(body) == body


@when("a service answers {odd}")
def answer_odd(context, odd):
    context.service = _serve(context, _expand(odd).encode())


@then("the provider gives no list, and the advisor no advice")
def check_no_answers(context):
    address = context.service.address
    assert adapter_provider.HttpProvider(address).list_instances() is None
    assert adapter_provider.HttpAdvisor(address).ask(_QUESTION) is None


@then('an order that is refused with {odd} is "{outcome}"')
def check_refused_order(context, odd, outcome):
    service = _serve(context, _expand(odd).encode(), "409 Conflict")
    provider = adapter_provider.HttpProvider(service.address)
    found = provider.carry_out(instances.Move("m1", "pack"), _HOLDER)
    assert found is instances.OrderOutcome(outcome), found


@when('the provider\'s first page names the next one "{token}"')
def name_next_page(context, token):
    token = token.replace("\\r", "\r").replace("\\n", "\n")
    body = json.dumps({"machines": [], "next_token": token}).encode()
    context.service = _serve(context, body)
    adapter_provider.HttpProvider(context.service.address).list_instances()


@then('the provider is asked for "{path}"')
def check_path(context, path):
    lines = {
        data.partition(b"\r\n")[0].decode() for data in context.service.received
    }
    assert lines == {"GET /v1/machines HTTP/1.1", f"GET {path} HTTP/1.1"}, lines


def _drip(listener, period_s):
    connection, _ = listener.accept()
    try:
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
        while True:
            connection.sendall(b"x")
            time.sleep(period_s)
    except OSError:
        connection.close()


@when("a service sends a byte of its answer every {ms:d} ms for ever")
def serve_for_ever(context, ms):
    listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(listener.close)
    host, port = listener.getsockname()
    context.address = f"{host}:{port}"
    threading.Thread(
        target=_drip, args=(listener, ms / 1000), daemon=True
    ).start()


@then("a call that waits {ms:d} ms for each part ends without an answer")
def check_given_up(context, ms):
    client = json_client.JsonClient(context.address, ms / 1000)
    assert client.call("GET", "/") is None


class _FailingService:
    """A client that raises an error in each call."""

    def __init__(self, error):
        self._error = error

    def ask(self, _question):
        raise self._error

    def list_instances(self):
        raise self._error

    def carry_out(self, _order, _holder):
        raise self._error


@when('the clients of the provider and the advisor raise a "{name}"')
def call_failing(context, name):
    error = {"RecursionError": RecursionError("too deep")}[name]
    failing = _FailingService(error)
    target = mailbox.Mailbox("results")
    advisor_task.AdvisorTask(failing, target).ask(_QUESTION, 1)
    tasks = provider_task.ProviderTask(failing, "holder", target)
    tasks.list_instances(1)
    tasks.carry_out(instances.Move("m1", "pack"), 1, lambda term: True)
    context.target = target


@then(
    "the question has no answer, the list is missing and the order is unknown"
)
def check_results(context):
    ends = time.monotonic() + 5.0
    while context.target.get_depth() < 3 and time.monotonic() < ends:
        gevent.sleep(0.01)
    assert context.target.get_depth() == 3, context.target.get_depth()
    for _ in range(3):
        match context.target.get():
            case advisor_task.AdviceResult(question, approvals):
                assert question == _QUESTION and approvals is None
            case provider_task.InstanceListResult(listed):
                assert listed is None
            case provider_task.OrderResult(_, outcome):
                assert outcome is instances.OrderOutcome.UNKNOWN


@given("the advisor's first {count:d} answers are nested 100000 deep")
def answer_deep(context, count):
    body = f'{{"approved":[],"extra":{_DEEP_ARRAY}}}'.encode()
    context.site.advisor.odd_bodies = [body] * count


def _write_settings(node, text):
    path = node.folder / "settings.json"
    # The file is replaced at once, so that no part of it is read.
    written = path.with_suffix(".new")
    written.write_text(text, encoding="utf-8")
    written.rename(path)


@when("the settings of node {number:d} become {odd}")
def write_odd_settings(context, number, odd):
    node = context.site.nodes[number]
    text = json.dumps(node.build_settings())[:-1]
    _write_settings(node, f"{text},{_expand(odd)[1:]}")


@then("node {number:d} logs that its settings are unreadable")
def check_unreadable(context, number):
    node = context.site.nodes[number]
    context.site.wait_until(
        lambda: "event=settings_unreadable" in node.read_log(),
        "the settings are unreadable",
    )


@when("the settings of node {number:d} name another seed beside odd ones")
def add_seed(context, number):
    node = context.site.nodes[number]
    settings = node.build_settings()
    settings["seed_nodes"] += [
        "10.0.0.1:99999",
        "10.0.0.1",
        "",
        None,
        2**70,
        "<deep>",
        f"127.0.{context.site.net}.9:{context.site.base_port}",
    ]
    text = json.dumps(settings).replace('"<deep>"', _DEEP_ARRAY)
    _write_settings(node, text)


@then("node {number:d} follows the other seed")
def check_seed(context, number):
    node = context.site.nodes[number]

    def follows():
        lines = [
            line
            for line in node.read_log().splitlines()
            if "event=seeds_changed" in line
        ]
        return lines and f"127.0.{context.site.net}.9:" in lines[-1]

    context.site.wait_until(follows, "the other seed is followed")
    line = next(
        line
        for line in reversed(node.read_log().splitlines())
        if "event=seeds_changed" in line
    )
    assert "10.0.0.1:" not in line and len(line) < 400, line


@when(
    "the provider lists an instance of {cpu:d} milli-cores, {mb:d} MB and"
    ' labels "{labels}"'
)
def list_instance(context, cpu, mb, labels):
    entry = {
        "machine": "m1",
        "pool": "pack",
        "state": "up",
        "capacity": {"cpu": cpu, "mem_mb": mb, "gpu": 0},
        "labels": labels.split(","),
    }
    service = _serve(context, json.dumps({"machines": [entry]}).encode())
    provider = adapter_provider.HttpProvider(service.address)
    (context.instance,) = provider.list_instances()


@then(
    "the instance can hold {cpu:d} milli-cores and {mb:d} MB, with labels"
    ' "{labels}"'
)
def check_instance(context, cpu, mb, labels):
    found = context.instance
    assert found.capacity == specs.Resources(cpu, mb, 0), found
    assert found.labels == tuple(labels.split(",")), found
