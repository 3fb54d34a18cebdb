"""Hybrid logical clock stamps.

Events of several processes are ordered by these stamps: a stamp follows the
wall clock, yet is always larger than every stamp that the process has sent or
received before. Pure steps; the caller brings the wall clock's reading.
"""

import dataclasses

# The low bits count events within one millisecond.
LOGICAL_BITS = 16
_LOGICAL_LIMIT = 1 << LOGICAL_BITS


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """A point in hybrid logical time.

    Attributes:
        wall_ms: Milliseconds since the Unix epoch, or ahead of it.
        logical: Counter within the millisecond.
    """

    wall_ms: int
    logical: int


def tick_stamp(last: Stamp, wall_ms: int) -> Stamp:
    """Gives the stamp of a new local event.

    Args:
        last: The process's last stamp.
        wall_ms: The wall clock's reading.

    Returns:
        A stamp larger than `last`.
    """
    if wall_ms > last.wall_ms:
        return Stamp(wall_ms, 0)
    if last.logical + 1 < _LOGICAL_LIMIT:
        return Stamp(last.wall_ms, last.logical + 1)
    return Stamp(last.wall_ms + 1, 0)


def merge_stamp(last: Stamp, received: Stamp, wall_ms: int) -> Stamp:
    """Gives the stamp of the receipt of a message.

    Args:
        last: The process's last stamp.
        received: The stamp that came with the message.
        wall_ms: The wall clock's reading.

    Returns:
        A stamp larger than both `last` and `received`.
    """
    return tick_stamp(max(last, received), wall_ms)


def encode_stamp(stamp: Stamp) -> int:
    """Packs a stamp into one integer of 64 bits that orders like it.

    Args:
        stamp: The stamp.

    Returns:
        The packed integer.
    """
    return (stamp.wall_ms << LOGICAL_BITS) | stamp.logical


def decode_stamp(packed: int) -> Stamp:
    """Unpacks what `encode_stamp` gave.

    Args:
        packed: The packed integer.

    Returns:
        The stamp.
    """
    return Stamp(packed >> LOGICAL_BITS, packed & (_LOGICAL_LIMIT - 1))
