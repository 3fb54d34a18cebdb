"""Steps for evacuations of data centres at nodes and in the adapter."""

import json

from behave import then
from behave import when

from features.fakes import platform_site
from features.steps import adapter_steps

# pylint: disable-next=wrong-import-order,import-error
import adapter_workers  # isort: skip


def _order(context, node, name, change):
    context.answer = context.site.call_control(
        node, "POST", f"/v1/evacuate/{name}/{change}"
    )


@when('a "{method}" for "{path}" is sent to node {node:d} by an operator')
def send(context, method, path, node):
    context.answer = context.site.call_control(node, method, path)


@when('the evacuation of "{name}" is ordered at node {node:d} to "{change}"')
def order(context, name, node, change):
    _order(context, node, name, change)


@when(
    'the evacuation of "{name}" is ordered again until it is answered to'
    ' "{change}"'
)
def order_again(context, name, change):
    nodes = iter(range(1_000))

    def is_answered():
        _order(context, next(nodes) % len(context.site.nodes), name, change)
        return context.answer is not None and context.answer[0] == 200

    context.site.wait_until(is_answered, "an order is acknowledged")


def _list(context, node):
    answer = context.site.call_control(node, "GET", "/v1/evacuate")
    if answer is None or answer[0] != 200:
        return None
    rows = json.loads(answer[2])["evacuations"]
    assert all(row["begun_ms"] > 0 for row in rows), rows
    return ",".join(sorted(row["zone"] for row in rows))


@then('the evacuations are in ""')
def check_none(context):
    assert _list(context, 3) == ""


@then('the evacuations are eventually in "{names}"')
def check_names(context, names):
    context.site.wait_until(
        lambda: _list(context, 3) == names, f"the evacuations are in {names}"
    )


@then('"{names}" can be evacuated')
def check_known(context, names):
    found = context.converted.node.scheduling.data_centres
    assert found == set(names.split(",")), found


@when('a heartbeat that says {ms} ms of "cold_left_ms" is decoded')
def decode_cold(context, ms):
    document = {**adapter_steps.HEARTBEAT, "cold_left_ms": float(ms)}
    context.report = adapter_workers.decode_heartbeat(
        "w", json.dumps(document).encode()
    )


@then("the worker may be slow for {ms:d} ms")
def check_cold(context, ms):
    assert context.report.cold_left_ms == ms, context.report


@when("all nodes lose power right after it, and the leading one its disk")
def lose_power(context):
    assert context.answer is not None and context.answer[0] == 200
    leader = context.site.find_leader()
    for node in context.site.nodes:
        node.signal(platform_site.KILL)
    for node in context.site.nodes:
        node.process.wait()
    leader.wipe()
    for node in context.site.nodes:
        node.start()
