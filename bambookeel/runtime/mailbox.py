"""Bounded mailboxes, through which tasks exchange messages.

A task owns its state and reads from one mailbox; other tasks only put messages
into that mailbox. A full mailbox rejects a message, and the sender decides how
to handle that.
"""

import typing

import gevent.queue

DEFAULT_BOUND = 20_000


class Mailbox:
    """A bounded queue of messages with a single reader."""

    def __init__(self, name: str, bound: int = DEFAULT_BOUND) -> None:
        self.name = name
        self._queue: gevent.queue.Queue = gevent.queue.Queue(maxsize=bound)

    def put(self, message: typing.Any) -> bool:
        """Adds a message without waiting.

        Args:
            message: Any message that the reader can handle.

        Returns:
            Whether the message was added; False if the mailbox is full.
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
        """Waits for the next message, but not longer than a timeout.

        Args:
            timeout_s: Longest wait in seconds.

        Returns:
            The oldest message, or None if none arrived in time.
        """
        try:
            return self._queue.get(timeout=timeout_s)
        except gevent.queue.Empty:
            return None

    def get_depth(self) -> int:
        """Counts the messages in the mailbox.

        Returns:
            The number of messages that have not been read.
        """
        return self._queue.qsize()
