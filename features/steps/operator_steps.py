"""Steps for the operators' API."""

import io
import json

from behave import given
from behave import step
from behave import then
from behave import use_step_matcher
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.control import events
from features.fakes import fake_api
from features.fakes import fake_replica


@given('a control process with the bootstrap key "{secret}"')
def build_control(context, secret):
    context.replica = fake_replica.FakeReplica()
    context.app = fake_api.build_app(context.replica, secret)
    context.secrets = {"bootstrap": secret}
    context.key = "bootstrap"
    context.watched_changes = []


def _open_request(context, request, body=b"", headers=None, key=None):
    method, _, target = request.partition(" ")
    path, _, query = target.partition("?")
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
        "HTTP_AUTHORIZATION": f"Bearer {context.secrets[key or context.key]}",
    }
    for name, value in (headers or {}).items():
        field = name.upper().replace("-", "_")
        if field != "CONTENT_LENGTH":
            field = f"HTTP_{field}"
        environ[field] = value
    head = []
    lines = context.app(environ, lambda status, fields: head.append(status))
    return head, lines


def _send(context, request, body=b"", headers=None, key=None):
    context.commits_before = context.replica.commits
    head, lines = _open_request(context, request, body, headers, key)
    context.status = int(head[0][:3])
    context.answer = json.loads(b"".join(lines))


use_step_matcher("re")


@step(
    r'"(?P<request>[^"]+)" is sent(?: with (?P<body>\{.*?\}))?'
    r"(?: and If-Match (?P<version>\d+))?"
    r'(?: with the key "(?P<key>[^"]+)")?'
    r'(?: as command "(?P<command>[^"]+)")?'
)
def send_request(context, request, body, version, key, command):
    headers = {}
    if version:
        headers["If-Match"] = f'"{version}"'
    if command:
        headers["X-Command-Id"] = command
    _send(context, request, (body or "").encode(), headers, key)


use_step_matcher("parse")


@when('"{request}" is sent with')
def send_text(context, request):
    _send(context, request, context.text.encode())


@when(
    '"{request}" is sent with the header {header} of {value} and the body'
    " {body}"
)
def send_malformed(context, request, header, value, body):
    _send(context, request, body.encode(), {header: value})


@then("the status is {status:d}")
def check_status(context, status):
    assert context.status == status, (context.status, context.answer)


def _find_member(document, path):
    for part in path.split("."):
        document = document[int(part) if part.isdigit() else part]
    return document


@then('the answer\'s "{path}" is {value}')
def check_member(context, path, value):
    found = _find_member(context.answer, path)
    assert found == json.loads(value), context.answer


@then('the answer\'s "{path}" contains "{text}"')
def check_member_text(context, path, text):
    assert text in _find_member(context.answer, path), context.answer


@then('the answer\'s "{path}" has the members {names}')
def check_members(context, path, names):
    found = _find_member(context.answer, path)
    assert sorted(found) == sorted(names.split(", ")), found


@then("the answer has faults at {places}")
def check_places(context, places):
    found = [fault["place"] for fault in context.answer["faults"]]
    assert sorted(found) == sorted(places.split(", ")), context.answer


@then("the answer shows a secret")
def check_secret(context):
    assert context.answer["secret"].startswith("coach-1."), context.answer


@given("the replica loses its answers")
def lose_answers(context):
    context.replica.loses_answers = True


@given("the replica restarts and answers")
def restart_replica(context):
    context.replica.restart()
    context.replica.loses_answers = False


@given("the replica has no leader")
def remove_leader(context):
    context.replica.refusal = events.NotCommitted(False, "no leader is known")


@then("nothing has been committed")
def check_nothing_committed(context):
    assert context.replica.commits == context.commits_before


@when('a key "{key}" is created for operator "{operator}"')
def create_operator_key(context, key, operator):
    body = json.dumps({"operator": operator}).encode()
    _send(context, f"POST /v1/key/{key}", body)
    context.secrets[key] = context.answer["secret"]


@given("operators ann, ed and vic with the roles admin, editor and viewer")
def create_operators(context):
    roles = {"ed": "editor", "vic": "viewer", "ann": "admin"}
    for name, role in roles.items():
        body = json.dumps({"role": role}).encode()
        _send(context, f"PUT /v1/operator/{name}", body)
        create_operator_key(context, f"{name}-1", name)
    context.key = "ann-1"


