"""Hybrid logical clock stamps.

These stamps order the events of several processes. A stamp stays close to the
wall clock, but is always larger than every stamp that the process has sent or
received before. The functions are pure: the caller reads the wall clock.
"""

import dataclasses

# The low bits count events within one millisecond.
LOGICAL_BITS = 16
_LOGICAL_LIMIT = 1 << LOGICAL_BITS


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A point in hybrid logical time.

    Attributes:
        wall_ms: Milliseconds since the Unix epoch; may be ahead of the
            process's wall clock.
        logical: Counter of events within the millisecond.
    """

    wall_ms: int
    logical: int


def tick_stamp(last: Stamp, wall_ms: int) -> Stamp:
    """Computes the stamp of a new local event.

    Args:
        last: The process's last stamp.
        wall_ms: Wall-clock time in ms since the Unix epoch.

    Returns:
        A stamp larger than `last`.
    """
    if wall_ms > last.wall_ms:
        return Stamp(wall_ms, 0)
    if last.logical + 1 < _LOGICAL_LIMIT:
        return Stamp(last.wall_ms, last.logical + 1)
    return Stamp(last.wall_ms + 1, 0)


def merge_stamp(last: Stamp, received: Stamp, wall_ms: int) -> Stamp:
    """Computes the stamp for the receipt of a message.

    Args:
        last: The process's last stamp.
        received: The stamp in the message.
        wall_ms: Wall-clock time in ms since the Unix epoch.

    Returns:
        A stamp larger than both `last` and `received`.
    """
    return tick_stamp(max(last, received), wall_ms)


def encode_stamp(stamp: Stamp) -> int:
    """Encodes a stamp as one 64-bit integer.

    Args:
        stamp: The stamp to encode.

    Returns:
        An integer; integers compare in the same order as their stamps.
    """
    return (stamp.wall_ms << LOGICAL_BITS) | stamp.logical


def decode_stamp(encoded: int) -> Stamp:
    """Decodes a stamp.

    Args:
        encoded: An integer returned by `encode_stamp`.

    Returns:
        The stamp.
    """
    return Stamp(encoded >> LOGICAL_BITS, encoded & (_LOGICAL_LIMIT - 1))
