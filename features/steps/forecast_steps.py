"""Steps for forecasts of the turns of queues."""

import dataclasses
import random

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import demand_forecast
from bambookeel.jobs import early_instances
from bambookeel.jobs import pools
from bambookeel.jobs import quiet_pools
from features.fakes import jobs_turns

_BEGIN_MS = 1_000_000
_INTERVAL_MS = 200
_WORK = 100_000_000.0
_TURN_MS = 5_000


def _start(context):
    context.forecaster = demand_forecast.DemandForecaster()
    context.outcomes = []
    context.made = []
    context.begin_ms = {}
    context.now_ms = _BEGIN_MS


def _take(context):
    context.made += context.forecaster.take_made()
    context.outcomes += context.forecaster.take_outcomes()


def _play_turn(context, queue, begin_ms):
    for at_ms in range(begin_ms, begin_ms + _TURN_MS, _INTERVAL_MS):
        context.forecaster.add(queue, _WORK, at_ms)
    context.begin_ms[queue] = begin_ms
    context.now_ms = begin_ms + _TURN_MS


def _list_forecasts(context):
    _take(context)
    ended = [outcome.forecast for outcome in context.outcomes]
    return {
        forecast.queue: forecast
        for forecast in context.made
        if forecast not in ended
    }


@given('queues "{names}" that take turns of 5 s every {period:d} s')
def set_queues(context, names, period):
    _start(context)
    context.queues = names.split(",")
    context.period_ms = period * 1_000
    context.next_ms = _BEGIN_MS


@when("{count:d} turns of each queue have passed")
def play_turns(context, count):
    play_late_turns(context, count, 0)


@when("{count:d} turns of each queue have passed {late:d} ms late")
def play_late_turns(context, count, late):
    for _ in range(count):
        context.next_ms += late
        for index, queue in enumerate(context.queues):
            offset_ms = index * context.period_ms // len(context.queues)
            _play_turn(context, queue, context.next_ms + offset_ms)
        context.next_ms += context.period_ms


@then('the third turn of "{queue}" is forecast within {error:d} ms')
def check_third(context, queue, error):
    forecast = _list_forecasts(context)[queue]
    expected_ms = context.begin_ms[queue] + context.period_ms
    assert abs(forecast.begin_ms - expected_ms) <= error, forecast
    assert forecast.is_used


@then('a turn of "{queue}" is forecast')
def check_forecast(context, queue):
    assert _list_forecasts(context)[queue].is_used


@then("no turn is forecast")
def check_no_forecast(context):
    assert not _list_forecasts(context), context.made


@given('a queue "b" whose turns begin 6 s after those of "a"')
def set_follower(context):
    _start(context)


@when('{count:d} turns of "a" have passed at irregular times')
def play_irregular(context, count):
    source = random.Random(1)
    at_ms = _BEGIN_MS
    for _ in range(count):
        _play_turn(context, "a", at_ms)
        _play_turn(context, "b", at_ms + 6_000)
        at_ms += source.randrange(14_000, 40_000)
    _play_turn(context, "a", at_ms)


@then('the next turn of "b" is forecast from "a"')
def check_follower(context):
    forecast = _list_forecasts(context)["b"]
    assert forecast.leader == "a", forecast
    assert abs(forecast.begin_ms - context.begin_ms["a"] - 6_000) <= 300
    assert forecast.is_used


@when('jobs of "{queue}" arrive every {interval:d} ms for {seconds:d} s')
def play_steady(context, queue, interval, seconds):
    _start(context)
    for passed_ms in range(0, seconds * 1_000, interval):
        context.forecaster.add(queue, _WORK, _BEGIN_MS + passed_ms)


@then('the forecasts of "{queue}" are judged and not used')
def check_unused(context, queue):
    _take(context)
    made = [each for each in context.made if each.queue == queue]
    assert made and not made[-1].is_used, made
    late_ms = context.forecaster.compute_expected_milli(
        queue, made[-1].begin_ms, 0
    )
    assert not late_ms


@when("no job arrives for {seconds:d} s")
def fall_silent(context, seconds):
    context.now_ms += seconds * 1_000
    context.forecaster.advance(context.now_ms)


@then('the last outcome of "{queue}" is a failure')
def check_failure(context, queue):
    _take(context)
    last = [o for o in context.outcomes if o.forecast.queue == queue][-1]
    assert last.error_ms is None and not last.has_come_true


@given('a turn of {cores:d} cores is expected for "{pool}"')
def set_expected(context, cores, pool):
    context.expected = {pool: cores * 1_000.0}


@then('{count:d} instances move early to "{pool}"')
def check_early(context, count, pool):
    moves = pools.choose_moves(context.states, "spare", context.spare, 100_000)
    early = early_instances.choose_moves(
        context.states, context.expected, context.spare, moves
    )
    assert [to for _, to in early] == [pool] * count, (moves, early)
    names = [name for name, _ in (*moves, *early)]
    assert len(set(names)) == len(names), names


@given("a replay of regular turns")
def set_replay(context):
    context.replay = jobs_turns.Replay("regular", 1)


@when("it has run for {ms:d} ms")
def run_replay(context, ms):
    context.replay.advance(ms)


@when("all callers fall silent for {ms:d} ms")
def run_silent(context, ms):
    context.replay.advance(ms, False)


def _count_members(context, pool):
    states = context.replay.simulation.scheduler.term.pool_states
    return states[pool].members


@then('the pool "{pool}" has got instances before its turn')
def check_grown(context, pool):
    members = _count_members(context, pool)
    state = context.replay.simulation.scheduler.term.pool_states[pool]
    assert members > state.min_members, state
    assert not state.ready_work, state


@then('the pool "{pool}" has its smallest size')
def check_smallest(context, pool):
    state = context.replay.simulation.scheduler.term.pool_states[pool]
    assert state.members == state.min_members, state


@when("the leader changes")
def change_leader(context):
    simulation = context.replay.simulation
    simulation.commit()
    context.earlier = simulation.scheduler.term.forecaster
    simulation.start_leader()


@then("the new leader expects the same turns")
def check_same(context):
    simulation = context.replay.simulation
    forecaster = simulation.scheduler.term.forecaster
    now_ms = simulation.read_now().wall_ms
    awaited = forecaster.list_awaited()
    assert awaited and set(awaited) == set(context.earlier.list_awaited())
    for queue in awaited:
        quiet_ms = forecaster.compute_quiet_ms(queue, now_ms)
        assert quiet_ms == context.earlier.compute_quiet_ms(queue, now_ms)


def _is_given_back(context, pool, idle_ms):
    simulation = context.replay.simulation
    now = simulation.read_now()
    state = dataclasses.replace(
        simulation.scheduler.term.pool_states[pool],
        idle_since_ms=now.steady_ms - idle_ms,
        members=6,
        min_members=4,
        incoming=0,
        ready_milli=0,
        arriving_milli=0.0,
        empty=("e1", "e2"),
        capacity_milli=6 * jobs_turns.CAPACITY.cpu_milli,
    )
    state = quiet_pools.shorten_idle_time(simulation.scheduler.term, state, now)
    moves = pools.choose_moves([state], "spare", (), now.steady_ms)
    return len(moves) == 2


@then('the pool "{pool}" gives back what has been empty for {ms:d} ms')
def check_given_back(context, pool, ms):
    assert _is_given_back(context, pool, ms)


@then('the pool "{pool}" keeps what has been empty for {ms:d} ms')
def check_kept(context, pool, ms):
    assert not _is_given_back(context, pool, ms)
