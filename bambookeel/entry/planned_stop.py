"""Stops an entry without interrupting requests.

First /readyz reports unready while requests are still accepted, and every
response closes its connection so that the caller's next one goes to another
entry. When the balancer has had time to notice, the listener closes, the
dispatch leases are handed over, and the requests in flight are completed within
a time limit.
"""

from collections.abc import Callable

import gevent

from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.entry import follower_task
from bambookeel.entry import request_path
from bambookeel.runtime import clock
from bambookeel.runtime import logs

_POLL_S = 0.05
# Time for the messages with the last released slots to be sent.
_FLUSH_S = 0.1


def finish_work(
    settings: core_settings.EntrySettings,
    path: request_path.RequestPath,
    follower: follower_task.FollowerTask,
    hand_over: Callable[[], None],
) -> None:
    """Completes the work of an entry whose /readyz already reports unready.

    Args:
        settings: The entry's settings.
        path: The request path, whose requests are completed.
        follower: The follower task, whose view names the lease holders.
        hand_over: Requests control to assign the leases to other processes.
    """
    logs.log_event("stopping")
    path.callers.is_draining = True
    gevent.sleep(settings.stop.unready_ms / 1000.0)
    path.callers.stop_listening()
    logs.log_event("stopped_listening")
    hand_over()
    handed_over = _wait_for_hand_over(settings, follower)
    finished = path.callers.finish(settings.stop.finish_ms)
    finished = finished and _wait_for_slots(settings, path)
    gevent.sleep(_FLUSH_S)
    logs.log_event(
        "finished_work",
        handed_over=handed_over,
        all_answered=finished,
        slots_held=path.message_parts.outstanding_table.count_held(),
    )


def _holds_leases(
    settings: core_settings.EntrySettings, follower: follower_task.FollowerTask
) -> bool:
    for resource in follower.view.by_key.values():
        spec = resource.spec
        if not isinstance(spec, resources.DispatcherSpec):
            continue
        if spec.holder == settings.process_id:
            return True
    return False


def _wait_for_hand_over(
    settings: core_settings.EntrySettings, follower: follower_task.FollowerTask
) -> bool:
    """Waits, up to a limit, until this entry holds no dispatch lease.

    Args:
        settings: The entry's settings, with the limit.
        follower: The follower task, whose view names the lease holders.

    Returns:
        Whether all leases have been handed over.
    """
    ends_at_ms = clock.read_now_ms() + settings.stop.hand_over_ms
    while _holds_leases(settings, follower):
        if clock.read_now_ms() >= ends_at_ms:
            return False
        gevent.sleep(_POLL_S)
    return True


def _wait_for_slots(
    settings: core_settings.EntrySettings, path: request_path.RequestPath
) -> bool:
    """Waits, up to a limit, until no slot is held for a disconnected caller.

    Args:
        settings: The entry's settings, with the limit.
        path: The request path, which holds the slots.

    Returns:
        Whether all slots have been released.
    """
    ends_at_ms = clock.read_now_ms() + settings.stop.hand_over_ms
    outstanding_table = path.message_parts.outstanding_table
    while outstanding_table.count_held():
        now_ms = clock.read_now_ms()
        if now_ms >= ends_at_ms:
            return False
        outstanding_table.drop_expired(now_ms)
        gevent.sleep(_POLL_S)
    return True
