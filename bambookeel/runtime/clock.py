"""The process's clocks: the only module that reads the time.

Code that makes decisions takes `now_ms` as an argument; daemons read it here.
`now_ms` is the time of a monotonic clock that includes suspended time: on a
clock that stops during a suspension, a lease would last beyond its end. Its
values are never compared between processes. `HybridClock` makes the stamps of
log lines and frames.
"""

import time

from bambookeel.core import clocks


def read_now_ms() -> int:
    """Reads the monotonic clock, which includes suspended time.

    Returns:
        Milliseconds since an arbitrary start.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def read_wall_ms() -> int:
    """Reads the wall clock.

    Returns:
        Milliseconds since the Unix epoch.
    """
    return time.time_ns() // 1_000_000


class HybridClock:
    """A hybrid logical clock, which keeps the last stamp of the process."""

    def __init__(self) -> None:
        self._last = clocks.Stamp(0, 0)

    def tick(self) -> clocks.Stamp:
        """Stamps a local event.

        Returns:
            A stamp larger than all earlier ones.
        """
        self._last = clocks.tick_stamp(self._last, read_wall_ms())
        return self._last

    def observe(self, encoded: int) -> None:
        """Advances the clock beyond the stamp of a received frame.

        Args:
            encoded: The stamp, encoded by `clocks.encode_stamp`.
        """
        received = clocks.decode_stamp(encoded)
        self._last = clocks.merge_stamp(self._last, received, read_wall_ms())


# The only clock of the process, shared by logs and links.
PROCESS_CLOCK = HybridClock()
