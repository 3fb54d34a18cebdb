"""Steps for the explanation of a job's course."""

from behave import given
from behave import then

from bambookeel.tools import explain_job
from bambookeel.tools import log_lines
from bambookeel.tools import loss_spans


@given("these lines of a log")
def read_lines(context):
    lines = [line.strip() for line in context.text.splitlines()]
    events, found = log_lines.parse_lines(lines, "log")
    assert not found, found
    context.events = log_lines.merge_events([events])


@then('job "{job}" is explained as "{summary}"')
def check_summary(context, job, summary):
    explanation = explain_job.build_explanation(context.events, job)
    assert explanation.summary == summary, explanation.summary


@then('the low-margin span of job "{job}" is described as "{text}"')
def check_spans(context, job, text):
    explanation = explain_job.build_explanation(context.events, job)
    start_ms = explanation.events[0].stamp.wall_ms
    described = [
        loss_spans.describe_span(s, start_ms) for s in explanation.spans
    ]
    assert described == [text], described
