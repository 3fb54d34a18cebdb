"""Structured logs: one line of key=value pairs for each event.

Eliot builds the events; this module renders each as one line with a hybrid
logical stamp and the process's identity, and writes it to one stream. Values
with blanks or quotes are JSON strings, so that `tools.timeline` reads the line
back without loss.
"""

import json
import re
import sys
import typing

import eliot

from bambookeel.core import ids
from bambookeel.runtime import clock

# Eliot's own fields that the line does not repeat.
_OMITTED = frozenset(
    ("timestamp", "task_uuid", "task_level", "message_type", "action_type")
)
_PLAIN_VALUE = re.compile(r"^[A-Za-z0-9_.:/@+-]+$")


class LineStream(typing.Protocol):
    """Where log lines go."""

    def write(self, text: str, /) -> typing.Any:
        """Writes a line."""

    def flush(self) -> None:
        """Makes sure that it is on its way."""


def render_value(value: typing.Any) -> str:
    """Renders one value of a log line.

    Args:
        value: Any value; strings stay bare where they are plain.

    Returns:
        Text without blanks outside of quotes.
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
        event: The fields of an eliot message.

    Returns:
        The line without its end, `event=` first after the stamp.
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
    """Sends this process's events to a stream.

    Args:
        process_id: Put on every line as `process`.
        data_centre: Put on every line as `data_centre`.
        stream: Where lines go.
    """

    def write_event(event: dict[str, typing.Any]) -> None:
        stream.write(render_line(event) + "\n")
        stream.flush()

    eliot.add_global_fields(process=process_id, data_centre=data_centre)
    eliot.add_destinations(write_event)


def log_event(event: str, **fields: typing.Any) -> None:
    """Logs one event.

    Args:
        event: Its name, such as `link_up`.
        **fields: Named values; durations carry `_ms` in their names.
    """
    eliot.log_message(message_type=event, **fields)
