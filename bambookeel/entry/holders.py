"""Finds the process that dispatches a service, as the view names it."""

import dataclasses

from bambookeel.core import ids
from bambookeel.entry import follower_task
from bambookeel.entry import view


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """Who dispatches a service.

    Attributes:
        process_id: The process.
        epoch: Its epoch.
    """

    process_id: ids.ProcessId
    epoch: ids.Epoch


def find_holder(
    follower: follower_task.FollowerTask, service: ids.ServiceName
) -> Holder | None:
    """Finds who dispatches a service now.

    Args:
        follower: The follower, which has the view.
        service: The service.

    Returns:
        The holder, or None.
    """
    assigned = view.get_dispatcher(follower.view, service)
    if assigned is None or not assigned.holder:
        return None
    return Holder(ids.ProcessId(assigned.holder), ids.Epoch(assigned.epoch))
