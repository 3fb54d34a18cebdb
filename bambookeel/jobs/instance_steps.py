"""Moves instances between pools and takes them down for upkeep."""

import dataclasses

from bambookeel.jobs import commands
from bambookeel.jobs import early_instances
from bambookeel.jobs import evictions
from bambookeel.jobs import fitting
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import forecasting
from bambookeel.jobs import instances
from bambookeel.jobs import lost_runs
from bambookeel.jobs import pool_demand
from bambookeel.jobs import pools
from bambookeel.jobs import quiet_pools
from bambookeel.jobs import rebalancing
from bambookeel.jobs import term as term_state
from bambookeel.jobs import upkeep

# Interval between two checks of pools and goals; orders take far longer.
_CHECK_INTERVAL_MS = 100
# Interval between two searches for tasks that do not fit in their pools.
_FITTING_INTERVAL_MS = 500
# Interval between two log lines about each pool.
_POOL_LOG_INTERVAL_MS = 1_000
# Maximum number of instances named in a log line about a wave.
_MAX_LOGGED_INSTANCES = 4


def control_instances(term: term_state.Term, now: term_state.Now) -> None:
    """Updates the goals of instances and queues the orders that are due.

    Does nothing before the provider's first list, or if the last check was too
    recent.

    Args:
        term: State of the leader's term.
        now: Current time.
    """
    fleet = term.instance_controller.fleet
    if not fleet.listed_ms:
        return
    if now.steady_ms - term.instances_checked_ms < _CHECK_INTERVAL_MS:
        return
    term.instances_checked_ms = now.steady_ms
    now_ms = now.steady_ms
    for command in term.instance_controller.end_unlisted_upkeeps(
        term.book, now_ms
    ):
        term.decide(command)
    for name, goal in list(fleet.goals.items()):
        if goal.phase is fleet_view.GoalPhase.AWAY:
            if fleet_view.is_up_again(fleet, name, goal):
                end_goal(term, name)
    term.instance_controller.resume_upkeeps(term.book, now_ms)
    for order in upkeep.choose_upkeeps(term.book, fleet, term.workers, now_ms):
        term.instance_controller.set_goal(order, now_ms)
    _choose_moves(term, now)
    for chosen in term.instance_controller.choose_orders(
        term.book, term.workers, now_ms, now.wall_ms, term.withdrawn
    ):
        _queue_order(term, chosen, now.wall_ms)
    evictions.evict_standing_tasks(term, now)


def _choose_moves(term: term_state.Term, now: term_state.Now) -> None:
    now_ms = now.steady_ms
    spare_pool = term.book.configuration.find_spare_pool()
    if not spare_pool:
        return
    forecasting.update(term, now)
    states = []
    for service in term.book.configuration.services:
        if service == spare_pool:
            continue
        state = pool_demand.measure_pool(
            term, service, term.idle_since_ms.get(service, -1), now
        )
        if not pools.is_idle(state):
            term.idle_since_ms[service] = -1
        elif state.idle_since_ms < 0:
            term.idle_since_ms[service] = now_ms
        states.append(quiet_pools.shorten_idle_time(term, state, now))
    term.pool_states = {state.pool: state for state in states}
    _log_pools(term, states, now_ms)
    spare = pool_demand.list_spare_instances(
        term.instance_controller.fleet,
        term.book.instances.evacuations,
        spare_pool,
        now_ms,
    )
    required, states, spare = _choose_required(term, states, spare, now)
    expected = early_instances.measure_expected(term, now)
    states = early_instances.keep_instances(states, expected)
    moves = required + pools.choose_moves(states, spare_pool, spare, now_ms)
    moves += early_instances.choose_moves(states, expected, spare, moves)
    if not moves and not spare:
        moves = _choose_hand_overs(term, states, now_ms)
    for name, pool in moves:
        term.instance_controller.set_goal(instances.Move(name, pool), now_ms)
        source = term.instance_controller.fleet.statuses[name].pool
        term.idle_since_ms[source] = -1
        term.log_event("move_chosen", instance=name, pool=pool, source=source)


def _choose_required(
    term: term_state.Term,
    states: list[pools.PoolState],
    spare: tuple[str, ...],
    now: term_state.Now,
) -> tuple[list[tuple[str, str]], list[pools.PoolState], tuple[str, ...]]:
    """Chooses instances for waiting tasks that do not fit in their pools.

    Args:
        term: State of the leader's term.
        states: State of each pool other than the spare pool.
        spare: Instances of the spare pool that may be moved.
        now: Current time.

    Returns:
        Pairs of an instance and the pool to which it should move; the states
        and the spare instances without them.
    """
    if now.steady_ms - term.fitting_checked_ms < _FITTING_INTERVAL_MS:
        return [], states, spare
    term.fitting_checked_ms = now.steady_ms
    moves: list[tuple[str, str]] = []
    for state in states:
        taken = {name for name, _ in moves}
        candidates = [name for name in reversed(spare) if name not in taken]
        for other in states:
            if other is not state and pools.is_idle(other):
                givable = other.empty[: other.count_givable()]
                candidates += [name for name in givable if name not in taken]
        for name in fitting.choose_instances(term, state.pool, candidates, now):
            moves.append((name, state.pool))
    taken = {name for name, _ in moves}
    left = []
    for state in states:
        given = taken.intersection(state.empty)
        left.append(
            dataclasses.replace(
                state,
                members=state.members - len(given),
                capacity_milli=state.capacity_milli
                - len(given) * state.instance_milli,
                empty=tuple(name for name in state.empty if name not in given),
            )
        )
    return moves, left, tuple(name for name in spare if name not in taken)


