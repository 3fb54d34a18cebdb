"""Steps for explaining what became of a job."""

from behave import given
from behave import then

from bambookeel.tools import explain_job
from bambookeel.tools import log_lines


@given("these lines of a log")
def read_lines(context):
    lines = [line.strip() for line in context.text.splitlines()]
    events, found = log_lines.parse_lines(lines, "log")
    assert not found, found
    context.events = log_lines.merge_events([events])


@then('job "{job}" is explained as "{verdict}"')
def check_verdict(context, job, verdict):
    story = explain_job.tell_story(context.events, job)
    assert story.verdict == verdict, story.verdict
