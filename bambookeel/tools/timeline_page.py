"""Renders a timeline as text, as an SVG drawing or as an HTML page.

The drawing has one lane for each process, a mark for each event with its fields
as a tooltip, and a coloured band for each span in which the voters could
tolerate fewer losses than promised. The page is self-contained and has the list
of events below the drawing.
"""

from collections.abc import Sequence
import html

from bambookeel.tools import log_lines
from bambookeel.tools import loss_spans

_WIDTH = 1_200
_LABEL_WIDTH = 160
_LANE_HEIGHT = 26
_TOP = 30
_TICKS = 8
# Colours of bands with a margin of 0, where the next loss of a voter would stop
# service, and of bands with a higher margin.
_ZERO_MARGIN_COLOUR = "#e8b0a8"
_LOW_MARGIN_COLOUR = "#f3e2b3"
_COLOURS = (
    "#1b6ca8",
    "#b5442e",
    "#3c7d3c",
    "#8253a8",
    "#a87b1b",
    "#2d8c8c",
    "#a83c6e",
    "#555555",
)


def render_text(
    events: list[log_lines.LogEvent],
    spans: Sequence[loss_spans.LowMarginSpan] = (),
) -> list[str]:
    """Renders events as lines of text.

    Args:
        events: Events in order.
        spans: Spans in which the voters' margin was lower than promised.

    Returns:
        One line for each event, with the time since the first event, the
        process, the name and the fields; then one line for each span.
    """
    if not events:
        return ["no events"]
    start_ms = events[0].stamp.wall_ms
    lines = []
    for event in events:
        since_ms = event.stamp.wall_ms - start_ms
        pairs = " ".join(f"{k}={v}" for k, v in event.fields.items())
        lines.append(
            f"{since_ms / 1000.0:10.3f}s {event.process:<14}"
            f" {event.name:<22} {pairs}".rstrip()
        )
    lines += [loss_spans.describe_span(span, start_ms) for span in spans]
    return lines


def _choose_colour(name: str) -> str:
    return _COLOURS[sum(name.encode()) % len(_COLOURS)]


def _render_lanes(processes: list[str], height: int) -> list[str]:
    parts = []
    for i, process in enumerate(processes):
        y = _TOP + i * _LANE_HEIGHT + _LANE_HEIGHT // 2
        label = html.escape(process)
        parts.append(f'<text x="4" y="{y + 4}">{label}</text>')
        parts.append(
            f'<line x1="{_LABEL_WIDTH}" x2="{_WIDTH}" y1="{y}" y2="{y}"'
            ' stroke="#cccccc"/>'
        )
    parts.append(
        f'<line x1="{_LABEL_WIDTH}" x2="{_LABEL_WIDTH}" y1="{_TOP}"'
        f' y2="{height}" stroke="#999999"/>'
    )
    return parts


def _render_ticks(duration_ms: int) -> list[str]:
    parts = []
    for i in range(_TICKS + 1):
        x = _LABEL_WIDTH + (_WIDTH - _LABEL_WIDTH - 40) * i / _TICKS
        at_s = duration_ms * i / _TICKS / 1000.0
        parts.append(f'<text x="{x:.0f}" y="16">{at_s:.2f} s</text>')
    return parts


def _render_bands(
    spans: Sequence[loss_spans.LowMarginSpan],
    start_ms: int,
    duration_ms: int,
    height: int,
) -> list[str]:
    parts = []
    for span in spans:
        band_end_ms = start_ms + duration_ms
        if span.to_ms is not None:
            band_end_ms = min(span.to_ms, band_end_ms)
        band_start_ms = max(span.from_ms, start_ms)
        scale = (_WIDTH - _LABEL_WIDTH - 40) / duration_ms
        x = _LABEL_WIDTH + (band_start_ms - start_ms) * scale
        width = max(1.0, (band_end_ms - band_start_ms) * scale)
        colour = (
            _LOW_MARGIN_COLOUR if span.lowest_margin else _ZERO_MARGIN_COLOUR
        )
        title = html.escape(loss_spans.describe_span(span, start_ms))
        parts.append(
            f'<rect x="{x:.1f}" y="{_TOP}" width="{width:.1f}"'
            f' height="{height - _TOP}" fill="{colour}">'
            f"<title>{title}</title></rect>"
        )
    return parts


def render_svg(
    events: list[log_lines.LogEvent],
    spans: Sequence[loss_spans.LowMarginSpan] = (),
) -> str:
    """Renders events as an SVG drawing with a lane for each process.

    Args:
        events: Events in order.
        spans: Spans in which the voters' margin was lower than promised.

    Returns:
        The SVG element.
    """
    processes = sorted({event.process for event in events})
    height = _TOP + len(processes) * _LANE_HEIGHT + 10
    start_ms = events[0].stamp.wall_ms if events else 0
    duration_ms = max(1, events[-1].stamp.wall_ms - start_ms) if events else 1
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}"'
        f' height="{height}" font-family="sans-serif" font-size="12">'
    ]
    parts.extend(_render_bands(spans, start_ms, duration_ms, height))
    parts.extend(_render_ticks(duration_ms))
    parts.extend(_render_lanes(processes, height))
    lanes = {process: i for i, process in enumerate(processes)}
    for event in events:
        fraction = (event.stamp.wall_ms - start_ms) / duration_ms
        x = _LABEL_WIDTH + (_WIDTH - _LABEL_WIDTH - 40) * fraction
        y = _TOP + lanes[event.process] * _LANE_HEIGHT + _LANE_HEIGHT // 2
        pairs = "\n".join(f"{k}={v}" for k, v in event.fields.items())
        title = html.escape(f"{event.name}\n{pairs}")
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y}" r="4"'
            f' fill="{_choose_colour(event.name)}" fill-opacity="0.7">'
            f"<title>{title}</title></circle>"
        )
    parts.append("</svg>")
    return "\n".join(parts)


def render_page(
    events: list[log_lines.LogEvent],
    spans: Sequence[loss_spans.LowMarginSpan] = (),
) -> str:
    """Renders events as an HTML page with the drawing and the list.

    Args:
        events: Events in order.
        spans: Spans in which the voters' margin was lower than promised.

    Returns:
        A complete HTML document without references to other files.
    """
    lines = html.escape("\n".join(render_text(events, spans)))
    return (
        "<!DOCTYPE html>\n<html><head><meta charset='utf-8'>"
        "<title>Time line</title></head><body>\n"
        f"{render_svg(events, spans)}\n<pre>{lines}</pre>\n</body></html>\n"
    )
