"""Writes log lines to a file descriptor without blocking on its reader.

Lines that cannot be written at once are kept in a bounded queue. When the queue
is full, new lines are dropped and counted; once the queue has been written, one
line reports how many were dropped.
"""

from collections import deque
import fcntl
import os

import gevent

# Most bytes in the queue; a busy leader logs this much in about a minute.
MAX_QUEUED_BYTES = 4 * 1024 * 1024
_RETRY_S = 0.05


class LogStream:
    """A non-blocking stream of lines to a file descriptor."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped = 0
        self._is_flushing = False
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text: str) -> None:
        """Writes a line, or queues it, or drops it if the queue is full.

        Args:
            text: The line, including its line end.
        """
        line = text.encode()
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._dropped += 1
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        if not self._is_flushing and not self._write_queued():
            self._is_flushing = True
            gevent.spawn(self._flush_until_empty)

    def flush(self) -> None:
        """Does nothing: queued lines are written as soon as possible."""

    def _write_queued(self) -> bool:
        """Writes as many queued lines as possible without blocking.

        Returns:
            Whether the queue is empty now.
        """
        while self._queue:
            line = self._queue.popleft()
            self._queued_bytes -= len(line)
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                continue
            if written < len(line):
                self._queue.appendleft(line[written:])
                self._queued_bytes += len(line) - written
                return False
        if self._dropped:
            self._queue.append(
                f"event=log_lines_dropped count={self._dropped}\n".encode()
            )
            self._dropped = 0
            return self._write_queued()
        return True

    def _flush_until_empty(self) -> None:
        while not self._write_queued():
            gevent.sleep(_RETRY_S)
        self._is_flushing = False
