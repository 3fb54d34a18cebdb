"""A plan for one service while it is made: places tasks on workers."""

from collections.abc import Mapping
import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import bulkheads
from bambookeel.jobs import caps
from bambookeel.jobs import commands
from bambookeel.jobs import gang_placing
from bambookeel.jobs import isolating
from bambookeel.jobs import no_room
from bambookeel.jobs import place_waits
from bambookeel.jobs import placing
from bambookeel.jobs import plan_budget
from bambookeel.jobs import rack_choice
from bambookeel.jobs import shares as team_shares
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state


@dataclasses.dataclass(slots=True)
class Plan:
    """A plan for one service while it is made.

    Attributes:
        capacities: Free capacities of the service's workers.
        now: Current time.
        budget: What the whole plan may still cost.
        team_usage: Resources that the plan has assigned to each team.
        assignments: Runs that the plan has assigned, by worker.
        shares: The teams' shares of the service; None while all waiting tasks
            fit.
        placed: Tasks that the plan has assigned.
        too_large: Needs that fit on no worker any more.
        queues: Queues whose jobs crash their workers.
        suspected: Jobs with evidence against them, if there are such queues.
        is_sharing: Whether jobs that should be alone may share workers.
        racks: What the plan knows of racks; None if they do not matter to it.
    """

    capacities: list[placing.FreeCapacity]
    now: term_state.Now
    budget: plan_budget.Budget
    team_usage: dict[str, specs.Resources] = dataclasses.field(
        default_factory=dict
    )
    assignments: dict[specs.WorkerIncarnation, list[commands.Assignment]] = (
        dataclasses.field(default_factory=dict)
    )
    shares: team_shares.Shares | None = None
    placed: set[specs.TaskRef] = dataclasses.field(default_factory=set)
    too_large: no_room.NoRoom = dataclasses.field(
        default_factory=no_room.NoRoom
    )
    queues: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()
    is_sharing: bool = False
    racks: rack_choice.RackChoice | None = None


def get_isolation(
    term: term_state.Term,
    current: Plan,
    step: book_records.Step,
    tasks: list[book_records.Task],
) -> placing.Isolation:
    """Returns how far tasks of a step must be kept apart.

    Args:
        term: State of the leader's term.
        current: The plan.
        step: Step of the tasks.
        tasks: One task of the step, or those of a gang.

    Returns:
        The isolation.
    """
    isolation = isolating.get_isolation(term, tasks, current.now)
    if current.is_sharing and isolation is not placing.Isolation.NONE:
        return isolation
    return bulkheads.get_isolation(term, step, isolation, current.queues)


def place_task(
    term: term_state.Term,
    current: Plan,
    step: book_records.Step,
    task: book_records.Task,
) -> bool:
    """Places one task.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        step: Step of the task.
        task: A waiting task, or one that needs a copy.

    Returns:
        False if the task exceeds the team's cap or fits on no worker. True if
        it was placed, if it waits for room in its rack, or if only a worker
        that already runs it has room.
    """
    current.budget.spend_on_task(len(current.capacities))
    if not caps.allows(term, step, 1, current.team_usage):
        return False
    now_ms = current.now.steady_ms
    tickets = term.list_tickets(step, now_ms)
    isolation = get_isolation(term, current, step, [task])
    capacity = None
    rack = _find_rack(term, current, step)
    if not current.too_large.includes(step, isolation):
        choice = _get_choice(current, tickets, isolation)
        if choice is not None and rack and not task.runs:
            if place_waits.must_task_wait(term, choice, step, task, rack):
                return True
        capacity = placing.choose_worker(
            current.capacities,
            step,
            now_ms,
            term.list_avoided(task),
            tickets,
            isolation,
            rack,
            current.racks.awaited if current.racks else frozenset(),
        )
        if capacity is None and tickets is None:
            current.too_large.add(step, isolation)
    if capacity is None:
        isolating.note_unplaced(term, [task], isolation, now_ms)
        return False
    if capacity.worker.incarnation in task.runs.values():
        return True
    capacity.reserve(
        step.key, step.spec.reserved, isolation, step.spec.is_standing
    )
    current.too_large.note_placed(step, isolation)
    _note_places(current, step, [task], [capacity])
    run = task.last_run + 1
    _add_assignment(term, current, step, task, run, capacity, tickets)
    return True


