"""Finds waiting tasks that no instance of their pool can hold.

The processor time of a pool does not show whether its tasks fit: a task may
need more memory than the standing tasks leave on any instance, or a label that
no instance has, and a gang needs capacity for all its tasks at once. Such a
task would wait forever while most of the pool is idle. It fits if it could run
once all tasks that end by themselves have ended. Fillers and steps that need
the advisor's approval are left out.
"""

from collections.abc import Iterator
import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import caps
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import loads
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from bambookeel.jobs import workers as worker_table

# Interval between two searches for the same step. An instance that came for it
# may be given back before the step has started, and one that is missing may be
# missing for long.
_REPEAT_INTERVAL_MS = 15_000
# Maximum number of steps without room in one search.
_MAX_STEPS = 30


@dataclasses.dataclass(slots=True)
class _Room:
    """What the standing tasks leave of one instance.

    Attributes:
        free: Free resources.
        labels: Labels of the instance.
        placed_by_step: Number of standing tasks on the instance, by step.
    """

    free: specs.Resources
    labels: tuple[str, ...]
    placed_by_step: dict[book_records.StepKey, int]

    def count_fitting(self, step: book_records.Step) -> int:
        """Counts how many more tasks of a step fit at the same time.

        Args:
            step: The step.

        Returns:
            Number of tasks, at most that of the step.
        """
        spec = step.spec
        if spec.label and spec.label not in self.labels:
            return 0
        count = spec.count
        if spec.max_per_instance:
            placed = self.placed_by_step.get(step.key, 0)
            count = min(count, max(0, spec.max_per_instance - placed))
        return spec.reserved.count_in(self.free, count)

    def reserve(self, step: book_records.Step, count: int = 1) -> None:
        """Reserves the resources of tasks of a step.

        Args:
            step: The step.
            count: Number of tasks.
        """
        for _ in range(count):
            self.free = self.free - step.spec.reserved
        placed = self.placed_by_step.get(step.key, 0)
        self.placed_by_step[step.key] = placed + count


def list_members(
    term: term_state.Term, service: str
) -> Iterator[worker_table.Worker]:
    """Lists the workers of a pool that do not move away and may get work.

    Args:
        term: State of the leader's term.
        service: Service of the pool.

    Yields:
        Workers, also those whose instance waits for its upkeep; none in a data
        centre that is evacuated.
    """
    evacuated = term.book.instances.evacuations
    goals = term.instance_controller.fleet.goals
    for worker in term.workers.by_id.values():
        report = worker.report
        if (
            report.service != service
            or report.is_leaving
            or report.data_centre in evacuated
            or worker.is_lease_expired
        ):
            continue
        goal = goals.get(report.instance)
        if goal is not None and isinstance(goal.order, instances.Move):
            continue
        yield worker


def _measure_room(term: term_state.Term, worker: worker_table.Worker) -> _Room:
    room = _Room(worker.report.capacity, worker.report.labels, {})
    refs = dict.fromkeys(term.book.assigned_runs.get(worker.incarnation, {}))
    refs.update(dict.fromkeys(worker.running))
    for ref in refs:
        step = term.book.get_step(ref)
        if step is not None and step.spec.is_standing:
            room.reserve(step)
    return room


def _build_empty_room(status: fleet_view.InstanceStatus) -> _Room:
    return _Room(status.capacity, status.labels, {})


def _list_rooms(
    term: term_state.Term, service: str, now_ms: int
) -> list[_Room]:
    """Lists the instances of a pool, including those that are coming back.

    Args:
        term: State of the leader's term.
        service: Service of the pool.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        What the standing tasks leave of each instance.
    """
    fleet = term.instance_controller.fleet
    members = list(list_members(term, service))
    rooms = [_measure_room(term, worker) for worker in members]
    reporting = {worker.report.instance for worker in members}
    unreported = loads.list_unreported_instances(term, service, now_ms)
    evacuated = term.book.instances.evacuations
    for name, status in fleet.statuses.items():
        if status.data_centre in evacuated:
            continue
        goal = fleet.goals.get(name)
        match goal.order if goal is not None else None:
            case instances.Move(_, pool):
                is_coming = pool == service
            case instances.Upkeep():
                is_coming = status.pool == service and name not in reporting
            case _:
                is_coming = name in unreported
        if is_coming:
            rooms.append(_build_empty_room(status))
    return rooms


