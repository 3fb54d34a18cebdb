"""Steps for the limits in force at a node without a disk."""

import json
import socket
import tempfile

from behave import given
from behave import then

from features.fakes import limited_site
from features.fakes import platform_calls
from features.fakes import platform_document
from features.steps import uncontrolled_steps

_WITHOUT_DISK = 3
_OK = 200


@given("a site of four nodes, three with a disk, and a body limit of {limit:d}")
def start_site(context, limit):
    # pylint: disable-next=consider-using-with
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    site = limited_site.LimitedSite(
        folder.name,
        uncontrolled_steps.BASE_PORT,
        uncontrolled_steps.NET,
        nodes=4,
        workers=1,
    )
    context.site = site
    context.add_cleanup(site.end)
    site.start()
    site.wait_until(site.are_ready, "all nodes are ready")
    document = platform_document.build_document()
    document["limits"] = {"max_body_bytes": limit}

    def put():
        answer = site.call_control(0, "POST", "/v1/config/put", document)
        return answer is not None and answer[0] == _OK

    site.wait_until(put, "the configuration is accepted")
    context.node = site.nodes[_WITHOUT_DISK]
    site.wait_until(
        lambda: f"max_body_bytes={limit}" in context.node.read_log(),
        "the node knows the limit",
    )


def _build_job(count):
    job = {"spec": "", "phases": [{"count": 1, "cpu": 1, "mem_mb": 1}]}
    job["spec"] = "x" * (count - len(json.dumps(job)))
    body = json.dumps(job).encode()
    assert len(body) == count
    return body


def _send(context, data, front=True):
    """Sends bytes as a client does, and returns the status of the answer."""
    node = context.node
    address = node.get_address(0) if front else node.control_address
    with socket.create_connection(address, timeout=10) as sock:
        sock.sendall(data)
        answer = sock.recv(65_536)
    return int(answer.split()[1])


def _build_head(path, *fields):
    lines = [f"POST {path} HTTP/1.1", f"Host: {platform_document.HOST}"]
    lines += [f"Key: {platform_document.KEY}", "Deadline-Ms: 3000", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _send_body(context, body, is_chunked):
    path = f"/orders/{len(body) + is_chunked:016x}"
    if not is_chunked:
        head = _build_head(path, f"Content-Length: {len(body)}")
        return _send(context, head + body)
    head = _build_head(path, "Transfer-Encoding: chunked")
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return _send(context, head + chunks)


@then("a caller's body of {count:d} bytes is answered with {status:d}")
def check_refused_body(context, count, status):
    assert _send_body(context, _build_job(count), False) == status


@then("a caller's chunked body of {count:d} bytes is answered with {status:d}")
def check_refused_chunks(context, count, status):
    assert _send_body(context, _build_job(count), True) == status


@then("a caller's body of {count:d} bytes is served")
def check_served_body(context, count):
    assert _send_body(context, _build_job(count), False) == _OK


@then("a caller's chunked body of {count:d} bytes is served")
def check_served_chunks(context, count):
    assert _send_body(context, _build_job(count), True) == _OK


@then(
    "a head of {legal:d} bytes is served, and one of {illegal:d} answered with"
    " {status:d}"
)
def check_heads(context, legal, illegal, status):
    body = _build_job(1_000)

    def send(count):
        fields = [f"X-{i}: {'x' * 990}" for i in range(count // 1_000)]
        fields.append(f"Content-Length: {len(body)}")
        return _send(context, _build_head(f"/orders/{count:016x}", *fields))

    def send_whole(count):
        fields = [f"X-{i}: {'x' * 985}" for i in range(count // 1_000)]
        fields.append(f"Content-Length: {len(body)}")
        head = _build_head(f"/orders/{count:016x}", *fields)
        return len(head), _send(context, head + body)

    size, found = send_whole(legal)
    assert size <= 16_384 and found == _OK, (size, found)
    assert send(illegal) == status


@then("a heartbeat of {count:d} bytes is answered with {status:d}")
def check_heartbeat(context, count, status):
    path, heartbeat = uncontrolled_steps.build_heartbeat()
    heartbeat["notes"] = ""
    heartbeat["notes"] = "x" * (count - len(json.dumps(heartbeat)))
    body = json.dumps(heartbeat).encode()
    assert len(body) == count
    number = context.site.nodes.index(context.node)
    if status == _OK:
        answer = context.site.call_control(number, "POST", path, body)
        assert answer is not None and answer[0] == status, answer
        return
    head = _build_head(path, f"Content-Length: {count}")
    assert _send(context, head, front=False) == status


@then("a control request that nobody reads on is answered on every port")
def check_announced(context):
    """A body that is announced but not read ends no process and no port."""
    head = _build_head("/v1/readyz", "Content-Length: 1000000000")
    node = context.node
    for address in (node.get_address(1), node.get_metrics_address()):
        with socket.create_connection(address, timeout=10) as sock:
            sock.sendall(head)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 ")


@then("the metrics name what was refused")
def check_metrics(context):
    address = context.node.get_metrics_address()
    answer = platform_calls.request(address, "GET", "/metrics")
    text = answer[2].decode()
    for reason in ("body_too_large", "head_too_large"):
        line = f'bambookeel_clients_refused_total{{reason="{reason}"}}'
        assert line in text, text
    assert "bambookeel_client_bytes_buffered" in text
    assert "event=clients_limited" in context.node.read_log()
