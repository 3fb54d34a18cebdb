"""Applies changes of a settings file while the process runs."""

from collections.abc import Callable
import typing

import gevent.event

from bambookeel.runtime import logs

_POLL_S = 2.0
# Limit of the reason in a log line.
_MAX_REASON_CHARS = 200

_Settings = typing.TypeVar("_Settings")


def watch(
    read: Callable[[], _Settings],
    apply: Callable[[_Settings], None],
    reload_requested: gevent.event.Event,
) -> None:
    """Applies the settings at each request and at regular intervals.

    Settings that cannot be read or applied change nothing; the next ones may.

    Args:
        read: Reads the settings.
        apply: Applies settings, which may be unchanged.
        reload_requested: Set when the settings may have changed.
    """
    while True:
        reload_requested.wait(_POLL_S)
        reload_requested.clear()
        try:
            apply(read())
        except Exception as error:  # pylint: disable=broad-exception-caught
            reason = repr(error)[:_MAX_REASON_CHARS]
            logs.log_event("settings_unreadable", error=reason)
