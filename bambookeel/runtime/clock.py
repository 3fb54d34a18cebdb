"""The process's clocks: the only place that reads time.

Decisions take `now_ms` as an argument; daemons get it here. `now_ms` comes from
a steady clock that counts suspended time, since a lease that is measured on one
that does not outlives its end. It is never compared between processes;
`HybridClock` gives the stamps of logs and frames.
"""

import time

from bambookeel.core import clocks


def read_now_ms() -> int:
    """Reads the steady clock, which also counts suspended time.

    Returns:
        Milliseconds from an arbitrary start.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_wall_ms() -> int:
    """Reads the wall clock.

    Returns:
        Milliseconds since the Unix epoch.
    """
    return time.time_ns() // 1_000_000


class HybridClock:
    """Holds the process's last hybrid logical stamp."""

    def __init__(self) -> None:
        self._last = clocks.Stamp(0, 0)

    def tick(self) -> clocks.Stamp:
        """Stamps a local event.

        Returns:
            A stamp larger than all before it.
        """
        self._last = clocks.tick_stamp(self._last, read_wall_ms())
        return self._last

    def observe(self, packed: int) -> None:
        """Takes in the stamp of a received frame.

        Args:
            packed: The stamp as `clocks.encode_stamp` packed it.
        """
        received = clocks.decode_stamp(packed)
        self._last = clocks.merge_stamp(self._last, received, read_wall_ms())


# One process has one clock; logs and links share it.
PROCESS_CLOCK = HybridClock()
