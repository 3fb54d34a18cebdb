"""Finds spans in which the voters could tolerate fewer losses than promised.

The spans are derived from the events `loss_margin`, which each leader logs for
its own term. A span may extend over the terms of several leaders. Events of a
term are ignored once an event of a newer term has been read.
"""

from collections.abc import Iterable
import dataclasses

from bambookeel.tools import log_lines

EVENT_NAME = "loss_margin"


@dataclasses.dataclass(frozen=True, slots=True)
class LowMarginSpan:
    """A span of time in which the margin was lower than promised.

    Attributes:
        from_ms: Start in ms since the Unix epoch, by the wall clock.
        to_ms: End in ms since the Unix epoch, by the wall clock; None if the
            span lasts to the end of the logs.
        lowest_margin: Lowest number of tolerated losses in the span.
        promised: Number of losses that the deployment is meant to tolerate.
        silent: Voters without a recent reply, in the order of the events.
    """

    from_ms: int
    to_ms: int | None
    lowest_margin: int
    promised: int
    silent: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _MarginLine:
    at_ms: int
    term: int
    margin: int
    promised: int
    silent: tuple[str, ...]


def _read_margin_line(event: log_lines.LogEvent) -> _MarginLine | None:
    fields = event.fields
    try:
        term = int(fields["term"])
        margin = int(fields["margin"])
        promised = int(fields["promised"])
        held_ms = int(fields.get("held_ms", "0"))
    except (KeyError, ValueError):
        return None
    silent = fields.get("silent", "none")
    names = () if silent == "none" else tuple(silent.split(","))
    at_ms = event.stamp.wall_ms - held_ms
    return _MarginLine(at_ms, term, margin, promised, names)


def find_spans(events: Iterable[log_lines.LogEvent]) -> list[LowMarginSpan]:
    """Finds the spans in which the margin was lower than promised.

    Args:
        events: Events of all processes, in order.

    Returns:
        The spans, in order.
    """
    spans = []
    open_span: LowMarginSpan | None = None
    newest_term = 0
    for event in events:
        line = _read_margin_line(event) if event.name == EVENT_NAME else None
        if line is None or line.term < newest_term:
            continue
        newest_term = line.term
        if line.margin < line.promised:
            open_span = _extend(open_span, line)
            continue
        if open_span is not None:
            spans.append(dataclasses.replace(open_span, to_ms=line.at_ms))
            open_span = None
    if open_span is not None:
        spans.append(open_span)
    return spans


def _extend(
    open_span: LowMarginSpan | None, line: _MarginLine
) -> LowMarginSpan:
    if open_span is None:
        return LowMarginSpan(
            line.at_ms, None, line.margin, line.promised, line.silent
        )
    names = dict.fromkeys((*open_span.silent, *line.silent))
    return LowMarginSpan(
        open_span.from_ms,
        None,
        min(open_span.lowest_margin, line.margin),
        line.promised,
        tuple(names),
    )


def find_overlapping_spans(
    events: Iterable[log_lines.LogEvent], selected: list[log_lines.LogEvent]
) -> list[LowMarginSpan]:
    """Finds the spans that overlap the time of the given events.

    Args:
        events: Events of all processes, in order.
        selected: The events whose time is covered, in order.

    Returns:
        The overlapping spans, not clipped to that time.
    """
    if not selected:
        return []
    from_ms, to_ms = selected[0].stamp.wall_ms, selected[-1].stamp.wall_ms
    overlapping = []
    for span in find_spans(events):
        if span.from_ms > to_ms:
            continue
        if span.to_ms is not None and span.to_ms < from_ms:
            continue
        overlapping.append(span)
    return overlapping


def describe_span(span: LowMarginSpan, start_ms: int) -> str:
    """Describes a span in one sentence.

    Args:
        span: The span to describe.
        start_ms: Start of the timeline in ms since the Unix epoch, from which
            times are counted.

    Returns:
        The sentence.
    """
    from_s = (span.from_ms - start_ms) / 1000.0
    text = f"from {from_s:.3f}s on"
    if span.to_ms is not None:
        duration_s = (span.to_ms - span.from_ms) / 1000.0
        text = f"from {from_s:.3f}s for {duration_s:.3f}s"
    text += (
        f" the voters bore {span.lowest_margin} of {span.promised} promised"
        " losses at the least"
    )
    if span.silent:
        text += f"; silent: {', '.join(span.silent)}"
    return text
