"""Decides what the evacuation of a data centre forbids, and how far it is.

Load pattern: operators take a data centre out of use, for example before its
power is switched off, and with it a third or a quarter of the workers of each
pool. From then on no task starts there; tasks that run there go on.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import instance_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table


class Phase(enum.Enum):
    """How far an evacuation is."""

    # An order for a run may still be on its way to a worker.
    BEGUN = "begun"
    # No task can start any more.
    IN_FORCE = "in_force"
    # No task runs any more.
    EMPTY = "empty"


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """What is left in a data centre that is evacuated.

    Attributes:
        tasks: Number of runs.
        undelivered: Number of runs that have not been reported, so that they
            may still start.
        standing: Number of runs of standing tasks.
        empty_in_ms: Estimated time in milliseconds until no task is left; -1 if
            one does not end by itself.
    """

    tasks: int = 0
    undelivered: int = 0
    standing: int = 0
    empty_in_ms: int = 0


@dataclasses.dataclass(slots=True)
class TermState:
    """What a leader knows of evacuations besides the job book.

    Attributes:
        checked_ms: Steady-clock time of the last check.
        logged_ms: Steady-clock time of the last log line about each evacuation.
        phases: How far each evacuation is, by data centre.
        progress: What is left in each data centre, by its name.
        moving: Standing tasks that were stopped and have no other run yet.
        no_room_until_ms: Steady-clock time until which no room is looked for,
            by step of a standing task.
    """

    checked_ms: int = 0
    logged_ms: int = 0
    phases: dict[str, Phase] = dataclasses.field(default_factory=dict)
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    moving: set[specs.TaskRef] = dataclasses.field(default_factory=set)
    no_room_until_ms: dict[tuple[str, int, int], int] = dataclasses.field(
        default_factory=dict
    )


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


def list_reached(earlier: Phase, progress: Progress) -> list[Phase]:
    """Lists the phases that an evacuation has reached; it never goes back.

    Args:
        earlier: Phase in which it was.
        progress: What is left in the data centre.

    Returns:
        The new phases in their order; empty if it is still in the earlier one.
    """
    reached = []
    if earlier is Phase.BEGUN and not progress.undelivered:
        reached.append(Phase.IN_FORCE)
    if earlier is not Phase.EMPTY and not progress.tasks:
        reached.append(Phase.EMPTY)
    return reached


def is_movable(step: book_records.Step) -> bool:
    """Returns whether the tasks of a step are moved to other data centres.

    Args:
        step: A step of an open job.

    Returns:
        True for standing tasks of which some may be missing. Fillers and gangs
        stay, since a gang would have to be stopped as a whole.
    """
    spec = step.spec
    if not spec.is_standing or spec.is_filler or spec.is_gang:
        return False
    return spec.max_missing > 0


def find_movable(
    step: book_records.Step,
    indices: Collection[int],
    is_available: Callable[[book_records.Task], bool],
) -> frozenset[int]:
    """Finds the tasks of a standing step that may be stopped to run elsewhere.

    The tasks of a step are moved one at a time, each once all others are
    available.

    Args:
        step: A step whose tasks are moved.
        indices: Those of its tasks that should move.
        is_available: Returns whether a task of the step is available.

    Returns:
        Indices of the tasks beside which no other one is missing.
    """
    missing = {
        task.ref.task_index for task in step.tasks if not is_available(task)
    }
    return frozenset(index for index in indices if missing <= {index})
