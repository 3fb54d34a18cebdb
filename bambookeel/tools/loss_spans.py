"""When the voters bore fewer losses than promised, from the leaders' lines.

Each leader knows only its own term; over the logs of all processes a span goes
on from one leader to the next. Lines of a leader that a newer one has followed
count no more.
"""

from collections.abc import Iterable
import dataclasses

from bambookeel.tools import log_lines

LINE = "loss_margin"


@dataclasses.dataclass(frozen=True, slots=True)
class LowMarginSpan:
    """One time with fewer losses borne than promised.

    Attributes:
        from_ms: Its begin, wall-clock time in ms since the Unix epoch.
        to_ms: Its end; None if it lasts to the end of the logs.
        lowest: Fewest losses borne in it.
        promised: Losses to be borne.
        silent: Voters that were silent, in the order of the lines.
    """

    from_ms: int
    to_ms: int | None
    lowest: int
    promised: int
    silent: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Margin:
    at_ms: int
    term: int
    borne: int
    promised: int
    silent: tuple[str, ...]


def _read_margin(event: log_lines.LogEvent) -> _Margin | None:
    fields = event.fields
    try:
        term = int(fields["term"])
        borne = int(fields["margin"])
        promised = int(fields["promised"])
        held_ms = int(fields.get("held_ms", "0"))
    except (KeyError, ValueError):
        return None
    silent = fields.get("silent", "none")
    names = () if silent == "none" else tuple(silent.split(","))
    at_ms = event.stamp.wall_ms - held_ms
    return _Margin(at_ms, term, borne, promised, names)


def find_spans(events: Iterable[log_lines.LogEvent]) -> list[LowMarginSpan]:
    """Finds the times with fewer losses borne than promised.

    Args:
        events: Events of all processes, in order.

    Returns:
        The spans, in order.
    """
    spans = []
    begun: LowMarginSpan | None = None
    newest_term = 0
    for event in events:
        margin = _read_margin(event) if event.name == LINE else None
        if margin is None or margin.term < newest_term:
            continue
        newest_term = margin.term
        if margin.borne < margin.promised:
            begun = _extend(begun, margin)
            continue
        if begun is not None:
            spans.append(dataclasses.replace(begun, to_ms=margin.at_ms))
            begun = None
    if begun is not None:
        spans.append(begun)
    return spans


def _extend(begun: LowMarginSpan | None, margin: _Margin) -> LowMarginSpan:
    if begun is None:
        return LowMarginSpan(
            margin.at_ms, None, margin.borne, margin.promised, margin.silent
        )
    names = dict.fromkeys((*begun.silent, *margin.silent))
    return LowMarginSpan(
        begun.from_ms,
        None,
        min(begun.lowest, margin.borne),
        margin.promised,
        tuple(names),
    )


def find_overlapping_spans(
    events: Iterable[log_lines.LogEvent], kept: list[log_lines.LogEvent]
) -> list[LowMarginSpan]:
    """Finds the spans that overlap the time of some events.

    Args:
        events: Events of all processes, in order.
        kept: The events whose time matters, in order.

    Returns:
        The spans, as they are.
    """
    if not kept:
        return []
    from_ms, to_ms = kept[0].stamp.wall_ms, kept[-1].stamp.wall_ms
    found = []
    for span in find_spans(events):
        if span.from_ms > to_ms:
            continue
        if span.to_ms is not None and span.to_ms < from_ms:
            continue
        found.append(span)
    return found


def describe_span(span: LowMarginSpan, start_ms: int) -> str:
    """Describes a span in one sentence.

    Args:
        span: The span.
        start_ms: Begin of the time line.

    Returns:
        The sentence.
    """
    begun_s = (span.from_ms - start_ms) / 1000.0
    text = f"from {begun_s:.3f}s on"
    if span.to_ms is not None:
        lasted_s = (span.to_ms - span.from_ms) / 1000.0
        text = f"from {begun_s:.3f}s for {lasted_s:.3f}s"
    text += (
        f" the voters bore {span.lowest} of {span.promised} promised losses"
        " at the least"
    )
    if span.silent:
        text += f"; silent: {', '.join(span.silent)}"
    return text
