"""Steps for settings files."""

from behave import then
from behave import when
from returns import result

from bambookeel.core import settings
from bambookeel.runtime import settings_file


@when("entry settings are parsed from")
def parse_entry_settings(context):
    context.parsed = settings_file.parse_settings(
        context.text, settings.EntrySettings
    )


@then("the settings are accepted")
def check_accepted(context):
    assert isinstance(context.parsed, result.Success), context.parsed


@then("faults are reported at")
def check_faults(context):
    found = sorted(fault.place for fault in context.parsed.failure())
    assert found == sorted(row["place"] for row in context.table), found