def _list_waiting_steps(
    term: term_state.Term, service: str, now: term_state.Now
) -> list[book_records.Step]:
    """Lists the ready steps of a service, standing ones first.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        now: Current time.

    Returns:
        Steps with waiting tasks that are due and have not been searched for
        lately.
    """
    steps = []
    for name, ready in term.book.ready.items():
        queue = term.book.find_queue(name)
        if queue is None or queue.service != service or queue.ticket_ms:
            continue
        for step in ready.values():
            if step.due_wall_ms > now.wall_ms or step.spec.is_filler:
                continue
            searched_ms = term.fitting_searched_ms.get(step.key)
            if (
                searched_ms is None
                or now.steady_ms - searched_ms >= _REPEAT_INTERVAL_MS
            ):
                steps.append(step)
    steps.sort(key=lambda step: not step.spec.is_standing)
    return steps


class _Search:
    """Search for instances that hold the waiting tasks of one pool.

    Attributes:
        chosen: Names of the chosen instances.
    """

    def __init__(
        self,
        rooms: list[_Room],
        candidates: list[tuple[str, fleet_view.InstanceStatus]],
    ) -> None:
        # The emptiest first, on which most tasks fit.
        self._rooms = sorted(rooms, key=lambda room: -room.free.cpu_milli)
        self._candidates = candidates
        self.chosen: list[str] = []

    def add(self, step: book_records.Step, count: int) -> bool:
        """Chooses instances until tasks of a step fit at the same time.

        Chooses none for a gang that would not fit all the same.

        Args:
            step: Step of the tasks.
            count: Number of tasks.

        Returns:
            Whether the tasks fit without further instances.
        """
        missing = count
        for room in self._rooms:
            if not missing:
                break
            fitting = min(missing, room.count_fitting(step))
            missing -= fitting
            if step.spec.is_standing:
                room.reserve(step, fitting)
        if not missing:
            return True
        names = []
        added = []
        for name, status in self._candidates:
            if not missing:
                break
            room = _build_empty_room(status)
            fitting = min(missing, room.count_fitting(step))
            if not fitting or name in self.chosen:
                continue
            missing -= fitting
            if step.spec.is_standing:
                room.reserve(step, fitting)
            names.append(name)
            added.append(room)
        if not missing or not step.spec.is_gang:
            self.chosen.extend(names)
            self._rooms.extend(added)
        return False


def choose_instances(
    term: term_state.Term,
    service: str,
    candidates: list[str],
    now: term_state.Now,
) -> list[str]:
    """Chooses instances for waiting tasks that do not fit in a pool.

    Args:
        term: State of the leader's term.
        service: Service of the pool.
        candidates: Names of instances of other pools that may move, the best
            ones first.
        now: Current time.

    Returns:
        Names of the instances that the pool needs; empty if all waiting tasks
        fit, or fit on none of the candidates.
    """
    steps = _list_waiting_steps(term, service, now)
    if not steps:
        return []
    statuses = term.instance_controller.fleet.statuses
    search = _Search(
        _list_rooms(term, service, now.steady_ms),
        [(name, statuses[name]) for name in candidates],
    )
    without_room = 0
    for step in steps:
        if without_room == _MAX_STEPS:
            break
        count = 1
        if step.spec.is_gang:
            count = len(step.tasks)
        if not caps.allows(term, step, count, {}):
            continue
        if step.spec.is_standing and not step.spec.is_gang:
            count = len(step.waiting)
        if search.add(step, count):
            continue
        without_room += 1
        term.fitting_searched_ms[step.key] = now.steady_ms
    return search.chosen
