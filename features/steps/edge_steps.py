"""Steps for malformed input from callers and backend servers."""

import json

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from features.fakes import entry_harness
from features.fakes import request_scripts

_MAX_BODY_BYTES = 100_000


@given("an entry with tight bounds")
def start_tight_entry(context):
    context.entry.close()
    context.entry = entry_harness.EntryHarness(
        max_header_bytes=8_192, head_timeout_ms=1_000, body_timeout_ms=1_000
    )
    context.add_cleanup(context.entry.close)
    context.entry.put_service(max_body_bytes=_MAX_BODY_BYTES)
    context.holder = context.entry.add_holder("entry-1", 1)
    context.holder.targets = [context.backend]


def _exchange(context, data, keep_open=False):
    """Sends bytes and reads until the connection ends.

    Closes the sending side after sending, unless it is to be kept open.
    """
    sock = context.entry.connect()
    sock.settimeout(10)
    received = b""
    try:
        sock.sendall(data)
        if not keep_open:
            sock.shutdown(1)
        while part := sock.recv(65_536):
            received += part
    except (BrokenPipeError, ConnectionResetError):
        pass
    finally:
        sock.close()
    return received


@when('a caller sends the head "{head}"')
def send_head(context, head):
    data = request_scripts.unescape(head)
    data = data.replace(b"KEY", context.entry.secret.encode())
    context.received = _exchange(context, data, b"X-Open" in data)


@then('it gets status {status:d} and reason "{reason}"')
def check_refusal(context, status, reason):
    received = context.received
    assert received.startswith(f"HTTP/1.1 {status} ".encode()), received
    assert b"Content-Type: application/problem+json" in received, received
    assert f'"reason":"{reason}"'.encode() in received, received
    assert b'"outcome":"not-run"' in received, received


@then("nothing was run and a valid request is answered")
def check_valid_request(context):
    assert not context.backend.runs, context.backend.runs
    response = context.entry.call(headers=request_scripts.WORK)
    assert response.outcome == "answered", response
    assert context.entry.path.caller_watch.count_callers() == 0


