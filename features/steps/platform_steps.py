"""Steps for nodes as processes on a simulated site of the users' platform."""

import json
import os
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from features.fakes import platform_document
from features.fakes import platform_site

# Each run of the tests uses a loopback network and ports of its own.
_NET = os.getpid() % 250 + 1
_BASE_PORT = 28_000


def _start_site(context, approved=None):
    # pylint: disable-next=consider-using-with
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.site = platform_site.Site(folder.name, _BASE_PORT, _NET)
    context.add_cleanup(context.site.end)
    if approved is not None:
        context.site.use_advisor(approved)
    context.site.start()
    context.site.wait_until(context.site.are_ready, "all nodes are ready")
    context.jobs = {}


@given("a site of four nodes, three with a disk")
def start_site(context):
    _start_site(context)


@given('a site of four nodes with an advisor that allows only "{names}"')
def start_advised_site(context, names):
    _start_site(context, frozenset(names.split(",")))


def _put_document(context, version):
    has_advisor = context.site.advisor is not None
    document = platform_document.build_document(version, has_advisor)
    for number in range(20):
        node = number % len(context.site.nodes)
        context.answer = context.site.call_control(
            node, "POST", "/v1/config/put", document
        )
        if context.answer is not None and context.answer[0] == 200:
            return
    raise AssertionError(context.answer)


@given("a configuration with one queue")
def put_configuration(context):
    _put_document(context, 1)


@when("configuration {version:d} is submitted")
def put_version(context, version):
    _put_document(context, version)


def _build_job(count, steps=1):
    return {
        "spec": "pack it",
        "phases": [
            {
                "count": count,
                "cpu": 1000,
                "mem_mb": 100,
                "estimate_ms": 150,
                **({"depends_on": [i - 1]} if i else {}),
            }
            for i in range(steps)
        ],
    }


@when("job {job:d} of {count:d} tasks is submitted to node {node:d}")
def submit(context, job, count, node):
    context.jobs[job] = _build_job(count)
    path = f"/orders/{job:016x}"
    context.answer = context.site.call_front(
        node, "POST", path, context.jobs[job]
    )


@when("{count:d} jobs of 2 steps are submitted to all nodes")
def submit_many(context, count):
    for job in range(100, 100 + count):
        path = f"/orders/{job:016x}"
        body = _build_job(3, steps=2)
        for attempt in range(30):
            node = (job + attempt) % len(context.site.nodes)
            answer = context.site.call_front(node, "POST", path, body)
            if answer is not None and answer[0] == 200:
                context.jobs[job] = body
                break
        assert job in context.jobs, answer


@when('a "{method}" for "{path}" is sent to node {node:d}')
def send_request(context, method, path, node):
    context.answer = context.site.call_front(node, method, path)


@when('the key "{key}" is used in a "{method}" for "{path}" at node {node:d}')
def send_with_key(context, method, path, key, node):
    context.answer = context.site.call_front(node, method, path, key=key)


@when("a malformed job is submitted to node {node:d}")
def send_malformed_job(context, node):
    context.answer = context.site.call_front(
        node, "POST", f"/orders/{77:016x}", b'{"spec": 3'
    )


@when("a heartbeat without a start time is sent to node {node:d}")
def send_heartbeat(context, node):
    context.answer = context.site.call_control(
        node, "POST", "/v1/instances/w1/heartbeat", {"service": "pack"}
    )


@when("a heartbeat of {size:d} MB is sent to node {node:d}")
def send_large(context, size, node):
    context.answer = context.site.call_control(
        node, "POST", "/v1/instances/w1/heartbeat", b"x" * size * 1024 * 1024
    )


@when("the configuration is read at node {node:d}")
def read_configuration(context, node):
    context.answer = context.site.call_control(node, "GET", "/v1/config/get")


@then("the site answers with status {status:d}")
def check_status(context, status):
    assert (
        context.answer is not None and context.answer[0] == status
    ), context.answer


@then("its version is {version:d}")
def check_version(context, version):
    document = json.loads(context.answer[2])
    assert document == platform_document.build_document(version), document


@then("the response says when to retry")
def check_retry(context):
    assert "Retry-After" in context.answer[1], context.answer


