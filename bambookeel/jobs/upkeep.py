"""Chooses which instances of an upkeep wave are taken down next.

Instances without a worker come first, then empty ones, then those that run the
fewest standing tasks and, among these, the fewest other tasks. The instances
that are down or draining never exceed the number that the wave allows.
"""

from bambookeel.jobs import availability
from bambookeel.jobs import book as job_book
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# An instance that is not empty after this time is taken down anyway, if its
# standing tasks allow it; this is about the length of a long task.
_MAX_DRAIN_MS = 2_500


def choose_upkeeps(
    book: job_book.Book,
    fleet: fleet_view.Fleet,
    table: worker_table.WorkerTable,
    now_ms: int,
) -> list[instances.Upkeep]:
    """Chooses instances to drain for their upkeep.

    Args:
        book: The job book.
        fleet: All instances and their goals.
        table: Workers that this leader knows.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Upkeeps to set as goals.
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
        places = wave.request.max_at_once - len(wave.ordered) - draining
        candidates = []
        for name in wave.waiting:
            status = fleet.statuses.get(name)
            if status is None or name in fleet.goals:
                continue
            if status.phase is not instances.InstancePhase.UP:
                continue
            if now_ms < status.retry_at_ms:
                continue
            candidates.append((_rank_interruption(book, table, name), name))
        candidates.sort()
        for _, name in candidates[: max(0, places)]:
            chosen.append(instances.Upkeep(name, number))
    return chosen


def _rank_interruption(
    book: job_book.Book, table: worker_table.WorkerTable, name: str
) -> tuple[int, int]:
    worker = table.find_by_instance(name)
    if worker is None:
        return (0, 0)
    standing = 0
    others = 0
    for ref in book.assigned_runs.get(worker.incarnation, {}):
        step = book.get_step(ref)
        if step is not None and step.spec.is_standing:
            standing += 1
            continue
        others += 1
    return (1 + standing, others)


def may_begin(
    book: job_book.Book,
    table: worker_table.WorkerTable,
    incarnation: specs.WorkerIncarnation,
    under_order: frozenset[specs.WorkerIncarnation],
    draining_ms: int,
    slack_ms: int,
    min_report_ms: int,
    withdrawn: availability.Withdrawn,
) -> bool:
    """Returns whether a draining instance may be taken down now.

    Args:
        book: The job book.
        table: Workers that this leader knows.
        incarnation: The worker on the instance.
        under_order: Workers that an order to the provider may have interrupted.
        draining_ms: How long the instance has been draining, in milliseconds.
        slack_ms: Milliseconds that the wave has for each remaining round beyond
            the duration of a round; negative if the wave is short of time.
        min_report_ms: Oldest last report, on the steady clock, of a worker that
            still counts as running its tasks.
        withdrawn: Runs that their workers must stop.

    Returns:
        False if standing tasks do not allow it, or if there is still time to
        wait for the other tasks on the instance.
    """
    if not availability.may_interrupt(
        book, table, incarnation, under_order, min_report_ms, withdrawn
    ):
        return False
    if draining_ms >= _MAX_DRAIN_MS or slack_ms < 0:
        return True
    for ref in book.assigned_runs.get(incarnation, {}):
        step = book.get_step(ref)
        if step is not None and not step.spec.is_standing:
            return False
    return True
