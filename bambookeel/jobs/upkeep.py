"""Chooses which instances of a wave are taken down next.

Instances that are off go first, then those that are empty, then those whose
work is the least to lose. At most as many as the wave allows are down or about
to be.
"""

from bambookeel.jobs import availability
from bambookeel.jobs import book as job_book
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# An instance that is not empty after so long is taken down as it is; about the
# length of a long task.
_DRAIN_MS = 2_500


def choose_next(
    book: job_book.Book,
    fleet: fleet_view.Fleet,
    table: worker_table.WorkerTable,
    now_ms: int,
) -> list[instances.Upkeep]:
    """Chooses instances that should be drained for their upkeep.

    Args:
        book: The book.
        fleet: The fleet.
        table: The workers.
        now_ms: The time.

    Returns:
        The upkeeps to aim at.
    """
    chosen = []
    for number, wave in sorted(book.instances.waves.items()):
        if wave.is_complete:
            continue
        draining = sum(
            isinstance(goal.order, instances.Upkeep)
            and goal.order.wave == number
            and goal.phase is fleet_view.GoalPhase.DRAINING
            for goal in fleet.goals.values()
        )
        room = wave.request.max_at_once - len(wave.ordered) - draining
        candidates = []
        for name in wave.waiting:
            known = fleet.statuses.get(name)
            if known is None or name in fleet.goals:
                continue
            if known.phase is not instances.InstancePhase.UP:
                continue
            if now_ms < known.retry_ms:
                continue
            candidates.append((_weigh(book, table, name), name))
        candidates.sort()
        for _, name in candidates[: max(0, room)]:
            chosen.append(instances.Upkeep(name, number))
    return chosen


def _weigh(
    book: job_book.Book, table: worker_table.WorkerTable, name: str
) -> tuple[int, int]:
    worker = table.find_by_instance(name)
    if worker is None:
        return (0, 0)
    standing = 0
    others = 0
    for ref in book.held.get(worker.life, {}):
        step = book.get_step(ref)
        if step is not None and step.spec.is_standing:
            standing += 1
            continue
        others += 1
    return (1 + standing, others)


def may_begin(
    book: job_book.Book,
    table: worker_table.WorkerTable,
    life: specs.WorkerLife,
    ordered: frozenset[specs.WorkerLife],
    waited_ms: int,
    spare_ms: int,
    heard_from_ms: int,
) -> bool:
    """Tells whether a drained instance may be taken down now.

    Args:
        book: The book.
        table: The workers.
        life: The worker on it.
        ordered: Workers whose instances have been ordered away.
        waited_ms: How long it has been drained.
        spare_ms: Time that the wave has for each round to come, beyond what
            the round itself takes.
        heard_from_ms: A worker that was last heard before may not be running
            its tasks.

    Returns:
        Whether nothing runs there that is worth waiting for.
    """
    if not availability.may_interrupt(
        book, table, life, ordered, heard_from_ms
    ):
        return False
    if waited_ms >= _DRAIN_MS or spare_ms < 0:
        return True
    for ref in book.held.get(life, {}):
        step = book.get_step(ref)
        if step is not None and not step.spec.is_standing:
            return False
    return True
