"""Looks up in the view which process dispatches a service."""

import dataclasses

from bambookeel.core import ids
from bambookeel.entry import follower_task
from bambookeel.entry import view


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """The process that holds a service's dispatch lease.

    Attributes:
        process_id: The process.
        epoch: The epoch of its lease.
    """

    process_id: ids.ProcessId
    epoch: ids.Epoch


def find_holder(
    follower: follower_task.FollowerTask, service: ids.ServiceName
) -> Holder | None:
    """Finds the current holder of a service's dispatch lease.

    Args:
        follower: The follower task, whose view is read.
        service: The service.

    Returns:
        The holder, or None if the view names none.
    """
    assigned = view.get_dispatcher(follower.view, service)
    if assigned is None or not assigned.holder:
        return None
    return Holder(ids.ProcessId(assigned.holder), ids.Epoch(assigned.epoch))
