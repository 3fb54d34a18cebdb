"""Steps for the log stream."""

import os
import re

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.runtime import log_stream


@given("a log stream whose reader takes nothing")
def open_stream(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, context.reader)
    context.add_cleanup(os.close, writer)
    context.stream = log_stream.LogStream(writer)


@when("{count:d} lines of {size:d} bytes are written")
def write_lines(context, count, size):
    for _ in range(count):
        context.stream.write("x" * (size - 1) + "\n")


@then("at most {most:d} MB of them wait")
def check_queued(context, most):
    # pylint: disable-next=protected-access
    queued = sum(len(line) for line in context.stream._queue)
    assert 0 < queued <= most * 1024 * 1024, queued


@when("the reader takes everything")
def read_all(context):
    os.set_blocking(context.reader, False)
    parts = []
    idle = 0
    while idle < 20:
        gevent.sleep(0.06)
        try:
            part = os.read(context.reader, 1 << 20)
        except BlockingIOError:
            idle += 1
            continue
        idle = 0
        parts.append(part)
    context.log_text = b"".join(parts).decode()


@then("the last line tells how many were dropped")
def check_dropped(context):
    last = context.log_text.strip().splitlines()[-1]
    found = re.fullmatch(r"event=log_lines_dropped count=(\d+)", last)
    assert found and int(found[1]) > 0, last
