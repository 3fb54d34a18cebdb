"""Steps for the time line."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bambookeel.runtime import logs
from bambookeel.tools import log_lines
from bambookeel.tools import timeline_page


@given('log lines of "{process}"')
def read_lines(context, process):
    if not hasattr(context, "files"):
        context.files = []
        context.line_faults = []
    events, found = log_lines.parse_lines(context.text.splitlines(), process)
    context.files.append(events)
    context.line_faults.extend(found)


@when('the time line is filtered by "{word}"')
def filter_line(context, word):
    merged = log_lines.merge_events(context.files)
    context.events = log_lines.filter_events(
        merged, log_lines.EventFilter(words=(word,))
    )


@then('its events are "{names}"')
def check_names(context, names):
    found = ", ".join(event.name for event in context.events)
    assert found == names, found


@then("one line is reported as no event")
def check_line_faults(context):
    places = [fault.place for fault in context.line_faults]
    assert places == ["entry-1:3"], places


@then("the page is self-contained and names both processes")
def check_page(context):
    page = timeline_page.render_page(context.events)
    assert "entry-0" in page and "entry-1" in page
    assert "src=" not in page and "href=" not in page


@then("any field values survive a log line")
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
