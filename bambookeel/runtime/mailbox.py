"""Bounded mailboxes, through which tasks talk.

A task owns its state and reads one mailbox; everybody else only puts messages
into it. A full mailbox refuses, and the sender decides what that means.
"""

import typing

import gevent.queue

DEFAULT_BOUND = 20_000


class Mailbox:
    """A bounded queue of messages with one reader."""

    def __init__(self, name: str, bound: int = DEFAULT_BOUND) -> None:
        self.name = name
        self._queue: gevent.queue.Queue = gevent.queue.Queue(maxsize=bound)

    def put(self, message: typing.Any) -> bool:
        """Adds a message without waiting.

        Args:
            message: Any message that the reader knows.

        Returns:
            Whether there was room.
        """
        try:
            self._queue.put_nowait(message)
        except gevent.queue.Full:
            return False
        return True

    def get(self) -> typing.Any:
        """Waits for the next message.

        Returns:
            The oldest message.
        """
        return self._queue.get()

    def get_with_timeout(self, timeout_s: float) -> typing.Any:
        """Waits a bounded time for the next message.

        Args:
            timeout_s: How long to wait.

        Returns:
            The oldest message, or None when none has come.
        """
        try:
            return self._queue.get(timeout=timeout_s)
        except gevent.queue.Empty:
            return None

    def get_depth(self) -> int:
        """Counts waiting messages.

        Returns:
            The number of messages in the mailbox.
        """
        return self._queue.qsize()
