"""`bambookeel timeline FILE...`: shows the events of all processes in order.

Log files are merged by their hybrid logical timestamps and filtered. The
timeline is printed as text or written to a self-contained SVG or HTML file.
"""

import pathlib
import sys

from absl import flags

from bambookeel.tools import log_lines
from bambookeel.tools import loss_spans
from bambookeel.tools import timeline_page

EXIT_OK = 0
EXIT_BAD_INPUT = 2

_MATCH = flags.DEFINE_multi_string(
    "match",
    [],
    "Show only events with a field of this value: a request, command, resource,"
    " team, instance or service. May be repeated.",
)
_PROCESS = flags.DEFINE_multi_string(
    "process", [], "Show only events of this process. May be repeated."
)
_EVENT = flags.DEFINE_multi_string(
    "event", [], "Show only events of this name. May be repeated."
)
_FROM_MS = flags.DEFINE_integer(
    "from_ms", 0, "Earliest time, ms since the Unix epoch."
)
_TO_MS = flags.DEFINE_integer(
    "to_ms", 0, "Latest time, ms since the Unix epoch; 0 for none."
)
_DRAW = flags.DEFINE_string(
    "draw", "", "Write the drawing to this .svg or .html file."
)


def main(arguments: list[str]) -> int:
    """Runs the subcommand.

    Args:
        arguments: Names of log files.

    Returns:
        The exit status: 0; 2 if there is no file or one cannot be read.
    """
    if not arguments:
        print("timeline: name at least one log file", file=sys.stderr)
        return EXIT_BAD_INPUT
    files = []
    status = EXIT_OK
    for name in arguments:
        try:
            with open(name, encoding="utf-8", errors="replace") as lines:
                events, found = log_lines.parse_lines(lines, name)
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            status = EXIT_BAD_INPUT
            continue
        files.append(events)
        for fault in found:
            print(f"{fault.place}: {fault.message}", file=sys.stderr)
    event_filter = log_lines.EventFilter(
        tuple(_MATCH.value),
        tuple(_PROCESS.value),
        tuple(_EVENT.value),
        _FROM_MS.value,
        _TO_MS.value,
    )
    merged = log_lines.merge_events(files)
    selected = log_lines.filter_events(merged, event_filter)
    _write_output(selected, loss_spans.find_overlapping_spans(merged, selected))
    return status


def _write_output(
    events: list[log_lines.LogEvent], spans: list[loss_spans.LowMarginSpan]
) -> None:
    """Prints the timeline, or writes the drawing if a file is given for it.

    Args:
        events: Events in order.
        spans: Spans in which the voters' margin was lower than promised.
    """
    if not _DRAW.value:
        for line in timeline_page.render_text(events, spans):
            print(line)
        return
    render = timeline_page.render_page
    if _DRAW.value.endswith(".svg"):
        render = timeline_page.render_svg
    pathlib.Path(_DRAW.value).write_text(
        render(events, spans), encoding="utf-8"
    )
