"""When the voters bore fewer losses than promised, from the leaders' lines.

Each leader knows only its own term; over the logs of all processes a span goes
on from one leader to the next. Lines of a leader that a newer one has followed
count no more.
"""

from collections.abc import Iterable
import dataclasses

from bambookeel.tools import log_lines

EVENT_NAME = "loss_margin"


@dataclasses.dataclass(frozen=True, slots=True)
class LowMarginSpan:
    """One time with fewer losses borne than promised.

    Attributes:
        from_ms: Its begin, wall-clock time in ms since the Unix epoch.
        to_ms: Its end; None if it lasts to the end of the logs.
        lowest_margin: Fewest losses borne in it.
        promised: Losses to be borne.
        silent: Voters that were silent, in the order of the lines.
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
    """Finds the times with fewer losses borne than promised.

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
    events: Iterable[log_lines.LogEvent], kept_events: list[log_lines.LogEvent]
) -> list[LowMarginSpan]:
    """Finds the spans that overlap the time of some events.

    Args:
        events: Events of all processes, in order.
        kept_events: The events whose time matters, in order.

    Returns:
        The spans, as they are.
    """
    if not kept_events:
        return []
    from_ms, to_ms = kept_events[0].stamp.wall_ms, kept_events[-1].stamp.wall_ms
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
        span: The span.
        start_ms: Begin of the time line.

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
