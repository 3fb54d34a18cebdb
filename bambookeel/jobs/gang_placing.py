"""Chooses workers for gangs, which are placed completely or not at all."""

from collections.abc import Mapping
import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import placing
from bambookeel.jobs import specs

# The tasks of a wide gang that are spread go to each worker in about as many
# groups.
_GROUPS_PER_WORKER = 4


def place_gang(
    capacities: list[placing.FreeCapacity],
    step: book_records.Step,
    now_ms: int,
    tickets: Mapping[specs.WorkerIncarnation, str] | None = None,
    isolation: placing.Isolation = placing.Isolation.NONE,
    rack: str = "",
) -> list[placing.FreeCapacity] | None:
    """Chooses workers for all tasks of a gang and reserves their resources.

    Args:
        capacities: Free capacities of the service's workers.
        step: Step of the gang.
        now_ms: Steady-clock time in milliseconds.
        tickets: Workers that the advisor allows, with their tickets; None if
            all are allowed.
        isolation: How far the gang must be kept apart.
        rack: Rack that is used before others; empty if none is.

    Returns:
        Free capacity of the worker of each task; None if they do not all fit.
    """
    racks = sorted({capacity.worker.rack for capacity in capacities})
    if rack:
        racks.sort(key=lambda name: name != rack)
    groups = [
        [c for c in capacities if c.worker.rack == name] for name in racks
    ]
    if not step.spec.wants_one_rack:
        groups = []
    groups.append(capacities)
    for group in groups:
        trial = [
            dataclasses.replace(
                c,
                placed_by_step=dict(c.placed_by_step),
                isolated_jobs=dict(c.isolated_jobs),
                occupants=None if c.occupants is None else dict(c.occupants),
            )
            for c in group
        ]
        places: list[specs.WorkerIncarnation] = []
        while len(places) < len(step.tasks):
            found = placing.choose_worker(
                trial,
                step,
                now_ms,
                tickets=tickets,
                isolation=isolation,
                rack=rack,
            )
            if found is None:
                break
            left = len(step.tasks) - len(places)
            count = _count_together(found, step, isolation, left, len(trial))
            found.reserve(
                step.key,
                step.spec.reserved,
                isolation,
                step.spec.is_standing,
                count,
            )
            places += [found.worker.incarnation] * count
        if len(places) < len(step.tasks):
            continue
        by_incarnation = {
            capacity.worker.incarnation: capacity for capacity in group
        }
        chosen = [by_incarnation[incarnation] for incarnation in places]
        for capacity in chosen:
            capacity.reserve(
                step.key, step.spec.reserved, isolation, step.spec.is_standing
            )
        return chosen
    return None


def _count_together(
    found: placing.FreeCapacity,
    step: book_records.Step,
    isolation: placing.Isolation,
    left: int,
    workers: int,
) -> int:
    """Counts the tasks that go to the chosen worker without another choice.

    Where tasks are not spread, a worker that was chosen once is chosen until it
    is full. Those of a wide gang are spread in groups.

    Args:
        found: Free capacity of the worker, on which one more task may run.
        step: Step of the gang.
        isolation: How far the gang must be kept apart.
        left: Number of its tasks that have no worker.
        workers: Number of workers to choose from.

    Returns:
        Number of tasks, at least 1.
    """
    if placing.is_spread(step, isolation):
        left = max(1, left // (_GROUPS_PER_WORKER * workers))
    limit = step.spec.max_per_instance
    if limit:
        used = step.count_runs(found.worker.incarnation)
        used += found.placed_by_step.get(step.key, 0)
        left = min(left, limit - used)
    return found.count_fitting(step.spec.reserved, left)
