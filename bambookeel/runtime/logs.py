"""Structured logs: one line of key=value pairs for each event.

Eliot builds the events. This module renders each event as a line with a hybrid
logical stamp and the process's identity, and writes all lines to one stream.
Values with blanks or quotes are written as JSON strings, so that
`tools.timeline` can parse the line without loss.
"""

import json
import re
import sys
import typing

import eliot

from bambookeel.core import ids
from bambookeel.runtime import clock

# Eliot's own fields, which are left out of the line.
_OMITTED = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "action_type")
)
_PLAIN_VALUE = re.compile(r"^[A-Za-z0-9_.:/@+-]+$")


class LineStream(typing.Protocol):
    """A stream to which log lines are written."""

    def write(self, text: str, /) -> typing.Any:
        """Writes a line."""

    def flush(self) -> None:
        """Writes out any buffered lines."""


def render_value(value: typing.Any) -> str:
    """Renders one value of a log line.

    Args:
        value: Any value.

    Returns:
        The value as text; quoted if it contains blanks or other special
        characters.
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    text = value if isinstance(value, str) else str(value)
    if _PLAIN_VALUE.match(text):
        return text
    return json.dumps(text)


def render_line(event: dict[str, typing.Any]) -> str:
    """Renders one event as a line.

    Args:
        event: Fields of an Eliot message.

    Returns:
        The line without a line end: the stamp, `event=`, then the other fields.
    """
    stamp = clock.PROCESS_CLOCK.tick()
    name = event.get("message_type") or event.get("action_type") or "event"
    pairs = [f"at={stamp.wall_ms}.{stamp.logical:05d}", f"event={name}"]
    for key, value in event.items():
        if key in _OMITTED:
            continue
        pairs.append(f"{key}={render_value(value)}")
    return " ".join(pairs)


def set_up_logs(
    process_id: ids.ProcessId,
    data_centre: ids.DataCentre,
    stream: LineStream = sys.stderr,
) -> None:
    """Configures logging of this process's events to a stream.

    Args:
        process_id: Value of the field `process` of every line.
        data_centre: Value of the field `data_centre` of every line.
        stream: Stream to which the lines are written.
    """

    def write_event(event: dict[str, typing.Any]) -> None:
        stream.write(render_line(event) + "\n")
        stream.flush()

    eliot.add_global_fields(process=process_id, data_centre=data_centre)
    eliot.add_destinations(write_event)


def log_event(event: str, **fields: typing.Any) -> None:
    """Logs one event.

    Args:
        event: Name of the event, such as `link_up`.
        **fields: Values by name; names of durations end with `_ms`.
    """
    eliot.log_message(message_type=event, **fields)
