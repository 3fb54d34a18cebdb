"""Chooses workers for waiting tasks.

Steps come in the order of their jobs' slack; each task goes to the worker that
it fills best, so that room for large tasks and empty instances remain. Gangs
are placed whole or not at all.
"""

import collections
from collections.abc import Mapping
import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# A task with its data elsewhere runs longer; this many idle cores are worth it.
_AWAY_PENALTY_MILLI = 20_000
# A worker that is under suspicion is used when nothing else has room.
_SUSPECT_PENALTY_MILLI = 1_000_000


@dataclasses.dataclass(slots=True)
class Room:
    """What a worker has left while a plan is made.

    Attributes:
        worker: The worker.
        cpu_milli: Free processor time.
        memory_mb: Free memory.
        gpus: Free accelerators.
        of_step: Tasks that the plan has given it, by step.
    """

    worker: worker_table.Worker
    cpu_milli: int
    memory_mb: int
    gpus: int
    of_step: dict[book_records.StepKey, int]

    def takes(self, needs: specs.Resources) -> bool:
        """Tells whether something fits.

        Args:
            needs: What it takes.

        Returns:
            Whether there is room.
        """
        return (
            needs.cpu_milli <= self.cpu_milli
            and needs.memory_mb <= self.memory_mb
            and needs.gpus <= self.gpus
        )

    def take(self, key: book_records.StepKey, needs: specs.Resources) -> None:
        """Takes room for a task.

        Args:
            key: Its step.
            needs: What it takes.
        """
        self.cpu_milli -= needs.cpu_milli
        self.memory_mb -= needs.memory_mb
        self.gpus -= needs.gpus
        self.of_step[key] = self.of_step.get(key, 0) + 1


def build_rooms(workers: list[worker_table.Worker]) -> list[Room]:
    """Counts what workers have left.

    Args:
        workers: Workers that may get work.

    Returns:
        Their rooms.
    """
    rooms = []
    for worker in workers:
        free = worker.free
        rooms.append(
            Room(worker, free.cpu_milli, free.memory_mb, free.gpus, {})
        )
    return rooms


def find_largest(rooms: list[Room]) -> specs.Resources:
    """Finds the most that any worker has left, each resource by itself.

    Args:
        rooms: The rooms.

    Returns:
        What does not fit in this fits nowhere.
    """
    return specs.Resources(
        max((room.cpu_milli for room in rooms), default=0),
        max((room.memory_mb for room in rooms), default=0),
        max((room.gpus for room in rooms), default=0),
    )


def _is_allowed(
    room: Room,
    step: book_records.Step,
    held: collections.Counter[specs.WorkerIncarnation],
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
) -> bool:
    if tickets is not None and room.worker.incarnation not in tickets:
        return False
    spec = step.spec
    if spec.label and spec.label not in room.worker.report.labels:
        return False
    most = spec.max_per_instance
    if not most:
        return True
    return held[room.worker.incarnation] + room.of_step.get(step.key, 0) < most


def _count_held(
    step: book_records.Step,
) -> collections.Counter[specs.WorkerIncarnation]:
    """Counts a step's tasks on each worker, where that is limited.

    Args:
        step: The step.

    Returns:
        Counts by worker; empty for a step without a limit.
    """
    counts: collections.Counter[specs.WorkerIncarnation] = collections.Counter()
    if step.spec.max_per_instance:
        for task in step.tasks:
            counts.update(task.runs.values())
    return counts


def choose_room(
    rooms: list[Room],
    step: book_records.Step,
    now_ms: int,
    avoided: frozenset[str] = frozenset(),
    tickets: Mapping[specs.WorkerIncarnation, str] | None = None,
) -> Room | None:
    """Chooses where one task of a step goes.

    Args:
        rooms: The rooms of the step's service.
        step: The step.
        now_ms: The time.
        avoided: Workers that run the task, or have failed it.
        tickets: Workers that the advisor allows; None for any.

    Returns:
        The room, or None when nothing fits.
    """
    needs = step.spec.reserved
    wanted = step.spec.data_rack
    held = _count_held(step)
    best: Room | None = None
    best_score = 0
    for room in rooms:
        if not room.takes(needs):
            continue
        if not _is_allowed(room, step, held, tickets):
            continue
        score = room.cpu_milli
        if step.spec.is_standing:
            # Spread: one lost instance should not take many of them.
            score = -score
        if room.worker.incarnation.worker in avoided:
            score += _SUSPECT_PENALTY_MILLI
        if wanted and room.worker.rack != wanted:
            score += _AWAY_PENALTY_MILLI
        if room.worker.is_suspect(now_ms):
            score += _SUSPECT_PENALTY_MILLI
        if best is None or score < best_score:
            best, best_score = room, score
    return best


def place_gang(
    rooms: list[Room],
    step: book_records.Step,
    now_ms: int,
    tickets: Mapping[specs.WorkerIncarnation, str] | None = None,
) -> list[Room] | None:
    """Chooses workers for all tasks of a gang.

    Args:
        rooms: The rooms of the step's service.
        step: The step.
        now_ms: The time.
        tickets: Workers that the advisor allows; None for any.

    Returns:
        A room a task, already taken; None when they do not all fit.
    """
    racks = sorted({room.worker.rack for room in rooms})
    groups = [[r for r in rooms if r.worker.rack == rack] for rack in racks]
    if not step.spec.wants_one_rack:
        groups = []
    groups.append(rooms)
    for group in groups:
        trial = [dataclasses.replace(r, of_step=dict(r.of_step)) for r in group]
        places = []
        for _ in step.tasks:
            found = choose_room(trial, step, now_ms, tickets=tickets)
            if found is None:
                break
            found.take(step.key, step.spec.reserved)
            places.append(found.worker.incarnation)
        if len(places) < len(step.tasks):
            continue
        by_life = {room.worker.incarnation: room for room in group}
        chosen = [by_life[life] for life in places]
        for room in chosen:
            room.take(step.key, step.spec.reserved)
        return chosen
    return None
