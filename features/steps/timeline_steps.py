"""Steps for the timeline."""

import pathlib
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.runtime import logs
from bambookeel.tools import log_lines
from bambookeel.tools import loss_spans
from bambookeel.tools import timeline_page


@given('log lines of "{process}"')
def read_lines(context, process):
    if not hasattr(context, "files"):
        context.files = []
        context.line_faults = []
    context.log_text = context.text
    events, found = log_lines.parse_lines(context.text.splitlines(), process)
    context.files.append(events)
    context.line_faults.extend(found)


@when('the timeline is filtered by "{value}"')
def filter_timeline(context, value):
    merged = log_lines.merge_events(context.files)
    context.events = log_lines.filter_events(
        merged, log_lines.EventFilter(values=(value,))
    )


@then('its events are "{names}"')
def check_names(context, names):
    found = ", ".join(event.name for event in context.events)
    assert found == names, found


@then("one line is reported as not an event")
def check_line_faults(context):
    places = [fault.place for fault in context.line_faults]
    assert places == ["entry-1:3"], places


@then("the page is self-contained and names both processes")
def check_page(context):
    page = timeline_page.render_page(context.events)
    assert "entry-0" in page and "entry-1" in page
    assert "src=" not in page and "href=" not in page


@then("any field values are read back unchanged from a log line")
def check_values(context):
    values = strategies.one_of(strategies.text(), strategies.integers())

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(["team", "detail", "count"]), values
        )
    )
    def check(fields):
        event = {"message_type": "sample", "process": "p", **fields}
        parsed = log_lines.parse_line(logs.render_line(event))
        assert parsed is not None and parsed.name == "sample"
        assert parsed.fields == {k: str(v) for k, v in fields.items()}, parsed

    check()


@when("the timeline is drawn")
def draw_timeline(context):
    events = log_lines.merge_events(context.files)
    spans = loss_spans.find_spans(events)
    context.lines = timeline_page.render_text(events, spans)[len(events) :]
    context.page = timeline_page.render_page(events, spans)


@then("the printed timeline ends with these sentences")
def check_sentences(context):
    assert context.lines == context.text.splitlines(), context.lines


@then("the drawing has {count:d} bands")
def check_bands(context, count):
    assert context.page.count("<rect ") == count, context.page


@when('the timeline of job "{job}" is printed by the command')
def print_timeline(context, job):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "node.log"
        path.write_text(context.log_text, encoding="utf-8")
        code = "from bambookeel.tools import cli; cli.main()"
        done = subprocess.run(
            [sys.executable, "-c", code, "timeline", f"--match={job}", path],
            capture_output=True,
            text=True,
            check=True,
        )
    context.printed = done.stdout.splitlines()


@then('the command\'s last line is "{line}"')
def check_last_line(context, line):
    assert context.printed[-1] == line, context.printed
    assert len(context.printed) == 3, context.printed
