"""The steps by which an entry stops without cutting a request.

First /readyz turns red while everything is still served, with every answer
asking its caller to open its next connection elsewhere. Once the balancer has
had time to see that, the listener closes, the dispatch leases are handed over,
and what is in flight runs to its end, within a bound.
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
# Time for the last returned slots to leave over the links.
_FLUSH_S = 0.1


def finish_work(
    settings: core_settings.EntrySettings,
    path: request_path.RequestPath,
    follower: follower_task.FollowerTask,
    hand_over: Callable[[], None],
) -> None:
    """Ends the work of an entry whose /readyz is red already.

    Args:
        settings: The process's settings.
        path: The request path.
        follower: Follows the replicated state.
        hand_over: Asks control to give the leases to other processes.
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
        slots_held=path.messages.held.count_held(),
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
    """Waits until other processes hold this entry's leases.

    Args:
        settings: The process's settings.
        follower: Follows the replicated state.

    Returns:
        Whether none is held any more.
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
    """Waits until no slot is in use for a caller that has gone.

    Args:
        settings: The process's settings.
        path: The request path.

    Returns:
        Whether all slots have been returned.
    """
    ends_at_ms = clock.read_now_ms() + settings.stop.hand_over_ms
    held = path.messages.held
    while held.count_held():
        now_ms = clock.read_now_ms()
        if now_ms >= ends_at_ms:
            return False
        held.drop_expired(now_ms)
        gevent.sleep(_POLL_S)
    return True
