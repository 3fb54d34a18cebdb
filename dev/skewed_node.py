"""Runs a node whose wall clock has an offset that a file gives.

This simulates a clock that jumps: the file holds the offset in milliseconds,
and is read again up to ten times per second.
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
    """A wall clock with a variable offset."""

    def __init__(self) -> None:
        self._offset_ms = 0
        self._read_at_s = 0.0

    def read_wall_ms(self) -> int:
        """Reads the machine's wall clock and adds the offset.

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
    # The interpreter adds a script's folder to the path; `runpy` does not.
    sys.path.insert(0, str(folder))
    runpy.run_path(str(folder / "start.py"), run_name="__main__")
