"""Steps for reports of other writers about a worker."""

import re

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import specs

_CHANGE = re.compile(
    r"id (same|other), start (same|later|\d+), service (same|unnamed)"
    r"( and a number far ahead)?"
)


def _build_report(context, name, change):
    worker = context.sim.workers[name]
    report = worker.make_report(context.sim.now_ms)
    worker.report_number -= 1
    found = _CHANGE.fullmatch(change)
    assert found is not None, change
    who, start, service, is_far = found.groups()
    born_wall_ms = report.life.born_wall_ms
    if start == "later":
        born_wall_ms += 500
    elif start != "same":
        born_wall_ms = int(start)
    is_same = born_wall_ms == report.life.born_wall_ms
    return msgspec.structs.replace(
        report,
        life=specs.WorkerIncarnation(
            "other" if who == "other" else name, born_wall_ms
        ),
        service="unnamed" if service == "unnamed" else report.service,
        number=2**52 if is_far else report.number if is_same else 1,
        running=(),
        ends=(),
    )


@when('another writer reports "{name}" with {change}')
def report_other(context, name, change):
    context.answer = context.sim.call(_build_report(context, name, change))


@given(
    'a worker "{name}" of the same instance with start {start:d} has reported'
    " alone"
)
def report_before(context, name, start):
    sound = context.sim.workers["w0"]
    context.sim.start_leader()
    report = sound.make_report(context.sim.now_ms)
    life = specs.WorkerIncarnation(name, start)
    odd = msgspec.structs.replace(report, life=life, running=(), ends=())
    answer = context.sim.call(odd)
    assert isinstance(answer, calls.WorkerOrders), answer


@when('another writer says that "{name}" with start {start} has left')
def leave_other(context, name, start):
    born_wall_ms = context.sim.workers[name].born_wall_ms
    born_wall_ms = born_wall_ms + 500 if start == "later" else int(start)
    context.answer = context.sim.call(calls.WorkerLeft(name, born_wall_ms))


def _check_known(context, name):
    worker = context.sim.workers[name]
    found = context.sim.scheduler.term.workers.by_id.get(name)
    assert found is not None, name
    assert found.incarnation.born_wall_ms == worker.born_wall_ms, found
    assert found.report.service == worker.service, found
    assert context.sim.now_ms - found.last_report_ms <= 1_000, found


@then('worker "{name}" is known to the leader')
def check_known(context, name):
    _check_known(context, name)


@then('worker "{name}" is known to the leader and {count:d} runs have started')
def check_known_and_started(context, name, count):
    _check_known(context, name)
    assert len(context.sim.starts) == count, context.sim.starts


@then("no guarantee but that of the replaced runs was violated")
def check_other_guarantees(context):
    # Nothing tells such a report from that of a restarted worker, whose runs
    # have ended.
    found = context.sim.violations
    assert all("two runs at the same time" in text for text in found), found
    replaced = {text.partition(" has two")[0] for text in found}
    assert len(replaced) == len(found) <= 3, found