def _get_state(context, job):
    for node in range(len(context.site.nodes)):
        answer = context.site.call_front(node, "GET", f"/orders/{job:016x}")
        if answer is not None and answer[0] == 200:
            return json.loads(answer[2])["state"]
    return None


@then("every job is eventually completed")
def check_completed(context):
    def are_completed():
        open_jobs = [
            job
            for job in context.jobs
            if _get_state(context, job) != "completed"
        ]
        return not open_jobs

    context.site.wait_until(are_completed, f"{len(context.jobs)} completed")


@then('job {job:d} is eventually "{state}"')
def check_state(context, job, state):
    context.site.wait_until(
        lambda: _get_state(context, job) == state, f"job {job} is {state}"
    )


@when("the leading node is killed")
def kill_leader(context):
    leader = context.site.find_leader()
    leader.signal(platform_site.KILL)
    leader.process.wait()
    context.killed = leader


@when("that node starts again")
def start_again(context):
    context.killed.start()
    context.site.wait_until(context.site.are_ready, "all nodes are ready")


@when("all nodes are killed at once and start again")
def kill_all(context):
    for node in context.site.nodes:
        node.signal(platform_site.KILL)
    for node in context.site.nodes:
        node.process.wait()
        node.start()
    context.site.wait_until(context.site.are_ready, "all nodes are ready")


@when("every node is stopped in turn and starts again")
def restart_each(context):
    for node in context.site.nodes:
        node.signal(platform_site.TERMINATE)
        context.site.wait_until(node.has_ended, "the node stops")
        assert node.process.returncode == 0, node.read_log()[-2000:]
        node.start()
        context.site.wait_until(context.site.are_ready, "all are ready")


@when("node {node:d} gets a hang-up signal")
def hang_up(context, node):
    context.site.nodes[node].signal(platform_site.HANG_UP)


# Prints the handler of the signal at the import of the node's first own module;
# importing the modules takes most of a start.
_SIGNAL_PROBE = """
import runpy, signal, sys
class Probe:
    def find_spec(self, name, path=None, target=None):
        if name == "adapter_http":
            print(signal.getsignal(signal.SIGHUP).name)
            sys.exit(0)
sys.meta_path.insert(0, Probe())
runpy.run_path("platform/start.py", run_name="__main__")
"""


@when("a node's program comes to the first of its own modules")
def load_program(context):
    context.output = subprocess.run(
        [sys.executable, "-c", _SIGNAL_PROBE],
        capture_output=True,
        check=True,
        text=True,
    ).stdout


@then("it ignores hang-up signals")
def check_signal_ignored(context):
    assert context.output.strip() == "SIG_IGN", context.output


@then("no task ran twice")
def check_runs(context):
    assert not context.site.violations, context.site.violations


@then("all nodes are ready")
def check_ready(context):
    context.site.wait_until(context.site.are_ready, "all nodes are ready")


@then("a log line says why the heartbeat was rejected")
def check_log(context):
    logs = "".join(node.read_log() for node in context.site.nodes)
    assert "event=heartbeat_malformed worker=w1" in logs


@then('only "{names}" have started tasks')
def check_starters(context, names):
    starters = {worker for _, _, worker, _ in context.site.starts}
    assert starters and starters <= set(names.split(",")), starters
    assert not context.site.refused, context.site.refused


@then("the advisor was asked about each step, at the path of the protocol")
def check_questions(context):
    asked = context.site.advisor.calls
    assert {path for path, _ in asked} == {"/v1/advise"}
    steps = {question["step"] for _, question in asked}
    wanted = {
        f"{job:016x}.0.{step}" for job in context.jobs for step in range(2)
    }
    assert steps == wanted, (steps, wanted)


@when("the node soak runs with seed {seed:d} for {seconds:d} seconds")
def run_soak(context, seed, seconds):
    # pylint: disable-next=consider-using-with
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.soak = subprocess.run(
        [
            sys.executable,
            "-m",
            "dev.run_node_soak",
            f"--seed={seed}",
            f"--seconds={seconds}",
            f"--folder={folder.name}",
        ],
        capture_output=True,
        check=False,
        text=True,
    )


@then("it has found no breach")
def check_soak(context):
    assert context.soak.returncode == 0, context.soak.stdout[-3000:]
