"""Steps for crowds of clients that nobody controls."""

import json
import os
import tempfile
import time

from behave import given
from behave import then
from behave import when

from features.fakes import limited_site
from features.fakes import platform_calls
from features.fakes import platform_document

NET = os.getpid() % 250 + 1
BASE_PORT = 28_100
_FRONT, _READY, _CONTROL, _PEER = range(4)
_PORTS = {
    "callers": _FRONT,
    "control": _CONTROL,
    "configurations": _CONTROL,
    "ready": _READY,
    "peers": _PEER,
}
_CROWD_S = 8.0
_CROWD_SOURCE = "127.0.0.99"
_OK = 200


@given("three nodes on machines of {memory:d} MB and {fds:d} descriptors")
def start_limited_site(context, memory, fds):
    # pylint: disable-next=consider-using-with
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    site = limited_site.LimitedSite(
        folder.name, BASE_PORT, NET, nodes=3, workers=1
    )
    context.site = site
    context.add_cleanup(site.end)
    for node in site.nodes:
        node.memory_mb = memory
        node.max_fds = fds
    site.start()
    site.wait_until(site.are_ready, "all nodes are ready")
    _put_document(context, _build_document(1))
    site.wait_until(site.find_leader, "a node leads")
    context.node = site.find_leader()
    context.pid = context.node.process.pid


def _build_document(version, note_bytes=0):
    """Builds a configuration, enlarged by a field that nodes do not read."""
    document = platform_document.build_document(version)
    if note_bytes:
        document["notes"] = "x" * note_bytes
    return json.dumps(document).encode()


def _put_document(context, body):
    """Hands in a configuration as an operator does, who resends it."""

    def put():
        leader = context.site.find_leader()
        if leader is None:
            return False
        answer = platform_calls.request(
            leader.control_address, "POST", "/v1/config/put", body
        )
        return answer is not None and answer[0] == _OK

    context.site.wait_until(put, "the configuration is accepted")


@given("a configuration of {count:d} bytes")
def put_large_document(context, count):
    _put_document(context, _build_document(2, count))


@when('{count:d} "{kind}" clients use the port for "{port}"')
def run_crowd(context, count, kind, port):
    if port == "metrics":
        address = context.node.get_metrics_address()
    else:
        address = context.node.get_address(_PORTS[port])
    context.crowd = limited_site.Crowd(
        context.node, kind, port, address, count, _CROWD_SOURCE
    )
    context.add_cleanup(context.crowd.end)
    context.crowd.watch(_CROWD_S)


@when("a configuration of 4 MiB is handed in meanwhile")
def put_largest_document(context):
    small = len(_build_document(3, 1))
    _put_document(context, _build_document(3, 4 * 1024 * 1024 - small + 1))


@then("the node lives, and has used no more than its limits")
def check_limits(context):
    node = context.node
    context.crowd.freeze()
    assert not node.has_ended() and node.process.pid == context.pid
    peak_mb = node.read_memory_mb("VmHWM")
    found = f"peak {peak_mb:.0f} MB, {context.crowd.peak_fds} descriptors"
    print(f"{context.scenario.name}: {found}")
    assert peak_mb <= node.memory_mb, found
    assert context.crowd.peak_fds <= node.max_fds, found


@then("it answers ordinary requests while the crowd stays connected")
def check_ordinary_requests(context):
    """The crowd keeps its connections and does nothing any more."""
    site, node = context.site, context.node
    number = site.nodes.index(node)
    job = {"spec": "pack it", "phases": [{"count": 1, "cpu": 1, "mem_mb": 1}]}
    path = f"/orders/{int(time.time()):016x}"

    def is_ok(answer):
        return answer is not None and answer[0] == _OK

    site.wait_until(
        lambda: is_ok(site.call_front(number, "POST", path, job)),
        "a job is accepted",
    )
    site.wait_until(
        lambda: is_ok(site.call_control(number, "POST", *build_heartbeat())),
        "a heartbeat is answered",
    )
    for address, target in (
        (node.get_address(_READY), "/v1/readyz"),
        (node.get_metrics_address(), "/metrics"),
    ):
        site.wait_until(
            lambda address=address, target=target: is_ok(
                platform_calls.request(address, "GET", target)
            ),
            f"{target} is answered",
        )
    assert not node.has_ended() and node.process.pid == context.pid


def build_heartbeat():
    """Returns path and content of a worker's first heartbeat."""
    now_ms = int(time.time() * 1000)
    return (
        "/v1/instances/9500/heartbeat",
        {
            "service": "pack",
            "address": "127.0.0.1:9500",
            "zone": "north",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": 8000, "mem_mb": 8000, "gpu": 0},
            "labels": ["a", "r1"],
            "clock_ms": now_ms,
            "seq_no": now_ms,
            "born": 1,
            "machine": "m-9500",
            "running": [],
            "finished": [],
        },
    )
