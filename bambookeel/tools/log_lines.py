"""Parses, merges and filters the log lines that `runtime.logs` writes.

The events of several processes are ordered by their hybrid logical timestamps.
Lines that are not events are reported as faults.
"""

from collections.abc import Iterable
import dataclasses
import json
import re

from bambookeel.core import clocks
from bambookeel.core import faults

_PAIR = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_STAMP = re.compile(r"^(\d+)\.(\d+)$")
# Maximum number of faults that are reported for one file.
_MAX_FAULTS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """An event that a process has logged.

    Attributes:
        stamp: Hybrid logical timestamp of the event.
        process: Id of the process; empty if the line has none.
        name: Name of the event.
        fields: The other pairs of key and value, in the order of the line.
    """

    stamp: clocks.Stamp
    process: str
    name: str
    fields: dict[str, str]


def parse_line(line: str) -> LogEvent | None:
    """Parses one log line.

    Args:
        line: Text of the line.

    Returns:
        The event, or None if the line is not an event.
    """
    fields: dict[str, str] = {}
    for key, text in _PAIR.findall(line):
        if not text.startswith('"'):
            fields[key] = text
            continue
        try:
            fields[key] = json.loads(text)
        except ValueError:
            return None
    stamp = _STAMP.match(fields.pop("at", ""))
    name = fields.pop("event", "")
    if stamp is None or not name:
        return None
    at = clocks.Stamp(int(stamp.group(1)), int(stamp.group(2)))
    return LogEvent(at, fields.pop("process", ""), name, fields)


def parse_lines(
    lines: Iterable[str], place: str
) -> tuple[list[LogEvent], list[faults.Fault]]:
    """Parses the lines of one file.

    Args:
        lines: The lines.
        place: Name of the file, for the places of faults.

    Returns:
        The events in the order of the lines, and the faults of the other
        lines.
    """
    events = []
    found: list[faults.Fault] = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        event = parse_line(line)
        if event is not None:
            events.append(event)
            continue
        if len(found) < _MAX_FAULTS:
            message = f"not an event: {line.strip()[:80]!r}"
            found.append(faults.Fault(f"{place}:{number}", message))
    return events, found


def merge_events(files: Iterable[list[LogEvent]]) -> list[LogEvent]:
    """Merges the events of several processes.

    Args:
        files: The events of each file.

    Returns:
        All events, sorted by timestamp and then by process.
    """
    merged = [event for events in files for event in events]
    merged.sort(key=lambda event: (event.stamp, event.process))
    return merged


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Conditions that an event must meet; an empty one is always met.

    Attributes:
        values: The event must have a field with one of these values, such as
            the id of a request or command, or the name of a resource, team,
            instance or service.
        processes: The event must come from one of these processes.
        names: The event must have one of these names.
        from_ms: Earliest wall-clock time in ms since the Unix epoch.
        to_ms: Latest wall-clock time in ms since the Unix epoch; 0 for none.
    """

    values: tuple[str, ...] = ()
    processes: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    from_ms: int = 0
    to_ms: int = 0


def _has_value(event: LogEvent, values: tuple[str, ...]) -> bool:
    for value in event.fields.values():
        # The value may be prefixed with a resource's kind: `instance/NAME`.
        name = value.rpartition("/")[2]
        if value in values or name in values:
            return True
    return False


def filter_events(
    events: list[LogEvent], event_filter: EventFilter
) -> list[LogEvent]:
    """Selects the events that meet all conditions of a filter.

    Args:
        events: Events in order.
        event_filter: The conditions.

    Returns:
        The selected events in the same order.
    """
    selected = []
    for event in events:
        if (
            event_filter.processes
            and event.process not in event_filter.processes
        ):
            continue
        if event_filter.names and event.name not in event_filter.names:
            continue
        if event.stamp.wall_ms < event_filter.from_ms:
            continue
        if event_filter.to_ms and event.stamp.wall_ms > event_filter.to_ms:
            continue
        if event_filter.values and not _has_value(event, event_filter.values):
            continue
        selected.append(event)
    return selected