def _find_rack(
    term: term_state.Term, current: Plan, step: book_records.Step
) -> str:
    """Finds the rack in which a step's tasks take least time."""
    if current.racks is None or not rack_choice.prefers_rack(step):
        return ""
    return rack_choice.find_rack(term, current.racks, step)


def _get_choice(
    current: Plan,
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
    isolation: placing.Isolation,
) -> rack_choice.RackChoice | None:
    """Returns what the plan knows of racks if tasks may wait for one.

    Args:
        current: The plan.
        tickets: Workers that the advisor allows; None if all are allowed.
        isolation: How far the tasks must be kept apart.

    Returns:
        None if racks do not matter, or if a forecast would not hold.
    """
    if tickets is not None or isolation is not placing.Isolation.NONE:
        return None
    choice = current.racks
    return choice if choice is not None and choice.may_wait else None


def _note_places(
    current: Plan,
    step: book_records.Step,
    tasks: list[book_records.Task],
    places: list[placing.FreeCapacity],
) -> None:
    if current.racks is not None and rack_choice.prefers_rack(step):
        rack_choice.note_places(current.racks, step, tasks, places)


def _add_assignment(
    term: term_state.Term,
    current: Plan,
    step: book_records.Step,
    task: book_records.Task,
    run: int,
    capacity: placing.FreeCapacity,
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
) -> None:
    current.placed.add(task.ref)
    term.apart_since_ms.pop(task.ref, None)
    job = term.book.jobs[step.key[0]]
    used = current.team_usage.get(job.team, specs.Resources())
    current.team_usage[job.team] = used + step.spec.needs
    if current.shares is not None and not step.spec.is_standing:
        current.shares.add_use(job.team, step.spec.needs.cpu_milli)
    if current.racks is not None and task.ref in current.racks.remote:
        term.place_waits.remote_runs.add((task.ref, run))
    incarnation = capacity.worker.incarnation
    ticket = tickets[incarnation] if tickets is not None else ""
    current.assignments.setdefault(incarnation, []).append(
        commands.Assignment(task.ref, run, ticket)
    )


def place_gang(
    term: term_state.Term, current: Plan, step: book_records.Step
) -> None:
    """Places a gang if none of its tasks still has a run.

    Args:
        term: State of the leader's term.
        current: The plan, which is changed.
        step: Step of the gang.
    """
    if len(step.waiting) < len(step.tasks):
        return
    current.budget.spend_on_gang(len(step.tasks), len(current.capacities))
    if not caps.allows(term, step, len(step.tasks), current.team_usage):
        return
    now_ms = current.now.steady_ms
    tickets = term.list_tickets(step, now_ms)
    isolation = get_isolation(term, current, step, step.tasks)
    places = None
    if not current.too_large.includes(step, isolation):
        choice = _get_choice(current, tickets, isolation)
        if choice is not None and rack_choice.prefers_rack(step):
            if place_waits.must_gang_wait(term, choice, step):
                return
        places = gang_placing.place_gang(
            current.capacities,
            step,
            now_ms,
            tickets,
            isolation,
            _find_rack(term, current, step),
        )
    if places is None:
        isolating.note_unplaced(term, step.tasks, isolation, now_ms)
        return
    current.too_large.note_placed(step, isolation)
    _note_places(current, step, step.tasks, places)
    run = max(task.last_run for task in step.tasks) + 1
    for task, capacity in zip(step.tasks, places):
        _add_assignment(term, current, step, task, run, capacity, tickets)
