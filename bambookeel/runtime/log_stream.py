"""Writes log lines to a descriptor without ever waiting for its reader.

Lines that the reader does not take at once wait in a bounded queue; when that
is full, new lines are dropped and counted, and the count is written as soon as
there is room again.
"""

from collections import deque
import fcntl
import os

import gevent

# Bytes that wait for the reader; about a minute of lines of a busy leader.
MAX_WAITING_BYTES = 4 * 1024 * 1024
_RETRY_S = 0.05


class LogStream:
    """A stream of lines on a descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped = 0
        self._is_flushing = False
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text: str) -> None:
        """Writes a line, or lets it wait, or drops it.

        Args:
            text: The line with its end.
        """
        line = text.encode()
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if not self._is_flushing and not self._write_waiting():
            self._is_flushing = True
            gevent.spawn(self._keep_flushing)

    def flush(self) -> None:
        """Does nothing: lines are written as soon as the reader takes them."""

    def _write_waiting(self) -> bool:
        """Writes what the reader takes now.

        Returns:
            Whether nothing waits any more.
        """
        while self._waiting:
            line = self._waiting.popleft()
            self._waiting_bytes -= len(line)
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody can be told that the log's reader is gone.
                continue
            if written < len(line):
                self._waiting.appendleft(line[written:])
                self._waiting_bytes += len(line) - written
                return False
        if self._dropped:
            self._waiting.append(
                f"event=log_lines_dropped count={self._dropped}\n".encode()
            )
            self._dropped = 0
            return self._write_waiting()
        return True

    def _keep_flushing(self) -> None:
        while not self._write_waiting():
            gevent.sleep(_RETRY_S)
        self._is_flushing = False
