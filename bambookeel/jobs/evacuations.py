"""Decides what the evacuation of a data centre forbids, and how far it is.

Load pattern: operators take a data centre out of use, for example before its
power is switched off, and with it a third or a quarter of the workers of each
pool. From then on no task starts there; tasks that run there go on.
"""

from collections.abc import Collection
import enum

from bambookeel.jobs import instance_records
from bambookeel.jobs import workers as worker_table


class Phase(enum.Enum):
    """How far an evacuation is."""

    # An order for a run may still be on its way to a worker.
    BEGUN = "begun"
    # No task can start any more.
    IN_FORCE = "in_force"
    # No task runs any more.
    EMPTY = "empty"


def is_known(
    data_centre: str,
    records: instance_records.InstanceRecords,
    known: Collection[str],
) -> bool:
    """Returns whether a data centre can be evacuated.

    An order that was accepted is accepted again, also by a leader whose
    settings no longer name the data centre.

    Args:
        data_centre: Name of the data centre.
        records: Records of the job book.
        known: Names of the data centres; empty if any is accepted.

    Returns:
        False if there is no such data centre.
    """
    return (
        not known
        or data_centre in known
        or data_centre in records.evacuations
        or data_centre in records.former_evacuations
    )


def is_evacuated(
    records: instance_records.InstanceRecords, worker: worker_table.Worker
) -> bool:
    """Returns whether a worker is in a data centre that is evacuated.

    Args:
        records: Records of the job book.
        worker: The worker.

    Returns:
        True if no task may start on it.
    """
    return worker.report.data_centre in records.evacuations


def may_be_cold(
    records: instance_records.InstanceRecords, worker: worker_table.Worker
) -> bool:
    """Returns whether a worker may be slow because of an evacuation.

    Args:
        records: Records of the job book.
        worker: The worker.

    Returns:
        True if it says that its tasks may be slow, and its data centre is or
        has been evacuated.
    """
    if not worker.report.cold_left_ms:
        return False
    data_centre = worker.report.data_centre
    return (
        data_centre in records.evacuations
        or data_centre in records.former_evacuations
    )


def find_phase(earlier: Phase, undelivered: int, left: int) -> Phase:
    """Finds how far an evacuation is; it never goes back.

    Args:
        earlier: Phase in which it was.
        undelivered: Number of runs in the data centre that have not been
            reported, so that they may still start.
        left: Number of runs that are left there, including these.

    Returns:
        Its phase.
    """
    if not left:
        return Phase.EMPTY
    if not undelivered and earlier is Phase.BEGUN:
        return Phase.IN_FORCE
    return earlier
