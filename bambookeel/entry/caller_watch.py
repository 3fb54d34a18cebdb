"""Notices callers that go away while their request waits or runs.

One task looks at the connections of all waiting requests in turn. The end of a
caller's sending alone proves nothing, since a caller may close its own side and
still read. So an interim answer is sent: a caller that has gone answers it with
a reset, and one that still reads skips it, as HTTP/1.1 demands. A caller of
HTTP/1.0 knows no interim answers and counts as gone when it stops sending.
"""

from collections.abc import Callable
import dataclasses
import socket as plain_socket
import typing

import gevent

_PERIOD_S = 0.1
# The state of a dead connection in the kernel's TCP_INFO.
_TCP_CLOSE = 7
_INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"


def _do_nothing() -> None:
    """Does nothing."""


@dataclasses.dataclass(slots=True, eq=False)
class Caller:
    """The caller of one request.

    Attributes:
        sock: Its connection; None where nobody watches.
        supports_interim: Whether it understands interim answers.
        is_disconnected: Whether it has gone away.
        answer_started: Whether bytes of the answer have been sent to it.
        on_disconnect: Called once when it goes.
        was_probed: Whether the interim answer has been sent.
    """

    sock: typing.Any = None
    supports_interim: bool = True
    is_disconnected: bool = False
    answer_started: bool = False
    on_disconnect: Callable[[], None] = _do_nothing
    was_probed: bool = False

    def set_disconnect_callback(
        self, on_disconnect: Callable[[], None]
    ) -> None:
        """Sets what happens when the caller goes, or has gone already.

        Args:
            on_disconnect: The action; it must not block.
        """
        self.on_disconnect = on_disconnect
        if self.is_disconnected:
            on_disconnect()

    def mark_disconnected(self) -> None:
        """Notes that the caller has gone."""
        if self.is_disconnected:
            return
        self.is_disconnected = True
        self.on_disconnect()


def _has_stopped_sending(caller: Caller) -> bool | None:
    """Looks at a caller's connection without taking bytes from it.

    Args:
        caller: The caller.

    Returns:
        True when it has closed its side, None when the connection is dead.
    """
    raw = getattr(caller.sock, "_sock", None)
    if raw is None:
        return None
    try:
        flags = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
        if raw.recv(1, flags):
            return False
        # After the end of the caller's sending, a reset shows only here.
        info = raw.getsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_INFO, 1
        )
        return None if info[0] == _TCP_CLOSE else True
    except BlockingIOError:
        return False
    except OSError:
        return None


def check_caller(caller: Caller) -> None:
    """Finds out whether a caller has gone.

    Args:
        caller: The caller; marked when it has gone.
    """
    stopped = _has_stopped_sending(caller)
    if stopped is None:
        caller.mark_disconnected()
        return
    if not stopped or caller.was_probed:
        return
    if not caller.supports_interim:
        caller.mark_disconnected()
        return
    caller.was_probed = True
    if caller.answer_started:
        return
    try:
        raw = caller.sock._sock  # pylint: disable=protected-access
        raw.send(_INTERIM_ANSWER, plain_socket.MSG_DONTWAIT)
    except OSError:
        caller.mark_disconnected()


class CallerWatch:
    """Watches the callers of all requests that are being served."""

    def __init__(self) -> None:
        self._callers: set[Caller] = set()

    def add(self, caller: Caller) -> None:
        """Starts watching a caller.

        Args:
            caller: The caller.
        """
        self._callers.add(caller)

    def remove(self, caller: Caller) -> None:
        """Ends watching a caller.

        Args:
            caller: The caller.
        """
        self._callers.discard(caller)
        caller.on_disconnect = _do_nothing

    def count_callers(self) -> int:
        """Counts the requests that are being served.

        Returns:
            Their number.
        """
        return len(self._callers)

    def run(self) -> None:
        """Looks at all callers in turn until the task is killed."""
        while True:
            gevent.sleep(_PERIOD_S)
            for caller in list(self._callers):
                if not caller.is_disconnected:
                    check_caller(caller)
