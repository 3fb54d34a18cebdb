"""Detects callers that disconnect while their request waits or runs.

One task polls the connections of all requests in turn. A caller that stops
sending need not have disconnected, since it may close its sending side and
still read. So an interim answer is sent to it: the host of a disconnected
caller responds with a reset, and a caller that still reads skips it, as
HTTP/1.1 requires. HTTP/1.0 has no interim answers, so such a caller counts as
disconnected when it stops sending.
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
        sock: Its connection; None only for a caller that is not watched.
        supports_interim: Whether it accepts interim answers (HTTP/1.1).
        is_disconnected: Whether a disconnect has been detected.
        answer_started: Whether the answer may have been started; no interim
            answer is sent from then on.
        on_disconnect: Called once when a disconnect is detected.
        was_probed: Whether the check by an interim answer has been made.
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
        """Sets the callback for a disconnect; calls it if that has happened.

        Args:
            on_disconnect: The callback; it must not block.
        """
        self.on_disconnect = on_disconnect
        if self.is_disconnected:
            on_disconnect()

    def mark_disconnected(self) -> None:
        """Marks the caller as disconnected and calls the callback once."""
        if self.is_disconnected:
            return
        self.is_disconnected = True
        self.on_disconnect()


def _has_stopped_sending(caller: Caller) -> bool | None:
    """Checks a caller's connection without consuming bytes from it.

    Args:
        caller: The caller.

    Returns:
        True if it has closed its sending side, False if not, and None if the
        connection is dead.
    """
    raw = getattr(caller.sock, "_sock", None)
    if raw is None:
        return None
    try:
        flags = plain_socket.MSG_PEEK | plain_socket.MSG_DONTWAIT
        if raw.recv(1, flags):
            return False
        # Once the caller has stopped sending, recv() returns no error after a
        # reset; only TCP_INFO shows it.
        info = raw.getsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_INFO, 1
        )
        return None if info[0] == _TCP_CLOSE else True
    except BlockingIOError:
        return False
    except OSError:
        return None


def check_caller(caller: Caller) -> None:
    """Checks whether a caller has disconnected.

    Args:
        caller: The caller; marked as disconnected if it is.
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
    """Polls the callers of all requests that are being served."""

    def __init__(self) -> None:
        self._callers: set[Caller] = set()

    def add(self, caller: Caller) -> None:
        """Starts watching a caller.

        Args:
            caller: The caller.
        """
        self._callers.add(caller)

    def remove(self, caller: Caller) -> None:
        """Stops watching a caller and clears its callback.

        Args:
            caller: The caller.
        """
        self._callers.discard(caller)
        caller.on_disconnect = _do_nothing

    def count_callers(self) -> int:
        """Counts the requests that are being served.

        Returns:
            The number of watched callers, one for each request.
        """
        return len(self._callers)

    def run(self) -> None:
        """Checks all callers periodically until the task is killed."""
        while True:
            gevent.sleep(_PERIOD_S)
            for caller in list(self._callers):
                if not caller.is_disconnected:
                    check_caller(caller)