@given('a team coach with the key "{key}"')
def create_team_key(context, key):
    _send(context, "PUT /v1/team/coach", b'{"upper_limit": 5}')
    _send(context, f"POST /v1/key/{key}", b'{"team": "coach"}')
    context.secrets[key] = context.answer["secret"]


@then("random requests are answered with known statuses and valid documents")
def send_random_requests(context):
    known = {200, 400, 401, 404, 405, 409, 413, 422}
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.floats(allow_nan=False, allow_infinity=False)
        | strategies.text(max_size=20)
    )
    names = strategies.sampled_from(
        ("upper_limit", "share_weight", "team", "kind", "name", "resources")
    )
    documents = strategies.recursive(
        scalars,
        lambda children: strategies.lists(children, max_size=4)
        | strategies.dictionaries(
            names | strategies.text(max_size=8), children, max_size=4
        ),
        max_leaves=12,
    )
    bodies = (
        strategies.binary(max_size=60)
        | documents.map(lambda document: json.dumps(document).encode())
        | strategies.just(b'{"a":' * 20_000)
    )
    paths = strategies.sampled_from(
        ("team/a", "key/a", "pool/a", "job/%00", "bundle", "wave", "team/\x80")
    ) | strategies.text(max_size=12)
    methods = strategies.sampled_from(("GET", "PUT", "POST", "DELETE", "X"))

    @hypothesis.settings(max_examples=400)
    @hypothesis.given(methods, paths, bodies)
    def run(method, path, body):
        _send(context, f"{method} /v1/{path}", body)
        assert context.status in known, (context.status, context.answer)
        if context.status != 200:
            assert context.answer["detail"], context.answer
            assert context.answer["outcome"] == "not-run"

    run()


@then("specs nested 10 to 3000 levels deep are refused without a commit")
def send_nested(context):
    for path, head, tail in (
        ("PUT /v1/team/a", b'{"upper_limit": ', b"}"),
        (
            "POST /v1/bundle",
            b'{"resources": [{"kind": "team", "name": "a", "spec": {"b": ',
            b"}}]}",
        ),
        ("POST /v1/key/a", b'{"team": ', b"}"),
    ):
        for depth in (*range(10, 1_100, 15), 3_000):
            nested = b"[" * depth + b"]" * depth
            _send(context, path, head + nested + tail)
            assert context.status in (400, 422), context.answer
            assert context.replica.commits == context.commits_before


@then("a value of a million characters gets an answer of under {bound:d} bytes")
def send_long(context, bound):
    body = json.dumps({"upper_limit": "x" * 1_000_000}).encode()
    _send(context, "PUT /v1/team/a", body)
    assert context.status == 422
    assert len(json.dumps(context.answer)) < bound
    body = json.dumps({"x" * 1_000_000: 1}).encode()
    _send(context, "PUT /v1/team/a", body)
    assert context.status == 422
    assert len(json.dumps(context.answer)) < bound


@given("{number:d} changes have been made")
def make_changes(context, number):
    for i in range(number):
        body = json.dumps({"upper_limit": i}).encode()
        _send(context, "PUT /v1/team/coach", body)


def _watch(context, version, number, kind=""):
    target = f"GET /v1/watch?from={version}&kind={kind}"
    head, lines = _open_request(context, target)
    assert head[0].startswith("200"), list(lines)
    context.lines = lines
    changes = []
    while len(changes) < number:
        document = json.loads(next(lines))
        context.last_version = document["version"]
        changes.extend(document["changes"])
    context.watched_changes.extend(changes)


@when("a watch is opened from version {version:d} and reads {number:d} change")
def open_watch(context, version, number):
    _watch(context, version, number)


@when(
    "a watch of kind {kind} is opened from version {version:d} and reads"
    " {number:d} change"
)
def open_kind_watch(context, kind, version, number):
    _watch(context, version, number, kind)


@when("the watch is closed")
def close_watch(context):
    context.lines.close()


@when("a watch is opened from its last version and reads {number:d} changes")
def resume_watch(context, number):
    _watch(context, context.last_version, number)


@then("the watches have returned {names} in order")
def check_watched_changes(context, names):
    found = [
        f"{'deleted ' if item.get('deleted') else ''}"
        f"{item['kind']}/{item['name']}"
        for item in context.watched_changes
    ]
    assert found == names.split(", "), found
    context.lines.close()


@then("no watch has returned a hash")
def check_no_hash(context):
    assert "hash_hex" not in json.dumps(
        context.watched_changes
    ), context.watched_changes