def _choose_hand_overs(
    term: term_state.Term, states: list[pools.PoolState], now_ms: int
) -> list[tuple[str, str]]:
    """Chooses instances that a pool hands over to one with a longer backlog.

    Args:
        term: State of the leader's term.
        states: State of each pool other than the spare pool.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Pairs of an instance and the pool to which it should move.
    """
    moves = []
    drainable: dict[str, list[str]] = {}
    for hand_over in rebalancing.choose_hand_overs(states):
        source = hand_over.source
        if source not in drainable:
            drainable[source] = pool_demand.list_drainable_instances(
                term, source, now_ms
            )
        if drainable[source]:
            moves.append((drainable[source].pop(0), hand_over.target))
    return moves


def _log_pools(
    term: term_state.Term, states: list[pools.PoolState], now_ms: int
) -> None:
    if now_ms - term.pools_logged_ms < _POOL_LOG_INTERVAL_MS:
        return
    term.pools_logged_ms = now_ms
    _log_waves(term)
    for state in states:
        term.log_event(
            "pool_state",
            pool=state.pool,
            members=state.members,
            needed=state.min_members,
            empty=len(state.empty),
            capacity_cores=state.capacity_milli // 1_000,
            ready_cores=state.ready_milli // 1_000,
            ready_core_s=int(state.ready_work / 1_000_000),
            open_core_s=int(state.open_work / 1_000_000),
            arriving_cores=int(state.arriving_milli / 1_000),
        )


def _log_waves(term: term_state.Term) -> None:
    """Logs the progress of each wave, with the instances that it waits for.

    Args:
        term: State of the leader's term.
    """
    fleet = term.instance_controller.fleet
    for number, wave in sorted(term.book.instances.waves.items()):
        if wave.is_complete:
            continue
        waiting = []
        for name in list(wave.waiting)[:_MAX_LOGGED_INSTANCES]:
            status = fleet.statuses.get(name)
            goal = fleet.goals.get(name)
            state = status.phase.value if status is not None else "unlisted"
            if goal is not None:
                order = type(goal.order).__name__.lower()
                state = f"{order}-{goal.phase.value}"
            waiting.append(f"{name}:{state}")
        term.log_event(
            "wave_state",
            wave=number,
            waiting=len(wave.waiting),
            ordered=len(wave.ordered),
            next=",".join(waiting),
        )


def _queue_order(
    term: term_state.Term, order: instances.Order, wall_ms: int
) -> None:
    if isinstance(order, instances.Upkeep):
        wave = term.book.instances.waves[order.wave]
        if order.instance in wave.waiting:
            term.decide(commands.UpkeepOrdered(order.wave, order.instance))
    term.decide(commands.RecordOrder(order.instance, wall_ms))
    term.orders.append(order)
    term.log_event(
        "instance_ordered",
        order=type(order).__name__,
        **{field: getattr(order, field) for field in order.__struct_fields__},
    )


def end_goal(term: term_state.Term, name: str) -> None:
    """Removes a goal that has been reached.

    Args:
        term: State of the leader's term.
        name: Name of the instance.
    """
    for command in term.instance_controller.end_goal(name):
        term.decide(command)
    term.log_event("instance_back", instance=name)


def handle_order_outcome(
    term: term_state.Term,
    order: instances.Order,
    outcome: instances.OrderOutcome,
    now: term_state.Now,
) -> None:
    """Handles the result of an order to the provider.

    Args:
        term: State of the leader's term.
        order: The order that has ended.
        outcome: Result of the order.
        now: Current time.
    """
    ended = term.instance_controller.handle_order_outcome(
        order, outcome, now.steady_ms
    )
    term.log_event(
        "instance_order_ended",
        instance=order.instance,
        outcome=outcome.value,
    )
    if ended is None:
        return
    worker = term.workers.by_id.get(ended.worker)
    if worker is not None and worker.incarnation == ended:
        lost_runs.lose_runs(
            term, ended, "its instance was ordered away", worker
        )
        term.workers.remove_ended(worker, now.steady_ms)
    term.decide(commands.WorkerEnded(ended, now.wall_ms))


def handle_instance_list(
    term: term_state.Term,
    listed: tuple[instances.Instance, ...] | None,
    requested_ms: int,
) -> None:
    """Handles the provider's list of instances.

    Args:
        term: State of the leader's term.
        listed: The instances; None if no complete list was received.
        requested_ms: When the list was requested, on the steady clock.
    """
    term.instance_controller.fleet.is_listing = False
    if listed is None:
        return
    fleet_view.update_from_list(
        term.instance_controller.fleet, listed, requested_ms
    )
    if not term.book.instances.base_sizes and listed:
        sizes: dict[str, int] = {}
        for instance in listed:
            sizes[instance.pool] = sizes.get(instance.pool, 0) + 1
        term.decide(commands.RecordPoolSizes(tuple(sorted(sizes.items()))))
