"""Steps for the adapter to the users' platform."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import specs

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_ADAPTER = _ROOT / "platform"
# The folder has the name of a standard library module, so it goes to the end of
# the path.
sys.path.append(str(_ADAPTER))

# pylint: disable=wrong-import-position,import-error
import adapter_jobs  # noqa: E402
import adapter_operators  # noqa: E402
import adapter_settings  # noqa: E402
import adapter_workers  # noqa: E402

_SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.sampled_from((2**63, 2**64, 2**70, -(2**63) - 1, 1e308)),
    strategies.text(max_size=8),
)


def _build_objects(names):
    values = strategies.recursive(
        _SCALARS,
        lambda inner: strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(names), inner, max_size=5
        ),
        max_leaves=12,
    )
    return strategies.dictionaries(
        strategies.sampled_from(names), values, max_size=len(names)
    )


HEARTBEAT = {
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
_JOB = {"spec": "x", "phases": [{"count": 1, "cpu": 1}]}
_STEP = ["count", "cpu", "mem_mb", "depends_on", "estimate_ms", "gang"]
_DOCUMENT = {"version": 1, "routes": [], "services": [], "tenants": []}
_WAVE = {"rollout_wave": 1, "machines": [], "duration_s": 1, "cap": 1}


def _check_encodes(found):
    """Checks that the leader can be told what was decoded."""
    match found:
        case specs.JobSpec():
            found = calls.SubmitJob("h", "/p", "", "a", found)
        case configuration.Document():
            found = calls.PutDocument(found)
        case str():
            return
    assert calls.decode_call(calls.encode_call(found)).unwrap() == found


def _check_any_json(decode, valid, names, kind):
    """Checks that a decoder returns a value of its kind or a reason."""

    @hypothesis.given(_build_objects(names), strategies.booleans())
    def check(changes, keeps_valid_fields):
        body = {**valid, **changes} if keeps_valid_fields else changes
        found = decode(json.dumps(body).encode())
        assert isinstance(found, (kind, str)), found
        assert found != "", body
        _check_encodes(found)

    check()


@then("any JSON in a heartbeat gives a report or a reason")
def check_heartbeats(_context):
    _check_any_json(
        lambda body: adapter_workers.decode_heartbeat("w", body),
        HEARTBEAT,
        [*HEARTBEAT, "labels", "machine", "remaining_ms"],
        calls.WorkerReport,
    )


@then("any JSON in a job gives a job or a reason")
def check_jobs(_context):
    names = [*_JOB, *_STEP, "repeat_count", "start_at_ms", "interval_ms"]
    _check_any_json(adapter_jobs.decode_job, _JOB, names, specs.JobSpec)


@then("any JSON in a configuration gives a document or a reason")
def check_documents(_context):
    _check_any_json(
        adapter_operators.decode_document,
        _DOCUMENT,
        [*_DOCUMENT, "name", "host", "timeout_ms", "api_keys", "cap"],
        configuration.Document,
    )


@then("any JSON in a wave gives a wave or a reason")
def check_waves(_context):
    _check_any_json(
        adapter_operators.decode_wave, _WAVE, list(_WAVE), calls.StartWave
    )


@then("any bytes give a reason")
def check_bytes(_context):
    @hypothesis.given(strategies.binary(max_size=40))
    def check(body):
        for decode in (
            adapter_jobs.decode_job,
            adapter_operators.decode_document,
            adapter_operators.decode_wave,
            lambda data: adapter_workers.decode_heartbeat("w", data),
        ):
            assert isinstance(decode(body), str)
        left = adapter_workers.decode_deregistration("w", body)
        # Hypothesis also draws constants of the code, such as a whole body.
        if body in (b"", b'{"born":0}'):
            assert left == calls.WorkerLeft("w", 0), left
        else:
            assert isinstance(left, str), left

    check()


@when("this job is decoded")
def decode_text(context):
    context.spec = adapter_jobs.decode_job(context.text.encode())


@when("the job {body} is decoded")
def decode_body(context, body):
    context.spec = adapter_jobs.decode_job(body.encode())


@then('it is refused because of "{reason}"')
def check_reason(context, reason):
    assert (
        isinstance(context.spec, str) and reason in context.spec
    ), context.spec


@then('step 0 has {count:d} tasks of {milli:d} milli and its data on "{rack}"')
def check_first_step(context, count, milli, rack):
    step = context.spec.steps[0]
    found = (step.count, step.needs.cpu_milli, step.data_rack)
    assert found == (count, milli, rack), step


@then("step 1 waits for step 0 and allows {most:d} tasks an instance")
def check_second_step(context, most):
    step = context.spec.steps[1]
    assert step.after == (0,) and step.max_per_instance == most, step
    assert step.checkpoints and step.is_standing and step.label == "a", step
    assert step.max_missing == 1, step


@then("occurrence {number:d} is due at {due_ms:d} ms")
def check_due(context, number, due_ms):
    assert isinstance(context.spec, specs.JobSpec), context.spec
    assert context.spec.get_due_wall_ms(number) == due_ms, context.spec
    encoded = calls.encode_call(
        calls.SubmitJob("h", "/", "", "a", context.spec)
    )
    assert calls.decode_call(encoded).unwrap().spec == context.spec


@when("a heartbeat with these lists is decoded")
def decode_lists(context):
    row = context.table[0]
    body = {
        **HEARTBEAT,
        "running": [json.loads(row["running"])],
        "finished": [json.loads(row["finished"])],
    }
    context.report = adapter_workers.decode_heartbeat(
        "w", json.dumps(body).encode()
    )


@then("run {run:d} of task {index:d} is listed with {percent:d} percent")
def check_running(context, run, index, percent):
    listed = context.report.running[0]
    found = (listed.run, listed.task.task_index, listed.percent, listed.tail_ms)
    assert found == (run, index, percent, 0), listed


@then('end {number:d} of task {index:d} is listed as "{how}"')
def check_end(context, number, index, how):
    listed = context.report.ends[0]
    found = (listed.number, listed.task.task_index, listed.how.value)
    assert found == (number, index, how), listed


# Field names of the platform that the rest of the product must not use.
_PLATFORM_NAMES = (
    "seq_no",
    "mem_mb",
    "anti_affinity",
    "miss_allowed",
    "start_tasks",
    "stop_tasks",
    "acked_seq",
    "heartbeat_addr",
    "rollout_wave",
    "api_keys",
    "slack_factor",
    "long_running",
    "cloud_api",
)


@then('no module outside "platform" holds the platform\'s field names')
def check_names(_context):
    found = []
    for path in (_ROOT / "bambookeel").rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        found += [(path.name, n) for n in _PLATFORM_NAMES if n in text]
    assert not found, found


def _count_lines(folder):
    return sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in folder.rglob("*.py")
    )


@then("the adapter is below {most:d} lines and a twelfth of the product")
def check_size(_context, most):
    lines = _count_lines(_ADAPTER)
    assert lines < most and 12 * lines < _count_lines(_ROOT / "bambookeel")


@when("a node is started with the settings {settings}")
def start_node(context, settings):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        if settings == "nested 100000 deep":
            settings = '{"extra":' + "[" * 100_000 + "]" * 100_000 + "}"
        file.write(settings)
        file.flush()
        context.ended = subprocess.run(
            [sys.executable, str(_ADAPTER / "start.py")],
            env={**os.environ, "BAMBOOKEEL_CONFIG": file.name},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )


@then('it ends with status {status:d} and names "{fault}"')
def check_ended(context, status, fault):
    assert context.ended.returncode == status, context.ended
    assert fault in context.ended.stderr, context.ended.stderr


@when("the settings with these bounds are converted")
def convert_settings(context):
    bounds = {row["bound"]: json.loads(row["value"]) for row in context.table}
    document = {
        "node_name": "n",
        "ip": "127.0.0.1",
        "zone": "north",
        "zones": {"north": "r1", "south": "r1"},
        "bind_addrs": {},
        "port_range": [7_000, 7_015],
        "seed_nodes": [],
        "bounds": bounds,
    }
    context.converted = adapter_settings.convert_settings(
        json.dumps(document).encode()
    )


@then("a run's lease is {lease_ms:d} ms")
def check_lease(context, lease_ms):
    found = context.converted.node.scheduling
    assert found.lease_ms == found.max_lease_ms == lease_ms, found


@then("a new leader waits {ms:d} ms for an earlier leader's orders")
def check_holder(context, ms):
    found = context.converted.node.scheduling
    assert found.earlier_orders_ms == ms, found


@then("the scheduler has these times")
def check_times(context):
    found = context.converted.node.scheduling
    for row in context.table:
        assert getattr(found, row["time"]) == int(row["ms"]), (row, found)


@then("tasks take {factor:g} times as long in a remote rack")
def check_remote_factor(context, factor):
    found = context.converted.node.scheduling
    assert found.remote_factor == factor, found


@then('a caller is told that a job is "{state}" with the reason "{reason}"')
def check_failed_reason(context, state, reason):
    answer = calls.JobIs(specs.JobState(state), reason)
    response = adapter_jobs.build_response(None, answer)
    assert response == (200, {"state": state, "reason": reason}, 0), response


@then('a caller is told that a job is "{state}" without a reason')
def check_no_reason(context, state):
    answer = calls.JobIs(specs.JobState(state))
    response = adapter_jobs.build_response(None, answer)
    assert response == (200, {"state": state}, 0), response
