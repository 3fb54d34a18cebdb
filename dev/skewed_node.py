"""Runs a node whose wall clock is wrong by what a file says.

Stands in for a clock that jumps: the file holds the offset in milliseconds and
is read again ten times a second.
"""

import os
import pathlib
import runpy
import sys
import time

from bambookeel.runtime import clock

_OFFSET_FILE = pathlib.Path(os.environ["SOAK_CLOCK_OFFSET_FILE"])
_READ_EVERY_S = 0.1


class _SkewedClock:
    """A wall clock with an offset."""

    def __init__(self) -> None:
        self._offset_ms = 0
        self._read_at_s = 0.0

    def read_wall_ms(self) -> int:
        """Reads the clock.

        Returns:
            Milliseconds since the Unix epoch, plus the offset.
        """
        if time.monotonic() - self._read_at_s > _READ_EVERY_S:
            self._read_at_s = time.monotonic()
            self._offset_ms = int(_OFFSET_FILE.read_text(encoding="utf-8"))
        return time.time_ns() // 1_000_000 + self._offset_ms


if __name__ == "__main__":
    clock.read_wall_ms = _SkewedClock().read_wall_ms
    folder = pathlib.Path(__file__).resolve().parent.parent / "platform"
    # As the interpreter does for a script that it starts itself.
    sys.path.insert(0, str(folder))
    runpy.run_path(str(folder / "start.py"), run_name="__main__")
