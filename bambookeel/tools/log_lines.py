"""Reads the lines that `runtime.logs` writes.

Takes log files of any processes and gives their events in the order of their
hybrid logical stamps, with a fault for each line that is no event.
"""

from collections.abc import Iterable
import dataclasses
import json
import re

from bambookeel.core import clocks
from bambookeel.core import faults

_PAIR = re.compile(r'([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_STAMP = re.compile(r"^(\d+)\.(\d+)$")
# Faults that are reported for one file.
_MAX_FAULTS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One event of one process.

    Attributes:
        stamp: When it happened, in hybrid logical time.
        process: The process.
        name: The event's name.
        fields: All further pairs, in the order of the line.
    """

    stamp: clocks.Stamp
    process: str
    name: str
    fields: dict[str, str]


def parse_line(line: str) -> LogEvent | None:
    """Parses one line.

    Args:
        line: The line.

    Returns:
        The event, or None when the line is none.
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
        place: The file's name, for faults.

    Returns:
        The events in the order of the lines, and the faults.
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
        All events by stamp, then by process.
    """
    merged = [event for events in files for event in events]
    merged.sort(key=lambda event: (event.stamp, event.process))
    return merged


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Which events of a time line are event_filter; empty means any.

    Attributes:
        values: Values of which at least one must be in some field; a request,
            command, resource, team, instance or service.
        processes: Processes.
        names: Names of events.
        from_ms: Earliest wall-clock time in ms since the Unix epoch.
        to_ms: Latest such time; 0 for none.
    """

    values: tuple[str, ...] = ()
    processes: tuple[str, ...] = ()
    names: tuple[str, ...] = ()
    from_ms: int = 0
    to_ms: int = 0


def _has_value(event: LogEvent, values: tuple[str, ...]) -> bool:
    for value in event.fields.values():
        # A resource may be named with its kind, as in `instance/NAME`.
        name = value.rpartition("/")[2]
        if value in values or name in values:
            return True
    return False


def filter_events(
    events: list[LogEvent], event_filter: EventFilter
) -> list[LogEvent]:
    """Keeps the event_filter events.

    Args:
        events: Events in order.
        event_filter: What is event_filter.

    Returns:
        The event_filter events in the same order.
    """
    kept = []
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
        kept.append(event)
    return kept
