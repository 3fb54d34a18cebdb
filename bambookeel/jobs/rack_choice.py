"""Knows, during one plan, in which rack the tasks of each step belong.

Load pattern: steps name the rack of their data, or want all their tasks in one
rack, and take several times as long elsewhere.
"""

import dataclasses
import itertools

from bambookeel.jobs import book_records
from bambookeel.jobs import place_wait_state
from bambookeel.jobs import placing
from bambookeel.jobs import rack_forecasts
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state

# A new leader lets nothing wait for this long: it does not know for how long
# jobs have waited, nor the progress of the runs.
_FIRST_WAIT_MS = 1_000
# Free share of a service's processor time below which capacity is scarce.
_SCARCE_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class RackChoice:
    """What a plan knows of racks, and what it lets wait for them.

    Attributes:
        capacities: Free capacities of the service's workers.
        service: Name of the service.
        now: Current time.
        may_wait: Whether tasks may wait.
        is_scarce: Whether little of the service is free, so that the longer
            runs of remote tasks cost others time.
        awaited: Racks for which the last plan let tasks wait.
        by_rack: Free capacities by rack.
        forecasts: Forecasts by rack, where one was needed.
        homes: Rack in which each group of single tasks should be; empty if they
            already are in several.
        waiting: Waits that the plan has decided on, by task.
        elsewhere: Worker that has had room for a task that waits.
        remote: Tasks that the plan has placed away from their data or group.
        remote_steps: Whether each step has a task away from its data or group,
            where that was asked.
    """

    capacities: list[placing.FreeCapacity]
    service: str
    now: term_state.Now
    may_wait: bool
    is_scarce: bool
    awaited: frozenset[str]
    by_rack: dict[str, list[placing.FreeCapacity]]
    forecasts: dict[str, rack_forecasts.RackForecast] = dataclasses.field(
        default_factory=dict
    )
    homes: dict[book_records.StepKey, str] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[specs.TaskRef, place_wait_state.Wait] = dataclasses.field(
        default_factory=dict
    )
    elsewhere: placing.FreeCapacity | None = None
    remote: set[specs.TaskRef] = dataclasses.field(default_factory=set)
    remote_steps: dict[book_records.StepKey, bool] = dataclasses.field(
        default_factory=dict
    )

    def get_forecast(
        self, term: term_state.Term, rack: str
    ) -> rack_forecasts.RackForecast:
        """Returns the forecast for a rack.

        Args:
            term: State of the leader's term.
            rack: The rack.

        Returns:
            The forecast, built if it is the first of the plan.
        """
        forecast = self.forecasts.get(rack)
        if forecast is None:
            forecast = rack_forecasts.build_forecast(
                term, self.by_rack.get(rack, []), self.now.steady_ms
            )
            self.forecasts[rack] = forecast
        return forecast


def begin(
    term: term_state.Term,
    service: str,
    steps: list[book_records.Step],
    capacities: list[placing.FreeCapacity],
    now: term_state.Now,
) -> RackChoice | None:
    """Begins a plan for a service.

    Args:
        term: State of the leader's term.
        service: Name of the service.
        steps: Its steps with waiting tasks.
        capacities: Free capacities of its workers.
        now: Current time.

    Returns:
        What the plan knows of racks; None if racks do not matter to it.
    """
    if term.settings.remote_factor <= 1 or not any(
        prefers_rack(step) for step in steps
    ):
        return None
    by_rack: dict[str, list[placing.FreeCapacity]] = {}
    for capacity in capacities:
        by_rack.setdefault(capacity.worker.rack, []).append(capacity)
    age_ms = now.steady_ms - term.place_waits.began_ms
    waits = term.place_waits.waits.get(service, {})
    return RackChoice(
        capacities,
        service,
        now,
        age_ms >= _FIRST_WAIT_MS,
        _is_scarce(capacities),
        frozenset(wait.rack for wait in waits.values() if wait.is_current),
        by_rack,
    )


def _is_scarce(capacities: list[placing.FreeCapacity]) -> bool:
    """Returns whether little of the workers' processor time is free."""
    free_milli = sum(capacity.cpu_milli for capacity in capacities)
    total_milli = sum(
        capacity.worker.report.capacity.cpu_milli for capacity in capacities
    )
    return free_milli < _SCARCE_SHARE * total_milli


def prefers_rack(step: book_records.Step) -> bool:
    """Returns whether tasks of a step take longer in some racks.

    Args:
        step: The step.

    Returns:
        False also for standing and filler tasks, which do not end.
    """
    spec = step.spec
    if not spec.data_rack and not spec.wants_one_rack:
        return False
    return not spec.is_standing and not spec.is_filler


def find_rack(
    term: term_state.Term, choice: RackChoice, step: book_records.Step
) -> str:
    """Finds the rack in which a step's tasks take least time.

    A group of single tasks goes where its runs are. Before its first run it
    goes to the rack with the least room that holds all of it, or else to that
    with most room.

    Args:
        term: State of the leader's term.
        choice: What the plan knows of racks.
        step: The step, which prefers some rack.

    Returns:
        The rack; empty if none is better, or for a gang of any rack.
    """
    if step.spec.data_rack or step.spec.is_gang:
        return step.spec.data_rack
    home = choice.homes.get(step.key)
    if home is None:
        home = _choose_home(term, choice, step)
        choice.homes[step.key] = home
    return home


def _choose_home(
    term: term_state.Term, choice: RackChoice, step: book_records.Step
) -> str:
    racks = set()
    for life in itertools.chain.from_iterable(
        task.runs.values() for task in step.tasks
    ):
        worker = term.workers.by_id.get(life.worker)
        if worker is not None:
            racks.add(worker.rack)
    if racks:
        return racks.pop() if len(racks) == 1 else ""
    wanted = len(step.waiting)
    rooms = []
    for rack, capacities in choice.by_rack.items():
        room = sum(
            capacity.count_fitting(step.spec.reserved, wanted)
            for capacity in capacities
            if not step.spec.label
            or step.spec.label in capacity.worker.report.labels
        )
        rooms.append((room < wanted, room if room >= wanted else -room, rack))
    return min(rooms)[2] if rooms else ""


def note_places(
    choice: RackChoice,
    step: book_records.Step,
    tasks: list[book_records.Task],
    places: list[placing.FreeCapacity],
) -> None:
    """Notes which tasks were placed away from their data or group.

    Args:
        choice: What the plan knows of racks, which is changed.
        step: Step of the tasks, which prefers some rack.
        tasks: One task, or those of a gang.
        places: Free capacity of the worker of each.
    """
    racks = {capacity.worker.rack for capacity in places}
    wanted = step.spec.data_rack or choice.homes.get(step.key, "")
    is_spread = step.spec.wants_one_rack and len(racks) > 1
    for task, capacity in zip(tasks, places):
        if is_spread or (wanted and capacity.worker.rack != wanted):
            choice.remote.add(task.ref)
            choice.remote_steps[step.key] = True