@when("a caller sends a head of {size:d} bytes")
def send_large_head(context, size):
    line = b"X-Filler: " + b"x" * 900 + b"\r\n"
    head = b"GET /services/orders/x HTTP/1.1\r\n" + line * (size // len(line))
    context.received = _exchange(context, head, keep_open=True)


def _build_post_head(context, *fields):
    lines = [
        "POST /services/orders/x HTTP/1.1",
        f"Authorization: Bearer {context.entry.secret}",
        *request_scripts.WORK,
        *fields,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@when(
    "a caller declares a body of {size:d} bytes and sends Expect: 100-continue"
)
def declare_large_body(context, size):
    head = _build_post_head(
        context, f"Content-Length: {size}", "Expect: 100-continue"
    )
    context.received = _exchange(context, head, keep_open=True)


@when("a caller sends a chunked body without an end")
def send_endless_chunks(context):
    chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
    data = _build_post_head(context, "Transfer-Encoding: chunked") + chunk * 30
    context.received = _exchange(context, data, keep_open=True)


@when("a caller sends Expect: 100-continue and then its body")
def expect_and_send(context):
    sock = context.entry.connect()
    sock.sendall(
        _build_post_head(context, "Content-Length: 4", "Expect: 100-continue")
    )
    context.interim = sock.recv(25)
    sock.sendall(b"body")
    context.response = entry_harness.read_answer(sock)


@then("it gets status 100 before its body and then its answer")
def check_interim_answer(context):
    assert context.interim == b"HTTP/1.1 100 Continue\r\n\r\n", context.interim
    assert context.response.outcome == "answered", context.response


@when("a caller sends {count:d} requests at once on one connection")
def send_pipelined(context, count):
    data = b""
    for number in range(count):
        data += _build_post_head(
            context, "Content-Length: 1", f"X-Number: {number}"
        ).replace(b"X-Work-Id: w", b"X-Work-Id: w%d" % number)
        data += b"x"
    data = data.replace(b"X-Number: %d" % (count - 1), b"Connection: close", 1)
    context.received = _exchange(context, data, keep_open=True)


@then("it gets their {count:d} answers in order")
def check_pipelined(context, count):
    positions = [
        context.received.index(b"work w%d done" % number)
        for number in range(count)
    ]
    assert positions == sorted(positions), positions
    assert context.received.count(b"HTTP/1.1 200 OK") == count


@when(
    "announcements are sent that are not JSON, not announcements or too large"
)
def send_announcements(context):
    context.statuses = []
    for body in (b"{", b"\xff\xfe", b"[]", b"{}", b" " * 5_000):
        head = f"POST /announce HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
        received = _exchange(context, head.encode() + body)
        context.statuses.append(int(received.split()[1]))


@then('an announcement whose "{field}" is {value} gets status {status:d}')
def send_odd_announcement(context, field, value, status):
    if value == "nested 1900 deep":
        # As deep as the limit of an announcement's size allows.
        value = "[" * 1_900 + "]" * 1_900
    document = {
        "service": "orders",
        "backend_id": "b1",
        "address": "127.0.0.1:80",
        "incarnation": 1,
        "sequence": 1,
        "state": "serving",
        "slots": 1,
        "connections": 1,
        "lease_ms": 500,
        field: "<odd>",
    }
    body = json.dumps(document).replace('"<odd>"', value).encode()
    head = f"POST /announce HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
    received = _exchange(context, head.encode() + body)
    assert int(received.split()[1]) == status, received


@then("each is refused with a status of 400 to 413")
def check_announcements(context):
    assert context.statuses == [400, 400, 400, 400, 413], context.statuses


@then("random heads and bodies get a refusal or a closed connection")
def check_random(context):
    secret = context.entry.secret.encode()
    valid_request = (
        b"POST /services/orders/x HTTP/1.1\r\nAuthorization: Bearer "
        + secret[:-1]
        + b"\r\nContent-Length: 4\r\n\r\nbody"
    )
    lines = strategies.lists(
        strategies.sampled_from(
            (
                b"Content-Length: 5\r\n",
                b"Transfer-Encoding: chunked\r\n",
                b"Expect: 100-continue\r\n",
                b"Connection: close\r\n",
                b"X: \x80\xff\r\n",
                b": \r\n",
                b"\n",
                b"\r",
                b"\0",
                b"ffffffffffffffffff\r\n",
                b"0\r\n\r\n",
            )
        ),
        max_size=8,
    ).map(b"".join)
    changed_byte = strategies.tuples(
        strategies.integers(0, len(valid_request) - 1),
        strategies.integers(0, 255),
    ).map(
        lambda f: valid_request[: f[0]]
        + bytes([f[1]])
        + valid_request[f[0] + 1 :]
    )
    inputs = strategies.one_of(
        strategies.binary(max_size=300),
        lines.map(lambda tail: b"POST /services/orders/x HTTP/1.1\r\n" + tail),
        changed_byte,
    )

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(inputs)
    def check(data):
        received = _exchange(context, data)
        if not received:
            return
        status = int(received.split()[1])
        assert 100 <= status < 500, (data, received)

    check()


@when("the key is withdrawn between two halves of a body")
def withdraw_key_during_body(context):
    context.entry.put_service(max_body_bytes=_MAX_BODY_BYTES)
    sock = context.entry.connect()
    sock.sendall(
        _build_post_head(context, "Content-Length: 4", "Connection: close")
        + b"bo"
    )
    watch = context.entry.path.caller_watch
    context.entry.wait_until(watch.count_callers)
    context.entry.withdraw_key()
    sock.sendall(b"dy")
    context.received = b""
    while part := sock.recv(65_536):
        context.received += part
    assert not context.backend.runs
